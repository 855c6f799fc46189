"""One publication over all replicas: a majority has to prepare it before any commits it. No I/O or clock.

Invariants (tests/configuration/test_publication.py):

1. No commit is sent before a majority of all configured replicas, reachable or not, has prepared.
2. The number is above every number that a majority has seen.
3. It ends: published where a majority has committed, else failed with each replica's answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .revision import Revision


class PublicationOutcome(Enum):
    """Of a publication at all replicas."""

    PUBLISHED = "published"
    NO_QUORUM = "no quorum"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNCERTAIN = "uncertain"  # prepared by a majority, committed by fewer


class PhaseAnswer(Enum):
    """Of one replica to one phase of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class ReplicaNumbers:
    """The numbers that a replica has reported before the publication."""

    committed: Revision
    highest_number: int


def majority_of(replicas: int) -> int:
    """Return how many of so many replicas are a majority."""
    return replicas // 2 + 1


def next_number(replicas: int, replica_numbers: list[ReplicaNumbers]) -> int | None:
    """Return the number of the next publication; None without a majority: a number could be taken twice."""
    if len(replica_numbers) < majority_of(replicas):
        return None
    return 1 + max(one.highest_number for one in replica_numbers)


def newest_committed(replica_numbers: list[ReplicaNumbers]) -> Revision:
    """Return the newest committed revision among the replicas that answered."""
    return max((one.committed for one in replica_numbers), default=Revision())


def outcome_after_prepare(replicas: int, answers: list[PhaseAnswer]) -> PublicationOutcome | None:
    """Return None where the publication may be committed now, else how it has failed.

    Danger: committed with fewer, another publisher may have the number elsewhere.
    """
    if PhaseAnswer.INVALID in answers:
        return PublicationOutcome.INVALID
    if answers.count(PhaseAnswer.ACCEPTED) >= majority_of(replicas):
        return None
    return PublicationOutcome.CONFLICT if PhaseAnswer.CONFLICT in answers else PublicationOutcome.NO_QUORUM


def outcome_after_commit(replicas: int, answers: list[PhaseAnswer]) -> PublicationOutcome:
    """Return how the publication has ended.

    Planners apply it as soon as one replica has it; it survives the loss of replicas with a majority.
    """
    if answers.count(PhaseAnswer.ACCEPTED) >= majority_of(replicas):
        return PublicationOutcome.PUBLISHED
    return PublicationOutcome.UNCERTAIN
