"""Many planner cores that send requests to cold machines, in simulated time.

Each planner is a ``Core`` with its own clock, its own delay of the node list and its own connections. A
machine counts all requests that reach it between two starts, from any planner and with any result: rejected,
repeated and unanswered requests too. Health checks are counted separately, because the cold-node rule counts
only requests. All random values come from one seed, so that a run always gives the same counts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from core_harness import FIELDS, SECOND, machine_row, node_list_message, placement_request
from helpers import SETTINGS

from stairplank.platform import events as ev
from stairplank.platform.core import Core
from stairplank.platform.messages import Cause, Kind, Message
from stairplank.platform.node_list import NodeList

MS = 1_000
UNIX_US = 1_700_000_000 * SECOND  # Unix time at simulated time 0
LONG_AGO = -1_000 * SECOND
TRIP_US = 2 * MS  # one-way latency between a planner and a machine
STEP_US = 80 * MS  # interval at which a planner handles its timers and gets new tasks
TASK_DEADLINE_MS = 2_500
RUN_US = 100 * MS  # how long a placed task runs
MAX_ANSWER_US = 40 * MS  # the longest time that a machine takes to answer a request
REJECTED, FAILED, PLACED = (
    0.5,
    0.05,
    0.42,
)  # shares of requests by result; the remaining requests stay unanswered
CLIENT = 1  # the number of the connection of a planner's only client
STOP_US = 3_700 * MS  # time from SIGTERM to SIGKILL
STOP_TASKS_US = 600 * MS  # time from SIGTERM until clients stop sending tasks


@dataclass
class MachineRun:
    """A machine's process between two starts, with the times of the requests that it received.

    ``informed``: the times of requests from planners whose node list showed this start.
    """

    started_at: int
    is_cold: bool
    requests: list[int] = field(default_factory=list)
    informed: list[int] = field(default_factory=list)
    probes: int = 0

    @property
    def started_ms(self) -> int:
        return (UNIX_US + self.started_at) // 1000 if self.is_cold else 0


class Machine:
    def __init__(self, number: int, zone: str, run: MachineRun) -> None:
        self.number, self.zone = number, zone
        self.runs = [run]
        self.up = True

    @property
    def run(self) -> MachineRun:
        return self.runs[-1]

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        return machine_row(
            self.number, health, site=self.zone, born_ms=self.run.started_ms, block=self.number
        )


class PlannerRun:
    """A planner's process between two starts: a core and its open connections."""

    def __init__(self, fleet: Fleet, position: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(fleet.rng.randrange(2**32))
        self.clock_offset = self.rng.randrange(10 * SECOND, 10_000 * SECOND)
        self.skew = self.rng.randrange(-fleet.skew_us, fleet.skew_us + 1)
        settings = replace(fleet.settings, position=position)
        self.core = Core(settings, FIELDS, position, 1024, fleet.dial_timeout_us)
        self.node_list = NodeList(("zone-0", "zone-1", "zone-2"), ("std",), self._clocks)
        self.is_running = True
        self.stopping_at = 0
        self.revision = 0
        self.starts: dict[str, int] = {}  # start times by machine name, as last listed
        self.links: dict[int, tuple[Machine, MachineRun]] = {}
        self.listed = fleet.listed_at(fleet.now - fleet.list_delays[position])
        first = self._update([r for r in self.listed.values() if r["health"] != "DELETED"], whole=True)
        self._carry_out(self.core.start(self.clock, [first]))
        self.feed(ev.ClientConnected(CLIENT, "127.8.240.2"))

    @property
    def clock(self) -> int:
        return self.fleet.now + self.clock_offset

    def feed(self, *events: ev.Event) -> None:
        if self.is_running:
            self._carry_out(self.core.handle(self.clock, events))

    def list_changed(self, rows: list[dict[str, Any]]) -> None:
        """Feed changed entries, except entries that the list had when this planner started."""
        rows = [r for r in rows if self.listed.get(r["host"]) is not r]
        if self.is_running and rows:
            self.feed(ev.NodeListUpdated(self._update(rows)))

    def reset(self, run: MachineRun) -> None:
        """Report all connections to a machine's process as lost, because that process has ended."""
        for link, (_, other) in list(self.links.items()):
            if other is run:
                del self.links[link]
                self.feed(ev.LinkLost(link, frozenset()))

    def _clocks(self) -> tuple[int, int]:
        return UNIX_US + self.fleet.now + self.skew, self.clock

    def _update(self, rows: list[dict[str, Any]], whole: bool = False) -> Any:
        self.revision += 1
        self.starts |= {r["host"]: r["born_ms"] for r in rows}
        return self.node_list.apply(node_list_message(self.revision, *rows, whole=whole))[0]

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
        """Dial a machine: a random time later it connects, or it fails after the time-out if it is down."""
        dial_us = TRIP_US + self.rng.randrange(self.fleet.dial_us)
        timeout_us = self.fleet.dial_timeout_us
        connects, run = machine.up and dial_us < timeout_us, machine.run

        def finish_dial() -> None:
            if connects and machine.up and machine.run is run:
                self.links[link] = (machine, run)
                self.feed(ev.LinkUp(link))
            else:
                self.feed(ev.LinkFailed(link, refused=False))

        self.fleet.after(dial_us if connects else timeout_us, finish_dial)


class Fleet:
    """Planners and machines in simulated time; ``running`` of the ``planners`` in the settings run.

    The node list reaches each planner after a random delay within ``list_delay_us``. Its connections come up
    within ``dial_us``, and its Unix clock is wrong by up to ``skew_us``. Each planner gets ``tasks`` new
    tasks in every step.
    """

    def __init__(
        self,
        seed: int,
        *,
        planners: int,
        running: int | None = None,
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
        for position in self.rng.sample(range(planners), running or planners):
            self.start_planner(position)

    # Time

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay_us, next(self._order), call))

    def run(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    # Planners

    def start_planner(self, position: int) -> None:
        planner = self.planners[position] = PlannerRun(self, position)
        self.after(self.rng.randrange(STEP_US), lambda: self._step(planner))

    def kill(self, position: int, down_us: int) -> None:
        """Kill a planner as by SIGKILL, and start it again ``down_us`` later."""
        planner = self.planners[position]
        if planner.is_running:
            planner.is_running = False
            self.after(down_us, lambda: self.start_planner(position))

    def restart(self, position: int) -> None:
        """Stop a planner as by SIGTERM, and start its successor at once, while the old process still runs."""
        old = self.planners[position]
        old.stopping_at = self.now
        old.feed(ev.ShutdownRequested(old.clock))
        self.after(STOP_US, lambda: setattr(old, "is_running", False))
        self.start_planner(position)

    def _step(self, planner: PlannerRun) -> None:
        if not planner.is_running:
            return
        planner.feed(ev.TimerDue())
        if not planner.stopping_at or self.now < planner.stopping_at + STOP_TASKS_US:
            planner.feed(*(ev.ClientMessage(CLIENT, self._placement_request()) for _ in range(self.tasks)))
        self.after(STEP_US, lambda: self._step(planner))

    def _placement_request(self) -> Message:
        number = next(self._tasks)
        extras = f"cores:0.01;memory:0.02;service:{number % 7:016x}"
        return placement_request(number, left=str(TASK_DEADLINE_MS), extras=extras)

    # Machines and the node list

    def machine_at(self, address: str) -> Machine:
        return self.machines[int(address.split(":")[0].rsplit(".", 1)[1])]

    def add_machine(self, number: int) -> None:
        self.machines[number] = Machine(number, f"zone-{number % 3}", MachineRun(self.now, True))
        self.publish(self.machines[number].row())

    def zone(self, name: str) -> list[Machine]:
        return [m for m in self.machines.values() if m.zone == name]

    def stop(self, *machines: Machine) -> None:
        """Make machines vanish: their connections stay open and no message is answered."""
        for machine in machines:
            machine.up = False

    def come_back(self, *machines: Machine) -> None:
        """Restart machines cold under their old names; connections to their old processes are lost now."""
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
        """Have a machine receive and answer a message of a planner, if the machine is up."""
        machine, run = planner.links[link]
        if not machine.up or machine.run is not run:
            return
        if message.kind is Kind.HEALTH_CHECK:
            run.probes += 1
            self._answer(planner, link, TRIP_US, Message(Kind.HEALTH_CHECK_RESULT, message.id, cause=1))
        elif message.kind is Kind.PLACE:
            run.requests.append(self.now)
            if planner.starts.get(machine.row()["host"]) == run.started_ms:
                run.informed.append(self.now)
            self._end_request(planner, link, message.id)

    def _end_request(self, planner: PlannerRun, link: int, task: str) -> None:
        answer_us, random_share = TRIP_US + self.rng.randrange(MAX_ANSWER_US), self.rng.random()
        if random_share < REJECTED:
            self._answer(
                planner, link, answer_us, Message(Kind.RELEASE, task, {"note": "nh"}, int(Cause.FULL))
            )
        elif random_share < REJECTED + FAILED:
            self._answer(planner, link, answer_us, Message(Kind.RELEASE, task, cause=int(Cause.ERROR)))
        elif random_share < REJECTED + FAILED + PLACED:
            self._answer(planner, link, answer_us, Message(Kind.ANSWER, task, body="stands"))
            self._answer(
                planner, link, answer_us + RUN_US, Message(Kind.RELEASE, task, cause=int(Cause.ENDED))
            )

    def _answer(self, planner: PlannerRun, link: int, delay_us: int, message: Message) -> None:
        def deliver() -> None:
            if link in planner.links and planner.links[link][0].up:
                planner.feed(ev.MachineMessage(link, message))

        self.after(delay_us, deliver)

    # Results

    def cold_runs(self) -> list[MachineRun]:
        return [run for machine in self.machines.values() for run in machine.runs if run.is_cold]

    def max_in_window(self, run: MachineRun, requests: list[int]) -> int:
        """Return the largest number of requests in one window of the rule while the machine is cold."""
        cold = [at for at in requests if at < run.started_at + self.settings.slow_start_us]
        ends = [bisect_left(cold, at + self.settings.overload_window_us) for at in cold]
        return max((end - first for first, end in enumerate(ends)), default=0)
