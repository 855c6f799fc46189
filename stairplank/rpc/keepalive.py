"""Keepalive: detects half-open connections by PING frames that the peer does not answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from .status import Code, RpcError

if TYPE_CHECKING:
    from .connection import Connection

PING_DATA = b"stairplk"  # RFC 9113 requires eight bytes


def run_keepalive(connection: Connection) -> None:
    """Send PING whenever nothing was received for the keepalive interval, until the connection closes."""
    limits = connection.limits
    while connection.close_error is None:
        gevent.sleep(limits.keepalive_interval_s)
        if connection.close_error is not None:
            return
        if time.monotonic() - connection.last_received_s < limits.keepalive_interval_s:
            continue
        pinged_s = time.monotonic()
        connection.send_ping(PING_DATA)
        gevent.sleep(limits.keepalive_timeout_s)
        if connection.last_received_s < pinged_s:
            # Without abort, the kernel would still deliver unsent data once the network fault ends.
            error = RpcError(Code.UNAVAILABLE, "keepalive: the peer did not answer a PING")
            connection.close(error, abort=True)
