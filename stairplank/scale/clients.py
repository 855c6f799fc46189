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
    """One client connection to one planner. Tasks that the planner does not place are asked for again."""

    _ids = itertools.count(1)

    def __init__(self, where: str, seed: int) -> None:
        super().__init__(where, seed)
        self.counts = Counts()
        self._sock: Any = None
        self._set_ups: dict[str, Message] = {}  # of running tasks
        gevent.spawn(self._run)

    # Tasks

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

    # Connection

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
            self._send(_handed_over(self._set_ups[id], worker))
        for message in list(self.waiting.values()):
            self._send(message)

    def _read(self) -> None:
        reader, sock = binary.MessageReader(), self._sock
        while data := sock.recv(READ_BYTES):
            self.counts.task_bytes += len(data)
            for message in reader.feed(data):
                self.counts.task_messages += 1
                self._take(message)

    def _send(self, message: Message) -> None:
        if self._sock is None:
            return  # said once it is connected
        data = binary.encode(message)
        self.counts.count(False, len(data))
        try:
            self._sock.sendall(data)
        except OSError:
            pass  # the reader connects anew

    # Messages

    def _take(self, message: Message) -> None:
        match message.kind:
            case Kind.ANSWER if message.id in self.waiting:
                self._set_ups[message.id] = self.waiting.pop(message.id)
                self.running[message.id] = message.body or ""
                self.placed += 1
            case Kind.RELEASE | Kind.MIGRATE if message.id in self.running:
                self._send(Message(Kind.ACKNOWLEDGEMENT, message.id))
                self._ended(message)
            case Kind.RELEASE if message.id in self.waiting:
                self.refused += 1
                again = self.waiting[message.id]
                gevent.spawn_later(RETRY_S, self._retry, again)

    def _ended(self, message: Message) -> None:
        """A task is over. One that was lost, not ended, is asked for again under a new id."""
        del self.running[message.id]
        set_up = self._set_ups.pop(message.id)
        if message.kind is Kind.RELEASE and message.cause == Cause.ENDED:
            return
        self.lost += 1
        id = f"{next(self._ids):016x}"
        self._ask(Message(Kind.PLACE, id, set_up.fields | {"key": id}, body=set_up.body))

    def _retry(self, message: Message) -> None:
        if message.id in self.waiting:
            self._send(message)


def _handed_over(set_up: Message, worker: str) -> Message:
    """The set-up of a task that runs already, for a planner that has started anew."""
    extras = f"{set_up.fields['extras']};at:{worker}"
    return Message(Kind.PLACE, set_up.id, set_up.fields | {"extras": extras}, body=set_up.body)
