"""Runs a series of rehearsals, several at a time, each in a separate process, and shrinks failing ones."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
import gevent.pool
import gevent.subprocess as subprocess

from .fault_generator import Space, draw
from .scenario import Scenario, load_scenario

RUN_LIMIT_S = 600.0


@dataclass
class Run:
    """One rehearsal of a series, with its results."""

    name: str
    scenario: Path
    report: Path
    code: int | None = None  # exit code; None where it was killed after ``RUN_LIMIT_S``
    results: dict[str, Any] = field(default_factory=dict)
    output: str = ""

    @property
    def clean(self) -> bool:
        return self.code == 0 and not self.count("side_by_side_own")

    def count(self, what: str) -> int:
        return int(self.results.get("counts", {}).get(what, 0))

    def row(self) -> tuple[str, ...]:
        lines = sum(line.startswith("at ") for line in self.scenario.read_text().splitlines())
        verdict = self.results.get("verdict", "ended without a report")
        if self.code not in (0, 1):
            verdict = f"exit {self.code}: {self.output.strip().splitlines()[-1:] or ['']}"
        elif self.results.get("unclean"):
            verdict += f"; ended uncleanly: {', '.join(self.results['unclean'])}"
        counts = (
            "asks",
            "placed",
            "offers",
            "stale_refused",
            "fresh_refused",
            "side_by_side",
            "side_by_side_own",
        )
        return (self.name, str(lines), *(str(self.count(what)) for what in counts), verdict)


HEAD = (
    "scenario",
    "faults",
    "asks",
    "placed",
    "offers",
    "too late",
    "in error",
    "copies",
    "own copies",
    "verdict",
)


def space_of(scenario: Scenario) -> Space:
    return Space(
        sum(not n.absent for n in scenario.nodes),
        sum(n.absent for n in scenario.nodes),
        scenario.planners,
        scenario.cluster.zones,
        tuple(c.name for c in scenario.cluster.classes),
        scenario.lasts_us - scenario.settles_us - 2_000_000,
    )


class Batch:
    """Runs scenario files, ``jobs`` at a time."""

    def __init__(self, folder: Path, jobs: int, progress: Callable[[str], None]) -> None:
        self.folder = folder
        self.jobs = jobs
        self.progress = progress

    def drawn(self, base: Path, count: int, seed: int) -> list[Run]:
        """Run ``count`` scenarios with random faults added to ``base``; each is stored beside its report."""
        base_lines = base.read_text()
        space = space_of(load_scenario(base))
        runs = []
        for number in range(seed, seed + count):
            runs.append(
                self.made(f"drawn-{number}", self.with_lines(base_lines, number, draw(space, number)))
            )
        return self.run(runs)

    @staticmethod
    def with_lines(base_lines: str, seed: int, lines: list[str]) -> str:
        kept = [line for line in base_lines.splitlines() if not line.startswith(("at ", "seed "))]
        return "\n".join([f"seed {seed}", *kept, *lines]) + "\n"

    def made(self, name: str, text: str) -> Run:
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        scenario = folder / "scenario"
        scenario.write_text(text)
        return Run(name, scenario, folder)

    def run(self, runs: list[Run]) -> list[Run]:
        pool = gevent.pool.Pool(self.jobs)
        for run in runs:
            pool.spawn(self._one, run)
        pool.join()
        return runs

    def _one(self, run: Run) -> None:
        args = [sys.executable, "-m", "stairplank", "--end-with-stdin", "rehearse", str(run.scenario)]
        args += ["--report", str(run.report), "--work", str(run.report / "work")]
        output_file = run.report / "said"
        with output_file.open("wb") as out:
            # Standard input stays open while this process runs, so the child ends even if this process is
            # killed.
            process = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=out, stderr=subprocess.STDOUT)
        try:
            run.code = process.wait(timeout=RUN_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        assert process.stdin is not None
        process.stdin.close()
        run.output = output_file.read_text()
        report_file = run.report / "report.json"
        if report_file.exists():
            run.results = json.loads(report_file.read_text())
        self.progress(f"{run.name}: {run.row()[-1]}")

    def shrink(self, failing: Run, most: int) -> Run:
        """Return the smallest failing scenario found by leaving out lines, in at most ``most`` more runs.

        Halves are left out first, then smaller parts, then single lines; the candidates of one round run in
        parallel. A failure may be intermittent, but a candidate that passes once is not tried again.
        """
        smallest, spent = failing, 0
        text = failing.scenario.read_text()
        base_lines = [line for line in text.splitlines() if not line.startswith("at ")]
        lines = [line for line in text.splitlines() if line.startswith("at ")]
        parts = 2
        while len(lines) > 1 and spent < most:
            size = max(1, len(lines) // parts)
            candidates = [lines[:i] + lines[i + size :] for i in range(0, len(lines), size)]
            runs = [
                self.made(f"{failing.name}-less-{spent + i}", "\n".join([*base_lines, *candidate]) + "\n")
                for i, candidate in enumerate(candidates[: most - spent])
            ]
            spent += len(runs)
            self.run(runs)
            failing_indexes = [i for i, run in enumerate(runs) if not run.clean]
            if failing_indexes:
                smallest, lines = runs[failing_indexes[0]], candidates[failing_indexes[0]]
                parts = max(2, parts - 1)
            elif size == 1:
                break
            else:
                parts = min(len(lines), parts * 2)
        return smallest
