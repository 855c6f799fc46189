"""State that all decisions of one planner share: settings, time, random numbers, timers and actions."""

from __future__ import annotations

import random
from collections.abc import Callable

from .. import interface as api

TOKEN_MASK = 0xFFFFFFFF  # timer tokens are 32-bit numbers on the simulator's wire


class Context:
    """State that a planner's decision modules share. Times are microseconds on the caller's clock."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start at time 0 with no timer set; ``seed`` makes the random numbers reproducible."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0
        self.started_at = -1
        self.actions: list[api.Action] = []  # actions returned for the event being handled
        self.timers: dict[int, Callable[[], None]] = {}
        self._last_token = 0

    def set_timer(self, at: int, callback: Callable[[], None]) -> None:
        """Run ``callback`` at time ``at``, or as soon as possible if that time has passed."""
        self._last_token = (self._last_token + 1) & TOKEN_MASK
        self.timers[self._last_token] = callback
        self.actions.append(api.SetTimer(max(at, self.now), self._last_token))

    def fire_timer(self, token: int) -> None:
        """Run the callback of a timer that is due; an unknown token is ignored."""
        callback = self.timers.pop(token, None)
        if callback is not None:
            callback()
