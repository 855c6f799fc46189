"""State of one replica of the configuration service.

It consists of the committed revision, the prepared one, and the revision in force at each planner. No I/O or
clock; the caller persists ``state`` before it answers.

A publication has two phases. ``prepare`` reserves a number for one text; ``commit`` follows once a majority
of the replicas has prepared it. A number therefore has at most one committed text at a site, even with
concurrent publishers: two publishers cannot both have a majority for one number.

Invariants (tests/configuration/test_store.py):

1. The committed number never decreases.
2. A number is prepared for one text only; a repeat with the same text is accepted again.
3. Only a revision that is prepared here is committed, and only under its digest.
4. A planner's report that a prepared revision is in force commits it here: another replica must have
   committed it, and this one has missed the commit.
5. Bounds: one committed and one prepared text; ``MAX_PLANNERS`` planner processes. A disconnected process is
   removed ``FORGET_AFTER_US`` after its last report, or when its successor connects.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .revision import NO_REVISION, Revision, make_revision

MAX_PLANNERS = 8_192
FORGET_AFTER_US = 600_000_000  # a decommissioned planner leaves the status after this time


class PhaseResult(Enum):
    """The result of one phase of a publication at this replica."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class RevisionText:
    """A revision with its text."""

    revision: Revision = NO_REVISION
    text: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The state that must survive a restart of the replica."""

    committed: RevisionText = RevisionText()
    prepared: RevisionText = RevisionText()


EMPTY_STATE = ReplicaState()


@dataclass(frozen=True, slots=True)
class PlannerStatus:
    """The state of a planner process according to its last report.

    Attributes:
        planner: Position among the planners of the site.
        incarnation: Identity of the process.
        in_force: The revision that it applies.
        rejected: The newest revision that it has rejected.
        reason: Why it has rejected that revision.
        delay_us: Time from the commit at this replica to the report that the revision is in force.
        reported_at: Time of the last report, in microseconds.
        streams: Number of its streams that are open at this replica.
    """

    planner: int
    incarnation: int
    in_force: Revision = NO_REVISION
    rejected: Revision = NO_REVISION
    reason: str = ""
    delay_us: int | None = None
    reported_at: int = 0
    streams: int = 0

    @property
    def connected(self) -> bool:
        """Whether a stream of this process is open at this replica."""
        return self.streams > 0


class RevisionStore:
    """The revisions and the planners that one replica knows."""

    def __init__(self, state: ReplicaState = EMPTY_STATE) -> None:
        """Start from the state that an earlier process has persisted."""
        self.state = state
        self.committed_at: int | None = None  # time of the last commit by this process
        self.planners: dict[tuple[int, int], PlannerStatus] = {}  # keyed by planner and incarnation
        self._incarnations: dict[int, set[int]] = {}  # known incarnations of each planner

    # Publications

    @property
    def committed(self) -> Revision:
        """The newest committed revision."""
        return self.state.committed.revision

    @property
    def highest_number(self) -> int:
        """The highest number that was prepared or committed here."""
        return max(self.committed.number, self.state.prepared.revision.number)

    def prepare(self, number: int, text: str) -> PhaseResult:
        """Reserve the number for the text, unless the number is in use for another text."""
        revision = make_revision(number, text)
        if revision in (self.state.prepared.revision, self.committed):
            return PhaseResult.ACCEPTED
        # Accepting a second text would let one number identify two configurations.
        if number <= self.highest_number:
            return PhaseResult.CONFLICT
        self.state = replace(self.state, prepared=RevisionText(revision, text))
        return PhaseResult.ACCEPTED

    def commit(self, now: int, revision: Revision) -> PhaseResult:
        """Commit the revision if it was prepared here."""
        if revision == self.committed:
            return PhaseResult.ACCEPTED
        # Without this check, a commit delayed past a later publication would revert to the older revision.
        if self.state.prepared.revision != revision or revision.number <= self.committed.number:
            return PhaseResult.CONFLICT
        self.state = replace(self.state, committed=self.state.prepared)
        self.committed_at = now
        return PhaseResult.ACCEPTED

    # Planners

    def stream_opened(self, now: int, planner: int, incarnation: int) -> None:
        """Record that a stream of the planner process has opened."""
        incarnations = self._incarnations.setdefault(planner, set())
        for other in [other for other in incarnations if other != incarnation]:
            if not self.planners[planner, other].connected:
                self._remove(planner, other)
        known = self.planners.get(
            (planner, incarnation), PlannerStatus(planner, incarnation, reported_at=now)
        )
        self.planners[planner, incarnation] = replace(known, streams=known.streams + 1)
        self._incarnations.setdefault(planner, set()).add(incarnation)
        if len(self.planners) > MAX_PLANNERS:
            self._evict_disconnected()

    def stream_closed(self, now: int, planner: int, incarnation: int) -> None:
        """Record that a stream of the planner process has closed."""
        known = self.planners.get((planner, incarnation))
        if known is not None:
            streams = max(0, known.streams - 1)
            self.planners[planner, incarnation] = replace(known, streams=streams, reported_at=now)

    def record_report(
        self, now: int, planner: int, incarnation: int, in_force: Revision, rejected: Revision, reason: str
    ) -> bool:
        """Record a planner's report; return whether it commits the revision that was prepared here."""
        known = self.planners.get((planner, incarnation))
        if known is None:
            return False
        is_missed_commit = (
            in_force == self.state.prepared.revision and in_force.number > self.committed.number
        )
        if is_missed_commit:
            self.commit(now, in_force)
        delay = known.delay_us
        if in_force != known.in_force:
            delay = self._delay_since_commit(now, in_force)
        self.planners[planner, incarnation] = replace(
            known, in_force=in_force, rejected=rejected, reason=reason, delay_us=delay, reported_at=now
        )
        return is_missed_commit

    def _delay_since_commit(self, now: int, in_force: Revision) -> int | None:
        if in_force != self.committed or self.committed_at is None:
            return None
        return max(0, now - self.committed_at)

    def _remove(self, planner: int, incarnation: int) -> None:
        del self.planners[planner, incarnation]
        incarnations = self._incarnations[planner]
        incarnations.discard(incarnation)
        if not incarnations:
            del self._incarnations[planner]

    def _evict_disconnected(self) -> None:
        """Remove the planner processes that have been disconnected for longest.

        Otherwise planners that are started under ever new numbers would fill the table.
        """
        idle = [key for key, status in self.planners.items() if not status.connected]
        idle.sort(key=lambda key: self.planners[key].reported_at)
        for key in idle[: MAX_PLANNERS // 8]:
            self._remove(*key)

    def statuses(self, now: int) -> tuple[PlannerStatus, ...]:
        """Remove expired planner processes; return all others, ordered by planner number."""
        for key, status in list(self.planners.items()):
            if not status.connected and status.reported_at + FORGET_AFTER_US <= now:
                self._remove(*key)
        return tuple(self.planners[key] for key in sorted(self.planners))
