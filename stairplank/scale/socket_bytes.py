"""What went over gRPC connections, by the kernel's count of each socket (TCP_INFO). Linux only.

Task messages are counted as they are said, with the headers of their frames; all other bytes of a socket are
control. Control messages are estimated from packets: a segment and its acknowledgement are one message.
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
# Of struct tcp_info: bytes acknowledged by and received from the other side, segments out and in.
INFO = struct.Struct("=120xQQII")


@dataclass(slots=True)
class Usage:
    """Of one socket so far."""

    bytes: int = 0
    segments: int = 0


def usage_of(sock: Any, last: Usage) -> Usage:
    """The kernel's counts; the last known ones for a socket that is closed."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        acknowledged, received, segments_out, segments_in = INFO.unpack(info[: INFO.size])
    except (OSError, struct.error):
        return last
    return Usage(acknowledged + received, segments_out + segments_in)


class SocketTraffic:
    """Of one planner."""

    def __init__(self) -> None:
        self.connections = OpenConnections(time.monotonic())
        self._dials = 0
        self._open: dict[Any, Usage] = {}  # by connection
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
        """Totals so far."""
        self._open = {each: usage_of(each.sock, usage) for each, usage in self._open.items()}
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
    """Counts the traffic of light nodes as their observer."""

    def __missing__(self, planner: int) -> SocketTraffic:
        self[planner] = SocketTraffic()
        return self[planner]

    def opened(self, planner: int, connection: Any) -> None:
        self[planner].opened(connection)

    def closed(self, planner: int, connection: Any) -> None:
        self[planner].closed(connection)

    def task_message(self, planner: int, message: Any) -> None:
        self[planner].task_message(message)
