"""A release on a connection that its machine has forgotten still ends the task, over real connections."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from platform_config import CONFIG
from platform_standins import (
    FakeClient,
    FakeMachine,
    FakeNodeListService,
    LiveService,
    MakeService,
    PlannerProcess,
    live_services,
    wait_until,
)

from stairplank.platform.messages import Cause, Kind, Message

EXTRAS = "cores:1;memory:2;service:00000000b4d65521"
ONE_TASK_PER_MACHINE = {"class_most": [1, 3], "spread_by": ["machine", "cell"]}
# The confirmation, the health check and the dial may all time out before the release is sent again.
RELEASE_DUE_S = 3.0


@pytest.fixture
def make_service(tmp_path: Path) -> Iterator[MakeService]:
    yield from live_services(tmp_path)


def forget_connections(machine: FakeMachine, how: str) -> None:
    """Forget all connections: what arrives on one is answered by a reset, or discarded without a reply."""
    {"reset": machine.forgotten, "silent": machine.deaf}[how].update(machine.connections)


def cancel(client: FakeClient, id: str) -> None:
    client.send(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))


def settings_with_spread() -> dict[str, Any]:
    """Return settings in which a machine may have at most one task of a service of the class ``worker``."""
    settings: dict[str, Any] = CONFIG["settings"]
    return settings | {"family_info": settings["family_info"] | ONE_TASK_PER_MACHINE}


def place(service: LiveService, client: FakeClient, number: int) -> tuple[str, FakeMachine]:
    """Place a task of the service; return its id and its machine."""
    id = service.run_in_thread(client.request_placement, number, extras=EXTRAS)
    assert [m.kind for m in service.run_in_thread(client.replies, id)] == [Kind.ANSWER]
    return id, next(m for m in service.machines if id in m.running)


@pytest.mark.parametrize("how", ["reset", "silent"])
def test_a_cancelled_task_is_ended_although_its_machine_has_forgotten_the_connection(
    make_service: MakeService, how: str
) -> None:
    """The release was written on the forgotten connection and never sent again; the task ran on."""
    service = make_service()
    client = service.connect_client()
    id, machine = place(service, client, 1)
    forget_connections(machine, how)
    service.run_in_thread(cancel, client, id)
    service.wait_until(lambda: machine.releases_of(id), RELEASE_DUE_S)
    service.wait_until(lambda: not service.service.core.links.releases.orders)
    assert len(machine.releases_of(id)) == 1


@pytest.mark.parametrize("how", ["reset", "silent"])
def test_no_second_task_of_a_service_joins_one_whose_release_is_not_confirmed(
    make_service: MakeService, how: str
) -> None:
    """The module counted the cancelled task as ended at once, so the next one joined it on its machine."""
    service = make_service(machines=2, changes={"settings": settings_with_spread()})
    client = service.connect_client()
    id, machine = place(service, client, 1)
    place(service, client, 2)
    forget_connections(machine, how)
    service.run_in_thread(cancel, client, id)
    _, third_machine = place(service, client, 3)
    assert third_machine is machine
    kinds = [m.kind for _, m in machine.received if m.kind in (Kind.PLACE, Kind.RELEASE)]
    assert kinds == [Kind.PLACE, Kind.RELEASE, Kind.PLACE]


def test_a_planner_that_shuts_down_waits_until_a_release_is_confirmed(tmp_path: Path) -> None:
    """The release was lost with the forgotten connection, and the process ended without sending it again."""
    machine = FakeMachine("s-00000001")
    node_list_service = FakeNodeListService([machine.row()])
    process = PlannerProcess(tmp_path, node_list_service)
    try:
        client = FakeClient(process.address)
        id = client.request_placement(1)
        assert [m.kind for m in client.replies(id)] == [Kind.ANSWER]
        process.child.send_signal(signal.SIGTERM)
        time.sleep(0.6)  # requests are accepted until 0.7 s after SIGTERM; then the process may end
        forget_connections(machine, "reset")
        cancel(client, id)
        assert process.child.wait(20) == 0
        wait_until(lambda: machine.releases_of(id), RELEASE_DUE_S)
    finally:
        for part in (process, node_list_service, machine):
            part.close()
