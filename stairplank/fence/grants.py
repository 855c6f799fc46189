"""Grants: by what its receiver gave on the same stream, a message tells how old it is at most.

The receiver (``Grants``) gives numbers that name moments of its own clock. The sender (``Stamps``) names one
of them and how long ago it heard it. A message is said after its grant was heard, and a grant is heard after
it was given; so by the receiver's clock the message was said no earlier than the grant was given, plus the
time that the sender names. What the fence overstates is the way of the grant; it never understates an age.

Invariants (tests/fence checks them against a model that knows the true times):

1. No message is taken to be younger than it is, whatever the ways hold, as long as the two clocks differ in
   rate by no more than ``DRIFT_PPM`` and neither has stepped unseen.
2. A message is taken to be older than it is by no more than the shortest way that a grant of the last
   ``VALID_US`` took, and the allowance for drift since.
3. A clock of the sender's that steps back makes messages look old; one that steps forward is found out as
   soon as a message would come from the future, or by the sender itself, which then forgets its grants.
4. Nothing grows: a receiver keeps four numbers a stream, a sender two.
"""

from __future__ import annotations

import random
from typing import NamedTuple

MAX_DRIFT_PPM = 1_000  # two clocks that are off by 500 ppm each, in opposite senses
GRANT_INTERVAL_US = 250_000  # a stream in use is given a new grant so often, with what is said anyway
IDLE_GRANT_INTERVAL_US = 10_000_000  # one on which nothing is said, so often by itself
GRANT_VALIDITY_US = 60_000_000  # a message under an older grant is refused
SALT_BITS = 48  # grants of one stream mean nothing on another


class AgeStamp(NamedTuple):
    """What a message carries: a grant, and for how long its sender has had it (microseconds)."""

    grant: int
    held_us: int


class GrantIssuer:
    """The receiver's half, for one stream. Times are microseconds of the receiver's clock."""

    __slots__ = ("_base", "_last_issued_at", "_oldest_valid_at", "clock_steps")

    def __init__(self, now: int, rng: random.Random) -> None:
        self._base = now - (1 + rng.getrandbits(SALT_BITS))
        self._last_issued_at = 0  # when the last one was; 0: none yet
        self._oldest_valid_at = now  # grants from before are not taken any more
        self.clock_steps = 0  # of the sender's clock, as they were found out

    def issue(self, now: int) -> int:
        """A new grant, always."""
        self._last_issued_at = now
        return now - self._base

    def issue_if_due(self, now: int) -> int:
        """A new grant for a message that is said anyway; 0 where the last is young enough."""
        return (
            self.issue(now)
            if not self._last_issued_at or now - self._last_issued_at >= GRANT_INTERVAL_US
            else 0
        )

    def next_due(self) -> int:
        """When one is to be given even if nothing else is said."""
        return self._last_issued_at + IDLE_GRANT_INTERVAL_US

    def earliest_send_time(self, now: int, stamp: AgeStamp | None) -> int | None:
        """When a message with this stamp was said at the earliest; None: it proves nothing."""
        if stamp is None or not stamp.grant or stamp.held_us > GRANT_VALIDITY_US:
            return None
        given = self._base + stamp.grant
        if given < self._oldest_valid_at or given > now:
            return None
        at = given + stamp.held_us - stamp.held_us * MAX_DRIFT_PPM // 1_000_000
        if at > now:
            # Danger: the sender's clock has run ahead. A message of its own that was held for as long as the
            # step would look fresh: what it says under earlier grants is worth nothing from now on.
            self._oldest_valid_at = now
            self._last_issued_at = 0
            self.clock_steps += 1
            return None
        return at


class MessageStamper:
    """The sender's half, for one stream. Times are microseconds of the sender's clock.

    Of all grants that were heard the one counts that came by the shortest way: it makes messages look least
    old. Since the allowance for drift grows alike for all of them, which one that is does not change with
    time, and one is enough to keep; the newest is kept beside it for when that one has grown too old.
    """

    __slots__ = ("_best", "_newest")

    def __init__(self) -> None:
        self._best: tuple[int, int] | None = None  # grant, when heard
        self._newest: tuple[int, int] | None = None

    def receive_grant(self, now: int, grant: int) -> None:
        """A grant has come, now; 0 is none."""
        if not grant:
            return
        fresh = self._newest = (grant, now)
        best = self._best
        if (
            best is None
            or self._freshness(fresh) >= self._freshness(best)
            or now - best[1] > GRANT_VALIDITY_US // 2
        ):
            self._best = fresh

    @staticmethod
    def _freshness(grant: tuple[int, int]) -> int:
        """By how much messages under it look younger than under another; in millionths of a microsecond."""
        return grant[0] * 1_000_000 - grant[1] * (1_000_000 - MAX_DRIFT_PPM)

    def stamp(self, now: int) -> AgeStamp | None:
        """For a message that is said now; None where no grant is young enough to be named."""
        for known in (self._best, self._newest):
            if known is not None and 0 <= now - known[1] <= GRANT_VALIDITY_US:
                return AgeStamp(known[0], now - known[1])
        return None

    def forget(self) -> None:
        """The own clock cannot be trusted to have run evenly since the grants were heard."""
        self._best = self._newest = None


class ClockStepDetector:
    """Compares two clocks that should run alike; says when one of them has jumped against the other."""

    __slots__ = ("_last_readings", "_max_step_us")

    def __init__(self, max_step_us: int = 50_000) -> None:
        self._last_readings: tuple[int, int] | None = None
        self._max_step_us = max_step_us

    def has_stepped(self, first_clock: int, second_clock: int) -> bool:
        """Whether, since the last call, the clocks went apart by more than drift and ``most_us`` explain."""
        last, self._last_readings = self._last_readings, (first_clock, second_clock)
        if last is None:
            return False
        went, other_went = first_clock - last[0], second_clock - last[1]
        if went < 0 or other_went < 0:
            return True
        allowed = self._max_step_us + max(went, other_went) * MAX_DRIFT_PPM // 1_000_000
        return abs(went - other_went) > allowed
