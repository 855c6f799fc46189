"""Many rehearsals, several at a time, each in processes of its own; a failing one is cut down."""

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
    """One rehearsal of a series."""

    name: str
    scenario: Path
    report: Path
    code: int | None = None  # None: it was ended after ``RUN_LIMIT_S``
    told: dict[str, Any] = field(default_factory=dict)
    said: str = ""

    @property
    def clean(self) -> bool:
        return self.code == 0 and not self.count("side_by_side_own")

    def count(self, what: str) -> int:
        return int(self.told.get("counts", {}).get(what, 0))

    def row(self) -> tuple[str, ...]:
        lines = sum(line.startswith("at ") for line in self.scenario.read_text().splitlines())
        verdict = self.told.get("verdict", "ended without a report")
        if self.code not in (0, 1):
            verdict = f"exit {self.code}: {self.said.strip().splitlines()[-1:] or ['']}"
        elif self.told.get("unclean"):
            verdict += f"; ended uncleanly: {', '.join(self.told['unclean'])}"
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
    """Runs scenario files; ``jobs`` at a time."""

    def __init__(self, folder: Path, jobs: int, progress: Callable[[str], None]) -> None:
        self.folder = folder
        self.jobs = jobs
        self.progress = progress

    def drawn(self, base: Path, count: int, seed: int) -> list[Run]:
        """Scenarios drawn on a room, kept beside their reports."""
        room = base.read_text()
        space = space_of(load_scenario(base))
        runs = []
        for number in range(seed, seed + count):
            runs.append(self.made(f"drawn-{number}", self.with_lines(room, number, draw(space, number))))
        return self.run(runs)

    @staticmethod
    def with_lines(room: str, seed: int, lines: list[str]) -> str:
        kept = [line for line in room.splitlines() if not line.startswith(("at ", "seed "))]
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
        said = run.report / "said"
        with said.open("wb") as out:
            # Standard input stays open for as long as we live: it ends with us, also when we are killed.
            process = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=out, stderr=subprocess.STDOUT)
        try:
            run.code = process.wait(timeout=RUN_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        assert process.stdin is not None
        process.stdin.close()
        run.said = said.read_text()
        told = run.report / "report.json"
        if told.exists():
            run.told = json.loads(told.read_text())
        self.progress(f"{run.name}: {run.row()[-1]}")

    def shrink(self, failing: Run, most: int) -> Run:
        """The smallest script found that still fails, by leaving lines out, with ``most`` further rehearsals.

        Halves are left out first, then smaller parts, then single lines; the parts of one round are tried
        side by side. Real processes do not fail each time that they could: what passes once is put aside.
        """
        best, spent = failing, 0
        text = failing.scenario.read_text()
        room = [line for line in text.splitlines() if not line.startswith("at ")]
        lines = [line for line in text.splitlines() if line.startswith("at ")]
        parts = 2
        while len(lines) > 1 and spent < most:
            size = max(1, len(lines) // parts)
            tries = [lines[:i] + lines[i + size :] for i in range(0, len(lines), size)]
            runs = [
                self.made(f"{failing.name}-less-{spent + i}", "\n".join([*room, *rest]) + "\n")
                for i, rest in enumerate(tries[: most - spent])
            ]
            spent += len(runs)
            self.run(runs)
            worse = [i for i, run in enumerate(runs) if not run.clean]
            if worse:
                best, lines = runs[worse[0]], tries[worse[0]]
                parts = max(2, parts - 1)
            elif size == 1:
                break
            else:
                parts = min(len(lines), parts * 2)
        return best
