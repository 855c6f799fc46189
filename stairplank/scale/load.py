"""The load of hollow clients in both forms: a fast fill with running tasks, then an open arrival process."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any

import gevent

MAX_FILL_IN_FLIGHT = 32  # unanswered requests at one planner during the fast fill
FILL_POLL_S = 0.01
NO_END = 0.0
WAIT_MS = 6000  # how long a request may wait for a placement
RETRY_S = 0.2
RECONNECT_S = 0.05
SERVICES = 200  # number of services; tasks are assigned to them in turn


class LoadClient:
    """A client of one planner. It retries tasks that the planner did not place."""

    def __init__(self, where: str, seed: int) -> None:
        self.where = where
        self.waiting: dict[str, Any] = {}  # requests without an answer, by id
        self.running: dict[str, str] = {}  # worker of each running task, by task id
        self.placed = self.refused = self.lost = 0
        self._random = random.Random(seed)

    def ask(self, life_s: float) -> None:
        """Requests a task that runs for ``life_s``; 0 means no end."""
        raise NotImplementedError

    def traffic(self) -> dict[str, Any]:
        """Returns this client's traffic counts as fields."""
        raise NotImplementedError

    def place(self, running: int, life_s: float) -> None:
        """Requests tasks as fast as possible until ``running`` tasks run.

        Their run times are spread evenly over ``life_s``, like the remaining times in a steady state.
        """
        while len(self.running) < running:
            while len(self.waiting) < MAX_FILL_IN_FLIGHT and len(self.running) + len(self.waiting) < running:
                self.ask(self._random.uniform(0.0, 1.0) * life_s if life_s else NO_END)
            gevent.sleep(FILL_POLL_S)

    def generate(self, per_s: float, life_s: float) -> None:
        """Requests tasks at random times, independently of the answers (open loop)."""
        due = time.monotonic()
        while True:
            due += self._random.expovariate(per_s)
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.ask(life_s)


class ClientHost:
    """Handles the commands sent to the process of the clients."""

    def __init__(self, kind: type[LoadClient]) -> None:
        self._kind = kind
        self._clients: list[LoadClient] = []
        self._generators: list[gevent.Greenlet] = []
        self._marked: list[set[str]] = []

    def start(self, planners: list[str]) -> None:
        """Starts one client per planner, in the order of the planners."""
        self._clients = [self._kind(where, seed) for seed, where in enumerate(planners)]
        self._marked = [set() for _ in planners]

    def move(self, planner: int, where: str) -> None:
        """Sets the new address of a planner."""
        self._clients[planner].where = where

    def place(self, running: int, life_s: float) -> None:
        """Fills the site until ``running`` tasks run, divided evenly among the planners."""
        shares = _shares(running, len(self._clients))
        pairs = zip(self._clients, shares, strict=True)
        gevent.joinall([gevent.spawn(client.place, share, life_s) for client, share in pairs])

    def generate(self, per_s: float, life_s: float) -> None:
        """Starts requesting ``per_s`` tasks a second over the whole site; 0 stops the requests."""
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
        """Returns the worker with the most running tasks; empty if no task runs."""
        tasks_by_worker = Counter(worker for client in self._clients for worker in client.running.values())
        return tasks_by_worker.most_common(1)[0][0] if tasks_by_worker else ""

    def mark(self, workers: list[str]) -> int:
        """Marks the tasks that run at these workers. Returns their number."""
        names = set(workers)
        self._marked = [
            {id for id, worker in client.running.items() if worker in names} for client in self._clients
        ]
        return sum(map(len, self._marked))

    def progress(self) -> dict[str, int]:
        """Returns how many marked tasks still run, as far as the clients know, and how many tasks wait."""
        pairs = zip(self._clients, self._marked, strict=True)
        still_running = sum(len(marked & client.running.keys()) for client, marked in pairs)
        return {"marked": still_running, "waiting": sum(len(client.waiting) for client in self._clients)}


def _shares(total: int, parts: int) -> list[int]:
    return [total // parts + (number < total % parts) for number in range(parts)]
