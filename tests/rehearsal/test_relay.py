"""What relays do to links by script, on real sockets, and that the capture tells the three times of it."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from stairplank.rehearsal import capture, relay_channel
from stairplank.rehearsal.relay import Recorder, Relay
from stairplank.rpc import address

WAIT_S = 10.0


class Room:
    """A far end that keeps what it reads, and a relay before it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("wb")
        self.recorder = Recorder(capture.Writer(self.file, {}))
        self.listener, real = address.listen("127.0.0.1:0")
        self.far: list[Any] = []
        self.came: list[bytearray] = []
        self.ended: list[str] = []
        gevent.spawn(self._accept)
        self.recorder.relay("node 1", real)
        self.relay: Relay = self.recorder.relays["node 1"]

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.far.append(sock)
            self.came.append(bytearray())
            gevent.spawn(self._read, sock, len(self.far) - 1)

    def _read(self, sock: Any, i: int) -> None:
        try:
            while data := sock.recv(65_536):
                self.came[i] += data
            self.ended.append("closed")
        except OSError:
            self.ended.append("reset")

    def dial(self) -> Any:
        near = address.dial(self.relay.address, 2.0)
        near.settimeout(WAIT_S)
        return near

    def until(self, what: Any) -> None:
        with gevent.Timeout(WAIT_S):
            while not what():
                gevent.sleep(0.005)

    def records(self) -> list[capture.Record]:
        self.recorder.writer.flush()
        return list(capture.Reader(self.path))

    def close(self) -> None:
        self.recorder.close()
        self.listener.close()
        for sock in self.far:
            sock.close()
        self.file.close()


@pytest.fixture
def room(tmp_path: Path) -> Iterator[Room]:
    made = Room(tmp_path / "capture")
    yield made
    made.close()


def first(records: list[capture.Record], kind: int) -> capture.Record:
    return next(r for r in records if r.kind == kind)


def test_what_is_held_is_read_at_once_and_handed_on_later(room: Room) -> None:
    near = room.dial()
    near.sendall(b"one")
    room.until(lambda: room.came and room.came[0] == b"one")
    room.relay.begin("hold", "there")
    near.sendall(b"two")
    room.until(lambda: any(r.data == b"two" for r in room.records()))
    gevent.sleep(0.15)
    assert room.came[0] == b"one"
    room.far[0].sendall(b"back")  # the other direction passes
    assert near.recv(10) == b"back"
    room.relay.end("hold", "there")
    room.until(lambda: room.came[0] == b"onetwo")
    records = room.records()
    read = next(r for r in records if r.data == b"two")
    handed = [r for r in records if r.kind == capture.TO_LISTENER]
    assert [r.number for r in handed] == [3, 6]
    assert handed[1].at - read.at >= 150_000 and handed[0].at < read.at


def test_two_holds_that_overlap_end_with_the_later(room: Room) -> None:
    near = room.dial()
    room.relay.begin("hold", "both")
    room.relay.begin("hold", "there")
    near.sendall(b"x")
    room.relay.end("hold", "both")
    gevent.sleep(0.05)
    assert not room.came or not room.came[0]
    room.relay.end("hold", "there")
    room.until(lambda: room.came and room.came[0] == b"x")


def test_what_was_held_may_be_lost_with_a_reset(room: Room) -> None:
    near = room.dial()
    near.sendall(b"one")
    room.until(lambda: room.came and room.came[0] == b"one")
    room.relay.begin("hold-reset", "there")
    near.sendall(b"gone")
    room.until(lambda: any(r.data == b"gone" for r in room.records()))
    room.relay.end("hold-reset", "there")
    with pytest.raises(ConnectionResetError):
        near.recv(10)
    room.until(lambda: room.ended)
    assert room.ended == ["reset"] and room.came[0] == b"one"
    records = room.records()
    assert first(records, capture.LOST_TO_LISTENER).number == 4
    assert [r.number for r in records if r.kind == capture.TO_LISTENER] == [3]


def test_the_end_of_a_link_comes_behind_what_is_held(room: Room) -> None:
    near = room.dial()
    near.sendall(b"one")
    room.until(lambda: room.came and room.came[0] == b"one")
    room.relay.begin("hold", "both")
    near.sendall(b"last")
    near.close()
    room.until(lambda: any(r.kind == capture.DIALLER_CLOSED for r in room.records()))
    gevent.sleep(0.05)
    assert room.came[0] == b"one" and not room.ended
    room.relay.end("hold", "both")
    room.until(lambda: room.ended)
    assert room.came[0] == b"onelast" and room.ended == ["closed"]


def test_a_link_given_up_in_the_middle_of_its_handshake_never_was(room: Room) -> None:
    room.relay.begin("hold", "both")
    near = room.dial()  # the kernel takes it; nobody is behind
    near.sendall(b"hello")
    near.close()
    gevent.sleep(0.05)
    room.relay.end("hold", "both")
    gevent.sleep(0.1)
    assert not room.far


