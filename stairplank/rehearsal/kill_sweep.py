"""Kill sweep: repeats a scenario of one group on real processes, with a kill after each message.

A run without a kill counts the pieces that pass between planner and nodes. For each piece, another run kills
the planner or a node as that piece passes, and restarts it a second later. Each run is checked like any
rehearsal.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path

import gevent

from .relay import Recorder
from .run import Rehearsal
from .scenario import Scenario

RESTART_DELAY_S = 1.0
PLANNER, NODE = "planner", "node"


class KillSweepRun(Rehearsal):
    """A rehearsal that kills ``target`` at piece number ``after``; with 0, it kills nothing."""

    def __init__(
        self, scenario: Scenario, work: Path, progress: Callable[[str], None], after: int, target: str
    ) -> None:
        super().__init__(scenario, work, progress)
        self.after = after
        self.target = target
        self.pieces = 0
        self.killed = False

    def _prepare(self, recorder: Recorder) -> None:
        super()._prepare(recorder)
        for key, relay in recorder.relays.items():
            if key.startswith("node"):
                relay.on_piece = self._count_piece

    def _count_piece(self) -> None:
        if not self.begin_us or self.ending:
            return  # links are established before the scenario begins
        self.pieces += 1
        if self.pieces == self.after and not self.killed:
            self.killed = True
            if self.target == NODE:
                self.children["nodes"].signal(signal.SIGUSR1)
            else:
                gevent.spawn(self._kill_planner)

    def _kill_planner(self) -> None:
        child = self.children["planner 0"]
        child.ends_by_fault = True  # type: ignore[attr-defined]
        child.signal(signal.SIGKILL)
        child.process.wait(timeout=5)
        child.process.stdin.close()
        gevent.sleep(RESTART_DELAY_S)
        if not self.ending:
            child.start()
            gevent.sleep(1.0)
            child.ends_by_fault = False  # type: ignore[attr-defined]
