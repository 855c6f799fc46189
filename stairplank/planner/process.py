"""The interface of the planner's process that its parts use."""

from __future__ import annotations

from typing import Any, Protocol

from ..settings import PlannerConfig
from . import events as ev
from .core import Core


class PlannerProcess(Protocol):
    """The process, as client sessions, node connections and the node list watch use it."""

    @property
    def config(self) -> PlannerConfig:
        """Return the configuration in force; it is replaced as a whole when settings change."""

    @property
    def position(self) -> int:
        """Return this planner's number in its site."""

    @property
    def incarnation(self) -> int:
        """Return the random number of this incarnation of the process; never 0."""

    @property
    def log(self) -> Any:
        """Return the structured logger of the process."""

    @property
    def core(self) -> Core:
        """Return the planner's core, for queries only; events go through ``handle``."""

    @property
    def is_shutting_down(self) -> bool:
        """Return whether the process is shutting down and accepts no new streams."""

    def handle(self, event: ev.Event) -> None:
        """Have the core handle an event and carry out its actions.

        The event is queued if a turn is in progress or the process has stalled.
        """

    def enqueue(self, event: ev.Event) -> None:
        """Queue an event for the turn in progress, or for the next turn."""

    def run_queued(self) -> None:
        """Handle the queued events, unless a turn is in progress that will handle them."""
