"""The pace at which a node starts tasks: slow start, cached programs, and the crash by overload.

No I/O and no clock.
"""

from __future__ import annotations

from collections import Counter, deque

from .node_events import Crashed
from .node_model import NodeModel


class NodePace:
    """The pace of one node incarnation.

    A ``cold`` node has just started. Any other is taken to have warmed up long ago.
    """

    def __init__(self, model: NodeModel, started: int, cold: bool) -> None:
        self.model = model
        self.started = started
        self.cold = cold
        self.recent_offers: deque[int] = deque()  # arrival times at a cold node, in the overload window
        self._running: Counter[int] = Counter()  # starting and running tasks by service
        self._cached_programs: deque[int] = deque(maxlen=model.max_cached_programs)

    def share(self, now: int) -> float:
        """Return the share of the usual start pace; on a cold node it grows linearly to 1."""
        if not self.cold:
            return 1.0
        progress = min(1.0, (now - self.started) / max(1, self.model.slow_start_us))
        return self.model.slow_start_share + (1 - self.model.slow_start_share) * progress

    def record_offer(self, now: int) -> Crashed | None:
        """Count an offer, also a rejected one, to a node in slow start.

        Returns the crash if the node cannot bear this offer, otherwise None.
        """
        model = self.model
        if not self.cold or now - self.started >= model.slow_start_us:
            return None
        self.recent_offers.append(now)
        while self.recent_offers and self.recent_offers[0] < now - model.overload_window_us:
            self.recent_offers.popleft()
        rate = model.starts_at_once * self.share(now) / (model.start_us / 1e6)
        max_offers = max(
            model.slow_start_offers, model.overload_multiple * rate * model.overload_window_us / 1e6
        )
        return Crashed(len(self.recent_offers), max_offers) if len(self.recent_offers) > max_offers else None

    def begin_start(self, service: int, now: int) -> float:
        """Return the work of a start in microseconds: several times as much if the program is not cached."""
        is_cached = self._running[service] > 0 or service in self._cached_programs
        self._running[service] += 1
        return self.model.start_us * (1.0 if is_cached else self.model.cold_start_factor) / self.share(now)

    def end(self, service: int) -> None:
        """Record the end of a start or task; the program of a service's last task is cached for a while."""
        self._running[service] -= 1
        if self._running[service] > 0:
            return
        del self._running[service]
        if service not in self._cached_programs:
            self._cached_programs.append(service)
