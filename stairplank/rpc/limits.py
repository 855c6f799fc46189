"""Configurable limits of an HTTP/2 connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a connection; sizes are in bytes, times in seconds.

    Attributes:
        max_message_bytes: size of a received message; a larger one ends its stream with RESOURCE_EXHAUSTED.
        max_header_list_bytes: uncompressed size of a header block.
        max_streams: concurrent streams; further streams are refused with REFUSED_STREAM.
        stream_window_bytes: initial flow-control window of a stream.
        connection_window_bytes: flow-control window of the connection.
        max_unread_bytes: received but unread bytes of all streams; above it the connection window is not
            reopened.
        max_unsent_bytes: queued bytes of a stream; above it ``send`` waits and ``try_send`` returns False.
        keepalive_interval_s: time without received data after which a PING is sent; 0 disables keepalive.
        keepalive_timeout_s: time that the peer has to answer a PING.
        handshake_timeout_s: time that a client has to send its SETTINGS.
        max_control_frames: RST_STREAM frames, and PING frames, that the peer may send in ten seconds.
        max_connections: open connections of a server; further connections are closed at once.
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
