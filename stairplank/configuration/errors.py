"""Errors of the configuration service and of the planners that follow it."""

from __future__ import annotations

from pathlib import Path


class ConfigurationError(Exception):
    """Base class of the errors of this package."""


class StateFileError(ConfigurationError):
    """A file that stores revisions cannot be read or written.

    Attributes:
        path: Path of the file.
        reason: Why it cannot be read or written.
    """

    def __init__(self, path: Path, reason: str | None) -> None:
        """Build the error text from the path and the reason."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RevisionRejectedError(ConfigurationError):
    """A running planner cannot put a revision into force.

    Attributes:
        usable_after_restart: Whether the planner would take the revision at its next start.
    """

    def __init__(self, reason: str, usable_after_restart: bool = False) -> None:
        """Use the reason as the error text."""
        super().__init__(reason)
        self.usable_after_restart = usable_after_restart
