"""Parses addresses such as ``127.0.0.1:7400``, ``[::1]:7400``, ``unix:/run/x.sock``; opens their sockets."""

from __future__ import annotations

import contextlib
import errno
import ipaddress
import os
import struct
import time
from typing import Any

import gevent
from gevent import socket

from .errors import AddressError
from .socket_errors import is_ours

MAX_KERNEL_UNSENT_BYTES = 65_536
MAX_PORT = 65_535
MAX_UNIX_PATH_BYTES = 100
UNIX_PREFIX = "unix:"
LISTEN_RETRY_S = 0.05


def parse(text: str) -> tuple[int, Any]:
    """Parse an address. Returns its family and socket address; raises AddressError, a ValueError."""
    if text.startswith(UNIX_PREFIX):
        path = text.removeprefix(UNIX_PREFIX)
        if not path or len(path.encode()) > MAX_UNIX_PATH_BYTES:
            raise AddressError(text, f"a Unix socket path of 1 to {MAX_UNIX_PATH_BYTES} bytes is needed")
        return socket.AF_UNIX, path
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(text, f"host:port with a port of 0 to {MAX_PORT} is needed")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise AddressError(text, "write IPv6 as [host]:port")
    if host == "localhost":
        host = "127.0.0.1"
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError:
        raise AddressError(text, f"{host!r} is not an IP address") from None
    return (socket.AF_INET6 if parsed.version == 6 else socket.AF_INET), (host, int(port))


def is_loopback(text: str) -> bool:
    """Return whether an address can be reached only from this machine."""
    family, socket_address = parse(text)
    return family == socket.AF_UNIX or ipaddress.ip_address(socket_address[0]).is_loopback


def listen(text: str, backlog: int = 256) -> tuple[Any, str]:
    """Open a listening socket. Returns it and its bound address, which names the port chosen for port 0."""
    family, socket_address = parse(text)
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        if family == socket.AF_UNIX:
            if os.path.exists(socket_address):
                os.unlink(socket_address)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(socket_address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock, text if family == socket.AF_UNIX else render(sock.getsockname())


def listen_when_possible(text: str, backlog: int, timeout_s: float) -> tuple[Any, str]:
    """Like ``listen``, but try again for ``timeout_s`` while the address or a resource is taken."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        try:
            return listen(text, backlog)
        except OSError as error:
            is_temporary = is_ours(error) or error.errno == errno.EADDRINUSE
            if not is_temporary or time.monotonic() > deadline_s:
                raise
        gevent.sleep(LISTEN_RETRY_S)


def limit_kernel_buffering(sock: Any, timeout_s: float) -> None:
    """Limit how many unsent bytes the kernel buffers, and for how long, if the system supports it.

    The kernel closes the connection if the peer acknowledges no data for ``timeout_s``. The socket is
    writable only while the kernel holds few unsent bytes: other messages stay in the process, which knows
    that they were not sent and can still drop them.
    """
    if sock.family == socket.AF_UNIX:
        return
    for name, value in (
        ("TCP_USER_TIMEOUT", max(1, int(timeout_s * 1e3))),
        ("TCP_NOTSENT_LOWAT", MAX_KERNEL_UNSENT_BYTES),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, option, value)


def disable_nagle(sock: Any) -> None:
    """Have small messages sent at once; a connection on which that fails is only slower."""
    if sock.family != socket.AF_UNIX:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def abort(sock: Any) -> None:
    """Close a socket and discard its unsent data; the peer receives a TCP reset.

    After a plain close, the kernel continues to send buffered data: once a network fault ends, the offers
    of a link that was already given up would still reach their node.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def render(name: Any) -> str:
    """Return the text form of a socket name as returned by ``getsockname`` or ``accept``."""
    if isinstance(name, bytes):
        return UNIX_PREFIX + name.decode(errors="replace")
    if isinstance(name, str):
        return UNIX_PREFIX + name
    host, port, *_ = name
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def dial(text: str, timeout_s: float) -> Any:
    """Connect to an address. Returns a socket with Nagle's algorithm off; raises OSError or TimeoutError."""
    family, socket_address = parse(text)
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(socket_address)
        sock.settimeout(None)
        disable_nagle(sock)
    except BaseException:
        sock.close()
        raise
    return sock
