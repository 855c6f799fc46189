"""A kill after each message: one group's life on real processes, again and again, cut at every point.

A run without a kill counts the pieces that pass between planner and nodes; then, for each of them, a run in
which the planner, or a node, is killed as that piece has passed, and comes back a second later. Each run is
judged like any rehearsal.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path

import gevent

from .relay import Recorder
from .run import Rehearsal
from .scenario import Scenario

BACK_S = 1.0
PLANNER, NODE = "planner", "node"


class KillSweepRun(Rehearsal):
    """``after``: the piece after which ``target`` is killed; 0: none is."""

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
                relay.on_piece = self._piece

    def _piece(self) -> None:
        if not self.begin_us or self.ending:
            return  # links come up before the day begins
        self.pieces += 1
        if self.pieces == self.after and not self.killed:
            self.killed = True
            if self.target == NODE:
                self.children["nodes"].signal(signal.SIGUSR1)
            else:
                gevent.spawn(self._kill_planner)

    def _kill_planner(self) -> None:
        child = self.children["planner 0"]
        child.meant = True  # type: ignore[attr-defined]
        child.signal(signal.SIGKILL)
        child.process.wait(timeout=5)
        child.process.stdin.close()
        gevent.sleep(BACK_S)
        if not self.ending:
            child.start()
            gevent.sleep(1.0)
            child.meant = False  # type: ignore[attr-defined]
