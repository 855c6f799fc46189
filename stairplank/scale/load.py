"""The load that hollow clients put on planners, whatever the form: tasks placed fast, then an open loop."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any

import gevent

PLACING_MOST = 32  # tasks under way at one planner while they are placed fast
PLACING_POLL_S = 0.01
LIFE_FOREVER = 0.0
WAIT_MS = 6000  # for which a client waits for its answer
RETRY_S = 0.2
RECONNECT_S = 0.05
SERVICES = 200  # to which the tasks belong in turn


class LoadClient:
    """One client of one planner. Tasks that the planner does not place are asked for again."""

    def __init__(self, where: str, seed: int) -> None:
        self.where = where
        self.waiting: dict[str, Any] = {}  # not answered, with what is asked for
        self.running: dict[str, str] = {}  # by id, the worker
        self.placed = self.refused = self.lost = 0
        self._random = random.Random(seed)

    def ask(self, life_s: float) -> None:
        """Ask for a task of this life; 0 for no end."""
        raise NotImplementedError

    def traffic(self) -> dict[str, Any]:
        """Fields of its counts."""
        raise NotImplementedError

    def place(self, running: int, life_s: float) -> None:
        """Place fast until so many run; their lives are spread over ``life_s``, as if they had run long."""
        while len(self.running) < running:
            while len(self.waiting) < PLACING_MOST and len(self.running) + len(self.waiting) < running:
                self.ask(self._random.uniform(0.0, 1.0) * life_s if life_s else LIFE_FOREVER)
            gevent.sleep(PLACING_POLL_S)

    def generate(self, per_s: float, life_s: float) -> None:
        """An open loop: arrivals at random times, whatever the answers do."""
        due = time.monotonic()
        while True:
            due += self._random.expovariate(per_s)
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.ask(life_s)


class ClientHost:
    """The commands of the clients' process."""

    def __init__(self, kind: type[LoadClient]) -> None:
        self._kind = kind
        self._clients: list[LoadClient] = []
        self._generators: list[gevent.Greenlet] = []
        self._marked: list[set[str]] = []

    def start(self, planners: list[str]) -> None:
        """One client for each planner, in the order of the planners."""
        self._clients = [self._kind(where, seed) for seed, where in enumerate(planners)]
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
            "traffic": {n: c.traffic() for n, c in enumerate(self._clients)},
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
