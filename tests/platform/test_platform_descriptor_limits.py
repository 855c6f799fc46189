"""Idle clients may fill the descriptors while the node list service is down: the planner's own connections
still come up. The real process, with a small limit on its open files."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from platform_standins import (
    FakeClient,
    FakeMachine,
    FakeNodeListService,
    PlannerProcess,
    delayed,
    wait_until,
)

from stairplank.platform import descriptors
from stairplank.platform.messages import Kind, Message

FILES_LIMIT = 48
CLIENTS = 2 * FILES_LIMIT
MACHINES = 16  # two connections to each are more than half of the descriptors
TASKS = 64
BACK_WITHIN_S = 5.0  # the watch dials at least each half second, and a dial may take 1.5 s

Start = Callable[..., tuple[PlannerProcess, FakeNodeListService, list[FakeMachine], threading.Event]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    made: list[PlannerProcess | FakeMachine | FakeNodeListService] = []

    def starts(
        sockets: int,
    ) -> tuple[PlannerProcess, FakeNodeListService, list[FakeMachine], threading.Event]:
        gate = threading.Event()
        fleet = [FakeMachine(f"s-{n:08x}", delayed(gate, Kind.ANSWER)) for n in range(1, MACHINES + 1)]
        node_list_service = FakeNodeListService([m.row() for m in fleet])
        process = PlannerProcess(tmp_path, node_list_service, sockets, FILES_LIMIT)
        made.extend([process, node_list_service, *fleet])
        return process, node_list_service, fleet, gate

    yield starts
    for thing in made:
        if isinstance(thing, PlannerProcess):
            thing.close()
        else:
            thing.close()


def fill(where: str, count: int) -> list[FakeClient]:
    """Clients that pass a test, so that they are not taken for silent ones, and then do nothing."""
    clients = []
    for number in range(1, count + 1):
        client = FakeClient(where)
        try:
            client.send(Message(Kind.HEALTH_CHECK, f"{number:016x}", cause=0))
        except OSError:
            pass  # rejected
        clients.append(client)
    return clients


def ask(client: FakeClient, number: int) -> str:
    return client.request_placement(number, extras=f"cores:0.1;memory:0.1;service:{number:016x}")


@pytest.mark.parametrize("sockets", [FILES_LIMIT, 4 * FILES_LIMIT], ids=["settings", "process"])
def test_idle_clients_leave_descriptors_for_the_planners_own_connections(start: Start, sockets: int) -> None:
    """The limit of the settings and that of the process: the lower one holds."""
    process, node_list_service, fleet, gate = start(sockets)
    wait_until(lambda: node_list_service.watches)
    node_list_service.resets.set()
    idle = fill(process.address, CLIENTS)
    client = FakeClient(process.address, "127.0.0.9")
    ids = [ask(client, number) for number in range(1, TASKS + 1)]  # as many connections to machines as may be
    wait_until(lambda: len({m.id for machine in fleet for m in machine.placement_requests()}) == TASKS)
    # The watch dials on while the service is away, and something is left for it.
    dialled, most = node_list_service.connection_count, 0
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        most = max(most, process.descriptors())
        time.sleep(0.005)
    assert node_list_service.connection_count > dialled
    assert most < FILES_LIMIT - 1
    still_open = sum(1 for one in idle if not one.closed_within(0.01))
    assert FILES_LIMIT // 4 <= still_open <= FILES_LIMIT // 2  # the rest has been rejected
    node_list_service.resets.clear()
    seen = len(node_list_service.watches)
    wait_until(lambda: len(node_list_service.watches) > seen, BACK_WITHIN_S)
    gate.set()
    assert [[m.kind for m in client.replies(id)] for id in ids] == [[Kind.ANSWER]] * TASKS
    # A notice that only the new watch can bring is followed, and a task is placed.
    node_list_service.publish(*[m.row("DRAINING") for m in fleet[1:]])
    wait_until(lambda: node_list_service.last_sent == len(node_list_service.lines))
    time.sleep(0.25)  # the grace that drains have
    last = ask(client, TASKS + 1)
    assert [m.kind for m in client.replies(last)] == [Kind.ANSWER]
    assert last in [m.id for m in fleet[0].placement_requests()]


def test_the_share_of_connections_leaves_the_process_its_own() -> None:
    for configured, limit in (
        (256, None),
        (256, 1024),
        (1024, 256),
        (64, 64),
        (256, 48),
        (40, 4096),
        (1024, 32),
    ):
        most = min(configured, limit or configured)
        sockets = descriptors.usable_descriptors(configured, limit)
        assert sockets <= most and sockets * 2 // 5 + sockets // 2 + descriptors.RESERVED_DESCRIPTORS <= most
    assert descriptors.usable_descriptors(256, None) == 256  # a tenth is enough: nothing is taken away
    assert descriptors.usable_descriptors(0, None) == descriptors.MIN_DESCRIPTORS
