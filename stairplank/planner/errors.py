"""Errors of the planner's core."""

from __future__ import annotations


class PlannerError(Exception):
    """Base of the errors that the planner's core raises. They are faults of the program, not of its input."""


class IllegalTransitionError(PlannerError):
    """An event that is impossible in the present state; the text names both."""


class ConcludedTaskError(PlannerError):
    """The decision module placed a task that has its outcome already."""
