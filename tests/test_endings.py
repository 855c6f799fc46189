"""That a test's greenlets end with it, what they start in ending included."""

from __future__ import annotations

import gevent
from endings import ended


def test_no_greenlet_outlives_its_test() -> None:
    seen: list[gevent.Greenlet] = []

    def closes() -> None:
        gevent.sleep(3600)

    def runs() -> None:
        try:
            gevent.sleep(3600)
        finally:
            seen.append(gevent.spawn(closes))

    with ended():
        seen.append(gevent.spawn(runs))
        seen.append(gevent.spawn_later(3600, closes))
        gevent.sleep(0)
    assert len(seen) == 3
    assert all(g.dead for g in seen)
