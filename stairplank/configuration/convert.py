"""Conversion between the messages of the configuration service and this package's types."""

from __future__ import annotations

from typing import Any

from ..proto import configuration_pb2 as pb
from .revision import Revision
from .store import PlannerStatus, RevisionText

SERVICE = pb.DESCRIPTOR.services_by_name["Configuration"]


def revision_to_message(revision: Revision) -> Any:
    """Return the protobuf message for a revision."""
    return pb.Revision(number=revision.number, digest=revision.digest)


def revision_from_message(message: Any) -> Revision:
    """Return the revision in a message; an absent message gives revision number 0."""
    return Revision(message.number, message.digest)


def revision_text_to_message(stored: RevisionText) -> Any:
    """Return the protobuf message for a revision with its text."""
    return pb.RevisionText(revision=revision_to_message(stored.revision), text=stored.text)


def revision_text_from_message(message: Any) -> RevisionText:
    """Return the revision and its text in a message."""
    return RevisionText(revision_from_message(message.revision), message.text)


def planner_status_to_message(status: PlannerStatus, now: int) -> Any:
    """Return the protobuf message for a planner's status; ``now`` dates its last report."""
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
