"""Quorum rules of a publication: a majority must prepare before any replica commits. No I/O or clock.

Invariants (tests/configuration/test_store.py):

1. No commit is sent before a majority of all configured replicas, reachable or not, has prepared.
2. The new number is higher than every number that a majority of the replicas has reported.
3. Every publication ends: as published if a majority has committed, else with the outcome that the replicas'
   answers give.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .revision import Revision


class PublicationOutcome(Enum):
    """The outcome of a publication across all replicas."""

    PUBLISHED = "published"
    NO_QUORUM = "no quorum"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNCERTAIN = "uncertain"  # a majority has prepared, but fewer have committed


class PhaseAnswer(Enum):
    """One replica's answer to one phase of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class ReplicaNumbers:
    """The revision numbers that a replica reported before the publication."""

    committed: Revision
    highest_number: int


def majority_of(replicas: int) -> int:
    """Return how many of ``replicas`` replicas are a majority."""
    return replicas // 2 + 1


def next_number(replicas: int, replica_numbers: list[ReplicaNumbers]) -> int | None:
    """Return the number of the next publication; None without a majority, as it could be in use already."""
    if len(replica_numbers) < majority_of(replicas):
        return None
    return 1 + max(replica.highest_number for replica in replica_numbers)


def newest_committed(replica_numbers: list[ReplicaNumbers]) -> Revision:
    """Return the newest committed revision among the replicas that answered."""
    return max((replica.committed for replica in replica_numbers), default=Revision())


def outcome_after_prepare(replicas: int, answers: list[PhaseAnswer]) -> PublicationOutcome | None:
    """Return None if the publication may be committed now, else how it has failed.

    With fewer than a majority, another publisher could have prepared the same number at the other replicas.
    """
    if PhaseAnswer.INVALID in answers:
        return PublicationOutcome.INVALID
    if answers.count(PhaseAnswer.ACCEPTED) >= majority_of(replicas):
        return None
    return PublicationOutcome.CONFLICT if PhaseAnswer.CONFLICT in answers else PublicationOutcome.NO_QUORUM


def outcome_after_commit(replicas: int, answers: list[PhaseAnswer]) -> PublicationOutcome:
    """Return the outcome of a publication after its commit phase.

    Planners apply a revision as soon as one replica has committed it. It survives the loss of a minority of
    the replicas only once a majority has committed it.
    """
    if answers.count(PhaseAnswer.ACCEPTED) >= majority_of(replicas):
        return PublicationOutcome.PUBLISHED
    return PublicationOutcome.UNCERTAIN