def test_a_delay_keeps_order_and_ends(room: Room) -> None:
    near = room.dial()
    room.relay.begin("delay", "there", 120_000)
    for i in range(5):
        near.sendall(bytes([i]))
    room.until(lambda: room.came and len(room.came[0]) == 5)
    records = room.records()
    read, handed = first(records, capture.FROM_DIALLER), first(records, capture.TO_LISTENER)
    assert handed.at - read.at >= 120_000 and room.came[0] == bytes(range(5))
    room.relay.end("delay", "there", 120_000)
    near.sendall(b"z")
    room.until(lambda: len(room.came[0]) == 6)


def test_a_slow_link_passes_so_many_bytes_a_second(room: Room) -> None:
    near = room.dial()
    room.relay.begin("rate", "there", 20_000)
    near.sendall(b"x" * 6_000)
    room.until(lambda: room.came and len(room.came[0]) == 6_000)
    records = room.records()
    handed = [r for r in records if r.kind == capture.TO_LISTENER]
    assert handed[-1].at - handed[0].at >= 200_000  # 6,000 bytes at 20,000 a second, less the last piece


def test_links_with_nobody_behind(room: Room) -> None:
    old = room.dial()
    old.sendall(b"one")
    room.until(lambda: room.came and room.came[0] == b"one")
    room.relay.begin("half-open")
    with pytest.raises(ConnectionResetError):
        old.recv(10)
    near = room.dial()
    near.sendall(b"hello?")
    gevent.sleep(0.05)
    assert len(room.far) == 1
    room.relay.end("half-open")
    with pytest.raises(ConnectionResetError):
        near.recv(10)
    assert len(room.far) == 1
    again = room.dial()
    again.sendall(b"back")
    room.until(lambda: len(room.came) == 2 and room.came[1] == b"back")


def test_the_bound_of_held_bytes_is_felt_by_the_sender(room: Room, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay_channel, "MAX_HELD_BYTES", 100_000)
    near = room.dial()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    room.relay.begin("hold", "there")
    sent = 0
    near.settimeout(0.3)
    try:
        while sent < 64 << 20:
            sent += near.send(b"y" * 65_536)
    except TimeoutError:
        pass
    link = next(iter(room.relay.links))
    assert (
        link.there.held_bytes == 100_000 and sent < 64 << 20
    )  # it stands, as before a peer that does not read
    room.relay.end("hold", "there")
    room.until(lambda: room.came and len(room.came[0]) == sent)  # and nothing is lost
    assert not [r for r in room.records() if r.kind == capture.LOST_TO_LISTENER]


def test_a_far_end_that_takes_nothing_any_more(room: Room) -> None:
    near = room.dial()
    near.sendall(b"one")
    room.until(lambda: room.came and room.came[0] == b"one")
    room.relay.begin("hold", "back")
    address.abort(room.far[0])
    gevent.sleep(0.05)
    near.sendall(b"two")  # nobody has told it yet
    gevent.sleep(0.05)
    near.sendall(b"three")
    room.until(lambda: sum(len(r.data) for r in room.records() if r.kind == capture.FROM_DIALLER) == 11)
    room.relay.end("hold", "back")
    with pytest.raises(ConnectionResetError):
        near.recv(10)


def test_captures_of_version_1_are_read_and_others_refused(tmp_path: Path) -> None:
    old = tmp_path / "old"
    with old.open("wb") as file:
        writer = capture.Writer(file, {"a": 1})
        writer.write(capture.OPEN, 1, 1, b'{"to": "node 1"}')
        writer.write(capture.FROM_DIALLER, 2, 1, b"abc")
        writer.write(capture.FROM_LISTENER, 3, 1, b"de")
        writer.write(capture.FROM_DIALLER, 4, 1, b"f")
    raw = old.read_bytes()
    old.write_bytes(capture.FIRST_MAGIC + raw[8:])
    records = list(capture.Reader(old))
    passed = (capture.TO_LISTENER, capture.TO_DIALLER)
    handed = [(r.kind, r.at, r.number) for r in records if r.kind in passed]
    assert handed == [(capture.TO_LISTENER, 2, 3), (capture.TO_DIALLER, 3, 2), (capture.TO_LISTENER, 4, 4)]
    old.write_bytes(b"SPCAP003" + raw[8:])
    with pytest.raises(capture.CaptureError, match="version 003; captures of versions 001 and 002 are read"):
        capture.Reader(old)
    old.write_bytes(b"\x89PNG...." + raw[8:])
    with pytest.raises(capture.CaptureError, match="no capture"):
        capture.Reader(old)
    old.write_bytes(raw)
    broken = tmp_path / "broken"
    with broken.open("wb") as file:
        capture.Writer(file, {}).write(capture.TO_LISTENER, 1, 1, b"abc")
    with pytest.raises(capture.CaptureError, match="3 bytes in place of 8"):
        _ = next(iter(capture.Reader(broken))).number
