"""Server side of gRPC: listeners, the set of open connections, graceful shutdown."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import gevent
import structlog
from gevent.event import Event

from . import address
from .limits import Limits
from .server_call import Method
from .server_connection import ServerConnection
from .status import Code, RpcError
from .supervision import accept_connections, supervise

FINAL_WRITE_S = 0.01  # time for the writers to send the last trailers

log = structlog.get_logger("rpc")


class Server:
    """Listens on one or more addresses and serves methods by path (``/package.Service/Method``).

    Attributes:
        addresses: the addresses that the server listens on, with the ports that the system selected.
        connections: the open client connections.
        rejected_connections: how many connections were closed at once because of ``max_connections``.
        draining: whether the server accepts no new connections and streams.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        methods: dict[str, Method],
        limits: Limits | None = None,
    ) -> None:
        """Bind the addresses; no connection is accepted before ``start``. Raises OSError, AddressError."""
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
        """Start to accept connections."""
        self._accept_loops = [gevent.spawn(self._accept_loop, sock) for sock in self._listeners]

    def _accept_loop(self, listener: Any) -> None:
        def accept() -> None:
            accept_connections(listener, self._accepted, lambda: self.draining, self._report)

        supervise(accept, self._report)

    @staticmethod
    def _report(text: str) -> None:
        log.error("accept failed", at=text)

    def _accepted(self, sock: Any, peer: Any) -> None:
        if len(self.connections) >= self.limits.max_connections:
            self.rejected_connections += 1
            sock.close()
            return
        if sock.family != gevent.socket.AF_UNIX:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self._serve(sock, address.render(peer))

    def _serve(self, sock: Any, peer: str) -> None:
        connection = ServerConnection(sock, peer, self.limits, self)
        self.connections.add(connection)
        connection.start()
        gevent.spawn_later(self.limits.handshake_timeout_s, self._close_without_settings, connection)

    def _close_without_settings(self, connection: ServerConnection) -> None:
        """Close a connection that sent no SETTINGS; it would use up ``max_connections``."""
        if not connection.settings_received.is_set():
            connection.close(RpcError(Code.UNAVAILABLE, "no HTTP/2 SETTINGS received"))

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.check_idle()

    def check_idle(self) -> None:
        """Wake ``stop`` if the server is draining and has no open calls."""
        if self.draining and not any(connection.streams for connection in self.connections):
            self._idle.set()

    def stop_accepting(self) -> None:
        """Close the listeners; open connections stay open."""
        for greenlet in self._accept_loops:
            greenlet.kill(block=False)
        for sock in self._listeners:
            sock.close()

    def drain(self) -> None:
        """Start a graceful shutdown: accept no connections, send GOAWAY and let open calls finish."""
        self.draining = True
        self.stop_accepting()
        for connection in list(self.connections):
            connection.drain()
        self.check_idle()

    def stop(self, grace_s: float = 0.0) -> bool:
        """Drain, wait up to ``grace_s`` for open calls, then close. Returns True if every call had ended."""
        self.drain()
        is_clean = bool(self._idle.wait(grace_s)) if grace_s > 0 else self._idle.is_set()
        if is_clean:
            gevent.sleep(0)
            gevent.sleep(FINAL_WRITE_S)
        for connection in list(self.connections):
            connection.close(RpcError(Code.UNAVAILABLE, "server stopped"))
        return is_clean
