"""Tests the faults of relays on real sockets, and the reading, forwarding and dropping in the capture."""

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


class RelaySetup:
    """A target that keeps what it reads, with a relay in front of it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("wb")
        self.recorder = Recorder(capture.Writer(self.file, {}))
        self.listener, target = address.listen("127.0.0.1:0")
        self.far: list[Any] = []
        self.received: list[bytearray] = []
        self.ended: list[str] = []
        gevent.spawn(self._accept)
        self.recorder.relay("node 1", target)
        self.relay: Relay = self.recorder.relays["node 1"]

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.far.append(sock)
            self.received.append(bytearray())
            gevent.spawn(self._read, sock, len(self.far) - 1)

    def _read(self, sock: Any, i: int) -> None:
        try:
            while data := sock.recv(65_536):
                self.received[i] += data
            self.ended.append("closed")
        except OSError:
            self.ended.append("reset")

    def dial(self) -> Any:
        near = address.dial(self.relay.address, 2.0)
        near.settimeout(WAIT_S)
        return near

    def until(self, condition: Any) -> None:
        with gevent.Timeout(WAIT_S):
            while not condition():
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
def setup(tmp_path: Path) -> Iterator[RelaySetup]:
    setup = RelaySetup(tmp_path / "capture")
    yield setup
    setup.close()


def first(records: list[capture.Record], kind: int) -> capture.Record:
    return next(r for r in records if r.kind == kind)


def test_held_bytes_are_read_at_once_and_forwarded_later(setup: RelaySetup) -> None:
    near = setup.dial()
    near.sendall(b"one")
    setup.until(lambda: setup.received and setup.received[0] == b"one")
    setup.relay.begin("hold", "there")
    near.sendall(b"two")
    setup.until(lambda: any(r.data == b"two" for r in setup.records()))
    gevent.sleep(0.15)
    assert setup.received[0] == b"one"
    setup.far[0].sendall(b"back")  # the other direction is not held
    assert near.recv(10) == b"back"
    setup.relay.end("hold", "there")
    setup.until(lambda: setup.received[0] == b"onetwo")
    records = setup.records()
    read = next(r for r in records if r.data == b"two")
    forwarded = [r for r in records if r.kind == capture.TO_LISTENER]
    assert [r.number for r in forwarded] == [3, 6]
    assert forwarded[1].at - read.at >= 150_000 and forwarded[0].at < read.at


def test_overlapping_holds_end_with_the_later_one(setup: RelaySetup) -> None:
    near = setup.dial()
    setup.relay.begin("hold", "both")
    setup.relay.begin("hold", "there")
    near.sendall(b"x")
    setup.relay.end("hold", "both")
    gevent.sleep(0.05)
    assert not setup.received or not setup.received[0]
    setup.relay.end("hold", "there")
    setup.until(lambda: setup.received and setup.received[0] == b"x")


def test_hold_reset_loses_held_bytes(setup: RelaySetup) -> None:
    near = setup.dial()
    near.sendall(b"one")
    setup.until(lambda: setup.received and setup.received[0] == b"one")
    setup.relay.begin("hold-reset", "there")
    near.sendall(b"gone")
    setup.until(lambda: any(r.data == b"gone" for r in setup.records()))
    setup.relay.end("hold-reset", "there")
    with pytest.raises(ConnectionResetError):
        near.recv(10)
    setup.until(lambda: setup.ended)
    assert setup.ended == ["reset"] and setup.received[0] == b"one"
    records = setup.records()
    assert first(records, capture.LOST_TO_LISTENER).number == 4
    assert [r.number for r in records if r.kind == capture.TO_LISTENER] == [3]


def test_closing_of_a_link_follows_held_bytes(setup: RelaySetup) -> None:
    near = setup.dial()
    near.sendall(b"one")
    setup.until(lambda: setup.received and setup.received[0] == b"one")
    setup.relay.begin("hold", "both")
    near.sendall(b"last")
    near.close()
    setup.until(lambda: any(r.kind == capture.DIALLER_CLOSED for r in setup.records()))
    gevent.sleep(0.05)
    assert setup.received[0] == b"one" and not setup.ended
    setup.relay.end("hold", "both")
    setup.until(lambda: setup.ended)
    assert setup.received[0] == b"onelast" and setup.ended == ["closed"]


def test_link_closed_before_its_connection_is_never_dialled(setup: RelaySetup) -> None:
    setup.relay.begin("hold", "both")
    near = setup.dial()  # the kernel accepts it; the relay has not connected to the target
    near.sendall(b"hello")
    near.close()
    gevent.sleep(0.05)
    setup.relay.end("hold", "both")
    gevent.sleep(0.1)
    assert not setup.far


def test_a_delay_keeps_order_and_ends(setup: RelaySetup) -> None:
    near = setup.dial()
    setup.relay.begin("delay", "there", 120_000)
    for i in range(5):
        near.sendall(bytes([i]))
    setup.until(lambda: setup.received and len(setup.received[0]) == 5)
    records = setup.records()
    read, forwarded = first(records, capture.FROM_DIALLER), first(records, capture.TO_LISTENER)
    assert forwarded.at - read.at >= 120_000 and setup.received[0] == bytes(range(5))
    setup.relay.end("delay", "there", 120_000)
    near.sendall(b"z")
    setup.until(lambda: len(setup.received[0]) == 6)


def test_rate_limits_the_bytes_per_second(setup: RelaySetup) -> None:
    near = setup.dial()
    setup.relay.begin("rate", "there", 20_000)
    near.sendall(b"x" * 6_000)
    setup.until(lambda: setup.received and len(setup.received[0]) == 6_000)
    records = setup.records()
    forwarded = [r for r in records if r.kind == capture.TO_LISTENER]
    # At 20,000 bytes a second, 6,000 bytes take 300 ms, of which the last piece's time is not measured.
    assert forwarded[-1].at - forwarded[0].at >= 200_000


def test_half_open_links(setup: RelaySetup) -> None:
    old = setup.dial()
    old.sendall(b"one")
    setup.until(lambda: setup.received and setup.received[0] == b"one")
    setup.relay.begin("half-open")
    with pytest.raises(ConnectionResetError):
        old.recv(10)
    near = setup.dial()
    near.sendall(b"hello?")
    gevent.sleep(0.05)
    assert len(setup.far) == 1
    setup.relay.end("half-open")
    with pytest.raises(ConnectionResetError):
        near.recv(10)
    assert len(setup.far) == 1
    new_link = setup.dial()
    new_link.sendall(b"back")
    setup.until(lambda: len(setup.received) == 2 and setup.received[1] == b"back")


def test_bound_of_held_bytes_blocks_the_sender(setup: RelaySetup, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay_channel, "MAX_HELD_BYTES", 100_000)
    near = setup.dial()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    setup.relay.begin("hold", "there")
    sent = 0
    near.settimeout(0.3)
    try:
        while sent < 64 << 20:
            sent += near.send(b"y" * 65_536)
    except TimeoutError:
        pass
    link = next(iter(setup.relay.links))
    # The sender is blocked, as with a peer that does not read.
    assert link.there.held_bytes == 100_000 and sent < 64 << 20
    setup.relay.end("hold", "there")
    # All bytes are delivered after the hold.
    setup.until(lambda: setup.received and len(setup.received[0]) == sent)
    assert not [r for r in setup.records() if r.kind == capture.LOST_TO_LISTENER]


def test_target_that_was_reset(setup: RelaySetup) -> None:
    near = setup.dial()
    near.sendall(b"one")
    setup.until(lambda: setup.received and setup.received[0] == b"one")
    setup.relay.begin("hold", "back")
    address.abort(setup.far[0])
    gevent.sleep(0.05)
    near.sendall(b"two")  # the reset of the target is still held
    gevent.sleep(0.05)
    near.sendall(b"three")
    setup.until(lambda: sum(len(r.data) for r in setup.records() if r.kind == capture.FROM_DIALLER) == 11)
    setup.relay.end("hold", "back")
    with pytest.raises(ConnectionResetError):
        near.recv(10)


def test_captures_of_version_1_are_read_and_others_rejected(tmp_path: Path) -> None:
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
    forwarding_kinds = (capture.TO_LISTENER, capture.TO_DIALLER)
    forwarded = [(r.kind, r.at, r.number) for r in records if r.kind in forwarding_kinds]
    assert forwarded == [(capture.TO_LISTENER, 2, 3), (capture.TO_DIALLER, 3, 2), (capture.TO_LISTENER, 4, 4)]
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
