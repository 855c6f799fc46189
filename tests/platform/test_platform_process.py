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
from platform_standins import BoardStand, Machine, Owner, Process, reset, running, until

from stairplank.platform import binary, jsonlines, shutdown
from stairplank.platform.messages import Cause, Kind, Message

Start = Callable[..., tuple[Process, BoardStand, list[Machine]]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    made: list[Process | Machine | BoardStand] = []

    def starts(
        machines: int = 2, fault: Callable[[socket.socket, Message], bool] | None = None, sockets: int = 256
    ) -> tuple[Process, BoardStand, list[Machine]]:
        fleet = [Machine(f"s-{n:08x}", fault) for n in range(1, machines + 1)]
        board = BoardStand([m.row() for m in fleet])
        process = Process(tmp_path, board, sockets)
        made.extend([process, board, *fleet])
        return process, board, fleet

    yield starts
    for thing in made:
        if isinstance(thing, Process):
            thing.end()
        else:
            thing.close()


def kinds(words: list[Message]) -> list[tuple[Kind, int | None]]:
    return [(m.kind, m.cause) for m in words]


def test_it_passes_its_test_places_tells_the_end_and_leaves(start: Start) -> None:
    process, _, fleet = start()
    owner = Owner(process.where)
    owner.say(Message(Kind.HEALTH_CHECK, f"{1:016x}", cause=0))
    assert owner.replies(f"{1:016x}")[0].cause == 1
    ids = [owner.ask(n, ("worker", "ingest")[n % 2]) for n in range(10, 20)]
    for id in ids:
        (word,) = owner.replies(id)
        assert (word.kind, word.body) == (Kind.ANSWER, "stands " + id)
    first = next(m for f in fleet for m in f.launched() if m.id == ids[1])
    assert first.body == "body 11" and first.fields["idem"] == f"{11:032x}"
    assert 5_000 < int(first.fields["left"]) <= 6_000
    holder = next(f for f in fleet if any(m.id == ids[0] for m in f.launched()))
    holder.say(holder.socks[-1], Message(Kind.RELEASE, ids[0], cause=int(Cause.ENDED)))
    assert kinds(owner.replies(ids[0], 2))[1] == (Kind.RELEASE, Cause.ENDED)
    process.child.send_signal(signal.SIGTERM)
    late = owner.ask(50)  # still taken
    assert owner.replies(late)[0].kind is Kind.ANSWER
    assert process.child.wait(20) == 0
    stops = [m for f in fleet for _, m in f.heard if m.kind is Kind.RELEASE]
    assert stops == []  # what stands runs on


def noise(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b"\x00\xff}{\n" + jsonlines.encode(running(message)))
    return True


def endless(sock: socket.socket, message: Message) -> bool:
    sock.sendall(b'{"kind":"running","uid":"' + b"x" * 40_000)
    return True


def short(sock: socket.socket, message: Message) -> bool:
    sock.sendall(jsonlines.encode(running(message))[:-9])
    return True


def broken(sock: socket.socket, message: Message) -> bool:
    reset(sock)
    return True


@pytest.mark.parametrize("fault", [noise, endless, short, broken])
def test_a_spoilt_answer_fails_and_is_neither_passed_on_nor_called_harmless(
    start: Start, fault: Callable[[socket.socket, Message], bool]
) -> None:
    process, _, fleet = start(1, fault)
    owner = Owner(process.where)
    id = owner.ask(1, "ingest")
    assert kinds(owner.replies(id)) == [(Kind.RELEASE, Cause.RESET)]
    assert len(fleet[0].launched()) == 1
    fleet[0].fault = None
    good = until(lambda: [w for n in [time.monotonic_ns() % 2**40] for w in owner.replies(owner.ask(n))])
    assert kinds(owner.replies(id)) == [(Kind.RELEASE, Cause.RESET)] and good


def test_more_than_belongs_to_an_answer_does_no_harm(start: Start) -> None:
    def double(sock: socket.socket, message: Message) -> bool:
        stranger = Message(Kind.ANSWER, "f" * 16, body="another's")
        sock.sendall(b"".join(map(jsonlines.encode, (stranger, running(message), running(message)))))
        return True

    process, _, _ = start(1, double)
    owner = Owner(process.where)
    first, second = owner.ask(1), owner.ask(2)
    assert [m.body for m in owner.replies(first, 2, 1.0)] == ["stands " + first]
    assert [m.body for m in owner.replies(second, 2, 1.0)] == ["stands " + second]


def test_a_machine_that_dies_releases_what_stood_there(start: Start) -> None:
    process, _, fleet = start(1)
    owner = Owner(process.where)
    id = owner.ask(1)
    owner.replies(id)
    fleet[0].close()
    assert kinds(owner.replies(id, 2))[1] == (Kind.RELEASE, Cause.RESET)


BAD = [
    b"\xff\xff" + bytes(100),
    b"GET / HTTP/1.1\r\n\r\n" * 10,
    b"\x00\x03abc",
    binary.encode(Message(Kind.PLACE, "1" * 16, {"class": "none"}, body="x")),
    binary.encode(Message(Kind.RELEASE, "2" * 16, cause=16)),
    binary.encode(Message(Kind.PLACE, "3" * 16, {"class": "worker"}))[:20],
    b"",
]


def test_bad_clients_get_a_word_or_a_close_in_time_and_good_ones_are_served(start: Start) -> None:
    process, _, fleet = start()
    good = Owner(process.where, "127.0.0.9")
    bad = [Owner(process.where) for _ in BAD]
    for one, data in zip(bad, BAD, strict=True):
        one.sock.sendall(data)
    flood = Owner(process.where)
    flood.sock.settimeout(0.2)
    try:
        for _ in range(200):
            flood.sock.sendall(b"\xee" * 100_000)
    except OSError:
        pass
    id = good.ask(1)
    assert good.replies(id)[0].kind is Kind.ANSWER
    for one in bad:
        until(lambda one=one: one.closed_within(0.1) or one.received)
        assert all(m.kind is Kind.RELEASE and m.cause == Cause.INVALID for m in one.received)
    assert flood.closed_within(20)
    assert {m.id for f in fleet for m in f.launched()} == {id}


def test_silent_connections_do_not_keep_owners_out_and_descriptors_stay_bounded(start: Start) -> None:
    process, _, _ = start(sockets=64)
    silent = [Owner(process.where) for _ in range(100)]
    good = Owner(process.where, "127.0.0.9")
    id = good.ask(1)
    assert good.replies(id)[0].kind is Kind.ANSWER
    assert process.descriptors() < 64
    assert all(s.closed_within(20) for s in silent)


def test_the_board_may_break_off_fall_silent_and_move(start: Start) -> None:
    process, board, fleet = start()
    until(lambda: board.watches)
    board.mangled = True
    board.tell(fleet[0].row("DRAINING"))
    until(lambda: len(board.watches) >= 2)
    assert board.watches[1] == 1  # nothing of the broken line was taken
    owner = Owner(process.where)
    until(lambda: len(board.watches) >= 2 and board.watches[-1] == 1)
    time.sleep(0.3)
    for number in range(1, 8):
        owner.replies(owner.ask(number))
    assert fleet[0].launched() == [] and len(fleet[1].launched()) == 7
    # it falls silent: watched anew
    board.frozen = True
    seen = len(board.watches)
    until(lambda: len(board.watches) > seen)
    board.frozen = False
    # and moves: a file that cannot be used changes nothing, a good one is followed at once
    process.path.write_text("{")
    process.child.send_signal(signal.SIGHUP)
    until(lambda: process.events("configuration not taken"))
    other = BoardStand([])
    other.lines = list(board.lines)
    process.write(other.address)
    process.child.send_signal(signal.SIGHUP)
    until(lambda: other.watches)
    assert other.watches[0] == 2
    other.tell(fleet[0].row("SERVING"), fleet[1].row("DRAINING"))
    time.sleep(0.5)
    id = owner.ask(30)
    assert owner.replies(id)[0].kind is Kind.ANSWER
    assert [m.id for m in fleet[0].launched()] == [id]
    other.close()


def test_a_stopped_process_takes_what_it_finds_before_it_gives_anything_up(start: Start) -> None:
    def later(sock: socket.socket, message: Message) -> bool:
        process.child.send_signal(signal.SIGSTOP)
        sock.sendall(jsonlines.encode(running(message)))
        return True

    process, _, _ = start(1, later)
    owner = Owner(process.where)
    id = owner.ask(1, "ingest", left="1500")
    until(lambda: _state(process) == "T")
    time.sleep(2.0)  # past its owner's wait
    process.child.send_signal(signal.SIGCONT)
    assert kinds(owner.replies(id)) == [(Kind.ANSWER, None)]


def _state(process: Process) -> str:
    return Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]


def test_sigterm_answers_all_that_was_taken(start: Start) -> None:
    process, _, fleet = start(1, lambda sock, message: True)  # says nothing
    owner = Owner(process.where)
    repeat, keyed = owner.ask(1), owner.ask(2, "ingest")
    until(lambda: len(fleet[0].launched()) == 2)
    began = time.monotonic()
    process.child.send_signal(signal.SIGTERM)
    assert kinds(owner.replies(repeat)) == [(Kind.RELEASE, Cause.BUSY)]
    assert kinds(owner.replies(keyed)) == [(Kind.RELEASE, Cause.RESET)]
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
    assert done.returncode == 2 and b"known: a notice without machines" in done.stderr


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
