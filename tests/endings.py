"""Stops the greenlets that a test has started."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

MAX_ROUNDS = 5  # a killed greenlet may spawn others to clean up, which need a further round
KILL_TIMEOUT_S = 10.0


@contextmanager
def ended() -> Iterator[None]:
    """Kill every greenlet that was started within the block when the block ends.

    A planner left running by a test would redial its machines forever. A later test may reuse one of their
    ports and would then count a connection that it did not open.
    """
    started: list[gevent.Greenlet] = []
    record_greenlet = started.append
    gevent.Greenlet.add_spawn_callback(record_greenlet)
    try:
        yield
    finally:
        for _ in range(MAX_ROUNDS):
            running, started[:] = [g for g in started if not g.dead], []
            if not running:
                break
            gevent.killall(running, timeout=KILL_TIMEOUT_S)
        gevent.Greenlet.remove_spawn_callback(record_greenlet)
