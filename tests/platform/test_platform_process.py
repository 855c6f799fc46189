"""The real process on loopback against stand-ins with faults, judged by what passed on the sockets."""

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

Start = Callable[..., tuple[PlannerProcess, FakeNodeListService, list[FakeMachine]]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    made: list[PlannerProcess | FakeMachine | FakeNodeListService] = []

    def starts(
        machines: int = 2, fault: Callable[[socket.socket, Message], bool] | None = None, sockets: int = 256
    ) -> tuple[PlannerProcess, FakeNodeListService, list[FakeMachine]]:
        fleet = [FakeMachine(f"s-{n:08x}", fault) for n in range(1, machines + 1)]
        node_list_service = FakeNodeListService([m.row() for m in fleet])
        process = PlannerProcess(tmp_path, node_list_service, sockets)
        made.extend([process, node_list_service, *fleet])
        return process, node_list_service, fleet

    yield starts
    for thing in made:
        if isinstance(thing, PlannerProcess):
            thing.close()
        else:
            thing.close()


def kinds(messages: list[Message]) -> list[tuple[Kind, int | None]]:
    return [(m.kind, m.cause) for m in messages]


def test_it_passes_its_health_check_places_reports_the_end_and_shuts_down(start: Start) -> None:
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
    assert kinds(client.replies(ids[0], 2))[1] == (Kind.RELEASE, Cause.ENDED)
    process.child.send_signal(signal.SIGTERM)
    late = client.request_placement(50)  # still taken
    assert client.replies(late)[0].kind is Kind.ANSWER
    assert process.child.wait(20) == 0
    stops = [m for f in fleet for _, m in f.received if m.kind is Kind.RELEASE]
    assert stops == []  # what stands runs on


def noise(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b"\x00\xff}{\n" + jsonlines.encode(running_answer(message)))
    return True


def endless(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b'{"kind":"running","uid":"' + b"x" * 40_000)
    return True


def short(sock: socket.socket, message: Message) -> bool:
    sock.sendall(jsonlines.encode(running_answer(message))[:-9])
    return True


def broken(sock: socket.socket, message: Message) -> bool:
    reset(sock)
    return True


@pytest.mark.parametrize("fault", [noise, endless, short, broken])
def test_a_malformed_answer_fails_and_is_neither_forwarded_nor_called_harmless(
    start: Start, fault: Callable[[socket.socket, Message], bool]
) -> None:
    process, _, fleet = start(1, fault)
    client = FakeClient(process.address)
    id = client.request_placement(1, "ingest")
    assert kinds(client.replies(id)) == [(Kind.RELEASE, Cause.RESET)]
    assert len(fleet[0].placement_requests()) == 1
    fleet[0].fault = None
    good = wait_until(
        lambda: [
            w for n in [time.monotonic_ns() % 2**40] for w in client.replies(client.request_placement(n))
        ]
    )
    assert kinds(client.replies(id)) == [(Kind.RELEASE, Cause.RESET)] and good


def test_more_than_belongs_to_an_answer_does_no_harm(start: Start) -> None:
    def double(sock: socket.socket, message: Message) -> bool:
        stranger = Message(Kind.ANSWER, "f" * 16, body="another's")
        sock.sendall(
            b"".join(map(jsonlines.encode, (stranger, running_answer(message), running_answer(message))))
        )
        return True

    process, _, _ = start(1, double)
    client = FakeClient(process.address)
    first, second = client.request_placement(1), client.request_placement(2)
    assert [m.body for m in client.replies(first, 2, 1.0)] == ["stands " + first]
    assert [m.body for m in client.replies(second, 2, 1.0)] == ["stands " + second]


def test_a_machine_that_dies_releases_what_ran_there(start: Start) -> None:
    process, _, fleet = start(1)
    client = FakeClient(process.address)
    id = client.request_placement(1)
    client.replies(id)
    fleet[0].close()
    assert kinds(client.replies(id, 2))[1] == (Kind.RELEASE, Cause.RESET)


BAD = [
    b"\xff\xff" + bytes(100),
    b"GET / HTTP/1.1\r\n\r\n" * 10,
    b"\x00\x03abc",
    binary.encode(Message(Kind.PLACE, "1" * 16, {"class": "none"}, body="x")),
    binary.encode(Message(Kind.RELEASE, "2" * 16, cause=16)),
    binary.encode(Message(Kind.PLACE, "3" * 16, {"class": "worker"}))[:20],
    b"",
]


def test_bad_clients_get_a_message_or_a_close_in_time_and_good_ones_are_served(start: Start) -> None:
    process, _, fleet = start()
    good = FakeClient(process.address, "127.0.0.9")
    bad = [FakeClient(process.address) for _ in BAD]
    for one, data in zip(bad, BAD, strict=True):
        one.sock.sendall(data)
    flood = FakeClient(process.address)
    flood.sock.settimeout(0.2)
    try:
        for _ in range(200):
            flood.sock.sendall(b"\xee" * 100_000)
    except OSError:
        pass
    id = good.request_placement(1)
    assert good.replies(id)[0].kind is Kind.ANSWER
    for one in bad:
        wait_until(lambda one=one: one.closed_within(0.1) or one.received)
        assert all(m.kind is Kind.RELEASE and m.cause == Cause.INVALID for m in one.received)
    assert flood.closed_within(20)
    assert {m.id for f in fleet for m in f.placement_requests()} == {id}


def test_silent_connections_do_not_keep_clients_out_and_descriptors_stay_bounded(start: Start) -> None:
    process, _, _ = start(sockets=64)
    silent = [FakeClient(process.address) for _ in range(100)]
    good = FakeClient(process.address, "127.0.0.9")
    id = good.request_placement(1)
    assert good.replies(id)[0].kind is Kind.ANSWER
    assert process.descriptors() < 64
    assert all(s.closed_within(20) for s in silent)


def test_the_node_list_service_may_break_off_fall_silent_and_move(start: Start) -> None:
    process, node_list_service, fleet = start()
    wait_until(lambda: node_list_service.watches)
    node_list_service.breaks_off = True
    node_list_service.publish(fleet[0].row("DRAINING"))
    wait_until(lambda: len(node_list_service.watches) >= 2)
    assert node_list_service.watches[1] == 1  # nothing of the broken line was taken
    client = FakeClient(process.address)
    wait_until(lambda: len(node_list_service.watches) >= 2 and node_list_service.watches[-1] == 1)
    time.sleep(0.3)
    for number in range(1, 8):
        client.replies(client.request_placement(number))
    assert fleet[0].placement_requests() == [] and len(fleet[1].placement_requests()) == 7
    # it falls silent: watched anew
    node_list_service.frozen = True
    seen = len(node_list_service.watches)
    wait_until(lambda: len(node_list_service.watches) > seen)
    node_list_service.frozen = False
    # and moves: a file that cannot be used changes nothing, a good one is followed at once
    process.path.write_text("{")
    process.child.send_signal(signal.SIGHUP)
    wait_until(lambda: process.events("configuration not taken"))
    other = FakeNodeListService([])
    other.lines = list(node_list_service.lines)
    process.write(other.address)
    process.child.send_signal(signal.SIGHUP)
    wait_until(lambda: other.watches)
    assert other.watches[0] == 2
    other.publish(fleet[0].row("SERVING"), fleet[1].row("DRAINING"))
    time.sleep(0.5)
    id = client.request_placement(30)
    assert client.replies(id)[0].kind is Kind.ANSWER
    assert [m.id for m in fleet[0].placement_requests()] == [id]
    other.close()


def test_a_stopped_process_handles_what_it_finds_before_it_abandons_anything(start: Start) -> None:
    def later(sock: socket.socket, message: Message) -> bool:
        process.child.send_signal(signal.SIGSTOP)
        sock.sendall(jsonlines.encode(running_answer(message)))
        return True

    process, _, _ = start(1, later)
    client = FakeClient(process.address)
    id = client.request_placement(1, "ingest", left="1500")
    wait_until(lambda: _state(process) == "T")
    time.sleep(2.0)  # past its client's wait
    process.child.send_signal(signal.SIGCONT)
    assert kinds(client.replies(id)) == [(Kind.ANSWER, None)]


def _state(process: PlannerProcess) -> str:
    return Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]


