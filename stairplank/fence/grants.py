"""Grants: numbers issued by a receiver that bound the age of the messages sent to it on the same stream.

The receiver (``GrantIssuer``) issues grants, which encode times of its own clock. The sender
(``MessageStamper``) puts into each message a grant and the time since it received that grant. A grant is
received after it was issued, and a message is sent after its grant was received. By the receiver's clock, the
message was therefore sent no earlier than the grant's time of issue plus the time that the sender states.
The receiver may overestimate a message's age by the network delay of the grant; it never underestimates it.

Invariants (tests/fence checks them against a model that knows the true times):

1. The estimated age of a message is never below its true age, whatever the network delays, as long as the two
   clocks differ in rate by no more than ``MAX_DRIFT_PPM`` and neither has made an undetected step.
2. The estimated age exceeds the true age by no more than the shortest delay of a grant of the last
   ``GRANT_VALIDITY_US`` plus the allowance for clock drift since that grant.
3. If the sender's clock steps back, messages appear older than they are. If it steps forward, the step is
   detected as soon as a message appears to come from the future, or by the sender, which drops its grants.
4. Memory is bounded: a receiver stores four numbers per stream, a sender two grants.
"""

from __future__ import annotations

import random
from typing import NamedTuple

MAX_DRIFT_PPM = 1_000  # two clocks, one 500 ppm fast and the other 500 ppm slow
GRANT_INTERVAL_US = 250_000  # between grants on an active stream, where other messages carry them
IDLE_GRANT_INTERVAL_US = 10_000_000  # between grants on a stream on which nothing else is sent
GRANT_VALIDITY_US = 60_000_000  # an older grant does not bound the age of a message
PPM = 1_000_000  # divisor of a rate in parts per million
SALT_BITS = 48  # of the random offset that makes a grant of one stream invalid on another


class AgeStamp(NamedTuple):
    """The grant in a message, and the time in microseconds since the sender of the message received it."""

    grant: int
    held_us: int


class GrantIssuer:
    """Issues grants on one stream and bounds the age of its messages.

    All times are microseconds of the receiver's clock.
    """

    __slots__ = ("_base", "_last_issued_at", "_oldest_valid_at", "clock_steps")

    def __init__(self, now: int, rng: random.Random) -> None:
        """Choose a random base for this stream, so that grants of another stream are invalid on it."""
        self._base = now - (1 + rng.getrandbits(SALT_BITS))
        self._last_issued_at = 0  # 0 until the first grant is issued
        self._oldest_valid_at = now  # grants issued earlier are rejected
        self.clock_steps = 0  # number of forward steps detected on the sender's clock

    def issue(self, now: int) -> int:
        """Issue a grant for the time ``now`` and return it."""
        self._last_issued_at = now
        return now - self._base

    def issue_if_due(self, now: int) -> int:
        """Return a new grant to add to an outgoing message, or 0 while the last grant is recent enough."""
        return (
            self.issue(now)
            if not self._last_issued_at or now - self._last_issued_at >= GRANT_INTERVAL_US
            else 0
        )

    def next_due(self) -> int:
        """Return when a grant must be sent in a message of its own if no other message has carried one."""
        return self._last_issued_at + IDLE_GRANT_INTERVAL_US

    def earliest_send_time(self, now: int, stamp: AgeStamp | None) -> int | None:
        """Return the earliest time at which a message with this stamp can have been sent; None if unknown."""
        if stamp is None or not stamp.grant or stamp.held_us > GRANT_VALIDITY_US:
            return None
        issued_at = self._base + stamp.grant
        if issued_at < self._oldest_valid_at or issued_at > now:
            return None
        # Rounded up: the sender's clock may read a microsecond more after any hold.
        drift_us = -(-stamp.held_us * MAX_DRIFT_PPM // PPM)
        sent_at = issued_at + stamp.held_us - drift_us
        if sent_at > now:
            # The sender's clock has stepped forward. A message delayed for as long as the step would appear
            # to have been sent just now, so all grants issued before this time become invalid.
            self._oldest_valid_at = now
            self._last_issued_at = 0
            self.clock_steps += 1
            return None
        return sent_at


class _ReceivedGrant(NamedTuple):
    grant: int
    received_at: int

    @property
    def send_time_bias(self) -> int:
        """Return a score, in millionths of a microsecond, that is higher the shorter the grant's delay was.

        With the higher-scoring of two grants, the receiver estimates a lower age for the same message.
        """
        return self.grant * PPM - self.received_at * (PPM - MAX_DRIFT_PPM)


class MessageStamper:
    """Stores received grants of one stream and stamps outgoing messages with them.

    All times are microseconds of the sender's clock. The stamp uses the grant with the shortest network
    delay, because the receiver then overestimates the age of a message the least. The allowance for drift
    grows at the same rate for all grants, so the best grant stays the best and no other needs to be kept for
    comparison. The newest grant is stored as well, for use when the best one has expired.
    """

    __slots__ = ("_best", "_newest")

    def __init__(self) -> None:
        """Start without a grant; messages cannot be stamped until the first one is received."""
        self._best: _ReceivedGrant | None = None
        self._newest: _ReceivedGrant | None = None

    def receive_grant(self, now: int, grant: int) -> None:
        """Store a grant received at ``now``. A grant of 0 means that the message carried none."""
        if not grant:
            return
        newest = _ReceivedGrant(grant, now)
        self._newest = newest
        best = self._best
        if (
            best is None
            or now - best.received_at > GRANT_VALIDITY_US // 2
            or newest.send_time_bias >= best.send_time_bias
        ):
            self._best = newest

    def stamp(self, now: int) -> AgeStamp | None:
        """Return the stamp for a message sent at ``now``, or None if no grant is recent enough."""
        for candidate in (self._best, self._newest):
            if candidate is not None and 0 <= now - candidate.received_at <= GRANT_VALIDITY_US:
                return AgeStamp(candidate.grant, now - candidate.received_at)
        return None

    def forget(self) -> None:
        """Drop all grants, because the sender's clock may have stepped since they were received."""
        self._best = None
        self._newest = None


class ClockStepDetector:
    """Compares two clocks that should advance at the same rate and detects a step of one of them."""

    __slots__ = ("_last_readings", "_max_step_us")

    def __init__(self, max_step_us: int = 50_000) -> None:
        """``max_step_us``: tolerated divergence between two calls, in microseconds, on top of clock drift."""
        self._last_readings: tuple[int, int] | None = None
        self._max_step_us = max_step_us

    def has_stepped(self, first_clock: int, second_clock: int) -> bool:
        """Return whether the clocks diverged since the last call by more than drift and the tolerance."""
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
