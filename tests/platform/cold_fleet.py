"""Many planner cores over machines that start cold, in simulated time.

Each planner is a ``Core`` with its own clock, its own delay of the node list and its own connections. A
machine counts the requests that reach each of its starts, whoever sent them and whatever became of them:
refused, repeated and unanswered ones too. Probes are counted apart, as the cold-node rule counts requests
only. Every choice is drawn from the seed, so that a run always gives the same counts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from desk import FIELDS, SECOND, notice, row, set_up
from helpers import SETTINGS

from stairplank.platform import events as ev
from stairplank.platform.core import Core
from stairplank.platform.messages import Cause, Kind, Message
from stairplank.platform.node_list import NodeList

MS = 1_000
UNIX_US = 1_700_000_000 * SECOND  # Unix time at simulated time 0
LONG_AGO = -1_000 * SECOND
TRIP_US = 2 * MS  # one way between a planner and a machine
STEP_US = 80 * MS  # a planner gets time, and new tasks, so often
TASK_WAIT_MS = 2_500
RUN_US = 100 * MS  # a placed task runs so long
ANSWER_MOST_US = 40 * MS
REFUSED, FAILED, PLACED = (
    0.5,
    0.05,
    0.42,
)  # shares of requests by what becomes of them; the rest stay unanswered
CLIENT = 1  # the connection of a planner's only client
STOP_US = 3_700 * MS  # SIGKILL comes so long after SIGTERM ...
STOP_TASKS_US = 600 * MS  # ... and clients stop sending tasks so long after it


@dataclass
class MachineRun:
    """One start of a machine's process. ``informed``: requests of planners that the list had told of it."""

    born: int
    cold: bool
    requests: list[int] = field(default_factory=list)
    informed: list[int] = field(default_factory=list)
    probes: int = 0

    @property
    def born_ms(self) -> int:
        return (UNIX_US + self.born) // 1000 if self.cold else 0


class Machine:
    def __init__(self, number: int, zone: str, run: MachineRun) -> None:
        self.number, self.zone = number, zone
        self.runs = [run]
        self.up = True

    @property
    def run(self) -> MachineRun:
        return self.runs[-1]

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        return row(self.number, health, site=self.zone, born_ms=self.run.born_ms, block=self.number)


