"""Dozens of planners that start together on a few cores are ready in time, with or without a node list."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from platform_standins import FakeClient, FakeMachine, FakeNodeListService, PlannerProcess

from stairplank.platform.messages import Kind, Message

PROCESSES = 24
CORES = 2
READY_S = 10.0
READY_SHARE = 0.9
READY_TIMEOUT_S = 15.0  # a process that is not ready by then counts as not ready
LISTED_MACHINES = 400
HEALTH_CHECK = Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0)


def unreachable_machine(number: int) -> dict[str, Any]:
    """Return the entry of a machine at an address where nothing listens."""
    return FakeMachine.row_of(f"s-{number:08x}", f"127.0.{1 + number // 250}.{1 + number % 250}:9")


@pytest.fixture
def services() -> Iterator[list[FakeNodeListService]]:
    """Three node list services: one works, one accepts connections and sends nothing, one is down."""
    rows = [unreachable_machine(number) for number in range(LISTED_MACHINES)]
    services = [FakeNodeListService(rows) for _ in range(3)]
    services[1].silent = set(range(100 * PROCESSES))
    services[2].close()
    yield services
    for service in services[:2]:
        service.close()


class Fleet:
    """Planner processes that are started together on a few cores.

    ``ready`` maps the number of a process to the seconds until it passed its first health check.
    """

    def __init__(self, folder: Path, services: list[FakeNodeListService], listen: list[str]) -> None:
        self.started_s = time.monotonic()
        self.ready: dict[int, float] = {}
        self.clients: list[FakeClient] = []
        self.processes: list[PlannerProcess] = []
        cores = set(sorted(os.sched_getaffinity(0))[:CORES])
        for number in range(PROCESSES):
            (folder / str(number)).mkdir(exist_ok=True)
            node_list_service, changes = services[number % len(services)], {"listen": listen[number]}
            process = PlannerProcess(folder / str(number), node_list_service, changes=changes, waits=False)
            os.sched_setaffinity(process.child.pid, cores)
            self.processes.append(process)
        threads = [
            threading.Thread(target=self._check_health, args=(n,), daemon=True) for n in range(PROCESSES)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(READY_TIMEOUT_S + 5.0)

    def _check_health(self, number: int) -> None:
        try:
            remaining_s = self.started_s + READY_TIMEOUT_S - time.monotonic()
            client = FakeClient(self.processes[number].wait_for_address(remaining_s))
            client.send(HEALTH_CHECK)
            replies = client.replies(
                HEALTH_CHECK.id, 1, max(0.1, self.started_s + READY_TIMEOUT_S - time.monotonic())
            )
        except (AssertionError, OSError):
            return
        self.clients.append(client)
        if [m.cause for m in replies] == [1]:
            self.ready[number] = time.monotonic() - self.started_s

    def kill(self) -> None:
        for process in self.processes:
            process.child.kill()
        for process in self.processes:
            process.close()


def assert_ready(fleet: Fleet) -> None:
    in_time = [seconds for seconds in fleet.ready.values() if seconds <= READY_S]
    assert len(in_time) >= READY_SHARE * PROCESSES, sorted(fleet.ready.values())


def test_nine_in_ten_processes_that_restart_together_are_ready_in_time(
    tmp_path: Path, services: list[FakeNodeListService]
) -> None:
    first = Fleet(tmp_path, services, ["127.0.0.1:0"] * PROCESSES)
    try:
        assert_ready(first)
        addresses = [process.wait_for_address() for process in first.processes]
    finally:
        first.kill()  # while clients are connected
    second = Fleet(tmp_path, services, addresses)
    try:
        assert_ready(second)
    finally:
        second.kill()


def test_the_service_loads_no_module_that_only_the_grpc_form_needs() -> None:
    """Every process of a restart loads each module on the same cores, which delays all of them."""
    code = "import sys, stairplank.platform.service; print(*sorted(sys.modules))"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    unneeded = {
        "stairplank.planner.events",
        "stairplank.planner.link_state",
        "stairplank.planner.node_links",
        "stairplank.planner.daemon",
        "h2",
        "google",
    }
    assert not unneeded & set(completed.stdout.split())
