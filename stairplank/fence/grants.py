"""Grants: a message proves how old it is at most by a number that its receiver issued on the same stream.

The receiver (``GrantIssuer``) issues numbers that name moments of its own clock. The sender
(``MessageStamper``) names one of them and how long ago it received it. A message is sent after its grant was
received, and a grant is received after it was issued; so by the receiver's clock the message was sent no
earlier than the grant was issued, plus the time that the sender names. What the fence overstates is the delay
of the grant; it never understates an age.

Invariants (tests/fence checks them against a model that knows the true times):

1. No message is taken to be younger than it is, whatever the network delays, as long as the two clocks differ
   in rate by no more than ``MAX_DRIFT_PPM`` and neither has stepped unseen.
2. A message is taken to be older than it is by no more than the shortest delay of a grant of the last
   ``GRANT_VALIDITY_US``, and the allowance for drift since.
3. A clock of the sender's that steps back makes messages look old; one that steps forward is detected as
   soon as a message would come from the future, or by the sender itself, which then forgets its grants.
4. Nothing grows: a receiver stores four numbers a stream, a sender two grants.
"""

from __future__ import annotations

import random
from typing import NamedTuple

MAX_DRIFT_PPM = 1_000  # two clocks that are off by 500 ppm each, in opposite senses
GRANT_INTERVAL_US = 250_000  # between grants of a stream in use; they go with messages that are sent anyway
IDLE_GRANT_INTERVAL_US = 10_000_000  # between grants of a stream on which nothing else is sent
GRANT_VALIDITY_US = 60_000_000  # a message under an older grant proves nothing
PPM = 1_000_000  # parts in a whole
SALT_BITS = 48  # grants of one stream mean nothing on another


class AgeStamp(NamedTuple):
    """What a message carries: a grant, and for how long its sender has had it, in microseconds."""

    grant: int
    held_us: int


class GrantIssuer:
    """The receiver's half, for one stream. Times are microseconds of the receiver's clock."""

    __slots__ = ("_base", "_last_issued_at", "_oldest_valid_at", "clock_steps")

    def __init__(self, now: int, rng: random.Random) -> None:
        """Begin with a random base, so that grants of another stream mean nothing on this one."""
        self._base = now - (1 + rng.getrandbits(SALT_BITS))
        self._last_issued_at = 0  # 0: none yet
        self._oldest_valid_at = now  # grants from before are not accepted any more
        self.clock_steps = 0  # of the sender's clock that were detected

    def issue(self, now: int) -> int:
        """Return a new grant."""
        self._last_issued_at = now
        return now - self._base

    def issue_if_due(self, now: int) -> int:
        """Return a new grant for a message that is sent anyway; 0 where the last is recent enough."""
        return (
            self.issue(now)
            if not self._last_issued_at or now - self._last_issued_at >= GRANT_INTERVAL_US
            else 0
        )

    def next_due(self) -> int:
        """Return when a grant has to be sent even if nothing else is."""
        return self._last_issued_at + IDLE_GRANT_INTERVAL_US

    def earliest_send_time(self, now: int, stamp: AgeStamp | None) -> int | None:
        """Return when a message with this stamp was sent at the earliest; None where it proves nothing."""
        if stamp is None or not stamp.grant or stamp.held_us > GRANT_VALIDITY_US:
            return None
        issued_at = self._base + stamp.grant
        if issued_at < self._oldest_valid_at or issued_at > now:
            return None
        sent_at = issued_at + stamp.held_us - stamp.held_us * MAX_DRIFT_PPM // PPM
        if sent_at > now:
            # Danger: the sender's clock has run ahead. A message of its own that was delayed for as long as
            # the step would look fresh: what it sends under earlier grants proves nothing from now on.
            self._oldest_valid_at = now
            self._last_issued_at = 0
            self.clock_steps += 1
            return None
        return sent_at


class _ReceivedGrant(NamedTuple):
    grant: int
    received_at: int

    @property
    def freshness(self) -> int:
        """By how much messages under it look younger than under another; in millionths of a microsecond."""
        return self.grant * PPM - self.received_at * (PPM - MAX_DRIFT_PPM)


class MessageStamper:
    """The sender's half, for one stream. Times are microseconds of the sender's clock.

    Of all grants that were received the one with the shortest delay counts: it makes messages look least old.
    Since the allowance for drift grows alike for all of them, which one that is does not change with time, so
    one is enough to store; the newest is stored beside it for when that one has grown too old.
    """

    __slots__ = ("_best", "_newest")

    def __init__(self) -> None:
        """Begin without a grant: messages cannot be stamped yet."""
        self._best: _ReceivedGrant | None = None
        self._newest: _ReceivedGrant | None = None

    def receive_grant(self, now: int, grant: int) -> None:
        """Record a grant that has arrived now; 0 is none."""
        if not grant:
            return
        newest = _ReceivedGrant(grant, now)
        self._newest = newest
        best = self._best
        if (
            best is None
            or now - best.received_at > GRANT_VALIDITY_US // 2
            or newest.freshness >= best.freshness
        ):
            self._best = newest

    def stamp(self, now: int) -> AgeStamp | None:
        """Return the stamp of a message that is sent now; None where no grant is recent enough."""
        for known in (self._best, self._newest):
            if known is not None and 0 <= now - known.received_at <= GRANT_VALIDITY_US:
                return AgeStamp(known.grant, now - known.received_at)
        return None

    def forget(self) -> None:
        """Drop all grants: the own clock may not have run evenly since they were received."""
        self._best = None
        self._newest = None


class ClockStepDetector:
    """Compares two clocks that should run alike; tells when one of them has jumped against the other."""

    __slots__ = ("_last_readings", "_max_step_us")

    def __init__(self, max_step_us: int = 50_000) -> None:
        """Allow so much difference between two readings besides drift, in microseconds."""
        self._last_readings: tuple[int, int] | None = None
        self._max_step_us = max_step_us

    def has_stepped(self, first_clock: int, second_clock: int) -> bool:
        """Return whether, since the last call, the clocks diverged by more than drift and the allowance."""
        last = self._last_readings
        self._last_readings = (first_clock, second_clock)
        if last is None:
            return False
        first_elapsed = first_clock - last[0]
        second_elapsed = second_clock - last[1]
        if first_elapsed < 0 or second_elapsed < 0:
            return True
        allowed = self._max_step_us + max(first_elapsed, second_elapsed) * MAX_DRIFT_PPM // PPM
        return abs(first_elapsed - second_elapsed) > allowed
