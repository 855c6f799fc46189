"""A planner's platform core among many workers in simulated time, with what it does counted.

Workers let each connection come up at once and see each close at once. Nothing here depends on the speed of
the machine that runs it.
"""

from __future__ import annotations

import sys
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "platform"))

from core_harness import SECOND, CoreHarness, machine_row, task_id  # noqa: E402

from stairplank.platform import events as ev  # noqa: E402
from stairplank.platform.messages import Cause, Kind, Message  # noqa: E402

ENDED, ANSWERED = Kind.RELEASE, Kind.ANSWER
FIRST_LATER_TASK = 100_000  # numbers of tasks that are asked for, beside those that are adopted
# Not by task: totals by kind of thing that happened; the list sorted and cut, as it is with the first task.
NOT_BY_TASK = {"counts", "transition_counts", "ready", "parts"}


@dataclass(frozen=True)
class Started:
    """A task that runs, and the worker at which it does."""

    number: int
    worker: int


@dataclass(frozen=True)
class Counts:
    """Totals since the start of a planner."""

    at: int
    dials: int
    to_workers: int  # messages
    to_clients: int
    turns: int
    events: int


@dataclass(frozen=True)
class Rates:
    """What a planner does in a second of simulated time."""

    dials: float
    to_workers: float  # messages
    to_clients: float
    turns: float
    events: float


class CountedSite(CoreHarness):
    """A planner, its workers and one client."""

    def __init__(self, workers: int, **settings: Any) -> None:
        self.turns = 0
        self.events = 0
        super().__init__(machines=workers, sockets=1 << 16, **settings)
        self.workers = workers
        self.client_link = 0
        self.last_task = 0

    def count_looks(self) -> list[str]:
        """The workers at which the planner looks from now on, by name."""
        looked: list[str] = []
        look_at = self.core.link_checks._check_machine

        def counted(machine: Any) -> None:
            looked.append(machine.name)
            look_at(machine)

        self.core.link_checks._check_machine = counted  # type: ignore[method-assign]
        return looked

    # Time

    def run(self, seconds: float) -> None:
        """Time passes; the core is called exactly when it wants to be."""
        end = self.now + round(seconds * SECOND)
        while (due := self.core.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.turns += 1
            self._record_actions(self.core.handle(self.now, [ev.TimerDue()]))
            self.settle()
        self.now = end

    def settle(self) -> None:
        """Connections under way come up, and those that were closed are closed by the worker too."""
        while self.dials or self.closing_links:
            if self.dials:
                link, address = self.dials.popitem()
                self.links_up[link] = address
                self.feed(ev.LinkUp(link))
            else:
                self.feed(ev.LinkLost(self.closing_links.pop(), frozenset()))

    def feed(self, *events: ev.Event, after: int = 0) -> None:
        self.events += len(events)
        super().feed(*events, after=after)

    def rates(self, seconds: float) -> Rates:
        """What happens in that time, a second."""
        before = self.counts()
        self.run(seconds)
        after = self.counts()
        return Rates(
            (after.dials - before.dials) / seconds,
            (after.to_workers - before.to_workers) / seconds,
            (after.to_clients - before.to_clients) / seconds,
            (after.turns - before.turns) / seconds,
            (after.events - before.events) / seconds,
        )

    def counts(self) -> Counts:
        dials = self.core.counts.get("dials", 0)
        return Counts(self.now, dials, len(self.to_machines), len(self.to_clients), self.turns, self.events)

    # Work

    def connect_client(self) -> None:
        """Anew for each piece of work: the planner closes a connection on which nothing is said."""
        if self.client_link in self.closed_clients:
            self.feed(ev.ClientDisconnected(self.client_link))
            self.client_link = 0
        self.client_link = self.client_link or self.add_client()

    def run_tasks_at(self, workers: int, each: int = 1) -> None:
        """So many tasks run at each of so many workers, as their client hands them over."""
        self.connect_client()
        for worker in range(1, workers + 1):
            for _ in range(each):
                self.last_task += 1
                self.request_placement(self.client_link, self.last_task, at=machine_row(worker)["host"])
        self.settle()

    def start_tasks(self, count: int) -> list[Started]:
        """So many tasks are asked for, each of a service of its own, and start."""
        self.connect_client()
        started: list[Started] = []
        for number in range(FIRST_LATER_TASK, FIRST_LATER_TASK + count):
            self.request_placement(self.client_link, number, extras=f"cores:1;memory:2;service:{number:016x}")
            self.settle()
            link = self.placements_sent(number)[-1][0]
            started.append(Started(number, self.core.links.links[link].machine))
            self.receive_from_machine(link, Message(ANSWERED, task_id(number), body="runs"))
        return started

    def end_tasks(self, started: list[Started]) -> None:
        """The workers end them, each on a connection that is open now."""
        for task in started:
            link = next(k.number for k in self.core.links.links.values() if k.machine == task.worker)
            self.receive_from_machine(link, Message(ENDED, task_id(task.number), cause=int(Cause.ENDED)))
        self.settle()

    def end_adopted(self) -> None:
        """The client ends everything that it handed over."""
        for number in range(1, self.last_task + 1):
            self.feed(
                ev.ClientMessage(self.client_link, Message(ENDED, task_id(number), cause=int(Cause.ENDED)))
            )
        self.settle()

    def leave(self) -> None:
        """The client goes."""
        self.feed(ev.ClientDisconnected(self.client_link))
        self.client_link = 0

    # Tables

    def links_open(self) -> int:
        return len(self.core.links.links)

    def workers_with_tasks(self) -> int:
        return sum(machine.running_count > 0 for machine in self.core.machines.machines.values())

    def tables(self) -> dict[str, int]:
        """The sizes of all tables of all parts of the core, the decisions' included."""
        sizes: dict[str, int] = {}
        for part_name, part in vars(self.core).items():
            for table_name, table in getattr(part, "__dict__", {}).items():
                if isinstance(table, dict | list | set | deque) and table_name not in NOT_BY_TASK:
                    sizes[f"{part_name}.{table_name}"] = len(table)
        return sizes
