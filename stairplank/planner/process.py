"""What the parts of a planner's process need of the process itself."""

from __future__ import annotations

from typing import Any, Protocol

from ..settings import PlannerConfig
from . import events as ev
from .core import Core


class PlannerProcess(Protocol):
    """The process as its client sessions, node connections and node list watch see it."""

    @property
    def config(self) -> PlannerConfig:
        """The configuration in force; replaced as a whole when settings change."""

    @property
    def position(self) -> int:
        """This planner's number in its site."""

    @property
    def incarnation(self) -> int:
        """Random number of this process life; never 0."""

    @property
    def log(self) -> Any:
        """The process's structured logger."""

    @property
    def core(self) -> Core:
        """The planner's core; to be asked, not to be fed."""

    @property
    def is_leaving(self) -> bool:
        """Whether the process takes no new streams."""

    def handle(self, event: ev.Event) -> None:
        """Let the core handle an event, and carry out its actions; queued if a turn is in progress."""

    def enqueue(self, event: ev.Event) -> None:
        """Queue an event for the turn in progress, or for the next one."""

    def run_queued(self) -> None:
        """Handle what is queued, unless a turn is in progress and will do so."""
