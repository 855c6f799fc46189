"""GOAWAY frames, taken out of the received bytes before h2 sees them.

h2 closes a connection at the first GOAWAY, but a graceful one lets the open streams end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CONNECTION_PREFACE_BYTES = 24
CONNECTION_PREFACE_START = b"PRI"
FRAME_HEADER_BYTES = 9
GOAWAY_FRAME_TYPE = 0x7
MAX_GOAWAY_BYTES = 65_536  # a longer one is left to h2
MIN_GOAWAY_BYTES = 8
MAX_DEBUG_BYTES = 192


@dataclass(frozen=True, slots=True)
class GoAway:
    """A received GOAWAY frame."""

    last_stream_id: int  # streams above it were not processed by the peer
    error_code: int
    debug_data: bytes

    @classmethod
    def from_payload(cls, payload: bytes) -> GoAway | None:
        """Read a frame's payload; None where it is too short."""
        if len(payload) < MIN_GOAWAY_BYTES:
            return None
        return cls(
            last_stream_id=int.from_bytes(payload[:4], "big") & 0x7FFFFFFF,
            error_code=int.from_bytes(payload[4:8], "big"),
            debug_data=payload[8 : 8 + MAX_DEBUG_BYTES],
        )

    def __str__(self) -> str:
        """One line for errors and logs."""
        debug_text = self.debug_data.decode("ascii", "replace")
        return f"the peer went away (HTTP/2 error {self.error_code}) {debug_text}".rstrip()


class GoAwayFilter:
    """Follows frame boundaries in a byte stream and takes GOAWAY frames out of it."""

    def __init__(self, on_goaway: Callable[[GoAway], None]) -> None:
        """``on_goaway`` is called for each frame, before the bytes around it are passed on."""
        self._on_goaway = on_goaway
        self._pending = bytearray()  # an incomplete frame header, or an incomplete GOAWAY
        self._skip_bytes = 0  # of the current frame's payload that is still to come

    def feed(self, data: bytes, *, may_be_preface: bool) -> bytes:
        """The bytes to pass on. ``may_be_preface``: a client's connection preface may stand at the start."""
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
        """Walk the frames of ``buffer``; the first header stands at ``position``."""
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
