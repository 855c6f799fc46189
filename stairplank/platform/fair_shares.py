"""Shares of a planner's turns for the parties that send to it. No I/O or clock.

Deficit round robin (M. Shreedhar and G. Varghese, "Efficient Fair Queuing Using Deficit Round-Robin", 1995)
on two levels: sources (client addresses, connections to machines, the node list service) and, within each,
connections. In each round a connection may pass on ``CONNECTION_QUANTUM`` events and its source
``SOURCE_QUANTUM``; what they send beyond that waits in the connection's backlog, in order. A round ends when
everything that was passed on is handled, so that a party that is alone gets the whole planner.

Invariants (tests/platform/test_platform_event_queue.py):

1. The events of a connection keep their order: while it has a backlog, its further events join that.
2. Each source with a backlog passes on events in every round.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Hashable

from . import events as ev

CONNECTION_QUANTUM = 32  # events of one connection in a round
SOURCE_QUANTUM = 64  # events of all connections of a source in a round
ROUND_ROBIN_STEP = 8  # events that a connection passes on before the next one of its source does
READ_LIMIT = 64  # backlog at which a connection is not read

Backlogs = OrderedDict[int, deque[ev.Event]]  # by connection


class FairShares:
    """The quanta that are used up in this round, and the backlogs of the connections."""

    def __init__(self) -> None:
        self._used_by_source: Counter[Hashable] = Counter()
        self._used_by_connection: Counter[int] = Counter()
        self._backlogs: OrderedDict[Hashable, Backlogs] = OrderedDict()
        self._backlog_by_connection: dict[int, deque[ev.Event]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of events in all backlogs."""
        return self._count

    def has_backlog(self, connection: int) -> bool:
        """Return whether events of the connection wait for a later round."""
        return connection in self._backlog_by_connection

    def must_wait(self, connection: int) -> bool:
        """Return whether the connection is not to be read: its backlog is long enough."""
        return len(self._backlog_by_connection.get(connection, ())) >= READ_LIMIT

    def last(self, connection: int) -> ev.Event | None:
        """Return the last event in a connection's backlog, or None if it has none."""
        backlog = self._backlog_by_connection.get(connection)
        return backlog[-1] if backlog else None

    def admit(self, source: Hashable, connection: int) -> bool:
        """Use up one event of the connection's quantum; return False if the event must wait."""
        if connection in self._backlog_by_connection:
            return False
        is_used_up = self._used_by_connection[connection] >= CONNECTION_QUANTUM
        if is_used_up or self._used_by_source[source] >= SOURCE_QUANTUM:
            return False
        self._use(source, connection)
        return True

    def defer(self, source: Hashable, connection: int, event: ev.Event) -> None:
        """Add an event to the connection's backlog."""
        backlogs = self._backlogs.setdefault(source, OrderedDict())
        backlog = backlogs.setdefault(connection, deque())
        self._backlog_by_connection[connection] = backlog
        backlog.append(event)
        self._count += 1

    def begin_round(self) -> list[ev.Event]:
        """Renew all quanta; return the events that the backlogs pass on in the new round."""
        self.renew()
        events: list[ev.Event] = []
        for source in list(self._backlogs):
            events += self._pass_on(source)
        return events

    def renew(self) -> None:
        """Renew all quanta: everything that was passed on is handled."""
        if self._used_by_source:
            self._used_by_source.clear()
            self._used_by_connection.clear()

    def _use(self, source: Hashable, connection: int) -> None:
        self._used_by_source[source] += 1
        self._used_by_connection[connection] += 1

    def _pass_on(self, source: Hashable) -> list[ev.Event]:
        backlogs = self._backlogs[source]
        events: list[ev.Event] = []
        while backlogs and len(events) < SOURCE_QUANTUM:
            connection, backlog = next(iter(backlogs.items()))
            for _ in range(min(ROUND_ROBIN_STEP, len(backlog), SOURCE_QUANTUM - len(events))):
                events.append(backlog.popleft())
                self._use(source, connection)
            backlogs.move_to_end(connection)
            if not backlog:
                del backlogs[connection]
                del self._backlog_by_connection[connection]
        if not backlogs:
            del self._backlogs[source]
        self._count -= len(events)
        return events
