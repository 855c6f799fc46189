"""Removes GOAWAY frames from the received bytes before h2 processes them.

h2 closes a connection at the first GOAWAY, but open streams must be able to finish after a graceful GOAWAY.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CONNECTION_PREFACE_BYTES = 24
CONNECTION_PREFACE_START = b"PRI"
FRAME_HEADER_BYTES = 9
GOAWAY_FRAME_TYPE = 0x7
MAX_GOAWAY_BYTES = 65_536  # longer GOAWAY frames are passed on to h2
MIN_GOAWAY_BYTES = 8
MAX_DEBUG_BYTES = 192


@dataclass(frozen=True, slots=True)
class GoAway:
    """A received GOAWAY frame."""

    last_stream_id: int  # the peer has not processed streams with a higher id
    error_code: int
    debug_data: bytes

    @classmethod
    def from_payload(cls, payload: bytes) -> GoAway | None:
        """Parse a frame's payload. Returns None if it is too short."""
        if len(payload) < MIN_GOAWAY_BYTES:
            return None
        return cls(
            last_stream_id=int.from_bytes(payload[:4], "big") & 0x7FFFFFFF,
            error_code=int.from_bytes(payload[4:8], "big"),
            debug_data=payload[8 : 8 + MAX_DEBUG_BYTES],
        )

    def __str__(self) -> str:
        """Return a one-line description for errors and logs."""
        debug_text = self.debug_data.decode("ascii", "replace")
        return f"the peer sent GOAWAY (HTTP/2 error {self.error_code}) {debug_text}".rstrip()


class GoAwayFilter:
    """Tracks the frame boundaries in a byte stream and removes its GOAWAY frames."""

    def __init__(self, on_goaway: Callable[[GoAway], None]) -> None:
        """Take a callback that is called for each GOAWAY frame, before ``feed`` returns the other bytes."""
        self._on_goaway = on_goaway
        self._pending = bytearray()  # bytes of an incomplete frame header or GOAWAY frame
        self._skip_bytes = 0  # bytes of the current frame's payload not received yet

    def feed(self, data: bytes, *, may_be_preface: bool) -> bytes:
        """Return ``data`` without GOAWAY frames; with ``may_be_preface``, it may start with the preface."""
        if not self._pending and self._skip_bytes >= len(data):
            self._skip_bytes -= len(data)
            return data
        buffer = bytes(self._pending) + data
        self._pending.clear()
        position = self._skip_bytes
        if may_be_preface and buffer.startswith(CONNECTION_PREFACE_START):
            if len(buffer) < CONNECTION_PREFACE_BYTES:
                self._pending += buffer
                return b""
            position = CONNECTION_PREFACE_BYTES
        return self._scan(buffer, position)

    def _scan(self, buffer: bytes, position: int) -> bytes:
        """Return ``buffer`` without GOAWAY frames; the first frame header starts at ``position``."""
        passed: list[bytes] = []
        passed_until = 0
        while position + FRAME_HEADER_BYTES <= len(buffer):
            length = int.from_bytes(buffer[position : position + 3], "big")
            end = position + FRAME_HEADER_BYTES + length
            if buffer[position + 3] == GOAWAY_FRAME_TYPE and length <= MAX_GOAWAY_BYTES:
                if end > len(buffer):
                    break
                passed.append(buffer[passed_until:position])
                self._report(buffer[position + FRAME_HEADER_BYTES : end])
                passed_until = end
            position = end
        if position <= len(buffer):
            passed.append(buffer[passed_until:position])
            self._pending += buffer[position:]
            self._skip_bytes = 0
        else:
            passed.append(buffer[passed_until:])
            self._skip_bytes = position - len(buffer)
        return b"".join(passed)

    def _report(self, payload: bytes) -> None:
        goaway = GoAway.from_payload(payload)
        if goaway is not None:
            self._on_goaway(goaway)
