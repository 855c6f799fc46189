"""Limits on frames that are cheap to send and costly to answer (CVE-2023-44487, rapid reset)."""

from __future__ import annotations

import time
from collections import deque
from enum import StrEnum

FLOOD_SPAN_S = 10.0


class ControlFrame(StrEnum):
    """Kinds of frames that are counted; the value is the debug data of the GOAWAY that a flood is given."""

    RESET = "reset"
    PING = "ping"


class FloodGuard:
    """Counts the peer's control frames of the last ten seconds, by kind."""

    def __init__(self, max_frames: int) -> None:
        """``max_frames`` of one kind within ``FLOOD_SPAN_S`` are let pass."""
        self._max_frames = max_frames
        self._times_s: dict[ControlFrame, deque[float]] = {kind: deque() for kind in ControlFrame}

    def is_flood(self, kind: ControlFrame) -> bool:
        """Count one frame; True where there are too many."""
        times_s = self._times_s[kind]
        now_s = time.monotonic()
        times_s.append(now_s)
        while times_s and times_s[0] < now_s - FLOOD_SPAN_S:
            times_s.popleft()
        return len(times_s) > self._max_frames
