"""Tests that grants never underestimate the age of a message, whatever the delays and clocks.

They also test that the estimate becomes accurate again once a new grant has been received.
"""

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
    """A clock with an error in rate, in parts per million, and a constant offset from the true time."""

    def __init__(self, ppm: int = 0, offset: int = 0) -> None:
        self.ppm, self.offset = ppm, offset

    def read(self, true_time: int) -> int:
        return self.offset + true_time + true_time * self.ppm // 1_000_000


class Stream:
    """A stream between a sender and a receiver with a clock each. The test sets the delays of messages."""

    def __init__(self, sender: Clock, receiver: Clock, true_time: int = 10 * SECOND) -> None:
        self.sender, self.receiver, self.true_time = sender, receiver, true_time
        self.grants = GrantIssuer(receiver.read(true_time), random.Random(7))
        self.stamps = MessageStamper()

    def grant(self, delay_us: int = 0) -> None:
        number = self.grants.issue(self.receiver.read(self.true_time))
        self.stamps.receive_grant(self.sender.read(self.true_time + delay_us), number)

    def stamp(self) -> AgeStamp | None:
        return self.stamps.stamp(self.sender.read(self.true_time))

    def age(self, stamp: AgeStamp | None, true_time: int) -> int | None:
        """Return the estimated age of a message that is received at a true time, or None if unknown."""
        now = self.receiver.read(true_time)
        sent_at = self.grants.earliest_send_time(now, stamp)
        return None if sent_at is None else now - sent_at


def test_a_message_is_as_old_as_its_delay() -> None:
    stream = Stream(Clock(), Clock(offset=77 * HOUR))
    stream.grant(delay_us=200)
    stream.true_time += 2 * SECOND
    stamp = stream.stamp()
    age = stream.age(stamp, stream.true_time + 12 * SECOND)
    assert age is not None and 12 * SECOND <= age <= 12 * SECOND + 200 + 2 * MS
    fresh = stream.age(stamp, stream.true_time + 300)
    assert fresh is not None and 300 <= fresh <= 500 + 2 * MS


def test_the_grant_with_the_shortest_delay_counts() -> None:
    stream = Stream(Clock(), Clock())
    stream.grant(delay_us=3 * SECOND)  # the first grant is delayed
    stream.true_time += 3 * SECOND
    assert (stream.age(stream.stamp(), stream.true_time) or 0) >= 3 * SECOND
    stream.grant(delay_us=200)
    stream.true_time += 10 * MS
    # The second grant makes the estimate accurate.
    assert (stream.age(stream.stamp(), stream.true_time) or 0) <= MS
    stream.grant(delay_us=2 * SECOND)
    stream.true_time += 2 * SECOND
    # A later, delayed grant does not make the estimate worse.
    assert (stream.age(stream.stamp(), stream.true_time) or 0) <= 4 * MS


def test_the_age_is_unknown_without_a_grant_of_this_stream() -> None:
    stream, other = Stream(Clock(), Clock()), GrantIssuer(10 * SECOND, random.Random(8))
    stream.grant()
    now = stream.true_time + SECOND
    assert stream.grants.earliest_send_time(now, None) is None
    assert stream.grants.earliest_send_time(now, AgeStamp(0, 5)) is None
    assert other.earliest_send_time(now, stream.stamp()) is None  # the grant is of another stream
    before_start = stream.grants.issue(now) - 5 * SECOND  # a grant from before the stream began
    assert stream.grants.earliest_send_time(now, AgeStamp(before_start, SECOND)) is None
    # The next stamp contains a grant that is not issued yet.
    assert stream.grants.earliest_send_time(now, AgeStamp(stream.grants.issue(now) + 1, 0)) is None


def test_expired_grants_are_not_used_in_stamps() -> None:
    stream = Stream(Clock(), Clock())
    stream.grant()
    stamp = stream.stamp()
    assert stamp is not None
    stream.true_time += GRANT_VALIDITY_US + 1
    assert stream.stamp() is None
    assert (
        stream.grants.earliest_send_time(stream.true_time, AgeStamp(stamp.grant, GRANT_VALIDITY_US + 1))
        is None
    )
    stream.grant()
    assert stream.stamp() is not None


def test_grants_are_issued_at_intervals_with_messages_and_on_an_idle_stream() -> None:
    grants = GrantIssuer(SECOND, random.Random(1))
    issued_at = [now for now in range(SECOND, 2 * SECOND, 10 * MS) if grants.issue_if_due(now)]
    assert issued_at == list(range(SECOND, 2 * SECOND, GRANT_INTERVAL_US))
    assert grants.next_due() == issued_at[-1] + IDLE_GRANT_INTERVAL_US


def test_a_forward_step_of_the_sender_s_clock_is_detected() -> None:
    """Without the detection, a message delayed for as long as the step would appear to be new."""
    stream = Stream(Clock(), Clock())
    stream.grant()
    stream.true_time += SECOND
    stream.sender.offset += 5 * SECOND  # the sender does not detect the step
    delayed_stamp = stream.stamp()  # the network delays the message with this stamp
    # The next message appears to come from the future, which reveals the step.
    assert stream.age(stream.stamp(), stream.true_time + MS) is None
    assert stream.grants.clock_steps == 1
    assert stream.age(delayed_stamp, stream.true_time + 5 * SECOND) is None  # earlier grants are invalid
    stream.grant()
    stream.true_time += MS
    # A new grant makes the estimate accurate again.
    assert (stream.age(stream.stamp(), stream.true_time) or 0) < 2 * MS


