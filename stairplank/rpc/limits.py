"""Bounds of one HTTP/2 connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one connection; sizes in bytes, times in seconds.

    Attributes:
        max_message_bytes: a larger message ends its stream with RESOURCE_EXHAUSTED.
        max_header_list_bytes: of one header block, uncompressed.
        max_streams: concurrent streams; more are refused with REFUSED_STREAM.
        stream_window_bytes: initial flow-control window of a stream.
        connection_window_bytes: flow-control window of the connection.
        max_unread_bytes: received and not yet read, over all streams; past it the connection window is not
            opened again.
        max_unsent_bytes: queued on one stream; past it ``send`` waits and ``try_send`` returns False.
        keepalive_interval_s: silence after which the peer is pinged; 0 turns keepalive off.
        keepalive_timeout_s: time that the peer has to answer a ping.
        handshake_timeout_s: time that a client has to send its SETTINGS.
        max_control_frames: RST_STREAM frames, or PING frames, from the peer within ten seconds.
        max_connections: of a server; more are closed at once.
    """

    max_message_bytes: int = 4 << 20
    max_header_list_bytes: int = 16_384
    max_streams: int = 1024
    stream_window_bytes: int = 262_144
    connection_window_bytes: int = 1 << 20
    max_unread_bytes: int = 32 << 20
    max_unsent_bytes: int = 1 << 20
    keepalive_interval_s: float = 10.0
    keepalive_timeout_s: float = 5.0
    handshake_timeout_s: float = 5.0
    max_control_frames: int = 400
    max_connections: int = 1024
