"""The queue of events that are read and not yet handled, in the order of handling. No I/O or clock.

Invariants (tests/platform/test_platform_event_queue.py):

1. The order of handling is: node list updates and changed settings; departures (connections that open or
   close, and cancellations); urgent events (other messages of clients except new placement requests, and
   answers and ends of running tasks from machines); other events of machines and links; new placement
   requests. A placement request is last so that it is placed with everything that is known by then.
2. Events of the same task or connection keep their order, except that a client's departure overtakes them:
   with other events of the client in the queue, it does so as ``ClientHungUp``, which only ends the client's
   open tasks.
3. A placement request that its client cancels, or whose connection is lost, is removed unhandled at once,
   however many events are before it. A placement request read after its client has hung up is dropped.
4. Bounds: at most ``MAX_PLACEMENTS`` placement requests wait; further ones are marked to be rejected
   (``over_limit``). With twice as many events in all (``is_overloaded``), no connection with
   ``CONNECTION_SHARE`` queued messages is read. Machines and the node list service are always read;
   the number of attempts bounds what machines send.

Tables: the queues; indexes of the queued events (``_by_task``, ``_by_connection``, ``_client_messages``,
``_machine_messages``, ``_urgent_tasks``, ``_urgent_clients``, ``_links_coming_up``); the connections
(``_clients``, ``_hung_up``).
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import replace
from typing import Any

from . import events as ev
from .messages import END_CAUSES, Kind

# Events of one turn of the core; messages are written between turns.
EVENTS_PER_TURN, PLACEMENTS_PER_TURN = 32, 8
MAX_PLACEMENTS = 2048
MAX_EVENTS = 2 * MAX_PLACEMENTS
# Queued messages at which a connection is not read while the queue is overloaded. With 0, a client that
# cancels or disconnects would go unnoticed during an overload; a large value would not bound the queue.
CONNECTION_SHARE = 16


def is_new_placement(event: ev.Event) -> bool:
    """Return whether an event is a placement request for a task that no machine runs yet."""
    if not isinstance(event, ev.ClientMessage) or event.message.kind is not Kind.PLACE:
        return False
    extras = event.message.fields.get("extras", "")
    return not (extras.startswith("at:") or ";at:" in extras)


def comes_before_time(event: ev.Event) -> bool:
    """Return whether a turn handles an event before the timers that are due.

    This holds for node list updates, changed settings and departures. Otherwise a timer could send a
    placement request to a draining machine, or for a client that has disconnected.
    """
    changes = (ev.NodeListUpdated, ev.NodeListConfirmed, ev.SettingsChanged)
    return isinstance(event, changes) or is_departure(event)


def is_departure(event: ev.Event) -> bool:
    """Return whether an event opens or closes a client's connection, or cancels a task."""
    if isinstance(event, ev.ClientMessage):
        return event.message.kind in (Kind.RELEASE, Kind.MIGRATE)
    return isinstance(event, (ev.ClientConnected, ev.ClientHungUp, ev.ClientDisconnected))


def must_notify_client(event: ev.MachineMessage) -> bool:
    """Return whether a client must be notified of a machine's message: an answer, or the end of a task."""
    message = event.message
    return message.kind is Kind.ANSWER or (message.kind is Kind.RELEASE and message.cause in END_CAUSES)


