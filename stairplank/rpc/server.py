"""The serving end: listeners, the table of connections, graceful shutdown."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import gevent
from gevent.event import Event

from . import address
from .limits import Limits
from .server_call import Method
from .server_connection import ServerConnection
from .status import Code, RpcError

ACCEPT_RETRY_S = 0.05  # out of descriptors: what is open must end first
LAST_WRITE_S = 0.01  # for the writers to flush the last trailers


class Server:
    """Listens on one or more addresses and serves methods by path (``/package.Service/Method``).

    Attributes:
        addresses: where it listens, with the ports that were free.
        connections: the open connections.
        rejected_connections: closed at once, past ``max_connections``.
        draining: the server accepts nothing new.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        methods: dict[str, Method],
        limits: Limits | None = None,
    ) -> None:
        """Bind the addresses; nothing is accepted before ``start``. Raises OSError, AddressError."""
        self.methods = dict(methods)
        self.limits = limits or Limits()
        self.connections: set[ServerConnection] = set()
        self.rejected_connections = 0
        self.draining = False
        listeners = [address.listen(each) for each in addresses]
        self.addresses = tuple(bound for _, bound in listeners)
        self._listeners = [sock for sock, _ in listeners]
        self._accept_loops: list[gevent.Greenlet[..., None]] = []
        self._idle = Event()

    def start(self) -> None:
        """Accept connections."""
        self._accept_loops = [gevent.spawn(self._accept_loop, sock) for sock in self._listeners]

    def _accept_loop(self, listener: Any) -> None:
        while True:
            try:
                sock, peer = listener.accept()
            except OSError:
                if self.draining or listener.fileno() < 0:
                    return
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            if len(self.connections) >= self.limits.max_connections:
                self.rejected_connections += 1
                sock.close()
                continue
            if listener.family != gevent.socket.AF_UNIX:
                sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self._serve(sock, address.render(peer))

    def _serve(self, sock: Any, peer: str) -> None:
        connection = ServerConnection(sock, peer, self.limits, self)
        self.connections.add(connection)
        connection.start()
        gevent.spawn_later(self.limits.handshake_timeout_s, self._close_if_silent, connection)

    def _close_if_silent(self, connection: ServerConnection) -> None:
        """Danger: connections that never speak would fill the table."""
        if not connection.settings_received.is_set():
            connection.close(RpcError(Code.UNAVAILABLE, "no HTTP/2 settings came"))

    def remove_connection(self, connection: ServerConnection) -> None:
        """Forget a connection that has closed."""
        self.connections.discard(connection)
        self.check_idle()

    def check_idle(self) -> None:
        """Let ``stop`` go on once a draining server has no open call."""
        if self.draining and not any(connection.streams for connection in self.connections):
            self._idle.set()

    def stop_accepting(self) -> None:
        """Close the listeners; open connections go on."""
        for greenlet in self._accept_loops:
            greenlet.kill(block=False)
        for sock in self._listeners:
            sock.close()

    def drain(self) -> None:
        """Start a graceful shutdown: stop accepting, send GOAWAY; open calls go on."""
        self.draining = True
        self.stop_accepting()
        for connection in list(self.connections):
            connection.drain()
        self.check_idle()

    def stop(self, grace_s: float = 0.0) -> bool:
        """Drain, wait at most ``grace_s`` for open calls, close. True where every call had ended."""
        self.drain()
        is_clean = bool(self._idle.wait(grace_s)) if grace_s > 0 else self._idle.is_set()
        if is_clean:
            gevent.sleep(0)
            gevent.sleep(LAST_WRITE_S)
        for connection in list(self.connections):
            connection.close(RpcError(Code.UNAVAILABLE, "server stopped"))
        return is_clean
