"""A process that really stalls: its sockets are read before a timer may start a turn of the core."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket

from stairplank.planner import stall_detector


def wait_until(condition: Callable[[], Any]) -> Any:
    with gevent.Timeout(10):
        while not (value := condition()):
            gevent.sleep(0.01)
    return value


def test_sockets_are_read_before_the_process_resumes_after_a_stall() -> None:
    own_end, peer_end = socket.socketpair()
    pending: list[str] = []
    resumed: list[tuple[list[str], int]] = []

    def resume(stalled_us: int) -> None:
        resumed.append((list(pending), stalled_us))
        pending.clear()

    detector = stall_detector.StallDetector(pending, resume)

    def read_socket() -> None:
        while own_end.recv(1):
            pending.append("read")
            detector.is_stalled()

    def on_timer() -> None:
        pending.append("timer")
        assert detector.is_stalled()  # the timer may not start a turn yet

    reader = gevent.spawn(read_socket)
    detector.start()
    gevent.sleep(stall_detector.HEARTBEAT_S)
    timer = gevent.spawn_later(0.2, on_timer)
    peer_end.sendall(b"xyz")
    time.sleep(0.5)  # the whole process stalls: bytes are unread and the timer is overdue
    timer.get(timeout=10)
    # A busy machine may cause shorter stalls as well; they are skipped here.
    events = wait_until(lambda: next((e for e, stalled_us in resumed if stalled_us >= 400_000), None))
    assert sorted(events) == ["read", "read", "read", "timer"]
    peer_end.close()
    reader.join(10)
    own_end.close()


def test_the_heartbeat_timer_does_not_hide_a_stall() -> None:
    resumed: list[int] = []
    detector = stall_detector.StallDetector([], resumed.append)
    detector.start()
    gevent.sleep(2 * stall_detector.HEARTBEAT_S)
    time.sleep(0.5)
    assert wait_until(lambda: any(stalled_us >= 400_000 for stalled_us in resumed))


def test_reading_after_a_stall_is_bounded_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    pending: list[int] = []
    resumed: list[int] = []
    detector = stall_detector.StallDetector(pending, resumed.append)

    def add_events() -> None:
        while not resumed:
            pending.append(1)
            gevent.sleep(0.001)

    producer = gevent.spawn(add_events)
    detector.last_beat -= stall_detector.STALL_US + 1
    assert detector.is_stalled()
    producer.join(10)
    assert len(resumed) == 1
