"""Hollow clients of the gRPC form: each client sends placement requests on one stream to one planner."""

from __future__ import annotations

import itertools
import time
from dataclasses import asdict
from typing import Any

import gevent

from ..fence import MessageStamper
from ..planner.convert import stamp_to_proto
from ..planner.services import PLACEMENT_SERVICE
from ..proto import common_pb2, open_call, placement_pb2
from ..rpc import Channel, RpcError
from .load import RECONNECT_S, RETRY_S, SERVICES, WAIT_MS, LoadClient
from .platform_files import TASK_CLASS
from .socket_bytes import SocketTraffic

REQUEST = placement_pb2.PlaceRequest
WELCOME_TIMEOUT_S = 10.0
US_PER_S, US_PER_MS = 1e6, 1000


class GrpcClient(LoadClient):
    """Sends requests to one planner on one stream. Retries tasks that the planner did not place."""

    _request_numbers = itertools.count(1)

    def __init__(self, where: str, seed: int) -> None:
        super().__init__(where, seed)
        self._traffic = SocketTraffic()
        self._call: Any = None
        self._stamper = MessageStamper()
        gevent.spawn(self._run)

    def ask(self, life_s: float) -> None:
        number = next(self._request_numbers)
        self.waiting[str(number)] = life_s
        self._send(number, life_s)

    def traffic(self) -> dict[str, Any]:
        return asdict(self._traffic.counts())

    # Stream

    def _run(self) -> None:
        while True:
            try:
                self._connect()
                self._read()
            except RpcError:
                pass
            self._call = None
            gevent.sleep(RECONNECT_S)

    def _connect(self) -> None:
        call = open_call(Channel(self.where), PLACEMENT_SERVICE, "Place")
        call.send(REQUEST(hello=REQUEST.Hello(owner="scale")))
        welcome = call.recv(WELCOME_TIMEOUT_S)
        self._traffic.opened(call.stream.connection)
        self._stamper = MessageStamper()
        self._stamper.receive_grant(_now_us(), welcome.grant)
        self._call = call
        for number, life_s in list(self.waiting.items()):
            self._send(int(number), life_s)

    def _send(self, number: int, life_s: float) -> None:
        if self._call is None:
            return  # _connect() sends every waiting request
        task = common_pb2.Task(
            key=number,
            task_class=TASK_CLASS,
            service=number % SERVICES + 1,
            cores=1,
            memory=2,
            life_us=int(life_s * US_PER_S),
        )
        sent = stamp_to_proto(self._stamper.stamp(_now_us()))
        request = REQUEST.Ask(ask=number, task=task, wait_us=WAIT_MS * US_PER_MS, sent=sent)
        message = REQUEST(ask=request)
        try:
            self._call.send(message)
        except RpcError:
            return  # _run() notices the closed stream and reconnects
        self._traffic.task_message(message)

    def _read(self) -> None:
        while (event := self._call.recv()) is not None:
            self._stamper.receive_grant(_now_us(), event.grant)
            kind = event.WhichOneof("kind")
            if kind == "renewed":
                continue
            self._traffic.task_message(event)
            self._handle_event(kind, getattr(event, kind))

    def _handle_event(self, kind: str, event: Any) -> None:
        id = str(getattr(event, "ask", 0))
        match kind:
            case "placed" if id in self.waiting:
                del self.waiting[id]
                self.running[id] = f"node-{event.node}"
                self.placed += 1
            case "refused" | "failed" | "rejected" if id in self.waiting:
                self.refused += 1
                gevent.spawn_later(RETRY_S, self.ask, self.waiting.pop(id))
            case "ended":
                self.running.pop(id, None)
                self.lost += not event.finished


def _now_us() -> int:
    return time.monotonic_ns() // 1000
