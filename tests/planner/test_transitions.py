"""Tests of the transition tables: the page shows them as they are, and simulated days take every row."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import recorded_days
from grpc_core_harness import SECOND, CoreHarness

from stairplank.planner import events as ev
from stairplank.planner import trace
from stairplank.planner.transitions import ATTEMPT, LINK, PLACEMENT

ROOT = Path(__file__).resolve().parents[2]
TABLES = (ATTEMPT, PLACEMENT, LINK)


def test_documentation_page_shows_the_transition_tables() -> None:
    page = (ROOT / "docs" / "design" / "running-planner.md").read_text()
    for table in TABLES:
        assert table.markdown() in page, table.name


def test_simulated_days_take_every_legal_transition_and_traces_replay() -> None:
    taken: Counter[tuple[str, Any, str]] = Counter()
    for scenario_name, seed in (
        ("drawn-room", 3),
        ("drawn-room", 8),
        ("groups-bad-day", 5),
        ("groups-bad-day", 8),
        ("first-bad-day", 4),
        ("first-bad-day", 8),
    ):
        for core_arguments, steps, digests in recorded_days.record_day(scenario_name, seed):
            recorded = trace.Trace(core_arguments, steps, digests)
            assert trace.replay(recorded) is None
            core = trace.Core(*core_arguments)
            for name, args in steps:
                getattr(core, name)(*args)
            taken.update(core.context.transition_counts)
    for rare_transitions in (time_out_after_cancellation, adoption_of_running_task):
        taken.update(rare_transitions())
    legal = {(t.name, s, e) for t in TABLES for s, e in t.rows}
    assert set(taken) == legal, legal ^ set(taken)


def time_out_after_cancellation() -> Counter[tuple[str, Any, str]]:
    """Count the transitions of a cancelled task whose stop was lost: it runs, unbound, until its timeout."""
    harness = CoreHarness()
    offer = harness.request_offer(1)
    harness.feed(ev.PlacementCancelled(1, 1))
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    harness.advance_time(10 * SECOND)
    return harness.core.context.transition_counts


def adoption_of_running_task() -> Counter[tuple[str, Any, str]]:
    """Count the transitions of a failed task whose node reports after the timeout that it runs."""
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    harness.advance_time(offer.wait_us + 20_000)
    harness.feed(ev.NodeRunning(offer.node, offer.id))
    return harness.core.context.transition_counts


def test_replay_returns_the_first_step_whose_actions_differ() -> None:
    core_arguments, steps, digests = max(recorded_days.record_day("drawn-room", 3), key=lambda t: len(t[1]))
    digests[40] = "0" * 16
    difference = trace.replay(trace.Trace(core_arguments, steps, digests))
    assert difference is not None and difference[0] == 40
