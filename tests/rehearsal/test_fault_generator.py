"""Tests random fault lines (repeatable, of every kind, valid) and the shrinking of failing scenarios."""

from __future__ import annotations

from collections import Counter
from importlib import resources
from pathlib import Path
from typing import Any

import pytest

from stairplank.rehearsal.batch import Batch, Run, space_of
from stairplank.rehearsal.fault_generator import Space, draw, kinds
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.script import FAULTS, parse

BASE = Path(str(resources.files("stairplank") / "scenarios" / "drawn-room"))
SPACE = space_of(load_scenario(BASE))


def test_faults_are_repeatable_from_a_seed() -> None:
    assert draw(SPACE, 7) == draw(SPACE, 7) != draw(SPACE, 8)


def test_all_faults_are_valid_and_within_the_scenario(tmp_path: Path) -> None:
    base_text = BASE.read_text()
    file = tmp_path / "scenario"
    for seed in range(1, 120):
        lines = draw(SPACE, seed)
        assert 1 <= len(lines) <= 12
        file.write_text(Batch.with_lines(base_text, seed, lines))
        scenario = load_scenario(file)
        assert scenario.seed == seed and len(scenario.faults) == len(lines)
        assert all(0 < f.at_us <= SPACE.until_us for f in scenario.faults)


def test_every_kind_of_fault_is_generated() -> None:
    seen: Counter[tuple[str, str]] = Counter()
    for seed in range(400):
        for line in draw(SPACE, seed):
            fault = parse(line.split()[1:])
            end = f"links {fault.name}" if fault.target == "links" else fault.target
            seen[end, fault.what] += 1
    assert set(seen) == set(kinds())
    assert len(seen) >= sum(map(len, FAULTS.values()))


def test_small_cluster_keeps_most_of_its_nodes() -> None:
    space = Space(5, 1, 1, ("a",), ("worker",), 20_000_000)
    for seed in range(200):
        removals = [x for x in draw(space, seed, 12, 12) if "other" in x]
        assert len(removals) <= 2 and sum("grow" in x for x in draw(space, seed, 12, 12)) <= 1


class SimulatedBatch(Batch):
    """Runs no process: a scenario fails if its text contains all the strings in ``bad``."""

    def __init__(self, folder: Path, bad: tuple[str, ...]) -> None:
        super().__init__(folder, 2, lambda line: None)
        self.bad = bad
        self.runs = 0

    def _one(self, run: Run) -> None:
        self.runs += 1
        text = run.scenario.read_text()
        run.code = 1 if all(bad in text for bad in self.bad) else 0


@pytest.mark.parametrize("bad", [("list forget",), ("planner 1 cut", "list forget"), ("farm pause",)])
def test_failing_scenario_is_shrunk_to_the_lines_that_fail(tmp_path: Path, bad: tuple[str, ...]) -> None:
    lines = [f"at {n}s planner 0 cut" for n in range(1, 9)]
    lines[2:2] = ["at 2s list forget"]
    lines[6:6] = ["at 5s planner 1 cut"]
    lines.append("at 9s farm pause for 1s")
    series = SimulatedBatch(tmp_path, bad)
    failing = series.made("it", Batch.with_lines(BASE.read_text(), 1, lines))
    series.run([failing])
    assert not failing.clean
    smallest = series.shrink(failing, 60)
    kept = [x for x in smallest.scenario.read_text().splitlines() if x.startswith("at ")]
    assert len(kept) == len(bad) and all(any(b in x for x in kept) for b in bad)
    assert load_scenario(smallest.scenario).faults and series.runs <= 61


def test_shrinking_stops_at_its_bound(tmp_path: Path) -> None:
    series = SimulatedBatch(tmp_path, ("planner 0 cut",))
    failing = series.made(
        "it", Batch.with_lines(BASE.read_text(), 1, [f"at {n}s planner 0 cut" for n in range(1, 13)])
    )
    series.run([failing])
    smallest = series.shrink(failing, 3)
    assert not smallest.clean and series.runs == 4


def test_copies_of_one_placement_fail_a_run_without_breach(tmp_path: Path) -> None:
    results: dict[str, Any] = {"verdict": "no breach of the five rules", "counts": {"side_by_side_own": 1}}
    assert not Run("it", BASE, tmp_path, 0, results).clean
    assert Run("it", BASE, tmp_path, 0, {"counts": {"side_by_side": 1}}).clean
    assert not Run("it", BASE, tmp_path, None).clean
