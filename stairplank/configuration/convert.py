"""Conversion between the messages of the configuration service and this package's types."""

from __future__ import annotations

from typing import Any

from ..proto import configuration_pb2 as pb
from .revision import Revision
from .store import PlannerStatus, RevisionText

SERVICE = pb.DESCRIPTOR.services_by_name["Configuration"]


def revision_to_message(revision: Revision) -> Any:
    """Return the message of a revision."""
    return pb.Revision(number=revision.number, digest=revision.digest)


def revision_from_message(message: Any) -> Revision:
    """Return a revision from its message; an absent one is number 0."""
    return Revision(message.number, message.digest)


def revision_text_to_message(stored: RevisionText) -> Any:
    """Return the message of a revision with its text."""
    return pb.RevisionText(revision=revision_to_message(stored.revision), text=stored.text)


def revision_text_from_message(message: Any) -> RevisionText:
    """Return a revision with its text from its message."""
    return RevisionText(revision_from_message(message.revision), message.text)


def planner_status_to_message(status: PlannerStatus, now: int) -> Any:
    """Return the message of a planner's status at that time."""
    message = pb.PlannerStatus(
        planner=status.planner,
        life=status.incarnation,
        in_force=revision_to_message(status.in_force),
        rejected=revision_to_message(status.rejected),
        reason=status.reason,
        report_age_us=max(0, now - status.reported_at),
        connected=status.connected,
    )
    if status.delay_us is not None:
        message.delay_us = status.delay_us
    return message
