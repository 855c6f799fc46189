"""Hollow clients of the platform form: one connection to each planner."""

from __future__ import annotations

import itertools
from dataclasses import asdict
from typing import Any

import gevent
from gevent import socket

from ..platform import binary
from ..platform.messages import Cause, Kind, Message, ProtocolError
from .counts import Counts
from .hollow_workers import description
from .load import RECONNECT_S, RETRY_S, SERVICES, WAIT_MS, LoadClient
from .platform_files import TASK_CLASS

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0


class PlatformClient(LoadClient):
    """A client with one connection to one planner; it repeats every request that was not placed."""

    _ids = itertools.count(1)

    def __init__(self, where: str, seed: int) -> None:
        super().__init__(where, seed)
        self.counts = Counts()
        self._sock: Any = None
        self._requests: dict[str, Message] = {}  # the request of each running task, by its id
        gevent.spawn(self._run)

    def ask(self, life_s: float) -> None:
        number = next(self._ids)
        fields = {
            "class": TASK_CLASS,
            "left": str(WAIT_MS),
            "key": f"{number:016x}",
            "extras": f"cores:1;memory:2;service:{number % SERVICES + 1:016x}",
        }
        self._ask(Message(Kind.PLACE, f"{number:016x}", fields, body=description(life_s)))

    def _ask(self, message: Message) -> None:
        self.waiting[message.id] = message
        self._send(message)

    def traffic(self) -> dict[str, Any]:
        return asdict(self.counts)

    def _run(self) -> None:
        while True:
            try:
                self._connect()
                self._read()
            except (OSError, ProtocolError):
                pass
            self._sock = None
            gevent.sleep(RECONNECT_S)

    def _connect(self) -> None:
        host, port = self.where.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.counts.dials += 1
        for id, worker in list(self.running.items()):
            self._send(_handover_request(self._requests[id], worker))
        for message in list(self.waiting.values()):
            self._send(message)

    def _read(self) -> None:
        reader, sock = binary.MessageReader(), self._sock
        while data := sock.recv(READ_BYTES):
            self.counts.task_bytes += len(data)
            for message in reader.feed(data):
                self.counts.task_messages += 1
                self._handle(message)

    def _send(self, message: Message) -> None:
        if self._sock is None:
            return  # _connect sends every waiting message once the connection is open
        data = binary.encode(message)
        self.counts.count(False, len(data))
        try:
            self._sock.sendall(data)
        except OSError:
            pass  # _run reconnects when its read fails

    def _handle(self, message: Message) -> None:
        match message.kind:
            case Kind.ANSWER if message.id in self.waiting:
                self._requests[message.id] = self.waiting.pop(message.id)
                self.running[message.id] = message.body or ""
                self.placed += 1
            case Kind.RELEASE | Kind.MIGRATE if message.id in self.running:
                self._send(Message(Kind.ACKNOWLEDGEMENT, message.id))
                self._remove_released(message)
            case Kind.RELEASE if message.id in self.waiting:
                self.refused += 1
                again = self.waiting[message.id]
                gevent.spawn_later(RETRY_S, self._retry, again)

    def _remove_released(self, message: Message) -> None:
        """Removes a released task. A task that was lost before it ended is requested again under a new id."""
        del self.running[message.id]
        request = self._requests.pop(message.id)
        if message.kind is Kind.RELEASE and message.cause == Cause.ENDED:
            return
        self.lost += 1
        id = f"{next(self._ids):016x}"
        self._ask(Message(Kind.PLACE, id, request.fields | {"key": id}, body=request.body))

    def _retry(self, message: Message) -> None:
        if message.id in self.waiting:
            self._send(message)


def _handover_request(request: Message, worker: str) -> Message:
    """Returns the request of a running task with its worker added, for a planner that may have restarted."""
    extras = f"{request.fields['extras']};at:{worker}"
    return Message(Kind.PLACE, request.id, request.fields | {"extras": extras}, body=request.body)