class PlannerRun:
    """One life of a planner: a core and the connections it has made."""

    def __init__(self, fleet: Fleet, position: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(fleet.rng.randrange(2**32))
        self.clock_offset = self.rng.randrange(10 * SECOND, 10_000 * SECOND)
        self.skew = self.rng.randrange(-fleet.skew_us, fleet.skew_us + 1)
        settings = replace(fleet.settings, position=position)
        self.core = Core(settings, FIELDS, position, 1024, fleet.dial_timeout_us)
        self.node_list = NodeList(("zone-0", "zone-1", "zone-2"), ("std",), self._clocks)
        self.alive = True
        self.stopping_at = 0
        self.revision = 0
        self.starts: dict[str, int] = {}  # machine: its start as the list gave it last
        self.links: dict[int, tuple[Machine, MachineRun]] = {}
        self.listed = fleet.listed_at(fleet.now - fleet.list_delays[position])
        first = self._update([r for r in self.listed.values() if r["health"] != "DELETED"], whole=True)
        self._carry_out(self.core.start(self.clock, [first]))
        self.feed(ev.ClientConnected(CLIENT, "127.8.240.2"))

    @property
    def clock(self) -> int:
        return self.fleet.now + self.clock_offset

    def feed(self, *events: ev.Event) -> None:
        if self.alive:
            self._carry_out(self.core.handle(self.clock, events))

    def list_changed(self, rows: list[dict[str, Any]]) -> None:
        """What the list read at this planner's start showed already is not sent again."""
        rows = [r for r in rows if self.listed.get(r["host"]) is not r]
        if self.alive and rows:
            self.feed(ev.NodeListUpdated(self._update(rows)))

    def reset(self, run: MachineRun) -> None:
        """A machine's process has ended, and its connections with it."""
        for link, (_, other) in list(self.links.items()):
            if other is run:
                del self.links[link]
                self.feed(ev.LinkLost(link, frozenset()))

    def _clocks(self) -> tuple[int, int]:
        return UNIX_US + self.fleet.now + self.skew, self.clock

    def _update(self, rows: list[dict[str, Any]], whole: bool = False) -> Any:
        self.revision += 1
        self.starts |= {r["host"]: r["born_ms"] for r in rows}
        return self.node_list.apply(notice(self.revision, *rows, whole=whole))[0]

    def _carry_out(self, actions: list[ev.Action]) -> None:
        for action in actions:
            match action:
                case ev.Dial(link, address):
                    self._dial(link, self.fleet.machine_at(address))
                case ev.SendToMachine(link, message) if link in self.links:
                    self.fleet.receive(self, link, message)
                case ev.CloseLink(link) if self.links.pop(link, None) is not None:
                    self.fleet.after(TRIP_US, lambda link=link: self.feed(ev.LinkLost(link, frozenset())))

    def _dial(self, link: int, machine: Machine) -> None:
        """It takes a drawn time, and the time-out where the machine is down."""
        takes = TRIP_US + self.rng.randrange(self.fleet.dial_us)
        limit = self.fleet.dial_timeout_us
        up, run = machine.up and takes < limit, machine.run

        def done() -> None:
            if up and machine.up and machine.run is run:
                self.links[link] = (machine, run)
                self.feed(ev.LinkUp(link))
            else:
                self.feed(ev.LinkFailed(link, refused=False))

        self.fleet.after(takes if up else limit, done)


class Fleet:
    """``alive`` of the ``planners`` in the settings run. The list reaches each after a delay drawn within
    ``list_delay_us``; its connections come up within ``dial_us``; its Unix clock is wrong by up to
    ``skew_us``. Each gets ``tasks`` new tasks in a step."""

    def __init__(
        self,
        seed: int,
        *,
        planners: int,
        alive: int | None = None,
        machines: int = 3,
        tasks: int = 1,
        list_delay_us: tuple[int, int] = (50 * MS, 800 * MS),
        dial_us: int = 20 * MS,
        dial_timeout_us: int = 250 * MS,
        skew_us: int = 0,
        **settings: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.settings = replace(SETTINGS, planners=planners, polls_node_list=False, **settings)
        self.dial_us, self.dial_timeout_us, self.skew_us = dial_us, dial_timeout_us, skew_us
        self.tasks = tasks
        self.list_delays = [self.rng.randrange(*list_delay_us) for _ in range(planners)]
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tasks = itertools.count(1)
        self.machines = {n: Machine(n, f"zone-{n % 3}", MachineRun(0, False)) for n in range(1, machines + 1)}
        self._changes = [(LONG_AGO, m.row()) for m in self.machines.values()]
        self.planners: dict[int, PlannerRun] = {}
        for position in self.rng.sample(range(planners), alive or planners):
            self.start_planner(position)

    # Time

    def after(self, span: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + span, next(self._order), call))

    def run(self, span: int) -> None:
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    # Planners

    def start_planner(self, position: int) -> None:
        planner = self.planners[position] = PlannerRun(self, position)
        self.after(self.rng.randrange(STEP_US), lambda: self._step(planner))

    def kill(self, position: int, down_us: int) -> None:
        """SIGKILL, and a new life ``down_us`` later."""
        planner = self.planners[position]
        if planner.alive:
            planner.alive = False
            self.after(down_us, lambda: self.start_planner(position))

    def hand_over(self, position: int) -> None:
        """SIGTERM, and a new life at once, beside the one that ends."""
        old = self.planners[position]
        old.stopping_at = self.now
        old.feed(ev.ShutdownRequested(old.clock))
        self.after(STOP_US, lambda: setattr(old, "alive", False))
        self.start_planner(position)

    def _step(self, planner: PlannerRun) -> None:
        if not planner.alive:
            return
        planner.feed(ev.TimerDue())
        if not planner.stopping_at or self.now < planner.stopping_at + STOP_TASKS_US:
            planner.feed(*(ev.ClientMessage(CLIENT, self._set_up()) for _ in range(self.tasks)))
        self.after(STEP_US, lambda: self._step(planner))

    def _set_up(self) -> Message:
        number = next(self._tasks)
        extras = f"cores:0.01;memory:0.02;service:{number % 7:016x}"
        return set_up(number, left=str(TASK_WAIT_MS), extras=extras)

    # Machines and their list

    def machine_at(self, address: str) -> Machine:
        return self.machines[int(address.split(":")[0].rsplit(".", 1)[1])]

    def add_machine(self, number: int) -> None:
        self.machines[number] = Machine(number, f"zone-{number % 3}", MachineRun(self.now, True))
        self.publish(self.machines[number].row())

    def zone(self, name: str) -> list[Machine]:
        return [m for m in self.machines.values() if m.zone == name]

    def stop(self, *machines: Machine) -> None:
        """They vanish: connections stay open, and nothing is answered."""
        for machine in machines:
            machine.up = False

    def come_back(self, *machines: Machine) -> None:
        """Cold, under their old names; connections to what ran before end now."""
        for machine in machines:
            machine.up = True
            for planner in list(self.planners.values()):
                planner.reset(machine.run)
            machine.runs.append(MachineRun(self.now, True))
        self.publish(*(m.row() for m in machines))

    def publish(self, *rows: dict[str, Any]) -> None:
        self._changes += [(self.now, r) for r in rows]
        for position, delay in enumerate(self.list_delays):
            self.after(delay, lambda position=position: self._deliver(position, list(rows)))

    def _deliver(self, position: int, rows: list[dict[str, Any]]) -> None:
        if position in self.planners:
            self.planners[position].list_changed(rows)

    def listed_at(self, at: int) -> dict[str, dict[str, Any]]:
        return {entry["host"]: entry for when, entry in self._changes if when <= at}

    def receive(self, planner: PlannerRun, link: int, message: Message) -> None:
        """What a planner sends reaches the machine."""
        machine, run = planner.links[link]
        if not machine.up or machine.run is not run:
            return
        if message.kind is Kind.HEALTH_CHECK:
            run.probes += 1
            self._answer(planner, link, TRIP_US, Message(Kind.HEALTH_CHECK_RESULT, message.id, cause=1))
        elif message.kind is Kind.PLACE:
            run.requests.append(self.now)
            if planner.starts.get(machine.row()["host"]) == run.born_ms:
                run.informed.append(self.now)
            self._end_request(planner, link, message.id)

    def _end_request(self, planner: PlannerRun, link: int, task: str) -> None:
        takes, drawn = TRIP_US + self.rng.randrange(ANSWER_MOST_US), self.rng.random()
        if drawn < REFUSED:
            self._answer(planner, link, takes, Message(Kind.RELEASE, task, {"note": "nh"}, int(Cause.FULL)))
        elif drawn < REFUSED + FAILED:
            self._answer(planner, link, takes, Message(Kind.RELEASE, task, cause=int(Cause.ERROR)))
        elif drawn < REFUSED + FAILED + PLACED:
            self._answer(planner, link, takes, Message(Kind.ANSWER, task, body="stands"))
            self._answer(planner, link, takes + RUN_US, Message(Kind.RELEASE, task, cause=int(Cause.ENDED)))

    def _answer(self, planner: PlannerRun, link: int, takes: int, message: Message) -> None:
        def arrive() -> None:
            if link in planner.links and planner.links[link][0].up:
                planner.feed(ev.MachineMessage(link, message))

        self.after(takes, arrive)

    # What is judged

    def cold_runs(self) -> list[MachineRun]:
        return [run for machine in self.machines.values() for run in machine.runs if run.cold]

    def most_in_window(self, run: MachineRun, requests: list[int]) -> int:
        """The most requests within the rule's window while the machine is cold."""
        cold = [at for at in requests if at < run.born + self.settings.slow_start_us]
        ends = [bisect_left(cold, at + self.settings.overload_window_us) for at in cold]
        return max((end - first for first, end in enumerate(ends)), default=0)
