"""The real process on loopback against stand-ins with faults, checked by the messages on its sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from platform_config import CONFIG
from platform_standins import (
    FakeClient,
    FakeMachine,
    FakeNodeListService,
    PlannerProcess,
    reset,
    running_answer,
    wait_until,
)

from stairplank.platform import binary, jsonlines, shutdown
from stairplank.platform.messages import Cause, Kind, Message

StartPlanner = Callable[..., tuple[PlannerProcess, FakeNodeListService, list[FakeMachine]]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[StartPlanner]:
    started: list[PlannerProcess | FakeMachine | FakeNodeListService] = []

    def start_planner(
        machines: int = 2, fault: Callable[[socket.socket, Message], bool] | None = None, sockets: int = 256
    ) -> tuple[PlannerProcess, FakeNodeListService, list[FakeMachine]]:
        fleet = [FakeMachine(f"s-{n:08x}", fault) for n in range(1, machines + 1)]
        node_list_service = FakeNodeListService([m.row() for m in fleet])
        process = PlannerProcess(tmp_path, node_list_service, sockets)
        started.extend([process, node_list_service, *fleet])
        return process, node_list_service, fleet

    yield start_planner
    for part in started:
        if isinstance(part, PlannerProcess):
            part.close()
        else:
            part.close()


def kinds_and_causes(messages: list[Message]) -> list[tuple[Kind, int | None]]:
    return [(m.kind, m.cause) for m in messages]


def test_a_planner_answers_a_health_check_places_tasks_forwards_an_end_and_shuts_down(
    start: StartPlanner,
) -> None:
    process, _, fleet = start()
    client = FakeClient(process.address)
    client.send(Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert client.replies(f"{1:016x}")[0].cause == 1
    ids = [client.request_placement(n, ("worker", "ingest")[n % 2]) for n in range(10, 20)]
    for id in ids:
        (message,) = client.replies(id)
        assert (message.kind, message.body) == (Kind.ANSWER, "stands " + id)
    first = next(m for f in fleet for m in f.placement_requests() if m.id == ids[1])
    assert first.body == "body 11" and first.fields["idem"] == f"{11:032x}"
    assert 5_000 < int(first.fields["left"]) <= 6_000
    holder = next(f for f in fleet if any(m.id == ids[0] for m in f.placement_requests()))
    holder.send(holder.connections[-1], Message(Kind.RELEASE, ids[0], cause=int(Cause.ENDED)))
    assert kinds_and_causes(client.replies(ids[0], 2))[1] == (Kind.RELEASE, Cause.ENDED)
    process.child.send_signal(signal.SIGTERM)
    late = client.request_placement(50)  # requests are still accepted shortly after SIGTERM
    assert client.replies(late)[0].kind is Kind.ANSWER
    assert process.child.wait(20) == 0
    releases = [m for f in fleet for _, m in f.received if m.kind is Kind.RELEASE]
    assert releases == []  # running tasks go on after the shutdown


def send_malformed_line_and_answer(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b"\x00\xff}{\n" + jsonlines.encode(running_answer(message)))
    return True


def send_too_long_line(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b'{"kind":"running","uid":"' + b"x" * 40_000)
    return True


def send_part_of_answer(sock: socket.socket, message: Message) -> bool:
    sock.sendall(jsonlines.encode(running_answer(message))[:-9])
    return True


def reset_connection(sock: socket.socket, message: Message) -> bool:
    reset(sock)
    return True


@pytest.mark.parametrize(
    "fault", [send_malformed_line_and_answer, send_too_long_line, send_part_of_answer, reset_connection]
)
def test_a_malformed_answer_fails_the_task_and_is_not_taken_for_proof_that_it_did_not_run(
    start: StartPlanner, fault: Callable[[socket.socket, Message], bool]
) -> None:
    process, _, fleet = start(1, fault)
    client = FakeClient(process.address)
    id = client.request_placement(1, "ingest")
    assert kinds_and_causes(client.replies(id)) == [(Kind.RELEASE, Cause.RESET)]
    assert len(fleet[0].placement_requests()) == 1
    fleet[0].fault = None
    later_replies = wait_until(
        lambda: [
            reply
            for number in [time.monotonic_ns() % 2**40]
            for reply in client.replies(client.request_placement(number))
        ]
    )
    assert kinds_and_causes(client.replies(id)) == [(Kind.RELEASE, Cause.RESET)] and later_replies


def test_repeated_answers_and_answers_to_unknown_tasks_are_ignored(start: StartPlanner) -> None:
    def send_extra_answers(sock: socket.socket, message: Message) -> bool:
        unknown_task = Message(Kind.ANSWER, "f" * 16, body="another's")
        sock.sendall(
            b"".join(map(jsonlines.encode, (unknown_task, running_answer(message), running_answer(message))))
        )
        return True

    process, _, _ = start(1, send_extra_answers)
    client = FakeClient(process.address)
    first, second = client.request_placement(1), client.request_placement(2)
    assert [m.body for m in client.replies(first, 2, 1.0)] == ["stands " + first]
    assert [m.body for m in client.replies(second, 2, 1.0)] == ["stands " + second]


def test_the_tasks_of_a_machine_that_crashes_are_released(start: StartPlanner) -> None:
    process, _, fleet = start(1)
    client = FakeClient(process.address)
    id = client.request_placement(1)
    client.replies(id)
    fleet[0].close()
    assert kinds_and_causes(client.replies(id, 2))[1] == (Kind.RELEASE, Cause.RESET)


INVALID_INPUTS = [
    b"\xff\xff" + bytes(100),
    b"GET / HTTP/1.1\r\n\r\n" * 10,
    b"\x00\x03abc",
    binary.encode(Message(Kind.PLACE, "1" * 16, {"class": "none"}, body="x")),
    binary.encode(Message(Kind.RELEASE, "2" * 16, cause=16)),
    binary.encode(Message(Kind.PLACE, "3" * 16, {"class": "worker"}))[:20],
    b"",
]


def test_invalid_clients_are_rejected_or_closed_and_valid_ones_are_served(start: StartPlanner) -> None:
    process, _, fleet = start()
    valid_client = FakeClient(process.address, "127.0.0.9")
    invalid_clients = [FakeClient(process.address) for _ in INVALID_INPUTS]
    for client, data in zip(invalid_clients, INVALID_INPUTS, strict=True):
        client.sock.sendall(data)
    flooding_client = FakeClient(process.address)
    flooding_client.sock.settimeout(0.2)
    try:
        for _ in range(200):
            flooding_client.sock.sendall(b"\xee" * 100_000)
    except OSError:
        pass
    id = valid_client.request_placement(1)
    assert valid_client.replies(id)[0].kind is Kind.ANSWER
    for client in invalid_clients:
        wait_until(lambda client=client: client.closed_within(0.1) or client.received)
        assert all(m.kind is Kind.RELEASE and m.cause == Cause.INVALID for m in client.received)
    assert flooding_client.closed_within(20)
    assert {m.id for f in fleet for m in f.placement_requests()} == {id}


def test_silent_connections_do_not_block_other_clients_and_descriptors_stay_bounded(
    start: StartPlanner,
) -> None:
    process, _, _ = start(sockets=64)
    silent_clients = [FakeClient(process.address) for _ in range(100)]
    client = FakeClient(process.address, "127.0.0.9")
    id = client.request_placement(1)
    assert client.replies(id)[0].kind is Kind.ANSWER
    assert process.descriptors() < 64
    assert all(c.closed_within(20) for c in silent_clients)


def test_the_planner_follows_a_node_list_service_that_breaks_off_falls_silent_and_moves(
    start: StartPlanner,
) -> None:
    process, node_list_service, fleet = start()
    wait_until(lambda: node_list_service.watches)
    node_list_service.breaks_off = True
    node_list_service.publish(fleet[0].row("DRAINING"))
    wait_until(lambda: len(node_list_service.watches) >= 2)
    assert node_list_service.watches[1] == 1  # the incomplete line was not applied
    client = FakeClient(process.address)
    wait_until(lambda: len(node_list_service.watches) >= 2 and node_list_service.watches[-1] == 1)
    time.sleep(0.3)
    for number in range(1, 8):
        client.replies(client.request_placement(number))
    assert fleet[0].placement_requests() == [] and len(fleet[1].placement_requests()) == 7
    # The service falls silent: the planner opens a new connection.
    node_list_service.frozen = True
    seen = len(node_list_service.watches)
    wait_until(lambda: len(node_list_service.watches) > seen)
    node_list_service.frozen = False
    # The service moves: an unusable file changes nothing, a valid one is applied without delay.
    process.path.write_text("{")
    process.child.send_signal(signal.SIGHUP)
    wait_until(lambda: process.events("configuration not taken"))
    new_service = FakeNodeListService([])
    new_service.lines = list(node_list_service.lines)
    process.write(new_service.address)
    process.child.send_signal(signal.SIGHUP)
    wait_until(lambda: new_service.watches)
    assert new_service.watches[0] == 2
    new_service.publish(fleet[0].row("SERVING"), fleet[1].row("DRAINING"))
    time.sleep(0.5)
    id = client.request_placement(30)
    assert client.replies(id)[0].kind is Kind.ANSWER
    assert [m.id for m in fleet[0].placement_requests()] == [id]
    new_service.close()


def test_a_resumed_process_handles_received_answers_before_it_gives_up_attempts(start: StartPlanner) -> None:
    def stop_planner_and_answer(sock: socket.socket, message: Message) -> bool:
        process.child.send_signal(signal.SIGSTOP)
        sock.sendall(jsonlines.encode(running_answer(message)))
        return True

    process, _, _ = start(1, stop_planner_and_answer)
    client = FakeClient(process.address)
    id = client.request_placement(1, "ingest", left="1500")
    wait_until(lambda: _state(process) == "T")
    time.sleep(2.0)  # longer than the client's wait
    process.child.send_signal(signal.SIGCONT)
    assert kinds_and_causes(client.replies(id)) == [(Kind.ANSWER, None)]


def _state(process: PlannerProcess) -> str:
    return Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]


def test_all_accepted_requests_are_answered_after_sigterm(start: StartPlanner) -> None:
    process, _, fleet = start(1, lambda sock, message: True)  # the machine answers nothing
    client = FakeClient(process.address)
    repeatable, keyed = client.request_placement(1), client.request_placement(2, "ingest")
    wait_until(lambda: len(fleet[0].placement_requests()) == 2)
    started_s = time.monotonic()
    process.child.send_signal(signal.SIGTERM)
    assert kinds_and_causes(client.replies(repeatable)) == [(Kind.RELEASE, Cause.BUSY)]
    assert kinds_and_causes(client.replies(keyed)) == [(Kind.RELEASE, Cause.RESET)]
    assert process.child.wait(20) == 0
    assert time.monotonic() - started_s >= shutdown.ACCEPTING_US / 1e6  # new requests were accepted meanwhile


def test_signals_during_startup_do_not_end_the_process(tmp_path: Path) -> None:
    """Both signal handlers are installed before the other modules are loaded."""
    code = (
        "import os, runpy, signal, sys\n"
        "class Early:\n"
        "    def find_spec(self, name, *rest):\n"
        "        if name == 'stairplank.platform.run':\n"
        "            os.kill(os.getpid(), signal.SIGHUP); os.kill(os.getpid(), signal.SIGTERM)\n"
        "sys.meta_path.insert(0, Early())\n"
        "os.environ['GW_CONFIG'] = sys.argv[1]\n"
        "runpy.run_module('stairplank.platform', run_name='__main__')\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path / "none.json")], capture_output=True, timeout=30
    )
    assert completed.returncode == 2 and b"cannot be used" in completed.stderr


def test_an_unreadable_known_update_ends_the_process_with_its_reason(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG | {"known": {"rev": 1, "notices": [{"rev": 1, "pool": {"hosts": 5}}]}}))
    command = [sys.executable, "-m", "stairplank.platform"]
    completed = subprocess.run(
        command, env=os.environ | {"GW_CONFIG": str(path)}, capture_output=True, timeout=30
    )
    assert (
        completed.returncode == 2
        and b"known: a node list update without a list of machines" in completed.stderr
    )


def test_the_service_loads_no_heavy_modules_and_simhost_loads_no_platform_module() -> None:
    code = "import sys, {0}; print(*sorted(m for m in sys.modules))"
    loaded = {
        name: set(
            subprocess.run(
                [sys.executable, "-c", code.format(name)], capture_output=True, check=True, text=True
            ).stdout.split()
        )
        for name in ("stairplank.platform.service", "stairplank.simhost")
    }
    for heavy in ("h2", "google", "click", "structlog", "matplotlib", "stairplank.rpc.client"):
        assert heavy not in loaded["stairplank.platform.service"]
    assert not any(m.startswith(("stairplank.platform", "gevent")) for m in loaded["stairplank.simhost"])