def test_a_backward_step_of_the_sender_s_clock_makes_messages_appear_older() -> None:
    stream = Stream(Clock(), Clock())
    stream.grant()
    stream.true_time += 2 * SECOND
    stream.sender.offset -= SECOND
    age = stream.age(stream.stamp(), stream.true_time + MS)
    assert age is not None and age >= SECOND
    stream.grant()
    assert (stream.age(stream.stamp(), stream.true_time + MS) or 0) <= 2 * MS


def test_a_message_of_a_stalled_sender_ages_from_when_it_was_stamped() -> None:
    stream = Stream(Clock(), Clock())
    stream.grant(delay_us=100)
    stream.true_time += 100
    # The message with this stamp stays in the send buffer while the process stalls for ten seconds.
    stamp = stream.stamp()
    assert (stream.age(stamp, stream.true_time + 10 * SECOND) or 0) >= 10 * SECOND
    stream.true_time += 10 * SECOND
    # A message stamped after the stall is new.
    assert (stream.age(stream.stamp(), stream.true_time + MS) or 0) <= 12 * MS


@pytest.mark.parametrize(("sender", "receiver"), [(500, -500), (-500, 500), (0, 500), (500, 500)])
def test_ages_are_bounded_while_clocks_drift_for_hours(sender: int, receiver: int) -> None:
    stream = Stream(Clock(sender, 3 * HOUR), Clock(receiver, -HOUR), true_time=HOUR)
    rng = random.Random(3)
    end = stream.true_time + 6 * HOUR
    largest_error = 0
    while stream.true_time < end:
        stream.grant(delay_us=rng.randint(100, 500))
        stream.true_time += rng.randint(MS, IDLE_GRANT_INTERVAL_US)
        stamp, delay_us = stream.stamp(), rng.randint(50, 500)
        age = stream.age(stamp, stream.true_time + delay_us)
        assert age is not None and age >= delay_us  # the age is never underestimated
        largest_error = max(largest_error, age - delay_us)
        delayed_age = stream.age(stamp, stream.true_time + 4 * SECOND)
        assert delayed_age is not None and delayed_age >= 4 * SECOND * (1_000_000 - 500) // 1_000_000
    # The error is at most the delay of a grant plus the allowance for drift since the grant was issued.
    assert largest_error <= 500 + IDLE_GRANT_INTERVAL_US * 2 * MAX_DRIFT_PPM // 1_000_000 + MS


DELAYS = st.one_of(st.integers(0, 2_000), st.integers(0, 15 * SECOND))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    ppm=st.tuples(st.integers(-500, 500), st.integers(-500, 500)),
    steps=st.lists(
        st.tuples(st.integers(0, 8 * SECOND), st.booleans(), DELAYS, DELAYS), min_size=1, max_size=25
    ),
)
def test_the_age_of_a_message_is_never_underestimated(
    ppm: tuple[int, int], steps: list[tuple[int, bool, int, int]]
) -> None:
    """Grants and messages are sent in any order, each with a delay of up to fifteen seconds."""
    stream = Stream(Clock(ppm[0], 9 * HOUR), Clock(ppm[1]))
    grants: list[tuple[int, int]] = []  # true time of receipt and the grant
    for pause, issues_grant, grant_delay_us, message_delay_us in steps:
        stream.true_time += pause
        if issues_grant:
            number = stream.grants.issue(stream.receiver.read(stream.true_time))
            grants.append((stream.true_time + grant_delay_us, number))
        for received_at, number in sorted(g for g in grants if g[0] <= stream.true_time):
            stream.stamps.receive_grant(stream.sender.read(received_at), number)
        grants = [g for g in grants if g[0] > stream.true_time]
        stamp = stream.stamp()
        if stamp is not None:
            age = stream.age(stamp, stream.true_time + message_delay_us)
            true_age = stream.receiver.read(stream.true_time + message_delay_us) - stream.receiver.read(
                stream.true_time
            )
            assert age is None or age >= true_age - 2
            assert age is not None or stamp.held_us > GRANT_VALIDITY_US


def test_divergence_of_two_clocks_beyond_drift_is_detected() -> None:
    detector = ClockStepDetector()
    assert not detector.has_stepped(1_000, 5_000)
    # The next difference is within the allowance for drift.
    assert not detector.has_stepped(1_000 + HOUR, 5_000 + HOUR + HOUR // 2_000)
    assert detector.has_stepped(2_000 + HOUR + 2 * SECOND, 6_000 + HOUR + HOUR // 2_000)
    # The step does not count again, since the clocks are compared with the previous call.
    assert not detector.has_stepped(3_000 + HOUR + 2 * SECOND, 7_000 + HOUR + HOUR // 2_000)
    assert detector.has_stepped(0, 8_000 + HOUR + HOUR // 2_000)


def test_epochs_identify_the_newest_stream_of_a_limited_number_of_peers() -> None:
    epochs = StreamEpochs(2)
    assert epochs.accept("a", 1) and epochs.accept("a", 3)
    assert not epochs.accept("a", 3) and not epochs.accept("a", 2)
    assert epochs.accept("b", 0) and epochs.accept("c", 5)
    assert len(epochs) == 2
    assert epochs.accept("a", 1)  # the limit had removed this peer, so any epoch is accepted
    assert not epochs.accept("c", 5)
