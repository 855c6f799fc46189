"""What all decisions of one planner share: settings, time, random draws, timers and the actions so far."""

from __future__ import annotations

import random
from collections.abc import Callable

from .. import interface as api

TOKEN_MASK = 0xFFFFFFFF  # timer tokens are 32-bit numbers on the simulator's wire


class Context:
    """The shared part of one planner's state. Times are microseconds on the caller's clock."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start with no time passed and no timer set."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0
        self.started_at = -1
        self.actions: list[api.Action] = []  # of the event that is being handled
        self.timers: dict[int, Callable[[], None]] = {}
        self._last_token = 0

    def set_timer(self, at: int, call: Callable[[], None]) -> None:
        """Have ``call`` made at ``at``, or now if that is past."""
        self._last_token = (self._last_token + 1) & TOKEN_MASK
        self.timers[self._last_token] = call
        self.actions.append(api.SetTimer(max(at, self.now), self._last_token))

    def fire_timer(self, token: int) -> None:
        """Make the call of a timer that is due; an unknown token is passed over."""
        call = self.timers.pop(token, None)
        if call is not None:
            call()
