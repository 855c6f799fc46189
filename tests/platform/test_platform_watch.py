"""The node list service on real connections: how it may hide updates, and how soon they are received."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from platform_standins import FakeNodeListService

from stairplank import interface as api
from stairplank.platform import events as ev
from stairplank.platform import node_watch as module
from stairplank.platform.node_list import NodeList
from stairplank.platform.node_watch import NodeWatch
from stairplank.platform.service import read_clocks

ROW: dict[str, Any] = {"host": "s-1", "dial": "127.0.0.1:1", "health": "SERVING", "block": 0, "site": "a"}
ROW |= {"class": "k", "born_ms": 0, "spare": [1.0, 1.0]}


class Watched:
    def __init__(self) -> None:
        self.service = FakeNodeListService([ROW])
        self.events: list[ev.Event] = []
        self.counts: list[str] = []
        made = NodeList(("a",), ("k",), read_clocks)
        self.watch = NodeWatch(made, self.service.address, self.events.append, self.counts.append)
        self.greenlet = gevent.spawn(self.watch.run)

    def wait_until(self, what: Callable[[], Any]) -> Any:
        with gevent.Timeout(20, AssertionError("it did not come about")):
            while not (got := what()):
                gevent.sleep(0.005)
        return got

    def wait_for_revision(self, rev: int) -> float:
        """Return the seconds until it has that revision."""
        began = time.monotonic()
        self.wait_until(lambda: self.watch.node_list.revision >= rev)
        return time.monotonic() - began


@pytest.fixture
def watched() -> Iterator[Watched]:
    made = Watched()
    made.wait_for_revision(1)
    yield made
    made.greenlet.kill()
    made.service.close()


@pytest.mark.parametrize("silent", [0, 1, 2])
def test_a_service_that_falls_silent_is_received_again_within_four_seconds(
    watched: Watched, silent: int
) -> None:
    """``silent``: so many of the next connections come up and send nothing either."""
    seen = len(watched.service.watches)
    watched.service.silent = set(range(seen + silent))
    watched.service.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 4.0
    assert len(watched.service.watches) == seen + silent + 1


def test_a_service_that_goes_on_with_an_old_revision_is_asked_again(watched: Watched) -> None:
    """It sends its revision each second, and nothing shows that updates are missing."""
    watched.service.stale = set(range(len(watched.service.watches)))
    watched.service.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 4.0


def test_a_revision_without_its_update_is_asked_for_at_once_and_not_in_a_loop(watched: Watched) -> None:
    seen = len(watched.service.watches)
    watched.service.without_updates = set(range(seen + 3))
    watched.service.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 4.0
    assert seen + 3 < len(watched.service.watches) < seen + 6


def test_a_working_watch_is_kept_while_no_new_one_comes_up(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dials: list[float] = []

    def refused(where: str, wait: float) -> Any:
        dials.append(time.monotonic())
        raise ConnectionRefusedError

    monkeypatch.setattr(module.address, "dial", refused)
    watched.wait_until(lambda: len(dials) >= 3)
    watched.service.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 1.0
    assert all(b - a > 0.02 for a, b in zip(dials, dials[1:], strict=False))


def test_at_most_two_connections_are_open_and_the_old_one_closes_once_the_new_one_sends(
    watched: Watched,
) -> None:
    seen = len(watched.service.watches)
    watched.wait_until(lambda: len(watched.service.watches) > seen)  # it is only time
    watched.wait_until(lambda: len(watched.watch._connections) == 1)
    watched.service.silent = set(range(100))
    for _ in range(100):
        assert len(watched.watch._connections) <= module.MAX_CONNECTIONS
        gevent.sleep(0.03)


def test_after_a_break_two_dials_that_time_out_are_made_up_within_two_seconds(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dial, dials = module.address.dial, [0]

    def lost(where: str, wait: float) -> Any:
        dials[0] += 1
        if dials[0] > 2:
            return dial(where, wait)
        gevent.sleep(wait)
        raise TimeoutError

    monkeypatch.setattr(module.address, "dial", lost)
    watched.service.breaks_off = True
    watched.service.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 2.0


def test_a_move_while_the_old_address_is_being_dialled_is_followed(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dial = module.address.dial
    gate: list[str] = []

    def slow(where: str, wait: float) -> Any:
        gate.append(where)
        gevent.sleep(0.2)
        return dial(where, wait)

    monkeypatch.setattr(module.address, "dial", slow)
    other = FakeNodeListService([])
    other.lines = [*watched.service.lines]
    watched.wait_until(lambda: gate)
    watched.watch.set_address("127.0.0.1:9")
    watched.watch.set_address(other.address)  # two in a row: the last counts
    other.publish(ROW | {"health": "DRAINING"})
    assert watched.wait_for_revision(2) < 2.0 and other.watches == [1]
    other.close()


def test_an_entry_that_cannot_be_used_hides_no_drain(watched: Watched) -> None:
    watched.service.publish(
        {"host": "s-2", "health": "SERVING"}, 5, ROW | {"health": "DRAINING", "spare": "?"}
    )
    assert watched.wait_for_revision(2) < 1.0
    (updated,) = (e for e in watched.events[1:] if isinstance(e, ev.NodeListUpdated))
    assert [m.entry.status for m in updated.update.machines] == [api.NodeStatus.DRAINING]
