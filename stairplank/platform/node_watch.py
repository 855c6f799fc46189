"""Watches the node list service: the sockets of its connections. ``watch_policy`` decides which are kept.

Invariants (tests/platform/test_platform_watch.py):

1. A new connection is opened beside the old one, which is closed once the new one has delivered something.
2. The newest connection was opened, or delivered an update, less than ``RENEWAL_INTERVAL_S`` ago, unless the
   service cannot be reached. So a connection that stays at an old revision, or is silent, hides updates no
   longer than that.

An update published during a fault of the service counts as sent 2 s after a broken connection and 4 s after
the service fell silent. The longest sequences that still meet this: the service falls silent
(``SILENCE_TIMEOUT_S``), and the next two connections are opened and silent as well; or, after a broken
connection, two dials time out.
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
from .messages import ProtocolError
from .node_list import NodeList
from .watch_policy import SILENCE_TIMEOUT_S, WatchConnection, WatchPolicy

# The timeout of a dial is doubled with each dial that fails, up to the maximum.
DIAL_TIMEOUT_S = 0.5
MAX_DIAL_TIMEOUT_S = 1.5
# The wait before the next dial is doubled with each connection that delivered no update, up to the maximum.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MIN_READ_TIMEOUT_S = 0.01
QUEUE_FULL_PAUSE_S = 0.02  # pause between reads while many updates are not handled
READ_BYTES = 16_384
MAX_LINE_BYTES = 4_194_304


class NodeWatch:
    """Opens and reads the connections to the node list service and applies the updates that they deliver."""

    def __init__(
        self,
        node_list: NodeList,
        service_address: str,
        enqueue: Callable[[ev.Event], None],
        count: Callable[[str], None],
    ) -> None:
        """Watch the service at ``service_address``.

        Args:
            node_list: Applies what the service sends.
            service_address: Host and port.
            enqueue: Has the core handle an event.
            count: Increments a counter.
        """
        self.node_list = node_list
        self.address = service_address
        # Time of the last data from the service, by the monotonic clock; 0: none yet.
        self.last_received_s = 0.0
        self.must_wait: Callable[[], bool] = lambda: False  # whether reading must pause
        self._enqueue = enqueue
        self._count = count
        self._policy = WatchPolicy()
        self._sockets: dict[WatchConnection, Any] = {}
        self._wake = Flag()
        self._address_changed = False

    def set_address(self, service_address: str) -> None:
        """Watch the service at this address from now on; a changed address is dialled without delay."""
        if service_address != self.address:
            self.address = service_address
            self._address_changed = True
            self._wake.set()

    def ensure_connected(self) -> None:
        """Dial without delay if no connection is open."""
        if not self._policy.connections:
            self._wake.set()

    def run(self) -> None:
        """Open one connection after the other, for ever."""
        backoff_s = MIN_BACKOFF_S
        dial_timeout_s = DIAL_TIMEOUT_S
        while True:
            self._wake.clear()
            self._address_changed = False
            revision_before = self.node_list.revision
            began_s = time.monotonic()
            is_up = self._try_dial(dial_timeout_s)
            dial_timeout_s = DIAL_TIMEOUT_S if is_up else min(2 * dial_timeout_s, MAX_DIAL_TIMEOUT_S)
            if is_up and (not self._is_woken_early() or time.monotonic() > began_s + SILENCE_TIMEOUT_S):
                backoff_s = MIN_BACKOFF_S
            if is_up and not self._wake.is_set():
                continue  # the connection works and is only due for renewal
            self._count("node_list_disconnects")
            if self._address_changed or (is_up and self.node_list.revision != revision_before):
                continue
            self._wake.clear()
            self._wake.wait(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _is_woken_early(self) -> bool:
        """Wait until the next connection is due; return whether an event ended the wait before that."""
        while (remaining_s := self._policy.renewal_due_s() - time.monotonic()) > 0:
            if self._wake.wait(remaining_s):
                return True
        return False

    def _try_dial(self, timeout_s: float) -> bool:
        """Dial; return whether a connection was opened. An unexpected exception is logged and returns False.

        If it ended the watch, the planner would miss every drain from then on.
        """
        try:
            return self._dial(timeout_s)
        except Exception:  # noqa: BLE001 - see above
            log("fault", at=traceback.format_exc(limit=-3))
            return False

    def _dial(self, timeout_s: float) -> bool:
        try:
            sock = address.dial(self.address, timeout_s)
        except (OSError, TimeoutError, ValueError):
            return False
        connection, closed = self._policy.dialled(time.monotonic())
        self._close(closed)
        self._sockets[connection] = sock
        gevent.spawn(self._follow, connection, sock)
        return True

    def _close(self, connections: list[WatchConnection]) -> None:
        for connection in connections:
            self._sockets.pop(connection).close()

    def _follow(self, connection: WatchConnection, sock: Any) -> None:
        """Read one connection until it ends or an update was missed on it, then close it."""
        try:
            self._read(connection, sock)
        except (OSError, TimeoutError, ValueError, ProtocolError):
            pass
        except Exception:  # noqa: BLE001 - an unexpected exception must not end the watch
            log("fault", at=traceback.format_exc(limit=-3))
        sock.close()
        self._sockets.pop(connection, None)
        if self._policy.ended(connection):
            self._wake.set()

    def _read(self, connection: WatchConnection, sock: Any) -> None:
        sock.settimeout(SILENCE_TIMEOUT_S)
        sock.sendall(b"watch %d\n" % self.node_list.revision)
        lines = jsonlines.LineReader(MAX_LINE_BYTES)
        is_unresponsive = False
        while True:
            remaining_s = connection.heard_s + SILENCE_TIMEOUT_S - time.monotonic()
            sock.settimeout(None if is_unresponsive else max(MIN_READ_TIMEOUT_S, remaining_s))
            try:
                data = sock.recv(READ_BYTES)
            except TimeoutError:
                # If this process stalled, the connection may still deliver: read it until the next one does.
                is_unresponsive = True
                if self._policy.fell_silent(connection, time.monotonic()):
                    self._wake.set()
                continue
            if not data:
                return
            is_unresponsive = False
            self._policy.heard(connection, time.monotonic())
            began_s = time.monotonic()
            for line in lines.feed(data):
                self.last_received_s = time.monotonic()
                if not self._apply(connection, line, self.last_received_s):
                    return
            # A service that sends at full speed gets at most half of the processor time.
            gevent.sleep(time.monotonic() - began_s)
            while self.must_wait():
                gevent.sleep(QUEUE_FULL_PAUSE_S)
                self._policy.heard(connection, time.monotonic())

    def _apply(self, connection: WatchConnection, line: bytes, received_s: float) -> bool:
        """Apply one line of the service; return False if an earlier update was missed on this connection."""
        update, missed = self.node_list.apply(jsonlines.parse_object(line))
        self._close(self._policy.delivered(connection, received_s, update is not None))
        if update is not None:
            self._enqueue(ev.NodeListUpdated(update))
        if missed:
            return False
        if update is None:
            self._enqueue(ev.NodeListConfirmed())
        return True
