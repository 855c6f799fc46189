"""The fence by age: never younger than true, whatever delays and clocks do; fresh ones soon pass again."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stairplank.fence import (
    MAX_DRIFT_PPM,
    AgeStamp,
    ClockStepDetector,
    GrantIssuer,
    MessageStamper,
    StreamEpochs,
)
from stairplank.fence.grants import GRANT_INTERVAL_US, GRANT_VALIDITY_US, IDLE_GRANT_INTERVAL_US

MS = 1_000
SECOND = 1_000_000
HOUR = 3_600 * SECOND


class Clock:
    """True time seen by a clock that is off in rate and reading."""

    def __init__(self, ppm: int = 0, offset: int = 0) -> None:
        self.ppm, self.offset = ppm, offset

    def at(self, true: int) -> int:
        return self.offset + true + true * self.ppm // 1_000_000


class Pair:
    """A stream between two clocks; its delays are set by the test."""

    def __init__(self, sender: Clock, receiver: Clock, true: int = 10 * SECOND) -> None:
        self.sender, self.receiver, self.true = sender, receiver, true
        self.grants = GrantIssuer(receiver.at(true), random.Random(7))
        self.stamps = MessageStamper()

    def grant(self, delay_us: int = 0) -> None:
        number = self.grants.issue(self.receiver.at(self.true))
        self.stamps.receive_grant(self.sender.at(self.true + delay_us), number)

    def stamp(self) -> AgeStamp | None:
        return self.stamps.stamp(self.sender.at(self.true))

    def age(self, stamp: AgeStamp | None, true: int) -> int | None:
        """How old a message that comes at a true time is taken to be."""
        now = self.receiver.at(true)
        at = self.grants.earliest_send_time(now, stamp)
        return None if at is None else now - at


def test_a_message_is_as_old_as_its_delay() -> None:
    pair = Pair(Clock(), Clock(offset=77 * HOUR))
    pair.grant(delay_us=200)
    pair.true += 2 * SECOND
    stamp = pair.stamp()
    age = pair.age(stamp, pair.true + 12 * SECOND)
    assert age is not None and 12 * SECOND <= age <= 12 * SECOND + 200 + 2 * MS
    fresh = pair.age(stamp, pair.true + 300)
    assert fresh is not None and 300 <= fresh <= 500 + 2 * MS


def test_the_grant_with_the_shortest_delay_counts() -> None:
    pair = Pair(Clock(), Clock())
    pair.grant(delay_us=3 * SECOND)  # the first one was held
    pair.true += 3 * SECOND
    assert (pair.age(pair.stamp(), pair.true) or 0) >= 3 * SECOND
    pair.grant(delay_us=200)
    pair.true += 10 * MS
    assert (pair.age(pair.stamp(), pair.true) or 0) <= MS  # the next one mends it
    pair.grant(delay_us=2 * SECOND)
    pair.true += 2 * SECOND
    assert (pair.age(pair.stamp(), pair.true) or 0) <= 4 * MS  # and a late one does not spoil it


def test_nothing_is_proven_without_a_grant_of_this_stream() -> None:
    pair, other = Pair(Clock(), Clock()), GrantIssuer(10 * SECOND, random.Random(8))
    pair.grant()
    now = pair.true + SECOND
    assert pair.grants.earliest_send_time(now, None) is None
    assert pair.grants.earliest_send_time(now, AgeStamp(0, 5)) is None
    assert other.earliest_send_time(now, pair.stamp()) is None  # of another stream
    first = pair.grants.issue(now) - 5 * SECOND
    assert pair.grants.earliest_send_time(now, AgeStamp(first, SECOND)) is None  # from before this one began
    assert (
        pair.grants.earliest_send_time(now, AgeStamp(pair.grants.issue(now) + 1, 0)) is None
    )  # not issued yet


def test_expired_grants_are_not_used_in_stamps() -> None:
    pair = Pair(Clock(), Clock())
    pair.grant()
    stamp = pair.stamp()
    assert stamp is not None
    pair.true += GRANT_VALIDITY_US + 1
    assert pair.stamp() is None
    assert pair.grants.earliest_send_time(pair.true, AgeStamp(stamp.grant, GRANT_VALIDITY_US + 1)) is None
    pair.grant()
    assert pair.stamp() is not None


def test_grants_are_issued_with_messages_and_by_themselves_on_an_idle_stream() -> None:
    grants = GrantIssuer(SECOND, random.Random(1))
    issued_at = [at for at in range(SECOND, 2 * SECOND, 10 * MS) if grants.issue_if_due(at)]
    assert issued_at == list(range(SECOND, 2 * SECOND, GRANT_INTERVAL_US))
    assert grants.next_due() == issued_at[-1] + IDLE_GRANT_INTERVAL_US


def test_a_sender_s_clock_that_steps_forward_is_detected() -> None:
    """Danger: what was held for as long as the step would look fresh."""
    pair = Pair(Clock(), Clock())
    pair.grant()
    pair.true += SECOND
    pair.sender.offset += 5 * SECOND  # unseen by the sender
    held = pair.stamp()  # said now, and kept by the network
    assert pair.age(pair.stamp(), pair.true + MS) is None  # from the future: the step is known
    assert pair.grants.clock_steps == 1
    assert pair.age(held, pair.true + 5 * SECOND) is None  # under an earlier grant: worth nothing
    pair.grant()
    pair.true += MS
    assert (pair.age(pair.stamp(), pair.true) or 0) < 2 * MS  # the refusal's grant mends it


def test_a_sender_s_clock_that_steps_back_makes_messages_old() -> None:
    pair = Pair(Clock(), Clock())
    pair.grant()
    pair.true += 2 * SECOND
    pair.sender.offset -= SECOND
    age = pair.age(pair.stamp(), pair.true + MS)
    assert age is not None and age >= SECOND
    pair.grant()
    assert (pair.age(pair.stamp(), pair.true + MS) or 0) <= 2 * MS


def test_a_stopped_sender_s_message_ages_from_when_it_was_sent() -> None:
    pair = Pair(Clock(), Clock())
    pair.grant(delay_us=100)
    pair.true += 100
    stamp = pair.stamp()  # queued; then the process stands for ten seconds, and its socket sends
    assert (pair.age(stamp, pair.true + 10 * SECOND) or 0) >= 10 * SECOND
    pair.true += 10 * SECOND
    assert (pair.age(pair.stamp(), pair.true + MS) or 0) <= 12 * MS  # what is said after that is fresh


@pytest.mark.parametrize(("sender", "receiver"), [(500, -500), (-500, 500), (0, 500), (500, 500)])
def test_clocks_that_drift_for_hours(sender: int, receiver: int) -> None:
    pair = Pair(Clock(sender, 3 * HOUR), Clock(receiver, -HOUR), true=HOUR)
    rng = random.Random(3)
    end = pair.true + 6 * HOUR
    worst = 0
    while pair.true < end:
        pair.grant(delay_us=rng.randint(100, 500))
        pair.true += rng.randint(MS, IDLE_GRANT_INTERVAL_US)
        stamp, delay_us = pair.stamp(), rng.randint(50, 500)
        age = pair.age(stamp, pair.true + delay_us)
        assert age is not None and age >= delay_us  # never younger than true
        worst = max(worst, age - delay_us)
        held = pair.age(stamp, pair.true + 4 * SECOND)
        assert held is not None and held >= 4 * SECOND * (1_000_000 - 500) // 1_000_000
    # No older than the delay_us of a grant and the allowance for drift since it was given.
    assert worst <= 500 + IDLE_GRANT_INTERVAL_US * 2 * MAX_DRIFT_PPM // 1_000_000 + MS


WAYS = st.one_of(st.integers(0, 2_000), st.integers(0, 15 * SECOND))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    ppm=st.tuples(st.integers(-500, 500), st.integers(-500, 500)),
    steps=st.lists(st.tuples(st.integers(0, 8 * SECOND), st.booleans(), WAYS, WAYS), min_size=1, max_size=25),
)
def test_no_message_is_taken_to_be_younger_than_it_is(
    ppm: tuple[int, int], steps: list[tuple[int, bool, int, int]]
) -> None:
    """Any order of grants and messages over ways that take anything up to fifteen seconds."""
    pair = Pair(Clock(ppm[0], 9 * HOUR), Clock(ppm[1]))
    grants: list[tuple[int, int]] = []  # when heard, number
    for pause, renew, delay_us, back in steps:
        pair.true += pause
        if renew:
            number = pair.grants.issue(pair.receiver.at(pair.true))
            grants.append((pair.true + delay_us, number))
        for heard, number in sorted(g for g in grants if g[0] <= pair.true):
            pair.stamps.receive_grant(pair.sender.at(heard), number)
        grants = [g for g in grants if g[0] > pair.true]
        stamp = pair.stamp()
        if stamp is not None:
            age = pair.age(stamp, pair.true + back)
            true_age = pair.receiver.at(pair.true + back) - pair.receiver.at(pair.true)
            assert age is None or age >= true_age - 2
            assert age is not None or stamp.held_us > GRANT_VALIDITY_US


def test_two_clocks_that_diverge() -> None:
    watch = ClockStepDetector()
    assert not watch.has_stepped(1_000, 5_000)
    assert not watch.has_stepped(1_000 + HOUR, 5_000 + HOUR + HOUR // 2_000)  # drift
    assert watch.has_stepped(2_000 + HOUR + 2 * SECOND, 6_000 + HOUR + HOUR // 2_000)
    assert not watch.has_stepped(3_000 + HOUR + 2 * SECOND, 7_000 + HOUR + HOUR // 2_000)  # from there on
    assert watch.has_stepped(0, 8_000 + HOUR + HOUR // 2_000)


def test_epochs_order_streams_and_are_limited() -> None:
    epochs = StreamEpochs(2)
    assert epochs.accept("a", 1) and epochs.accept("a", 3)
    assert not epochs.accept("a", 3) and not epochs.accept("a", 2)
    assert epochs.accept("b", 0) and epochs.accept("c", 5)
    assert len(epochs) == 2
    assert epochs.accept("a", 1)  # forgotten at the bound: as if for the first time
    assert not epochs.accept("c", 5)
