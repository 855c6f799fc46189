"""Tests that a test's greenlets are killed when it ends, including those spawned during clean-up."""

from __future__ import annotations

import gevent
from endings import ended


def test_no_greenlet_outlives_its_test() -> None:
    greenlets: list[gevent.Greenlet] = []

    def clean_up() -> None:
        gevent.sleep(3600)

    def run_and_clean_up() -> None:
        try:
            gevent.sleep(3600)
        finally:
            greenlets.append(gevent.spawn(clean_up))

    with ended():
        greenlets.append(gevent.spawn(run_and_clean_up))
        greenlets.append(gevent.spawn_later(3600, clean_up))
        gevent.sleep(0)
    assert len(greenlets) == 3
    assert all(g.dead for g in greenlets)
