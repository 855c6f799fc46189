"""Rate limit for frames that are cheap to send and costly to process (rapid reset, CVE-2023-44487)."""

from __future__ import annotations

import time
from collections import deque
from enum import StrEnum

FLOOD_SPAN_S = 10.0


class ControlFrame(StrEnum):
    """Rate-limited frame types; the value is sent as debug data in the GOAWAY that answers a flood."""

    RESET = "reset"
    PING = "ping"


class FloodGuard:
    """Counts the control frames received from the peer in the last ten seconds, by kind."""

    def __init__(self, max_frames: int) -> None:
        """Allow at most ``max_frames`` frames of one kind within ``FLOOD_SPAN_S``."""
        self._max_frames = max_frames
        self._times_s: dict[ControlFrame, deque[float]] = {kind: deque() for kind in ControlFrame}

    def is_flood(self, kind: ControlFrame) -> bool:
        """Count a received frame. Returns True if its kind now exceeds the limit."""
        times_s = self._times_s[kind]
        now_s = time.monotonic()
        times_s.append(now_s)
        while times_s and times_s[0] < now_s - FLOOD_SPAN_S:
            times_s.popleft()
        return len(times_s) > self._max_frames
