"""The notice board on real connections: the ways in which it hides news, and how soon they are heard."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from platform_standins import BoardStand

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
        self.board = BoardStand([ROW])
        self.told: list[ev.Event] = []
        self.counts: list[str] = []
        made = NodeList(("a",), ("k",), read_clocks)
        self.watch = NodeWatch(made, self.board.address, self.told.append, self.counts.append)
        self.runs = gevent.spawn(self.watch.run)

    def until(self, what: Callable[[], Any]) -> Any:
        with gevent.Timeout(20, AssertionError("it did not come about")):
            while not (got := what()):
                gevent.sleep(0.005)
        return got

    def hears(self, rev: int) -> float:
        """Seconds until it has that notice."""
        began = time.monotonic()
        self.until(lambda: self.watch.node_list.revision >= rev)
        return time.monotonic() - began


@pytest.fixture
def one() -> Iterator[Watched]:
    made = Watched()
    made.hears(1)
    yield made
    made.runs.kill()
    made.board.close()


@pytest.mark.parametrize("silent", [0, 1, 2])
def test_a_board_that_falls_silent_is_heard_again_within_four_seconds(one: Watched, silent: int) -> None:
    """``silent``: so many of the next connections come up and say nothing either."""
    seen = len(one.board.watches)
    one.board.silent = set(range(seen + silent))
    one.board.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 4.0
    assert len(one.board.watches) == seen + silent + 1


def test_one_that_goes_on_with_an_old_number_is_asked_again(one: Watched) -> None:
    """It says its number each second, and nothing shows that it leaves something out."""
    one.board.stuck = set(range(len(one.board.watches)))
    one.board.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 4.0


def test_a_number_without_its_notice_is_asked_for_at_once_and_not_in_a_loop(one: Watched) -> None:
    seen = len(one.board.watches)
    one.board.bare = set(range(seen + 3))
    one.board.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 4.0
    assert seen + 3 < len(one.board.watches) < seen + 6


def test_a_working_watch_is_kept_while_no_new_one_comes_up(
    one: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dials: list[float] = []

    def refused(where: str, wait: float) -> Any:
        dials.append(time.monotonic())
        raise ConnectionRefusedError

    monkeypatch.setattr(module.address, "dial", refused)
    one.until(lambda: len(dials) >= 3)
    one.board.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 1.0
    assert all(b - a > 0.02 for a, b in zip(dials, dials[1:], strict=False))


def test_at_most_two_connections_are_open_and_the_old_one_goes_once_the_new_one_speaks(one: Watched) -> None:
    seen = len(one.board.watches)
    one.until(lambda: len(one.board.watches) > seen)  # it is only time
    one.until(lambda: len(one.watch._connections) == 1)
    one.board.silent = set(range(100))
    for _ in range(100):
        assert len(one.watch._connections) <= module.MAX_CONNECTIONS
        gevent.sleep(0.03)


def test_after_a_break_two_silent_dials_are_borne_within_two_seconds(
    one: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dial, dials = module.address.dial, [0]

    def lost(where: str, wait: float) -> Any:
        dials[0] += 1
        if dials[0] > 2:
            return dial(where, wait)
        gevent.sleep(wait)
        raise TimeoutError

    monkeypatch.setattr(module.address, "dial", lost)
    one.board.mangled = True
    one.board.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 2.0


def test_a_move_while_the_old_address_is_being_dialled_is_followed(
    one: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    dial = module.address.dial
    gate: list[str] = []

    def slow(where: str, wait: float) -> Any:
        gate.append(where)
        gevent.sleep(0.2)
        return dial(where, wait)

    monkeypatch.setattr(module.address, "dial", slow)
    other = BoardStand([])
    other.lines = [*one.board.lines]
    one.until(lambda: gate)
    one.watch.set_address("127.0.0.1:9")
    one.watch.set_address(other.address)  # two in a row: the last counts
    other.tell(ROW | {"health": "DRAINING"})
    assert one.hears(2) < 2.0 and other.watches == [1]
    other.close()


def test_an_entry_that_cannot_be_used_hides_no_drain(one: Watched) -> None:
    one.board.tell({"host": "s-2", "health": "SERVING"}, 5, ROW | {"health": "DRAINING", "spare": "?"})
    assert one.hears(2) < 1.0
    (told,) = (e for e in one.told[1:] if isinstance(e, ev.NodeListUpdated))
    assert [m.entry.status for m in told.update.machines] == [api.NodeStatus.DRAINING]
