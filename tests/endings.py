"""Ends what a test has started."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

ROUNDS = 5  # what is ended may start something to close behind it
END_S = 10.0


@contextmanager
def ended() -> Iterator[None]:
    """Afterwards no greenlet runs that was started inside. Danger: a planner that a test left behind redials
    its machines for ever, and one of their ports may be a later test's, which then counts a connection that
    it did not make.
    """
    started: list[gevent.Greenlet] = []
    keep = started.append
    gevent.Greenlet.add_spawn_callback(keep)
    try:
        yield
    finally:
        for _ in range(ROUNDS):
            running, started[:] = [g for g in started if not g.dead], []
            if not running:
                break
            gevent.killall(running, timeout=END_S)
        gevent.Greenlet.remove_spawn_callback(keep)
