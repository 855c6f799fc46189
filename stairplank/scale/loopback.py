"""A listener on all loopback addresses that identifies the planner behind each connection.

Every planner receives its own loopback address for the same peer (``127.1.0.8:4100`` for planner 7). A peer
listens once; the local address of an accepted connection identifies the planner. Linux only: the listener is
bound to the loopback device, so that other machines cannot reach it.
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
MAX_FILLERS = 8


def address_for(planner: int) -> str:
    """Returns the loopback address at which this planner reaches every peer."""
    return f"127.1.{planner // PLANNERS_PER_BLOCK}.{planner % PLANNERS_PER_BLOCK + 1}"


def planner_at(address: str) -> int:
    """Returns the planner that uses this loopback address."""
    _, _, block, rest = address.split(".")
    return int(block) * PLANNERS_PER_BLOCK + int(rest) - 1


class Listener:
    """A listening socket that can stop answering: dials then time out, as with a host that is lost."""

    def __init__(self) -> None:
        # This socket never listens. It reserves the port: while the listener is closed, the kernel could
        # otherwise assign the port to an outgoing connection of this machine.
        self._port_reservation = _bound_socket(0)
        self.port: int = self._port_reservation.getsockname()[1]
        self._fillers: list[Any] = []
        self.reopen()

    def accept(self) -> tuple[Any, int]:
        """Waits for a connection and returns it with its planner. Raises OSError once closed."""
        sock, _ = self._sock.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, planner_at(sock.getsockname()[0])

    def close(self) -> None:
        """Closes the listener; further dials are refused."""
        self._sock.close()
        self._close_fillers()

    def reopen(self) -> None:
        """Listens on the reserved port, for the first time or after close()."""
        self._sock = _bound_socket(self.port)
        self._sock.listen(BACKLOG)

    def fall_silent(self) -> None:
        """Makes dials time out: shrinks the accept queue to the minimum and fills it with own connections."""
        self._sock.listen(0)
        deadline = time.monotonic() + 5.0
        while len(self._fillers) < MAX_FILLERS and time.monotonic() < deadline:
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


def _bound_socket(port: int) -> Any:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, DEVICE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("0.0.0.0", port))
    return sock
