"""The tables of transitions: what the page shows is what holds, and every row is taken on simulated days."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import recorded_days
from world import SECOND, World

from stairplank.planner import events as ev
from stairplank.planner import trace
from stairplank.planner.transitions import ATTEMPT, LINK, PLACEMENT

ROOT = Path(__file__).resolve().parents[2]
TABLES = (ATTEMPT, PLACEMENT, LINK)


def test_the_page_shows_the_tables() -> None:
    page = (ROOT / "docs" / "design" / "running-planner.md").read_text()
    for table in TABLES:
        assert table.markdown() in page, table.name


def test_every_legal_transition_is_taken_and_traces_repeat() -> None:
    seen: Counter[tuple[str, Any, str]] = Counter()
    for room, seed in (
        ("drawn-room", 3),
        ("drawn-room", 8),
        ("groups-bad-day", 5),
        ("groups-bad-day", 8),
        ("first-bad-day", 4),
        ("first-bad-day", 8),
    ):
        for made, steps, digests in recorded_days.play(room, seed):
            one = trace.Trace(made, steps, digests)
            assert trace.replay(one) is None
            core = trace.Core(*made)
            for name, args in steps:
                getattr(core, name)(*args)
            seen.update(core.context.transition_counts)
    for rare in (withdrawn_and_silent, adopted_while_running):
        seen.update(rare())
    legal = {(t.name, s, e) for t in TABLES for s, e in t.rows}
    assert set(seen) == legal, legal ^ set(seen)


def withdrawn_and_silent() -> Counter[tuple[str, Any, str]]:
    """A withdrawn task's stop is lost; it runs on, unbound, until its time-out."""
    w = World()
    offer = w.request_offer(1)
    w.feed(ev.PlacementCancelled(1, 1))
    w.feed(ev.NodeRunning(offer.node, offer.id))
    w.wait(10 * SECOND)
    return w.core.context.transition_counts


def adopted_while_running() -> Counter[tuple[str, Any, str]]:
    """Given up and failed, and then its node says at once that it runs."""
    w = World()
    offer = w.request_offer(1, "report")
    w.wait(offer.wait_us + 20_000)
    w.feed(ev.NodeRunning(offer.node, offer.id))
    return w.core.context.transition_counts


def test_a_core_that_acts_otherwise_is_found_out() -> None:
    made, steps, digests = max(recorded_days.play("drawn-room", 3), key=lambda t: len(t[1]))
    digests[40] = "0" * 16
    found = trace.replay(trace.Trace(made, steps, digests))
    assert found is not None and found[0] == 40
