"""A site on loopback: real planners with hollow workers, hollow planners, a node list and clients.

Real planners take the first positions of the group. To count the traffic of each planner, the platform form
gives every planner separate loopback addresses for its peers (``loopback``); in the gRPC form a planner
identifies itself to its peers.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .bounds import PLANNERS_PER_PROCESS, WORKERS_PER_PROCESS, parts
from .children import Child, Children, Commanded, ask_all
from .counts import Counts
from .forms import Form, served_at
from .interrupts import deferred
from .plan import Layout

START_TIMEOUT_S = 30.0
POLL_S = 0.02
LINKS_TIMEOUT_S, LINKS_POLL_S = 120.0, 0.5


@dataclass(slots=True)
class Snapshot:
    """The cumulative counts and current gauges of a site at one moment."""

    at: float
    workers: dict[int, Counts] = field(default_factory=dict)  # by position of the planner
    task_machines: dict[int, int] = field(default_factory=dict)
    node_list: dict[int, Counts] = field(default_factory=dict)
    clients: dict[int, Counts] = field(default_factory=dict)
    planner_cpu: list[float] = field(default_factory=list)  # processor seconds of each real planner
    planner_memory: list[float] = field(default_factory=list)
    list_cpu: float = 0.0
    held: int = 0  # tasks at workers, including copies that no client knows of
    running: int = 0  # running tasks as the clients count them
    waiting: int = 0
    placed: int = 0
    refused: int = 0


class Site:
    """A running site. The constructor starts all processes; ``end`` ends them."""

    def __init__(
        self, form: Form, workers: int, planners: int, real_planners: int, layout: Layout, folder: Path
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.form = form
        self.workers, self.planners, self.real_planners = workers, planners, real_planners
        self.layout = layout
        self.folder = folder
        self.children = Children(folder)
        self.rows: dict[str, dict[str, Any]] = {}
        self.real: list[Child] = []
        try:
            self._start()
        except BaseException:
            with deferred():
                self.end()
            raise

    def end(self) -> None:
        self.children.end_all()

    # Start

    def _start(self) -> None:
        self.list = self._hollow("list")
        self.worker_hosts = self._processes("workers", parts(self.workers, WORKERS_PER_PROCESS))
        self.planner_hosts = self._processes(
            "planners", parts(self.planners - self.real_planners, PLANNERS_PER_PROCESS)
        )
        self.clients = self._hollow("clients")
        self.list_port: int = self.list.ask("start")
        self._start_workers()
        self.list.ask("publish", rows=list(self.rows.values()))
        self.files = [self._planner_file(position) for position in range(self.planners)]
        addresses = self._start_planners()
        self.clients.ask("start", planners=addresses)
        if self.form.keeps_links:
            self._wait_for_links()

    def _hollow(self, role: str, number: int = 0) -> Commanded:
        return self.children.hollow(self.form.name, role, number)

    def _processes(self, role: str, count: int) -> list[Commanded]:
        return [self._hollow(role, number) for number in range(count)]

    def _start_workers(self) -> None:
        first = 0
        for number, host in enumerate(self.worker_hosts):
            count = (self.workers - first) // (len(self.worker_hosts) - number)
            zones, rack_size = self.layout.zones, self.layout.rack_size
            host.send("start", first=first, count=count, zones=zones, rack_size=rack_size)
            first += count
        for host in self.worker_hosts:
            self.rows |= {row["host"]: row for row in host.receive()}

    def _planner_file(self, position: int) -> Path:
        return self.form.write_planner_file(self.folder, position, self.planners, self.list_port, self.layout)

    def _start_planners(self) -> list[str]:
        """Start all planners; return their addresses in the order of their positions."""
        self.real = [self._start_real(position) for position in range(self.real_planners)]
        hollow = [str(path) for path in self.files[self.real_planners :]]
        count = len(self.planner_hosts)
        for number, host in enumerate(self.planner_hosts):
            host.send("start", files=hollow[number::count])
        addresses = [self.address_of(child) for child in self.real] + [""] * len(hollow)
        for number, host in enumerate(self.planner_hosts):
            addresses[self.real_planners + number :: count] = host.receive()
        return addresses

    def _start_real(self, position: int) -> Child:
        arguments, environment = self.form.command(self.files[position])
        return self.children.plain(f"planner-{position}", arguments, environment)

    def _served_at(self, child: Child) -> str:
        return served_at(self.form, child.log)

    def address_of(self, child: Child) -> str:
        """Wait until a real planner serves and return its address."""
        address: str = wait_for(lambda: self._served_at(child), START_TIMEOUT_S, child)
        return address

    def _wait_for_links(self) -> None:
        """Wait until every planner has a connection to every worker."""
        wanted = self.workers * self.planners
        deadline = time.monotonic() + LINKS_TIMEOUT_S
        while sum(answer["open"] for answer in ask_all(self.worker_hosts, "snapshot")) < wanted:
            if time.monotonic() > deadline:
                raise self.worker_hosts[0].failure("not every planner is connected to every worker")
            time.sleep(LINKS_POLL_S)

    def restart_planners(self, positions: list[int]) -> list[float]:
        """Kill and restart these real planners; return the seconds until each one served.

        A planner that does not serve before the timeout is left out.
        """
        for position in positions:
            self.children.end(self.real[position])
        began = time.monotonic()
        for position in positions:
            self.real[position] = self._start_real(position)
        pending, ready = dict.fromkeys(positions, ""), {}
        while pending and time.monotonic() < began + START_TIMEOUT_S:
            for position in list(pending):
                address = self._served_at(self.real[position])
                if address:
                    ready[position] = time.monotonic() - began
                    del pending[position]
                    self.clients.ask("move", planner=position, where=address)
            time.sleep(POLL_S)
        return [ready[position] for position in positions if position in ready]

    # Load

    def place(self, running: int, life_s: float) -> None:
        self.clients.ask("place", running=running, life_s=life_s)

    def generate(self, per_s: float, life_s: float) -> None:
        self.clients.ask("generate", per_s=per_s, life_s=life_s)

    def change_list(self, per_s: float, seconds: float) -> None:
        self.list.ask("change", per_s=per_s, seconds=seconds)

    # Faults

    def crash(self, workers: list[str]) -> None:
        ask_all(self.worker_hosts, "crash", names=workers)

    def start_again(self, workers: list[str]) -> None:
        """Restart the workers without their tasks and publish their new list entries."""
        rows = [row for answer in ask_all(self.worker_hosts, "start_again", names=workers) for row in answer]
        self.list.ask("publish", rows=rows)

    def fall_silent(self, workers: list[str]) -> None:
        ask_all(self.worker_hosts, "fall_silent", names=workers)

    def speak_again(self, workers: list[str]) -> None:
        ask_all(self.worker_hosts, "speak_again", names=workers)

    def delist(self, workers: list[str]) -> None:
        """Publish list entries that mark the workers as deleted."""
        self.list.ask("publish", rows=[self.rows[name] | {"health": "DELETED"} for name in workers])

    def move_list(self) -> float:
        """Switch every real planner to another node list; return the seconds until all of them watch it."""
        moved = self._hollow("list", 1)
        port = moved.ask("start")
        moved.ask("publish", rows=list(self.rows.values()))
        began = time.monotonic()
        self.list_port = port
        for position, child in enumerate(self.real):
            self._planner_file(position)
            child.process.send_signal(signal.SIGHUP)
        deadline = began + START_TIMEOUT_S
        while len(moved.ask("snapshot")["traffic"]) < len(self.real):
            if time.monotonic() > deadline:
                raise moved.failure("is not watched by every planner")
            time.sleep(POLL_S)
        return time.monotonic() - began

    # Figures

    def snapshot(self) -> Snapshot:
        commanded = [*self.worker_hosts, self.list, self.clients]
        for child in commanded:
            child.send("snapshot")
        *workers, node_list, clients = [child.receive() for child in commanded]
        taken = Snapshot(time.monotonic())
        taken.planner_cpu = [child.cpu_seconds() for child in self.real]
        taken.planner_memory = [child.memory_mb() for child in self.real]
        taken.list_cpu = self.list.cpu_seconds()
        for answer in workers:
            _add_counts(taken.workers, answer["traffic"])
            taken.held += answer["tasks"]
            for planner, machines in answer["task_machines"].items():
                taken.task_machines[int(planner)] = taken.task_machines.get(int(planner), 0) + machines
        _add_counts(taken.node_list, node_list["traffic"])
        _add_counts(taken.clients, clients["traffic"])
        for name in ("running", "waiting", "placed", "refused"):
            setattr(taken, name, clients[name])
        return taken


def _add_counts(into: dict[int, Counts], traffic: dict[str, dict[str, Any]]) -> None:
    for planner, values in traffic.items():
        into[int(planner)] = into.get(int(planner), Counts()).plus(Counts(**values))


def wait_for(read_value: Callable[[], Any], timeout_s: float, child: Child) -> Any:
    """Poll until the value is true and return it. Raises ChildError if the child ends or the time is up."""
    deadline = time.monotonic() + timeout_s
    while not (value := read_value()):
        if child.process.poll() is not None:
            raise child.failure("has ended")
        if time.monotonic() > deadline:
            raise child.failure("is not ready")
        time.sleep(POLL_S)
    return value
