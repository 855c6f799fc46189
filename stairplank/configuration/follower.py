"""Decides which revision of the configuration a planner fetches, checks and applies. No I/O or clock.

A planner watches every replica of the configuration service. Each method takes the time and an event and
returns the actions to carry out; ``next_timer`` returns when ``on_timer`` must be called.

Invariants (tests/configuration/test_follower.py):

1. The number of the revision in force never decreases within an incarnation: a replica that lags, or a
   delayed announcement, changes nothing.
2. A text is checked only if it has the digest that was announced, and applied only if its check passed.
3. A revision that was rejected is not fetched again; a later one is.
4. A newer announcement replaces a fetch or a check that is under way; the result of the older is dropped.
5. A fetch that is not answered within ``FETCH_TIMEOUT_US``, or whose replica is lost, goes to another replica
   that announces the revision. If every such replica has failed, ``RETRY_DELAY_US`` pass before they are
   tried again.
6. The revision in force and the rejected one are reported to every connected replica after each change, and
   to a replica when it connects.

Bounds: one fetch and one check at a time; one announcement per replica; only the replicas in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .revision import NO_REVISION, Revision, digest_of

FETCH_TIMEOUT_US = 2_000_000  # the largest text takes far less on a working connection
RETRY_DELAY_US = 1_000_000  # pause after every replica has failed to deliver the text


@dataclass(frozen=True, slots=True)
class FetchText:
    """Action: request the text of a revision from a replica."""

    replica: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class CheckText:
    """Action: parse the text as a configuration and compare it with the one in force."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class ApplyRevision:
    """Action: put the checked revision into force."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class SendReport:
    """Action: report the revisions in force and rejected here to a replica."""

    replica: str
    in_force: Revision
    rejected: Revision
    reason: str


Action = FetchText | CheckText | ApplyRevision | SendReport


@dataclass(slots=True)
class _PendingRevision:
    """The newer revision that is being fetched or checked."""

    revision: Revision
    replica: str  # replica that it is fetched from; empty in the pause between two rounds
    requested_at: int
    checking: bool = False
    failed_replicas: set[str] = field(default_factory=set)  # replicas that failed to deliver the text


class Follower:
    """Tracks the revision in force at a planner process, and the newer one that it fetches or checks."""

    def __init__(self, in_force: Revision = NO_REVISION) -> None:
        """Start from the revision that the planner loaded at startup."""
        self.in_force = in_force
        self.rejected = NO_REVISION
        self.reason = ""
        self.replicas: dict[str, Revision] = {}  # the revision announced by each connected replica
        self.pending: _PendingRevision | None = None

    # Events

    def on_connected(self, now: int, replica: str) -> list[Action]:  # noqa: ARG002 - signature shared by all events
        """Report to a replica whose stream has opened."""
        self.replicas[replica] = NO_REVISION
        return [self._report_to(replica)]

    def on_connection_lost(self, now: int, replica: str) -> list[Action]:
        """Fetch from another replica: the stream to this one has ended or timed out."""
        self.replicas.pop(replica, None)
        if self.pending is None or self.pending.replica != replica or self.pending.checking:
            return []
        return self._fetch_from_next_replica(now)

    def on_announced(self, now: int, replica: str, revision: Revision) -> list[Action]:
        """Fetch a revision that the replica has committed, if it is newer than every revision known here."""
        if replica not in self.replicas:
            return []
        self.replicas[replica] = revision
        if not self._is_wanted(revision):
            return []
        if self.pending is not None and self.pending.revision.number >= revision.number:
            is_between_rounds = self.pending.revision == revision and not self.pending.replica
            return self._fetch_from_next_replica(now) if is_between_rounds else []
        # Replacing the older pending revision keeps its check from putting it into force after this one.
        self.pending = _PendingRevision(revision, replica, now)
        return [FetchText(replica, revision)]

    def on_text_received(self, now: int, replica: str, revision: Revision, text: str) -> list[Action]:
        """Compare a fetched text with the announced digest and start its check if they match."""
        pending = self.pending
        if pending is None or pending.checking or pending.revision != revision:
            return []
        # Without this check, a truncated text or one of another revision could be applied under this number.
        if digest_of(text) != revision.digest:
            pending.failed_replicas.add(replica)
            return self._fetch_from_next_replica(now)
        pending.checking = True
        return [CheckText(revision, text)]

    def on_check_passed(self, now: int, revision: Revision) -> list[Action]:  # noqa: ARG002 - signature shared by all events
        """Put the revision into force, because its text has passed the check."""
        if self.pending is None or not self.pending.checking or self.pending.revision != revision:
            return []
        self.pending = None
        self.in_force = revision
        return [ApplyRevision(revision), *self._report_to_all()]

    def on_check_failed(self, now: int, revision: Revision, reason: str) -> list[Action]:  # noqa: ARG002 - signature shared by all events
        """Reject the revision, because its text has failed the check; the one in force stays."""
        if self.pending is None or not self.pending.checking or self.pending.revision != revision:
            return []
        self.pending = None
        return self._reject(revision, reason)

    def on_timer(self, now: int) -> list[Action]:
        """Fetch from another replica if one has not answered in time, or after a pause between rounds."""
        due = self.next_timer()
        if due is None or now < due or self.pending is None:
            return []
        if self.pending.replica:
            # If it were not skipped, a connected replica that never answers would keep the old one in force.
            self.pending.failed_replicas.add(self.pending.replica)
        else:
            self.pending.failed_replicas.clear()
        return self._fetch_from_next_replica(now)

    def next_timer(self) -> int | None:
        """Return when ``on_timer`` must be called, or None if no timer is needed."""
        pending = self.pending
        if pending is None or pending.checking:
            return None
        return pending.requested_at + (FETCH_TIMEOUT_US if pending.replica else RETRY_DELAY_US)

    # Decisions

    def _is_wanted(self, revision: Revision) -> bool:
        return revision.number > self.in_force.number and revision.number > self.rejected.number

    def _fetch_from_next_replica(self, now: int) -> list[Action]:
        pending = self.pending
        assert pending is not None
        holders = [name for name, known in self.replicas.items() if known == pending.revision]
        if not holders:
            return self._fetch_newest(now)
        pending.requested_at = now
        # An empty name starts a pause. Without it, a replica with wrong answers would be queried in a loop.
        pending.replica = next((name for name in holders if name not in pending.failed_replicas), "")
        return [FetchText(pending.replica, pending.revision)] if pending.replica else []

    def _fetch_newest(self, now: int) -> list[Action]:
        """Fetch the newest announced revision, because no replica announces the pending one any more."""
        self.pending = None
        wanted = [(known, name) for name, known in self.replicas.items() if self._is_wanted(known)]
        if not wanted:
            return []
        revision, replica = max(wanted)
        self.pending = _PendingRevision(revision, replica, now)
        return [FetchText(replica, revision)]

    def _reject(self, revision: Revision, reason: str) -> list[Action]:
        self.rejected = revision
        self.reason = reason
        return [*self._report_to_all()]

    def _report_to_all(self) -> list[SendReport]:
        return [self._report_to(replica) for replica in self.replicas]

    def _report_to(self, replica: str) -> SendReport:
        return SendReport(replica, self.in_force, self.rejected, self.reason)
