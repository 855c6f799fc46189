"""The notice board on its sockets: which connections watch it, and when one is made anew.

Invariants (tests/platform/test_platform_watch.py):

1. A connection says nothing that another has not said or will not say: notices are numbered, the board passes
   over repeats. So a new one is made beside the old, which is closed once the new one has spoken.
2. The newest connection was made, or brought a notice, less than ``AGAIN_S`` ago, or the board cannot be
   reached: one that goes on with an old number, as one that says nothing, hides what is told for no longer.
3. At most ``CONNECTIONS_MOST`` are open.

What the board tells while it is broken counts as told 2 s after a break and 4 s after a silence. The longest
chain that is still heard in time: it falls silent (``SILENT_S``), the next connection comes up and is silent
as well, and so the one after it; or, after a break, two dials of which nothing is heard.
"""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event as Flag

from ..rpc import address
from . import events as ev
from . import jsonlines
from .board import Board
from .logs import log
from .messages import Unreadable

SILENT_S = 1.2  # the board says its number each second
AGAIN_S = 2.0
DIAL_S, DIAL_MOST_S = 0.5, 1.5  # a dial's time, doubled with each that fails
RETRY_S, RETRY_MOST_S = 0.05, 0.5  # between connections that brought nothing
CONNECTIONS_MOST = 2
LINE_MOST = 4_194_304


class Watch:
    """``feed`` takes notices, ``count`` what is worth a figure."""

    def __init__(
        self, board: Board, where: str, feed: Callable[[ev.Event], None], count: Callable[[str], None]
    ) -> None:
        self.board = board
        self.address = where
        self.said = 0.0  # when it was last heard, or asked (monotonic, in seconds)
        self._feed, self._count = feed, count
        self._conns: list[Any] = []  # the newest last
        self._fresh = 0.0  # when the newest was made, or a notice came
        self._wake = Flag()
        self._moved = False

    def move(self, where: str) -> None:
        """The board is elsewhere from now on."""
        if where != self.address:
            self.address, self._moved = where, True
            self._wake.set()

    def look(self) -> None:
        """Make sure that it is connected, now."""
        if not self._conns:
            self._wake.set()

    def run(self) -> None:
        """For ever: a connection, and after it the next."""
        wait, dial_s = RETRY_S, DIAL_S
        while True:
            self._wake.clear()
            self._moved = False
            rev, began, up = self.board.rev, time.monotonic(), False
            try:
                up = self._dial(dial_s)
            except Exception:
                # Danger: a fault of our own would end the watch, and every drain from then on goes unheard.
                log("fault", at=traceback.format_exc(limit=-3))
            dial_s = DIAL_S if up else min(2 * dial_s, DIAL_MOST_S)
            if up and (not self._woken() or time.monotonic() > began + SILENT_S):
                wait = RETRY_S
            if up and not self._wake.is_set():
                continue  # it is only time for the next
            self._count("board_breaks")
            if self._moved or (up and self.board.rev != rev):
                continue
            self._wake.clear()
            self._wake.wait(wait)
            wait = min(2 * wait, RETRY_MOST_S)

    def _woken(self) -> bool:
        """Whether something has happened to the connections before it is time for the next."""
        while (left := self._fresh + AGAIN_S - time.monotonic()) > 0:
            if self._wake.wait(left):
                return True
        return False

    def _dial(self, dial_s: float) -> bool:
        try:
            conn = address.dial(self.address, dial_s)
        except (OSError, TimeoutError, ValueError):
            return False
        while len(self._conns) >= CONNECTIONS_MOST:
            self._conns.pop(0).close()
        self._conns.append(conn)
        self._fresh = time.monotonic()
        gevent.spawn(self._follow, conn)
        return True

    def _follow(self, conn: Any) -> None:
        """Read one connection until it is of no further use."""
        try:
            self._read(conn)
        except (OSError, TimeoutError, ValueError, Unreadable):
            pass
        except Exception:
            log("fault", at=traceback.format_exc(limit=-3))
        conn.close()
        if conn in self._conns:
            newest = self._conns[-1] is conn
            self._conns.remove(conn)
            if newest:
                self._wake.set()

    def _read(self, conn: Any) -> None:
        conn.settimeout(SILENT_S)
        conn.sendall(b"watch %d\n" % self.board.rev)
        self.said = last = time.monotonic()
        lines = jsonlines.Lines(LINE_MOST)
        silent = False
        while True:
            conn.settimeout(None if silent else max(0.01, last + SILENT_S - time.monotonic()))
            try:
                data = conn.recv(65_536)
            except TimeoutError:
                # It may go on, after a stall of ours: read on beside the next one, until that has spoken.
                silent = True
                if self._conns and self._conns[-1] is conn:
                    self._wake.set()
                continue
            if not data:
                return
            for line in lines.feed(data):
                last = self.said = time.monotonic()
                silent = False
                notice, missed = self.board.take(jsonlines.parsed(line))
                self._retire(conn)
                if notice is not None:
                    self._fresh = last
                    self._feed(ev.BoardTold(notice))
                if missed:
                    return
                if notice is None:
                    self._feed(ev.BoardHeard())
            gevent.sleep(0)

    def _retire(self, conn: Any) -> None:
        """Those that are older than one that has spoken are of no further use."""
        while conn in self._conns and self._conns[0] is not conn:
            self._conns.pop(0).close()
