"""The planner's own connections come up although idle clients use all descriptors that clients may use.

The tests run the real process with a low limit on open files, while the node list service is down.
"""

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
MACHINES = 16  # with two connections to each, they would need more than half of the descriptors
TASKS = 64
RECONNECT_TIMEOUT_S = 5.0  # the watch dials at least every 0.5 s, and a dial may take 1.5 s

Start = Callable[..., tuple[PlannerProcess, FakeNodeListService, list[FakeMachine], threading.Event]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    started: list[PlannerProcess | FakeMachine | FakeNodeListService] = []

    def start_process(
        sockets: int,
    ) -> tuple[PlannerProcess, FakeNodeListService, list[FakeMachine], threading.Event]:
        gate = threading.Event()
        fleet = [FakeMachine(f"s-{n:08x}", delayed(gate, Kind.ANSWER)) for n in range(1, MACHINES + 1)]
        node_list_service = FakeNodeListService([m.row() for m in fleet])
        process = PlannerProcess(tmp_path, node_list_service, sockets, FILES_LIMIT)
        started.extend([process, node_list_service, *fleet])
        return process, node_list_service, fleet, gate

    yield start_process
    for component in started:
        if isinstance(component, PlannerProcess):
            component.close()
        else:
            component.close()


def connect_idle_clients(address: str, count: int) -> list[FakeClient]:
    """Connect clients that send one health check and then nothing, and return them.

    Without the health check, the planner would close them as silent clients.
    """
    clients = []
    for number in range(1, count + 1):
        client = FakeClient(address)
        try:
            client.send(Message(Kind.HEALTH_CHECK, f"{number:016x}", cause=0))
        except OSError:
            pass  # the planner rejected the connection
        clients.append(client)
    return clients


def request_small_placement(client: FakeClient, number: int) -> str:
    return client.request_placement(number, extras=f"cores:0.1;memory:0.1;service:{number:016x}")


@pytest.mark.parametrize("sockets", [FILES_LIMIT, 4 * FILES_LIMIT], ids=["settings", "process"])
def test_idle_clients_leave_descriptors_for_the_planners_own_connections(start: Start, sockets: int) -> None:
    """The lower of the configured limit and the limit of the process applies."""
    process, node_list_service, fleet, gate = start(sockets)
    wait_until(lambda: node_list_service.watches)
    node_list_service.resets.set()
    idle = connect_idle_clients(process.address, CLIENTS)
    client = FakeClient(process.address, "127.0.0.9")
    # So many tasks that the planner dials as many connections to machines as it may have.
    ids = [request_small_placement(client, number) for number in range(1, TASKS + 1)]
    wait_until(lambda: len({m.id for machine in fleet for m in machine.placement_requests()}) == TASKS)
    # While the node list service is down, the watch keeps dialling, with a descriptor that is left for it.
    previous_dials, max_descriptors = node_list_service.connection_count, 0
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        max_descriptors = max(max_descriptors, process.descriptors())
        time.sleep(0.005)
    assert node_list_service.connection_count > previous_dials
    assert max_descriptors < FILES_LIMIT - 1
    still_open = sum(1 for idle_client in idle if not idle_client.closed_within(0.01))
    assert FILES_LIMIT // 4 <= still_open <= FILES_LIMIT // 2  # the other clients were rejected
    node_list_service.resets.clear()
    previous_watches = len(node_list_service.watches)
    wait_until(lambda: len(node_list_service.watches) > previous_watches, RECONNECT_TIMEOUT_S)
    gate.set()
    assert [[m.kind for m in client.replies(id)] for id in ids] == [[Kind.ANSWER]] * TASKS
    # The planner applies a list update that only the new watch can deliver, and still places a task.
    node_list_service.publish(*[m.row("DRAINING") for m in fleet[1:]])
    wait_until(lambda: node_list_service.last_sent == len(node_list_service.lines))
    time.sleep(0.25)  # the grace period of a drain
    last = request_small_placement(client, TASKS + 1)
    assert [m.kind for m in client.replies(last)] == [Kind.ANSWER]
    assert last in [m.id for m in fleet[0].placement_requests()]


def test_the_share_of_connections_leaves_the_reserved_descriptors_to_the_process() -> None:
    for configured, limit in (
        (256, None),
        (256, 1024),
        (1024, 256),
        (64, 64),
        (256, 48),
        (40, 4096),
        (1024, 32),
    ):
        available = min(configured, limit or configured)
        sockets = descriptors.usable_descriptors(configured, limit)
        assert (
            sockets <= available
            and sockets * 2 // 5 + sockets // 2 + descriptors.RESERVED_DESCRIPTORS <= available
        )
    # A tenth of 256 exceeds the reserved descriptors, so nothing is subtracted.
    assert descriptors.usable_descriptors(256, None) == 256
    assert descriptors.usable_descriptors(0, None) == descriptors.MIN_DESCRIPTORS
