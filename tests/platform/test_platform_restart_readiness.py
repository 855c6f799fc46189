"""Dozens of processes that start at once on few cores are ready in time, also without a node list service."""

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
GIVEN_UP_S = 15.0  # a process that is not ready by then has failed its test
LISTED = 400  # machines of the node list
TEST = Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0)


def listed(number: int) -> dict[str, Any]:
    """A machine at an address where nobody listens."""
    return FakeMachine.row_of(f"s-{number:08x}", f"127.0.{1 + number // 250}.{1 + number % 250}:9")


@pytest.fixture
def services() -> Iterator[list[FakeNodeListService]]:
    """Node list services: one that works, one that accepts and sends nothing, one that is down."""
    rows = [listed(number) for number in range(LISTED)]
    made = [FakeNodeListService(rows) for _ in range(3)]
    made[1].silent = set(range(100 * PROCESSES))
    made[2].close()
    yield made
    for one in made[:2]:
        one.close()


class Fleet:
    """Processes that are started at once on a few cores; ``ready`` has how long each took to pass its first
    test, in seconds."""

    def __init__(self, folder: Path, services: list[FakeNodeListService], listen: list[str]) -> None:
        self.began = time.monotonic()
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
        threads = [threading.Thread(target=self._test, args=(n,), daemon=True) for n in range(PROCESSES)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(GIVEN_UP_S + 5.0)

    def _test(self, number: int) -> None:
        try:
            left = self.began + GIVEN_UP_S - time.monotonic()
            client = FakeClient(self.processes[number].wait_for_address(left))
            client.send(TEST)
            replies = client.replies(TEST.id, 1, max(0.1, self.began + GIVEN_UP_S - time.monotonic()))
        except (AssertionError, OSError):
            return
        self.clients.append(client)
        if [m.cause for m in replies] == [1]:
            self.ready[number] = time.monotonic() - self.began

    def kill(self) -> None:
        for process in self.processes:
            process.child.kill()
        for process in self.processes:
            process.close()


def assert_ready(fleet: Fleet) -> None:
    in_time = [took for took in fleet.ready.values() if took <= READY_S]
    assert len(in_time) >= READY_SHARE * PROCESSES, sorted(fleet.ready.values())


def test_nine_in_ten_of_the_processes_that_restart_at_once_are_ready_in_time(
    tmp_path: Path, services: list[FakeNodeListService]
) -> None:
    first = Fleet(tmp_path, services, ["127.0.0.1:0"] * PROCESSES)
    try:
        assert_ready(first)
        addresses = [process.wait_for_address() for process in first.processes]
    finally:
        first.kill()  # with clients connected
    second = Fleet(tmp_path, services, addresses)
    try:
        assert_ready(second)
    finally:
        second.kill()


def test_a_start_loads_no_module_that_only_other_front_ends_need() -> None:
    """Each costs its time once for every process of a restart, on the same cores."""
    code = "import sys, stairplank.platform.service; print(*sorted(sys.modules))"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    needless = {
        "stairplank.planner.events",
        "stairplank.planner.link_state",
        "stairplank.planner.node_links",
        "stairplank.planner.daemon",
        "h2",
        "google",
    }
    assert not needless & set(run.stdout.split())
