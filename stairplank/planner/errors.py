"""Errors of the planner's core."""

from __future__ import annotations


class PlannerError(Exception):
    """Base of the errors that the planner's core raises; each is caused by a bug, not by invalid input."""


class IllegalTransitionError(PlannerError):
    """An event is not possible in the current state; the message names both."""


class ConcludedTaskError(PlannerError):
    """The decision module placed a task that already has its outcome."""
