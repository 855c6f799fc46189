"""Errors of the configuration service and of the planners that follow it."""

from __future__ import annotations

from pathlib import Path


class ConfigurationError(Exception):
    """Base of all errors of this package."""


class StateFileError(ConfigurationError):
    """A file of revisions cannot be read or written.

    Attributes:
        path: The file.
        reason: What is wrong with it.
    """

    def __init__(self, path: Path, reason: str | None) -> None:
        """Name the file and the reason in the text."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RevisionRejectedError(ConfigurationError):
    """A revision cannot come into force while the planner runs.

    Attributes:
        usable_after_restart: Whether the planner would take the revision at its next start.
    """

    def __init__(self, reason: str, usable_after_restart: bool = False) -> None:
        """Take the reason as the text."""
        super().__init__(reason)
        self.usable_after_restart = usable_after_restart
