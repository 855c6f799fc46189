"""How a planner follows the configuration: which revision it fetches, checks and takes. No I/O or clock.

A planner watches every replica of the configuration service. Each method takes the time and an event and
returns the actions to carry out; ``next_timer`` says when ``on_timer`` wants to be called.

Invariants (tests/configuration/test_follower.py):

1. The number in force never decreases within an incarnation: a replica that lags, or an announcement that was
   delayed, changes nothing.
2. A text is checked only if it has the digest that was announced, and applied only if its check passed.
3. A revision that was rejected is not fetched again; a later one is.
4. A newer announcement replaces a fetch or a check that is under way; the result of the older is dropped.
5. A fetch that is not answered within ``FETCH_TIMEOUT_US``, or whose replica is lost, goes to another replica
   that announces the revision. Where each of them has failed, ``RETRY_DELAY_US`` pass before the next round.
6. What is in force, and what was rejected, is reported to every connected replica after each change and to a
   replica when it connects.

Bounds: one fetch and one check at a time; one announcement a replica; replicas are those of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .revision import NO_REVISION, Revision, digest_of

FETCH_TIMEOUT_US = 2_000_000  # a text of the largest size takes far less on a link that works
RETRY_DELAY_US = 1_000_000  # between rounds, where no replica gave the text


@dataclass(frozen=True, slots=True)
class FetchText:
    """Request the text from that replica."""

    replica: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class CheckText:
    """Read the text as a configuration and compare it with the one in force."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class ApplyRevision:
    """Put the checked revision into force."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class SendReport:
    """Tell that replica what is in force here."""

    replica: str
    in_force: Revision
    rejected: Revision
    reason: str


Action = FetchText | CheckText | ApplyRevision | SendReport


@dataclass(slots=True)
class _PendingRevision:
    """The revision that is on its way into force."""

    revision: Revision
    replica: str  # the one it is fetched from; empty between two rounds
    requested_at: int
    checking: bool = False
    failed_replicas: set[str] = field(default_factory=set)  # replicas that did not give the text


class Follower:
    """The revision in force at one planner's process, and the one that is on its way there."""

    def __init__(self, in_force: Revision = NO_REVISION) -> None:
        """Begin with the revision that the planner has started with."""
        self.in_force = in_force
        self.rejected = NO_REVISION
        self.reason = ""
        self.replicas: dict[str, Revision] = {}  # those that are connected, with what they announce
        self.pending: _PendingRevision | None = None

    # Events

    def on_connected(self, now: int, replica: str) -> list[Action]:  # noqa: ARG002 - as every event
        """Report to a replica whose stream has come up."""
        self.replicas[replica] = NO_REVISION
        return [self._report_to(replica)]

    def on_connection_lost(self, now: int, replica: str) -> list[Action]:
        """Fetch elsewhere: that stream has ended, or was silent for too long."""
        self.replicas.pop(replica, None)
        if self.pending is None or self.pending.replica != replica or self.pending.checking:
            return []
        return self._fetch_from_next_replica(now)

    def on_announced(self, now: int, replica: str, revision: Revision) -> list[Action]:
        """Fetch a revision that the replica has committed, if it is newer than all others known here."""
        if replica not in self.replicas:
            return []
        self.replicas[replica] = revision
        if not self._is_wanted(revision):
            return []
        if self.pending is not None and self.pending.revision.number >= revision.number:
            is_between_rounds = self.pending.revision == revision and not self.pending.replica
            return self._fetch_from_next_replica(now) if is_between_rounds else []
        # Danger: left to run, a check of the older one could put it into force after this one.
        self.pending = _PendingRevision(revision, replica, now)
        return [FetchText(replica, revision)]

    def on_text_received(self, now: int, replica: str, revision: Revision, text: str) -> list[Action]:
        """Check a replica's answer to a fetch against the digest that was announced."""
        pending = self.pending
        if pending is None or pending.checking or pending.revision != revision:
            return []
        # Danger: a text that was cut off, or is of another revision, would be in force under this number.
        if digest_of(text) != revision.digest:
            pending.failed_replicas.add(replica)
            return self._fetch_from_next_replica(now)
        pending.checking = True
        return [CheckText(revision, text)]

    def on_check_passed(self, now: int, revision: Revision) -> list[Action]:  # noqa: ARG002 - as every event
        """Apply the revision whose text can come into force now."""
        if self.pending is None or not self.pending.checking or self.pending.revision != revision:
            return []
        self.pending = None
        self.in_force = revision
        return [ApplyRevision(revision), *self._report_to_all()]

    def on_check_failed(self, now: int, revision: Revision, reason: str) -> list[Action]:  # noqa: ARG002 - as every event
        """Reject the revision whose text cannot come into force; the one in force stays."""
        if self.pending is None or not self.pending.checking or self.pending.revision != revision:
            return []
        self.pending = None
        return self._reject(revision, reason)

    def on_timer(self, now: int) -> list[Action]:
        """Fetch from another replica where one has not answered in time."""
        due = self.next_timer()
        if due is None or now < due or self.pending is None:
            return []
        if self.pending.replica:
            # Danger: a replica whose stream is up and which never answers would keep the old one in force.
            self.pending.failed_replicas.add(self.pending.replica)
        else:
            self.pending.failed_replicas.clear()
        return self._fetch_from_next_replica(now)

    def next_timer(self) -> int | None:
        """Return when ``on_timer`` is wanted, or None."""
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
        # Danger: without the pause a replica that always answers wrongly would be requested in a loop.
        pending.replica = next((name for name in holders if name not in pending.failed_replicas), "")
        return [FetchText(pending.replica, pending.revision)] if pending.replica else []

    def _fetch_newest(self, now: int) -> list[Action]:
        """Fetch the newest revision on offer: no replica has the pending one any more."""
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
