"""Hollow clients of the platform form: an open loop of set-ups at each planner, and the tasks that run."""

from __future__ import annotations

import itertools
import random
import time
from collections import Counter
from typing import Any

import gevent
from gevent import socket

from ..platform import binary
from ..platform.messages import Cause, Kind, Message, Unreadable
from .counts import Counts
from .hollow_workers import description
from .platform_files import TASK_CLASS

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
RECONNECT_S = 0.05
WAIT_MS = 6000  # for which a client waits for its answer
RETRY_S = 0.2
PLACING_MOST = 32  # set-ups under way at one planner while tasks are placed fast
SERVICES = 200
LIFE_FOREVER = 0.0


class Client:
    """One client connection to one planner. Tasks that the planner does not place are asked for again."""

    _ids = itertools.count(1)

    def __init__(self, where: str, seed: int) -> None:
        self.where = where
        self.counts = Counts()
        self.waiting: dict[str, Message] = {}  # not answered
        self.running: dict[str, str] = {}  # by id, the worker
        self.placed = self.refused = self.lost = 0
        self._random = random.Random(seed)
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
        self._ask(Message(Kind.SET_UP, f"{number:016x}", fields, body=description(life_s)))

    def _ask(self, message: Message) -> None:
        self.waiting[message.id] = message
        self._send(message)

    def place(self, running: int, life_s: float) -> None:
        """Place fast until so many run; their lives are spread over ``life_s``, as if they had run long."""
        while len(self.running) < running:
            while len(self.waiting) < PLACING_MOST and len(self.running) + len(self.waiting) < running:
                self.ask(self._random.uniform(0.0, 1.0) * life_s if life_s else LIFE_FOREVER)
            gevent.sleep(0.01)

    def generate(self, per_s: float, life_s: float) -> None:
        """An open loop: arrivals at random times, whatever the answers do."""
        due = time.monotonic()
        while True:
            due += self._random.expovariate(per_s)
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.ask(life_s)

    # Connection

    def _run(self) -> None:
        while True:
            try:
                self._connect()
                self._read()
            except (OSError, Unreadable):
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
        reader, sock = binary.Reader(), self._sock
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
            case Kind.RELEASE | Kind.MOVE if message.id in self.running:
                self._send(Message(Kind.HEARD, message.id))
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
        self._ask(Message(Kind.SET_UP, id, set_up.fields | {"key": id}, body=set_up.body))

    def _retry(self, message: Message) -> None:
        if message.id in self.waiting:
            self._send(message)


def _handed_over(set_up: Message, worker: str) -> Message:
    """The set-up of a task that runs already, for a planner that has started anew."""
    extras = f"{set_up.fields['extras']};at:{worker}"
    return Message(Kind.SET_UP, set_up.id, set_up.fields | {"extras": extras}, body=set_up.body)


class ClientHost:
    """The commands of the clients' process."""

    def __init__(self) -> None:
        self._clients: list[Client] = []
        self._generators: list[gevent.Greenlet] = []
        self._marked: list[set[str]] = []

    def start(self, planners: list[str]) -> None:
        """One client for each planner, in the order of the planners."""
        self._clients = [Client(where, seed) for seed, where in enumerate(planners)]
        self._marked = [set() for _ in planners]

    def move(self, planner: int, where: str) -> None:
        """That planner listens elsewhere now."""
        self._clients[planner].where = where

    def place(self, running: int, life_s: float) -> None:
        """Have so many tasks run at the site, shared by the planners."""
        shares = _shares(running, len(self._clients))
        pairs = zip(self._clients, shares, strict=True)
        gevent.joinall([gevent.spawn(client.place, share, life_s) for client, share in pairs])

    def generate(self, per_s: float, life_s: float) -> None:
        """Start tasks at this rate of the site from here on; 0 stops it."""
        gevent.killall(self._generators)
        self._generators = []
        if per_s:
            rate = per_s / len(self._clients)
            self._generators = [gevent.spawn(c.generate, rate, life_s) for c in self._clients]

    def snapshot(self) -> dict[str, Any]:
        return {
            "traffic": {n: _traffic(c) for n, c in enumerate(self._clients)},
            "running": sum(len(c.running) for c in self._clients),
            "waiting": sum(len(c.waiting) for c in self._clients),
            "placed": sum(c.placed for c in self._clients),
            "refused": sum(c.refused for c in self._clients),
            "lost": sum(c.lost for c in self._clients),
        }

    def busiest(self) -> str:
        """The worker at which most tasks run."""
        found = Counter(worker for client in self._clients for worker in client.running.values())
        return found.most_common(1)[0][0] if found else ""

    def mark(self, workers: list[str]) -> int:
        """Remember the tasks that run at these workers; how many they are."""
        names = set(workers)
        self._marked = [
            {id for id, worker in client.running.items() if worker in names} for client in self._clients
        ]
        return sum(map(len, self._marked))

    def progress(self) -> dict[str, int]:
        """How many of the marked tasks still run as far as is known here, and how many tasks wait."""
        pairs = zip(self._clients, self._marked, strict=True)
        held = sum(len(marked & client.running.keys()) for client, marked in pairs)
        return {"marked": held, "waiting": sum(len(client.waiting) for client in self._clients)}


def _shares(whole: int, parts: int) -> list[int]:
    return [whole // parts + (number < whole % parts) for number in range(parts)]


def _traffic(client: Client) -> dict[str, Any]:
    counts = client.counts
    return {
        "dials": counts.dials,
        "task_messages": counts.task_messages,
        "task_bytes": counts.task_bytes,
        "control_messages": 0,
        "control_bytes": 0,
        "connection_seconds": 0.0,
    }
