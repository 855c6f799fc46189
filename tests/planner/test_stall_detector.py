"""A process that really stands still: what lies in its sockets is read before any timer's turn decides."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket

from stairplank.planner import stall_detector


def until(what: Callable[[], Any]) -> Any:
    with gevent.Timeout(10):
        while not (got := what()):
            gevent.sleep(0.01)
    return got


def test_what_lies_in_sockets_is_read_before_a_stall_is_over() -> None:
    ours, theirs = socket.socketpair()
    pending: list[str] = []
    decided: list[tuple[list[str], int]] = []

    def woke(stood: int) -> None:
        decided.append((list(pending), stood))
        pending.clear()

    watch = stall_detector.StallDetector(pending, woke)

    def reads() -> None:
        while ours.recv(1):
            pending.append("read")
            watch.is_stalled()

    def due() -> None:
        pending.append("timer")
        assert watch.is_stalled()  # it may not decide

    reader = gevent.spawn(reads)
    watch.start()
    gevent.sleep(stall_detector.HEARTBEAT_S)
    timer = gevent.spawn_later(0.2, due)
    theirs.sendall(b"xyz")
    time.sleep(0.5)  # the whole process stands still, bytes unread, timers overdue
    timer.get(timeout=10)
    # A busy machine may stand still a moment of its own: that one is not meant.
    events = until(lambda: next((e for e, stood in decided if stood >= 400_000), None))
    assert sorted(events) == ["read", "read", "read", "timer"]
    theirs.close()
    reader.join(10)
    ours.close()


def test_its_own_timer_does_not_hide_a_stall() -> None:
    decided: list[int] = []
    watch = stall_detector.StallDetector([], decided.append)
    watch.start()
    gevent.sleep(2 * stall_detector.HEARTBEAT_S)
    time.sleep(0.5)
    assert until(lambda: any(stood >= 400_000 for stood in decided))


def test_reading_on_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    pending: list[int] = []
    decided: list[int] = []
    watch = stall_detector.StallDetector(pending, decided.append)

    def floods() -> None:
        while not decided:
            pending.append(1)
            gevent.sleep(0.001)

    flood = gevent.spawn(floods)
    watch.last_beat -= stall_detector.STALL_US + 1
    assert watch.is_stalled()
    flood.join(10)
    assert len(decided) == 1