def test_sigterm_answers_all_that_was_taken(start: Start) -> None:
    process, _, fleet = start(1, lambda sock, message: True)  # answers nothing
    client = FakeClient(process.address)
    repeat, keyed = client.request_placement(1), client.request_placement(2, "ingest")
    wait_until(lambda: len(fleet[0].placement_requests()) == 2)
    began = time.monotonic()
    process.child.send_signal(signal.SIGTERM)
    assert kinds(client.replies(repeat)) == [(Kind.RELEASE, Cause.BUSY)]
    assert kinds(client.replies(keyed)) == [(Kind.RELEASE, Cause.RESET)]
    assert process.child.wait(20) == 0
    assert time.monotonic() - began >= shutdown.ACCEPTING_US / 1e6  # it went on accepting


def test_signals_before_it_is_ready_do_not_end_it(tmp_path: Path) -> None:
    """Both handlers stand before anything else is loaded."""
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
    done = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path / "none.json")], capture_output=True, timeout=30
    )
    assert done.returncode == 2 and b"cannot be used" in done.stderr


def test_a_list_that_cannot_be_read_ends_it_with_its_reason(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG | {"known": {"rev": 1, "notices": [{"rev": 1, "pool": {"hosts": 5}}]}}))
    run = [sys.executable, "-m", "stairplank.platform"]
    done = subprocess.run(run, env=os.environ | {"GW_CONFIG": str(path)}, capture_output=True, timeout=30)
    assert done.returncode == 2 and b"known: a node list update without a list of machines" in done.stderr


def test_run_loads_little_and_sim_none_of_it() -> None:
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
