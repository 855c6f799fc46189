"""Keepalive: half-open connections are found by a PING that is not answered."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from .status import Code, RpcError

if TYPE_CHECKING:
    from .connection import Connection

PING_DATA = b"stairplk"  # eight bytes, as RFC 9113 asks


def run_keepalive(connection: Connection) -> None:
    """Ping the peer each time it has been silent for the keepalive interval, until the connection closes."""
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
            # Danger: what is still unsent must not come out of a path that heals later.
            error = RpcError(Code.UNAVAILABLE, "keepalive: the peer does not answer pings")
            connection.close(error, abort=True)