class EventQueue:
    """The events that wait for a turn of the core, in one queue per urgency."""

    def __init__(self) -> None:
        self._node_list: deque[ev.Event] = deque()
        self._departures: deque[ev.Event] = deque()
        self._urgent: deque[ev.Event] = deque()
        self._other: deque[ev.Event] = deque()
        self._placements: OrderedDict[int, ev.Event] = OrderedDict()
        self._number = 0
        # By task id: the connections of the task's events in ``_placements``, by event number.
        self._by_task: dict[str, dict[int, int]] = {}
        # By connection: the numbers of the connection's events in ``_placements``.
        self._by_connection: dict[int, dict[int, None]] = {}
        self._client_messages: Counter[int] = Counter()  # number of queued client messages, by connection
        # Number of machines' messages in ``_other``, by task.
        self._machine_messages: Counter[str] = Counter()
        # Number of placement requests and machines' messages in ``_urgent``, by task.
        self._urgent_tasks: Counter[str] = Counter()
        # Number of clients' messages in ``_urgent``, by connection.
        self._urgent_clients: Counter[int] = Counter()
        self._links_coming_up: Counter[int] = Counter()  # number of LinkUp events in ``_other``, by link
        self._clients: dict[int, str] = {}  # client address by connection
        self._hung_up: set[int] = set()  # connections that have hung up and are not disconnected yet

    def __len__(self) -> int:
        """Return the number of events that wait."""
        queues = (self._node_list, self._departures, self._urgent, self._other, self._placements)
        return sum(map(len, queues))

    def is_full(self) -> bool:
        """Return whether the maximum number of placement requests is queued."""
        return len(self._placements) >= MAX_PLACEMENTS

    def is_overloaded(self) -> bool:
        """Return whether so many events are queued that connections with many messages are not read."""
        return len(self) >= MAX_EVENTS

    def must_wait(self, conn: int) -> bool:
        """Return whether reading from a connection must pause."""
        return self.is_overloaded() and self._client_messages[conn] >= CONNECTION_SHARE

    def has_pending(self, conn: int) -> bool:
        """Return whether a message of a connection is queued."""
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
        # The disconnect must stay behind the client's earlier messages. Without ClientHungUp ahead of them,
        # further attempts would start for a client that has disconnected.
        if not has_hung_up:
            self._departures.append(ev.ClientHungUp(event.conn))
        if event.conn in self._by_connection:
            # An adoption request of the connection is queued; the disconnect stays behind it.
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
        if must_notify_client(event) and self._overtakes(event):
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
                # A cancellation queued behind its placement request would be handled only after the request
                # has been sent to a machine.
                client = self._clients.get(event.conn, event.conn)
                own = [n for n, c in self._by_task[id].items() if self._clients.get(c, c) == client]
                if self._remove_placements(own):
                    event = replace(event, cancelled_unhandled=True)
            if id in self._by_task:
                self._add_placement(event, id, event.conn)
            else:
                self._add_message(event)

    def _add_message(self, event: ev.ClientMessage) -> None:
        """Queue a client's message; a cancellation goes ahead of other messages.

        Behind thousands of other messages, it would be handled only after further attempts for its task.
        """
        if is_departure(event) and event.message.id not in self._urgent_tasks:
            self._departures.append(event)
        else:
            self._add_urgent(event)

    def _overtakes(self, event: ev.MachineMessage) -> bool:
        """Return whether a machine's message may overtake other machines' messages.

        Under overload, hundreds of rejections are queued, each with a task to place again; behind them
        the ends of tasks would be reported too late. Messages of the same task, and messages on a link whose
        LinkUp is queued, keep their order.
        """
        return event.message.id not in self._machine_messages and event.link not in self._links_coming_up

    def _add_placement(self, event: ev.Event, id: str, conn: int) -> None:
        self._number += 1
        self._placements[self._number] = event
        if id:
            self._by_task.setdefault(id, {})[self._number] = conn
        self._by_connection.setdefault(conn, {})[self._number] = None

    def _remove_placements(self, numbers: list[int]) -> int:
        """Remove the new placement requests among the numbered events. Return how many there were."""
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
        """Remove and return the events of the next turn; an empty list if there are none."""
        events = self._take_most_urgent()
        for event in events:
            if isinstance(event, ev.ClientMessage):
                _decrement(self._client_messages, event.conn)
        return events

    def _take_most_urgent(self) -> list[ev.Event]:
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
        """Remove and return all events, or only the first ones.

        With ``limit``, it stops after the turn that reaches that number of events. Without ``placements``,
        the new placement requests stay in the queue.
        """
        events: list[ev.Event] = []
        while len(self) > (0 if placements else len(self._placements)) and (
            limit is None or len(events) < limit
        ):
            events += self.take()
        return events

    def has_messages(self) -> bool:
        """Return whether anything other than new placement requests is queued."""
        return len(self) > len(self._placements)


def _concerns_task(event: ev.Event) -> bool:
    """Return whether a cancellation of the event's task must stay behind the event.

    Health checks carry ids too; if they counted, another client's health checks could delay a cancellation.
    """
    if isinstance(event, ev.ClientMessage):
        return event.message.kind is Kind.PLACE
    return isinstance(event, ev.MachineMessage)


def _decrement(table: Counter[Any], key: Any) -> None:
    table[key] -= 1
    if not table[key]:
        del table[key]


def _discard(table: dict[Any, dict[int, Any]], key: Any, number: int) -> None:
    entries = table[key]
    del entries[number]
    if not entries:
        del table[key]
