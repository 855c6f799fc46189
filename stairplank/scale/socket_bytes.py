"""Counts the traffic of gRPC connections from the kernel's counters of each socket (TCP_INFO). Linux only.

Task messages are counted when they are sent or received, with their frame headers; all other bytes of a
socket are control. Control messages are estimated from packets: a segment and its acknowledgement count as
one message.
"""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import dataclass
from typing import Any

from .counts import Counts, OpenConnections

GRPC_FRAME_BYTES, HTTP2_FRAME_BYTES = 5, 9
INFO_BYTES = 144
# Fields of struct tcp_info: bytes acknowledged by the peer, bytes received, segments sent, segments received.
INFO = struct.Struct("=120xQQII")


@dataclass(slots=True)
class Usage:
    """The bytes and segments of one socket so far, in both directions."""

    bytes: int = 0
    segments: int = 0


def usage_of(sock: Any, last: Usage) -> Usage:
    """Read the kernel's counters of a socket; returns ``last`` where the socket is already closed."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        acknowledged, received, segments_out, segments_in = INFO.unpack(info[: INFO.size])
    except (OSError, struct.error):
        return last
    return Usage(acknowledged + received, segments_out + segments_in)


class SocketTraffic:
    """Counts the traffic of one planner over all its connections."""

    def __init__(self) -> None:
        self.connections = OpenConnections(time.monotonic())
        self._dials = 0
        self._open: dict[Any, Usage] = {}  # last counters of each open connection
        self._closed = Usage()
        self._task_messages = self._task_bytes = 0

    def opened(self, connection: Any) -> None:
        self._dials += 1
        self._open[connection] = Usage()
        self.connections.change(1, time.monotonic())

    def closed(self, connection: Any) -> None:
        usage = usage_of(connection.sock, self._open.pop(connection))
        self._closed.bytes += usage.bytes
        self._closed.segments += usage.segments
        self.connections.change(-1, time.monotonic())

    def task_message(self, message: Any) -> None:
        self._task_messages += 1
        self._task_bytes += message.ByteSize() + GRPC_FRAME_BYTES + HTTP2_FRAME_BYTES

    def counts(self) -> Counts:
        """Return the totals so far."""
        self._open = {conn: usage_of(conn.sock, usage) for conn, usage in self._open.items()}
        usages = [self._closed, *self._open.values()]
        messages = sum(usage.segments for usage in usages) // 2
        return Counts(
            dials=self._dials,
            task_messages=self._task_messages,
            task_bytes=self._task_bytes,
            control_messages=max(0, messages - self._task_messages),
            control_bytes=max(0, sum(usage.bytes for usage in usages) - self._task_bytes),
            connection_seconds=self.connections.seconds(time.monotonic()),
        )


class TrafficByPlanner(dict[int, SocketTraffic]):
    """Counts the traffic of each planner; a hollow node or service calls it as its observer."""

    def __missing__(self, planner: int) -> SocketTraffic:
        self[planner] = SocketTraffic()
        return self[planner]

    def opened(self, planner: int, connection: Any) -> None:
        self[planner].opened(connection)

    def closed(self, planner: int, connection: Any) -> None:
        self[planner].closed(connection)

    def task_message(self, planner: int, message: Any) -> None:
        self[planner].task_message(message)
