"""Bounds on memory: peers and log readers that do not read, and clients that cancel many tasks."""

from __future__ import annotations

import os
import time

import pytest
from core_harness import CoreHarness, task_id
from gevent import socket as gsocket

from stairplank.platform import attempt_table, attempts, logs, streams, task_table
from stairplank.platform import events as ev
from stairplank.platform.messages import Kind, Message


def test_a_connection_whose_peer_does_not_read_is_closed() -> None:
    sock, peer = gsocket.socketpair()
    disconnected: list[streams.Stream] = []
    stream = streams.Stream(sock, 1, disconnected.append)
    for number in range(2000):
        stream.put(b"x" * 1000, f"m{number}")
        stream.flush()
        if disconnected:
            break
    assert disconnected == [stream] and stream.is_closed
    assert 0 < len(stream.unsent_marks()) <= streams.MAX_UNREAD_BYTES // 1000 + 1
    assert "m0" not in stream.unsent_marks()  # the first message was written completely
    peer.close()


def test_abandoned_attempts_are_kept_up_to_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(attempt_table, "MAX_ABANDONED", 5)
    harness = CoreHarness(machines=4)
    conn = harness.add_client()
    for number in range(1, 20):
        harness.request_placement(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
        harness.bring_links_up()
        harness.feed(ev.ClientMessage(conn, Message(Kind.RELEASE, task_id(number), cause=16)))
    assert len(harness.core.attempts.table.by_machine_and_id) == 5


def test_attempts_in_flight_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(attempts, "MAX_IN_FLIGHT", 3)
    harness = CoreHarness(machines=4)
    conn = harness.add_client()
    for number in range(1, 10):
        harness.request_placement(conn, number, extras=f"cores:0.5;memory:1;service:{number:016x}")
    assert harness.core.attempts.in_flight == 3
    assert [m.cause for _, m in harness.to_clients] == [42] * 6


def test_a_log_that_is_not_read_does_not_block_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    reads, writes = os.pipe()
    original_stderr = os.dup(2)
    try:
        os.dup2(writes, 2)
        logs.make_stderr_nonblocking()
        budget = logs.LineBudget(500, 3600.0)
        monkeypatch.setattr(logs, "_budget", budget)
        for number in range(1000):
            logs.log("event", number=number, text="x" * 1000)
        assert not budget.take(time.monotonic())
    finally:
        os.dup2(original_stderr, 2)
        os.set_blocking(2, True)
        for fd in (reads, writes, original_stderr):
            os.close(fd)


def test_withdrawn_ids_that_may_have_run_are_kept_up_to_a_bound_and_an_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(task_table, "MAX_UNPROVEN", 2)
    harness = CoreHarness(machines=4)
    for number in (1, 2, 3):
        conn = harness.add_client()
        harness.request_placement(conn, number, "once", extras=f"cores:0.5;memory:1;service:{number:016x}")
        harness.bring_links_up()
        harness.feed(ev.ClientDisconnected(conn))
    assert list(harness.core.tasks.unproven) == [task_id(2), task_id(3)]
    harness.advance(task_table.UNPROVEN_US + 1_000_000)
    assert not harness.core.tasks.unproven
