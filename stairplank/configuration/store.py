"""What one replica of the configuration service keeps: the committed revision, the prepared one, and which
planner has which revision in force. No I/O or clock; the caller persists ``state`` before it answers.

A publication has two phases. ``prepare`` reserves a number for one text; ``commit`` follows once a majority
of the replicas has prepared. So one number has at most one committed text at a site, whoever publishes at
the same time: two publishers cannot both have a majority for one number.

Invariants (tests/configuration/test_store.py):

1. The committed number never decreases.
2. A number is prepared for one text only; a repeat of the same is accepted again.
3. Only what is prepared here is committed, and only under its digest.
4. A planner's report that a prepared revision is in force commits it here: it can be in force only where
   another replica has committed it, and this one missed that.
5. Bounds: one committed and one prepared text; ``PLANNERS_MOST`` processes of planners. One that is not
   connected is forgotten ``FORGET_US`` after its last report, or as its successor connects.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .revision import NO_REVISION, Revision, revision_of

PLANNERS_MOST = 8_192
FORGET_US = 600_000_000  # a planner that was taken out of service leaves the status by then


class Result(Enum):
    """Of a phase of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Stored:
    """A revision with its text."""

    revision: Revision = NO_REVISION
    text: str = ""


@dataclass(frozen=True, slots=True)
class State:
    """What has to survive a restart of the replica."""

    committed: Stored = Stored()
    prepared: Stored = Stored()


@dataclass(frozen=True, slots=True)
class PlannerStatus:
    """A planner's process as its last report has it. ``delay_us``: from the commit here to that report."""

    planner: int
    life: int
    in_force: Revision = NO_REVISION
    rejected: Revision = NO_REVISION
    reason: str = ""
    delay_us: int | None = None
    reported_at: int = 0
    streams: int = 0

    @property
    def connected(self) -> bool:
        """Whether a stream of this planner is open here."""
        return self.streams > 0


class Store:
    """One life of a replica."""

    def __init__(self, state: State = State()) -> None:  # noqa: B008 - frozen
        self.state = state
        self.committed_at: int | None = None  # in this life of the replica
        self.planners: dict[tuple[int, int], PlannerStatus] = {}  # by planner and life
        self._lives: dict[int, set[int]] = {}  # of each planner

    # Publications

    @property
    def committed(self) -> Revision:
        return self.state.committed.revision

    @property
    def highest_number(self) -> int:
        """Of all that was prepared or committed here."""
        return max(self.committed.number, self.state.prepared.revision.number)

    def prepare(self, number: int, text: str) -> Result:
        """Reserve the number for the text."""
        revision = revision_of(number, text)
        if revision in (self.state.prepared.revision, self.committed):
            return Result.ACCEPTED
        # Danger: taken for a second text, a number would stand for two configurations.
        if number <= self.highest_number:
            return Result.CONFLICT
        self.state = replace(self.state, prepared=Stored(revision, text))
        return Result.ACCEPTED

    def commit(self, now: int, revision: Revision) -> Result:
        """Announce what was prepared."""
        if revision == self.committed:
            return Result.ACCEPTED
        # Danger: a commit that was delayed past a later publication would take that one back.
        if self.state.prepared.revision != revision or revision.number <= self.committed.number:
            return Result.CONFLICT
        self.state = replace(self.state, committed=self.state.prepared)
        self.committed_at = now
        return Result.ACCEPTED

    # Planners

    def joined(self, now: int, planner: int, life: int) -> None:
        """A stream of that process has begun."""
        lives = self._lives.setdefault(planner, set())
        for other in [other for other in lives if other != life]:
            if not self.planners[planner, other].connected:
                self._remove(planner, other)
        known = self.planners.get((planner, life), PlannerStatus(planner, life, reported_at=now))
        self.planners[planner, life] = replace(known, streams=known.streams + 1)
        self._lives.setdefault(planner, set()).add(life)
        if len(self.planners) > PLANNERS_MOST:
            self._make_room()

    def left(self, now: int, planner: int, life: int) -> None:
        """A stream of that process has ended."""
        known = self.planners.get((planner, life))
        if known is not None:
            streams = max(0, known.streams - 1)
            self.planners[planner, life] = replace(known, streams=streams, reported_at=now)

    def reported(
        self, now: int, planner: int, life: int, in_force: Revision, rejected: Revision, reason: str
    ) -> bool:
        """Take a planner's report. True where it commits what was prepared here."""
        known = self.planners.get((planner, life))
        if known is None:
            return False
        heals = in_force == self.state.prepared.revision and in_force.number > self.committed.number
        if heals:
            self.commit(now, in_force)
        delay = known.delay_us
        if in_force != known.in_force:
            delay = self._delay(now, in_force)
        self.planners[planner, life] = replace(
            known, in_force=in_force, rejected=rejected, reason=reason, delay_us=delay, reported_at=now
        )
        return heals

    def _delay(self, now: int, in_force: Revision) -> int | None:
        if in_force != self.committed or self.committed_at is None:
            return None
        return max(0, now - self.committed_at)

    def _remove(self, planner: int, life: int) -> None:
        del self.planners[planner, life]
        lives = self._lives[planner]
        lives.discard(life)
        if not lives:
            del self._lives[planner]

    def _make_room(self) -> None:
        """Danger: planners that are started under ever new numbers would fill the table."""
        idle = [key for key, status in self.planners.items() if not status.connected]
        idle.sort(key=lambda key: self.planners[key].reported_at)
        for key in idle[: PLANNERS_MOST // 8]:
            self._remove(*key)

    def statuses(self, now: int) -> tuple[PlannerStatus, ...]:
        """Every known process, by the planner's number."""
        for key, status in list(self.planners.items()):
            if not status.connected and status.reported_at + FORGET_US <= now:
                self._remove(*key)
        return tuple(self.planners[key] for key in sorted(self.planners))
