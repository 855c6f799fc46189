"""What has been read and not yet handled, in the order in which it is to be handled. No I/O or clock.

Invariants (tests/platform/test_platform_event_queue.py):

1. Node list updates and changed settings come before everything; then departures: connections that come and
   go, and cancellations; then what else clients send, but for new placement requests, and what they are owed
   at once, answers and the ends of tasks that stood; then what else machines and links report; then new
   placement requests: a placement request is placed by all that is known, not by what happened to be read
   first.
2. Between events of the same task or connection the order is kept, but that a client's departure (as
   ``ClientHungUp``, where more of it waits) overtakes them: it only ends its open tasks.
3. A placement request that its client cancels, or whose connection goes, leaves at once, unhandled, however
   many wait before it; one that is read after its client has hung up is dropped.
4. Bounds: ``MAX_PLACEMENTS`` placement requests wait, further ones are marked to be rejected
   (``over_limit``); with twice as many events in all (``is_overloaded``) no client is read of which
   ``CONNECTION_SHARE`` wait. Machines and the node list always are; what they send is bounded by the attempts
   at them.

Tables: the queues, and of what waits in them ``_by_task``, ``_by_connection``, ``_client_messages``,
``_machine_messages``, ``_urgent_tasks``, ``_urgent_clients``, ``_links_coming_up``; of connections
``_clients`` and ``_hung_up``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import replace
from typing import Any

from . import events as ev
from .messages import END_CAUSES, Kind

EVENTS_PER_TURN, PLACEMENTS_PER_TURN = 32, 8  # of one turn of the core: between turns messages are written
MAX_PLACEMENTS = 2048
MAX_EVENTS = 2 * MAX_PLACEMENTS
# Of one connection, while the queue is overloaded. Danger: with none a client that cancels, or closes its
# connection, is not noticed while others flood; with many the queue has no bound.
CONNECTION_SHARE = 16


def is_new_placement(event: ev.Event) -> bool:
    """Whether it is a placement request of a task that no machine has yet."""
    if not isinstance(event, ev.ClientMessage) or event.message.kind is not Kind.PLACE:
        return False
    extras = event.message.fields.get("extras", "")
    return not (extras.startswith("at:") or ";at:" in extras)


def comes_before_time(event: ev.Event) -> bool:
    """Whether a turn handles it before the timers that are due: a node list update, changed settings or a
    departure. Danger: a timer would send a placement request to a machine that drains, or for a client that
    has gone.
    """
    changes = (ev.NodeListUpdated, ev.NodeListConfirmed, ev.SettingsChanged)
    return isinstance(event, changes) or is_departure(event)


def is_departure(event: ev.Event) -> bool:
    """Whether it can only end what a client waits for, or opens its connection."""
    if isinstance(event, ev.ClientMessage):
        return event.message.kind in (Kind.RELEASE, Kind.MIGRATE)
    return isinstance(event, (ev.ClientConnected, ev.ClientHungUp, ev.ClientDisconnected))


def is_due_to_client(event: ev.MachineMessage) -> bool:
    """Whether a client is to be notified of it: an answer, or the end of what stood."""
    message = event.message
    return message.kind is Kind.ANSWER or (message.kind is Kind.RELEASE and message.cause in END_CAUSES)


class EventQueue:
    """The events that wait for a turn of the core, by urgency."""

    def __init__(self) -> None:
        self._node_list: deque[ev.Event] = deque()
        self._departures: deque[ev.Event] = deque()
        self._urgent: deque[ev.Event] = deque()
        self._other: deque[ev.Event] = deque()
        self._placements: OrderedDict[int, ev.Event] = OrderedDict()
        self._number = 0
        self._by_task: dict[str, dict[int, int]] = {}  # id: its waiting placements, and their connections
        self._by_connection: dict[int, dict[int, None]] = {}  # connection: the same
        self._client_messages: Counter[int] = Counter()  # by connection, in any queue
        self._machine_messages: Counter[str] = Counter()  # by task, in ``_other``
        # Placement requests and machines' messages by task, in ``_urgent``.
        self._urgent_tasks: Counter[str] = Counter()
        self._urgent_clients: Counter[int] = Counter()  # the same of clients, by connection
        self._links_coming_up: Counter[int] = Counter()  # by link, in ``_other``
        self._clients: dict[int, str] = {}  # by connection
        self._hung_up: set[int] = set()  # connections that are not disconnected yet

    def __len__(self) -> int:
        queues = (self._node_list, self._departures, self._urgent, self._other, self._placements)
        return sum(map(len, queues))

    def is_full(self) -> bool:
        """Whether as many placement requests wait as may."""
        return len(self._placements) >= MAX_PLACEMENTS

    def is_overloaded(self) -> bool:
        """Whether so many events wait that clients with many of them are not read."""
        return len(self) >= MAX_EVENTS

    def must_wait(self, conn: int) -> bool:
        """Whether no more of that client is to be read for now."""
        return self.is_overloaded() and self._client_messages[conn] >= CONNECTION_SHARE

    def has_pending(self, conn: int) -> bool:
        """Whether a message of that connection waits: read, and not yet handled."""
        return conn in self._client_messages

    def add(self, event: ev.Event) -> None:
        """Queue an event."""
        match event:
            case ev.NodeListUpdated() | ev.NodeListConfirmed() | ev.SettingsChanged():
                self._node_list.append(event)
            case ev.MachineMessage():
                self._machine_message(event)
            case ev.ClientMessage():
                self._client_message(event)
            case ev.ClientHungUp():
                self._hung_up.add(event.conn)
                self._remove_placements(list(self._by_connection.get(event.conn, ())))
                self._departures.append(event)
            case ev.ClientDisconnected():
                self._disconnected(event)
            case ev.ClientConnected():
                self._clients[event.conn] = event.client
                self._departures.append(event)
            case ev.ShutdownRequested() | ev.MachinesClosing():
                self._urgent.append(event)
            case ev.LinkUp():
                self._links_coming_up[event.link] += 1
                self._other.append(event)
            case _:
                self._other.append(event)

    def _disconnected(self, event: ev.ClientDisconnected) -> None:
        self._clients.pop(event.conn, None)
        self._remove_placements(list(self._by_connection.get(event.conn, ())))
        has_hung_up = event.conn in self._hung_up
        self._hung_up.discard(event.conn)
        if event.conn not in self._by_connection and event.conn not in self._urgent_clients:
            self._departures.append(event)
            return
        # Danger: behind what the client sent before, and all that waits before that, it is seen after further
        # attempts for a client that has gone.
        if not has_hung_up:
            self._departures.append(ev.ClientHungUp(event.conn))
        if event.conn in self._by_connection:
            # An adoption request waits, by its id.
            self._add_placement(event, "", event.conn)
        else:
            self._urgent.append(event)

    def _add_urgent(self, event: ev.ClientMessage | ev.MachineMessage) -> None:
        self._urgent.append(event)
        if _concerns_task(event):
            self._urgent_tasks[event.message.id] += 1
        if isinstance(event, ev.ClientMessage):
            self._urgent_clients[event.conn] += 1

    def _machine_message(self, event: ev.MachineMessage) -> None:
        if is_due_to_client(event) and self._overtakes(event):
            self._add_urgent(event)
        else:
            self._other.append(event)
            self._machine_messages[event.message.id] += 1

    def _client_message(self, event: ev.ClientMessage) -> None:
        if event.conn in self._hung_up and is_new_placement(event):
            return
        self._client_messages[event.conn] += 1
        id = event.message.id
        if is_new_placement(event) and self.is_full():
            self._add_urgent(replace(event, over_limit=True))
        elif is_new_placement(event):
            self._add_placement(event, id, event.conn)
        elif id not in self._by_task:
            self._add_message(event)
        else:
            if event.message.kind in (Kind.RELEASE, Kind.MIGRATE):
                # Danger: behind the placement request that it ends, and all that waits before that, it is
                # seen once the placement request has gone out for a client that has left.
                client = self._clients.get(event.conn, event.conn)
                own = [n for n, c in self._by_task[id].items() if self._clients.get(c, c) == client]
                if self._remove_placements(own):
                    event = replace(event, cancelled_unhandled=True)
            if id in self._by_task:
                self._add_placement(event, id, event.conn)
            else:
                self._add_message(event)

    def _add_message(self, event: ev.ClientMessage) -> None:
        """Danger: behind thousands of other messages a cancellation is seen after further attempts."""
        if is_departure(event) and event.message.id not in self._urgent_tasks:
            self._departures.append(event)
        else:
            self._add_urgent(event)

    def _overtakes(self, event: ev.MachineMessage) -> bool:
        """Danger: in a jam hundreds of refusals wait, each a task to be placed anew, and the ends of tasks
        behind them are reported too late.
        """
        return event.message.id not in self._machine_messages and event.link not in self._links_coming_up

    def _add_placement(self, event: ev.Event, id: str, conn: int) -> None:
        self._number += 1
        self._placements[self._number] = event
        if id:
            self._by_task.setdefault(id, {})[self._number] = conn
        self._by_connection.setdefault(conn, {})[self._number] = None

    def _remove_placements(self, numbers: list[int]) -> int:
        """Of these the placement requests; how many."""
        numbers = [n for n in numbers if is_new_placement(self._placements[n])]
        for number in numbers:
            event: Any = self._placements.pop(number)
            self._forget(number, event)
            _decrement(self._client_messages, event.conn)
        return len(numbers)

    def _forget(self, number: int, event: Any) -> None:
        if isinstance(event, ev.ClientMessage):
            _discard(self._by_task, event.message.id, number)
        _discard(self._by_connection, event.conn, number)

    def take(self) -> list[ev.Event]:
        """The next turn's; nothing once all is handled."""
        events = self._taken()
        for event in events:
            if isinstance(event, ev.ClientMessage):
                _decrement(self._client_messages, event.conn)
        return events

    def _taken(self) -> list[ev.Event]:
        if self._node_list or self._departures:
            events = list(self._node_list)
            self._node_list.clear()
            departing = min(EVENTS_PER_TURN, len(self._departures))
            return events + [self._departures.popleft() for _ in range(departing)]
        if self._urgent:
            return [self._take_urgent() for _ in range(min(EVENTS_PER_TURN, len(self._urgent)))]
        if self._other:
            return [self._take_other() for _ in range(min(EVENTS_PER_TURN, len(self._other)))]
        return [self._take_placement() for _ in range(min(PLACEMENTS_PER_TURN, len(self._placements)))]

    def _take_urgent(self) -> ev.Event:
        event = self._urgent.popleft()
        if _concerns_task(event):
            _decrement(self._urgent_tasks, event.message.id)  # type: ignore[union-attr]
        if isinstance(event, ev.ClientMessage):
            _decrement(self._urgent_clients, event.conn)
        return event

    def _take_other(self) -> ev.Event:
        event = self._other.popleft()
        if isinstance(event, ev.MachineMessage):
            _decrement(self._machine_messages, event.message.id)
        elif isinstance(event, ev.LinkUp):
            _decrement(self._links_coming_up, event.link)
        return event

    def _take_placement(self) -> ev.Event:
        number, event = self._placements.popitem(last=False)
        self._forget(number, event)
        return event

    def take_all(self, placements: bool = True, limit: int | None = None) -> list[ev.Event]:
        """Everything, or what comes first of it: some more than ``limit``, once there are so many. Without
        ``placements`` the new placement requests stay.
        """
        events: list[ev.Event] = []
        while len(self) > (0 if placements else len(self._placements)) and (
            limit is None or len(events) < limit
        ):
            events += self.take()
        return events

    def has_messages(self) -> bool:
        """Whether anything but new placement requests waits."""
        return len(self) > len(self._placements)


def _concerns_task(event: ev.Event) -> bool:
    """Whether a cancellation of its task has to come after it. Danger: counted by their id alone, the tests
    of another client would hold a cancellation back.
    """
    if isinstance(event, ev.ClientMessage):
        return event.message.kind is Kind.PLACE
    return isinstance(event, ev.MachineMessage)


def _decrement(table: Counter[Any], key: Any) -> None:
    table[key] -= 1
    if not table[key]:
        del table[key]


def _discard(table: dict[Any, dict[int, Any]], key: Any, number: int) -> None:
    of = table[key]
    del of[number]
    if not of:
        del table[key]
