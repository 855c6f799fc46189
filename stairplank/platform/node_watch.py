"""The watch of the node list service on its sockets: which connections are open, and when one is made anew.

Invariants (tests/platform/test_platform_watch.py):

1. A connection sends nothing that another has not sent or will not send: updates are numbered, the node list
   ignores repeats. So a new one is made beside the old, which is closed once the new one has sent something.
2. The newest connection was made, or brought an update, less than ``AGAIN_S`` ago, or the service cannot be
   reached: one that goes on with an old revision, as one that is silent, hides updates for no longer.
3. At most ``CONNECTIONS_MOST`` are open.

An update that is due while the service is broken counts as sent 2 s after a break and 4 s after a silence.
The longest chain that is still in time: the service falls silent (``SILENT_S``), the next connection comes up
and is silent as well, and so the one after it; or, after a break, two dials without an answer.
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
from .logs import log
from .messages import Unreadable
from .node_list import NodeList

SILENCE_TIMEOUT_S = 1.2  # the service sends its revision each second
RENEWAL_INTERVAL_S = 2.0
DIAL_TIMEOUT_S, MAX_DIAL_TIMEOUT_S = 0.5, 1.5  # a dial's time, doubled with each that fails
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.5  # between connections that brought nothing
MAX_CONNECTIONS = 2
MAX_LINE_BYTES = 4_194_304


class NodeWatch:
    """``enqueue`` takes updates, ``count`` what is worth a figure."""

    def __init__(
        self,
        node_list: NodeList,
        service_address: str,
        enqueue: Callable[[ev.Event], None],
        count: Callable[[str], None],
    ) -> None:
        self.node_list = node_list
        self.address = service_address
        self.last_received_s = 0.0  # when it last sent something, or was asked (monotonic, in seconds)
        self._enqueue, self._count = enqueue, count
        self._connections: list[Any] = []  # the newest last
        self._last_progress_s = 0.0  # when the newest was made, or a update came
        self._wake = Flag()
        self._address_changed = False

    def set_address(self, service_address: str) -> None:
        """The service is at another address from now on."""
        if service_address != self.address:
            self.address, self._address_changed = service_address, True
            self._wake.set()

    def ensure_connected(self) -> None:
        """Make sure that it is connected, now."""
        if not self._connections:
            self._wake.set()

    def run(self) -> None:
        """For ever: a connection, and after it the next."""
        wait, dial_s = MIN_BACKOFF_S, DIAL_TIMEOUT_S
        while True:
            self._wake.clear()
            self._address_changed = False
            rev, began, up = self.node_list.revision, time.monotonic(), False
            try:
                up = self._dial(dial_s)
            except Exception:
                # Danger: a fault of our own would end the watch, and every drain from then on goes unheard.
                log("fault", at=traceback.format_exc(limit=-3))
            dial_s = DIAL_TIMEOUT_S if up else min(2 * dial_s, MAX_DIAL_TIMEOUT_S)
            if up and (not self._is_woken_early() or time.monotonic() > began + SILENCE_TIMEOUT_S):
                wait = MIN_BACKOFF_S
            if up and not self._wake.is_set():
                continue  # it is only time for the next
            self._count("board_breaks")
            if self._address_changed or (up and self.node_list.revision != rev):
                continue
            self._wake.clear()
            self._wake.wait(wait)
            wait = min(2 * wait, MAX_BACKOFF_S)

    def _is_woken_early(self) -> bool:
        """Whether something has happened to the connections before it is time for the next."""
        while (left := self._last_progress_s + RENEWAL_INTERVAL_S - time.monotonic()) > 0:
            if self._wake.wait(left):
                return True
        return False

    def _dial(self, dial_s: float) -> bool:
        try:
            conn = address.dial(self.address, dial_s)
        except (OSError, TimeoutError, ValueError):
            return False
        while len(self._connections) >= MAX_CONNECTIONS:
            self._connections.pop(0).close()
        self._connections.append(conn)
        self._last_progress_s = time.monotonic()
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
        if conn in self._connections:
            newest = self._connections[-1] is conn
            self._connections.remove(conn)
            if newest:
                self._wake.set()

    def _read(self, conn: Any) -> None:
        conn.settimeout(SILENCE_TIMEOUT_S)
        conn.sendall(b"watch %d\n" % self.node_list.revision)
        self.last_received_s = last = time.monotonic()
        lines = jsonlines.Lines(MAX_LINE_BYTES)
        silent = False
        while True:
            conn.settimeout(None if silent else max(0.01, last + SILENCE_TIMEOUT_S - time.monotonic()))
            try:
                data = conn.recv(65_536)
            except TimeoutError:
                # It may go on, after a stall of ours: read on beside the next one, until that has spoken.
                silent = True
                if self._connections and self._connections[-1] is conn:
                    self._wake.set()
                continue
            if not data:
                return
            for line in lines.feed(data):
                last = self.last_received_s = time.monotonic()
                silent = False
                update, missed = self.node_list.apply(jsonlines.parsed(line))
                self._close_older_than(conn)
                if update is not None:
                    self._last_progress_s = last
                    self._enqueue(ev.NodeListUpdated(update))
                if missed:
                    return
                if update is None:
                    self._enqueue(ev.NodeListConfirmed())
            gevent.sleep(0)

    def _close_older_than(self, conn: Any) -> None:
        """Those that are older than one that has spoken are of no further use."""
        while conn in self._connections and self._connections[0] is not conn:
            self._connections.pop(0).close()
