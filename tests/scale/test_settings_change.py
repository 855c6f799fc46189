"""Tests the samples of a configuration change, with real processes, and the tables made from them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from stairplank.scale import results
from stairplank.scale.change_tables import before_after_table, configuration_table
from stairplank.scale.event_names import SETTINGS_CHANGE, SETTINGS_FOLLOWED, SETTINGS_RESTART
from stairplank.scale.results import EventTimes, PlannerCost, Results, Sample, Size
from stairplank.scale.target import SHIPPED, load_target

LIMIT_S = 60
ALLOWED_S = 15.0
TEXT = "target workers 1 planners 2 starts 1 running 1\nspan 2s\nevent settings-change\n"


def test_a_change_is_measured_in_running_planners_and_with_a_restart(tmp_path: Path) -> None:
    path = tmp_path / "change.conf"
    path.write_text(TEXT)
    command = [sys.executable, "-m", "stairplank", "scale", str(path), "--out", str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
    assert done.returncode == 0, done.stderr
    followed, changed, restarted = results.read(tmp_path / "results.json").samples
    assert [s.load for s in (followed, changed, restarted)] == [
        SETTINGS_FOLLOWED,
        SETTINGS_CHANGE,
        SETTINGS_RESTART,
    ]
    assert (followed.changes, changed.changes, restarted.changes) == (0, 2, 1)
    assert changed.event.in_force_s is not None and changed.event.in_force_s < ALLOWED_S
    assert restarted.event.in_force_s is not None
    # The planner has a stream to each of three replicas, but receives the text of a change only once.
    assert followed.planner.connections == pytest.approx(3, rel=0.05)
    assert followed.planner.bytes_per_s is not None and changed.planner.bytes_per_s is not None
    text_bytes = int(changed.note.split()[0])
    added = (changed.planner.bytes_per_s - followed.planner.bytes_per_s) * changed.span_s / changed.changes
    assert text_bytes < added < 1.3 * text_bytes


def run(in_force_s: float, cpu_share: float, bytes_per_s: float) -> Results:
    size = Size(0, 7, 0.0, 0)
    followed = Sample(
        "grpc", SETTINGS_FOLLOWED, size, 10.0, planner=PlannerCost(cpu_share=0.01, bytes_per_s=100.0)
    )
    changed = Sample(
        "grpc",
        SETTINGS_CHANGE,
        size,
        10.0,
        planner=PlannerCost(cpu_share=cpu_share, bytes_per_s=bytes_per_s),
        event=EventTimes(in_force_s=in_force_s),
        changes=5,
    )
    return Results("invented", "8 cores", (followed, changed))


def test_the_table_subtracts_the_cost_without_changes_and_takes_the_ratio_of_the_worse_run() -> None:
    text = configuration_table(load_target(SHIPPED), [run(0.3, 0.02, 1100.0), run(0.6, 0.03, 2100.0)])
    row = next(line for line in text.splitlines() if "while it runs" in line)
    assert "| 0.3 s | 0.6 s | 15 s | 0.04 |" in row
    assert "| 20 ms | 40 ms | 2,000 B | 4,000 B |" in row
    before = next(line for line in text.splitlines() if "restarts" in line)
    assert before.count("not measured") >= 4


def test_the_before_and_after_table_shows_common_samples() -> None:
    size, other = Size(820, 7, 0.0, 0), Size(50, 7, 0.0, 0)

    def state(cpu_share: float, *sizes: Size) -> Results:
        cost = PlannerCost(cpu_share=cpu_share)
        return Results("x", "y", tuple(Sample("platform", "idle", s, 10.0, planner=cost) for s in sizes))

    text = before_after_table([state(0.02, size, other), state(0.021, size)], [state(0.008, size)])
    assert len(text.splitlines()) == 3
    assert "| idle | 820 | 7 | 0 | 0 | 2% | 2.1% | 0.8% | not measured |" in text
    assert before_after_table([], [state(0.008, size)]) == "none\n"
