"""How fast a node starts tasks: its slow start, the programs it has cached, and its crash by overload.

No I/O and no clock.
"""

from __future__ import annotations

from collections import Counter, deque

from .node_events import Crashed
from .node_model import NodeModel


class NodePace:
    """One life's. ``cold``: it has just come up; else it is taken to have run for long."""

    def __init__(self, model: NodeModel, started: int, cold: bool) -> None:
        self.model = model
        self.started = started
        self.cold = cold
        self.recent_offers: deque[int] = deque()  # when offers came to a cold node, lately
        self._running: Counter[int] = Counter()  # starts and tasks by the program of their service
        self._cached_programs: deque[int] = deque(maxlen=model.max_cached_programs)

    def share(self, now: int) -> float:
        """Share of the usual pace of starts: a cold node gains it evenly."""
        if not self.cold:
            return 1.0
        done = min(1.0, (now - self.started) / max(1, self.model.slow_start_us))
        return self.model.slow_start_share + (1 - self.model.slow_start_share) * done

    def record_offer(self, now: int) -> Crashed | None:
        """Count an offer to a node that warms up, rejected ones too. Its crash, if this one was too many."""
        model = self.model
        if not self.cold or now - self.started >= model.slow_start_us:
            return None
        self.recent_offers.append(now)
        while self.recent_offers and self.recent_offers[0] < now - model.overload_window_us:
            self.recent_offers.popleft()
        rate = model.starts_at_once * self.share(now) / (model.start_us / 1e6)
        borne = max(model.slow_start_offers, model.overload_multiple * rate * model.overload_window_us / 1e6)
        return Crashed(len(self.recent_offers), borne) if len(self.recent_offers) > borne else None

    def begin_start(self, service: int, now: int) -> float:
        """The work of a start, in microseconds: several times as much where the program is not there."""
        is_known = self._running[service] > 0 or service in self._cached_programs
        self._running[service] += 1
        return self.model.start_us * (1.0 if is_known else self.model.cold_start_factor) / self.share(now)

    def end(self, service: int) -> None:
        """A start or task is over; the program of the last one is kept for a while."""
        self._running[service] -= 1
        if self._running[service] > 0:
            return
        del self._running[service]
        if service not in self._cached_programs:
            self._cached_programs.append(service)
