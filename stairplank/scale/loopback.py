"""One listener for all planners, on every loopback address, so that each planner's own traffic is known.

Every planner is told its own loopback address for the same peer (``127.1.0.7:4100`` for planner 7). A peer
listens once; the address at which a connection came in names the planner. Linux only: the listener is bound
to the loopback device, so that nothing else can reach it.
"""

from __future__ import annotations

import contextlib
import time
from typing import Any

from gevent import socket

BACKLOG = 512
DEVICE = b"lo\0"
PLANNERS_PER_BLOCK = 250
CONNECT_TIMEOUT_S = 0.2
FILLERS_MOST = 8


def address_for(planner: int) -> str:
    """The loopback address at which this planner reaches every peer."""
    return f"127.1.{planner // PLANNERS_PER_BLOCK}.{planner % PLANNERS_PER_BLOCK + 1}"


def planner_at(address: str) -> int:
    """The planner that was told this address."""
    _, _, block, rest = address.split(".")
    return int(block) * PLANNERS_PER_BLOCK + int(rest) - 1


class Listener:
    """A listening socket that can fall silent: dials to it time out, as to a host that has vanished."""

    def __init__(self) -> None:
        # Never listens. Danger: while the listener is closed, a connection from here could take its port.
        self._reserved = _bound(0)
        self.port: int = self._reserved.getsockname()[1]
        self._fillers: list[Any] = []
        self.reopen()

    def accept(self) -> tuple[Any, int]:
        """The next connection and its planner. Raises OSError once closed."""
        sock, _ = self._sock.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, planner_at(sock.getsockname()[0])

    def close(self) -> None:
        """Dials are refused from here on."""
        self._sock.close()
        self._close_fillers()

    def reopen(self) -> None:
        """Listen, again at the same port."""
        self._sock = _bound(self.port)
        self._sock.listen(BACKLOG)

    def fall_silent(self) -> None:
        """Leave dials unanswered: the queue of connections is made minimal and filled from here."""
        self._sock.listen(0)
        deadline = time.monotonic() + 5.0
        while len(self._fillers) < FILLERS_MOST and time.monotonic() < deadline:
            filler = socket.socket()
            filler.settimeout(CONNECT_TIMEOUT_S)
            try:
                filler.connect(("127.0.0.1", self.port))
            except OSError:
                filler.close()
                return
            self._fillers.append(filler)

    def speak_again(self) -> None:
        self._close_fillers()
        self._sock.listen(BACKLOG)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            with contextlib.suppress(OSError):
                filler.close()
        self._fillers.clear()


def _bound(port: int) -> Any:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, DEVICE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("0.0.0.0", port))
    return sock
