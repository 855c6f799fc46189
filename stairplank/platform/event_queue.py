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
4. Bounds: at most ``MAX_PLACEMENTS`` placement requests wait; of further ones, those of the client address
   with the most are marked to be rejected (``over_limit``). With twice as many events or
   ``MAX_QUEUED_BYTES`` in all (``is_overloaded``), no connection with ``CONNECTION_SHARE`` queued messages or
   ``CONNECTION_BYTES`` is read. A connection with a long backlog in ``shares`` is not read (``must_wait``).
5. The order of 1 holds within the shares of the parties (``fair_shares``): no client address, machine or node
   list service delays the others' events, placement requests among them, by more than a round. With more
   than ``FIRST_COME_PLACEMENTS`` placement requests, addresses and then their connections take turns.

Tables: the queues and ``shares``; indexes of the queued events (``_by_task``, ``_by_connection``,
``_by_address``, ``_placements_by_address``, ``_deferred_tasks``, ``_urgent_by_link``, ``_client_messages``,
``_machine_messages``, ``_urgent_tasks``, ``_urgent_clients``, ``_links_coming_up``); the connections
(``_clients``, ``_hung_up``).
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import replace
from typing import Any

from . import events as ev
from .fair_shares import SOURCE_QUANTUM, FairShares
from .messages import END_CAUSES, Kind, Message

# Events of one turn of the core; messages are written between turns.
EVENTS_PER_TURN, PLACEMENTS_PER_TURN = 32, 8
MAX_PLACEMENTS = 2048
MAX_EVENTS = 2 * MAX_PLACEMENTS
# Queued messages at which a connection is not read while the queue is overloaded. With 0, a client that
# cancels or disconnects would go unnoticed during an overload; a large value would not bound the queue.
CONNECTION_SHARE = 16
CONNECTION_BYTES = 16_384  # the same in bytes
FIRST_COME_PLACEMENTS = 64  # up to this number, placement requests are handled in the order of their arrival
MAX_QUEUED_BYTES = 8_388_608  # descriptions and fields of all queued messages of clients
NODE_LIST = 0  # the connection number of the node list service in the shares; links have negative numbers


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
        self._by_address: OrderedDict[str, OrderedDict[int, None]] = OrderedDict()
        self._placements_by_address: Counter[str] = Counter()
        self.shares = FairShares()
        # The connection in whose backlog a task's placement or adoption request waits, by task.
        self._deferred_tasks: dict[str, int] = {}
        self._urgent_by_link: Counter[int] = Counter()  # answers and ends of a link in this round
        self._has_placed = False  # placement requests were handled in this round
        self._queued_bytes = 0
        self._bytes_by_connection: Counter[int] = Counter()
        self._is_timer_queued = False
        self._clients: dict[int, str] = {}  # client address by connection
        self._hung_up: set[int] = set()  # connections that have hung up and are not disconnected yet

    def __len__(self) -> int:
        """Return the number of events that wait."""
        queues = (self._node_list, self._departures, self._urgent, self._other, self._placements)
        return sum(map(len, queues)) + len(self.shares)

    def is_full(self) -> bool:
        """Return whether the maximum number of placement requests is queued."""
        return len(self._placements) >= MAX_PLACEMENTS

    def is_overloaded(self) -> bool:
        """Return whether so many events are queued that connections with many messages are not read."""
        return len(self) >= MAX_EVENTS or self._queued_bytes >= MAX_QUEUED_BYTES

    def must_wait(self, conn: int) -> bool:
        """Return whether reading from a client's connection must pause."""
        if self.shares.must_wait(conn):
            return True
        if not self.is_overloaded():
            return False
        has_many = self._client_messages[conn] >= CONNECTION_SHARE
        return has_many or self._bytes_by_connection[conn] >= CONNECTION_BYTES

    def must_wait_for_machine(self, link: int) -> bool:
        """Return whether reading from a connection to a machine must pause."""
        return self.shares.must_wait(-link)

    def must_wait_for_node_list(self) -> bool:
        """Return whether reading from the node list service must pause."""
        return self.shares.must_wait(NODE_LIST)

    def has_pending(self, conn: int) -> bool:
        """Return whether a message of a connection is queued."""
        return conn in self._client_messages

    def add(self, event: ev.Event) -> None:
        """Queue an event."""
        match event:
            case ev.NodeListUpdated() | ev.NodeListConfirmed() | ev.SettingsChanged():
                self._node_list_event(event)
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
            case _:
                self._other_event(event)

    def _other_event(self, event: ev.Event) -> None:
        match event:
            case ev.TimerDue():
                # After a stall, timers that are due stay so for many turns of the event loop.
                if self._is_timer_queued:
                    return
                self._is_timer_queued = True
            case ev.LinkUp():
                self._links_coming_up[event.link] += 1
            case ev.LinkLost() | ev.MessagesUnsent() if self.shares.has_backlog(-event.link):
                self.shares.defer(-event.link, -event.link, event)
                return
        self._other.append(event)

    def _node_list_event(self, event: ev.NodeListUpdated | ev.NodeListConfirmed | ev.SettingsChanged) -> None:
        last = self.shares.last(NODE_LIST) or (self._node_list[-1] if self._node_list else None)
        if isinstance(event, ev.NodeListConfirmed) and isinstance(last, ev.NodeListConfirmed):
            return  # the one that is queued says the same
        if isinstance(event, ev.SettingsChanged) or self.shares.admit(NODE_LIST, NODE_LIST):
            self._node_list.append(event)
        else:
            self.shares.defer(NODE_LIST, NODE_LIST, event)

    def _address_of(self, conn: int) -> str:
        return self._clients.get(conn, str(conn))

    def _disconnected(self, event: ev.ClientDisconnected) -> None:
        self._remove_placements(list(self._by_connection.get(event.conn, ())))
        has_hung_up = event.conn in self._hung_up
        if self.shares.has_backlog(event.conn):
            if not has_hung_up:
                self._hung_up.add(event.conn)
                self._departures.append(ev.ClientHungUp(event.conn))
            self.shares.defer(self._address_of(event.conn), event.conn, event)
            return
        if event.conn not in self._by_connection:
            self._clients.pop(event.conn, None)
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
        link = -event.link
        if must_notify_client(event) and self._overtakes(event):
            if self._urgent_by_link[link] < SOURCE_QUANTUM:
                self._urgent_by_link[link] += 1
                self._add_urgent(event)
                return
        elif self.shares.admit(link, link):
            self._add_other(event)
            return
        self._machine_messages[event.message.id] += 1
        self.shares.defer(link, link, event)

    def _add_other(self, event: ev.MachineMessage) -> None:
        self._other.append(event)
        self._machine_messages[event.message.id] += 1

    def _client_message(self, event: ev.ClientMessage) -> None:
        if event.conn in self._hung_up and is_new_placement(event):
            return
        self._client_messages[event.conn] += 1
        self._queued_bytes += _size(event.message)
        self._bytes_by_connection[event.conn] += _size(event.message)
        id = event.message.id
        if is_new_placement(event):
            self._new_placement(event)
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
        conn = self._deferred_tasks.get(event.message.id, event.conn)
        source = self._address_of(conn)
        if conn == event.conn and self.shares.admit(source, conn):
            self._add_admitted(event)
            return
        if event.message.kind is Kind.PLACE:
            self._deferred_tasks[event.message.id] = conn
        self.shares.defer(source, conn, event)

    def _add_admitted(self, event: ev.ClientMessage) -> None:
        if is_departure(event) and event.message.id not in self._urgent_tasks:
            self._departures.append(event)
        else:
            self._add_urgent(event)

    def _new_placement(self, event: ev.ClientMessage) -> None:
        """Queue a placement request.

        With a full queue it is rejected if its address has its share of the queue, else one of the address
        with the most is.
        """
        if self.is_full():
            counts = self._placements_by_address
            if counts[self._address_of(event.conn)] >= MAX_PLACEMENTS // len(counts):
                self._add_message(replace(event, over_limit=True))
                return
            self._displace(max(counts, key=lambda address: counts[address]))
        self._add_placement(event, event.message.id, event.conn)

    def _displace(self, address: str) -> None:
        """Have the newest placement request of an address rejected in place of another's."""
        for conn in reversed(self._by_address[address]):
            for number in reversed(self._by_connection[conn]):
                event = self._placements[number]
                if is_new_placement(event):
                    assert isinstance(event, ev.ClientMessage)
                    self._pop_placement(number)
                    self._add_message(replace(event, over_limit=True))
                    return

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
        address = self._address_of(conn)
        self._by_address.setdefault(address, OrderedDict())[conn] = None
        self._placements_by_address[address] += 1

    def _remove_placements(self, numbers: list[int]) -> int:
        """Remove the new placement requests among the numbered events. Return how many there were."""
        numbers = [n for n in numbers if is_new_placement(self._placements[n])]
        for number in numbers:
            event: Any = self._pop_placement(number)
            self._count_taken(event)
        return len(numbers)

    def _pop_placement(self, number: int) -> ev.Event:
        event: Any = self._placements.pop(number)
        if isinstance(event, ev.ClientMessage):
            _discard(self._by_task, event.message.id, number)
        _discard(self._by_connection, event.conn, number)
        address = self._address_of(event.conn)
        _decrement(self._placements_by_address, address)
        if event.conn not in self._by_connection:
            del self._by_address[address][event.conn]
            if not self._by_address[address]:
                del self._by_address[address]
            if isinstance(event, ev.ClientDisconnected):
                self._clients.pop(event.conn, None)
        return event  # type: ignore[no-any-return]

    def _count_taken(self, event: ev.ClientMessage) -> None:
        _decrement(self._client_messages, event.conn)
        self._queued_bytes -= _size(event.message)
        self._bytes_by_connection[event.conn] -= _size(event.message)
        if event.conn not in self._client_messages:
            del self._bytes_by_connection[event.conn]

    def take(self, placements: bool = True, backlogs: bool = True) -> list[ev.Event]:
        """Remove and return the events of the next turn; an empty list if there are none.

        Without ``placements``, the new placement requests stay in the queue; without ``backlogs``, what
        parties have sent beyond their shares does.
        """
        events = self._take_admitted()
        may_begin = self._has_placed or not self._placements or not placements
        if not events and backlogs and self.shares and may_begin:
            self._begin_round()
            events = self._take_admitted()
        if not events and placements:
            self._has_placed = True
            count = min(PLACEMENTS_PER_TURN, len(self._placements))
            events = [self._take_placement() for _ in range(count)]
        if not len(self):
            self._renew()
        for event in events:
            if isinstance(event, ev.ClientMessage):
                self._count_taken(event)
        return events

    def _renew(self) -> None:
        self.shares.renew()
        self._urgent_by_link.clear()
        self._has_placed = False

    def _begin_round(self) -> None:
        """Queue what the parties with backlogs may pass on in a new round."""
        self._renew()
        for event in self.shares.begin_round():
            match event:
                case ev.ClientMessage():
                    if event.message.kind is Kind.PLACE:
                        self._deferred_tasks.pop(event.message.id, None)
                    self._add_admitted(event)
                case ev.MachineMessage():
                    _decrement(self._machine_messages, event.message.id)
                    if must_notify_client(event) and self._overtakes(event):
                        self._add_urgent(event)
                    else:
                        self._add_other(event)
                case ev.ClientDisconnected():
                    self._disconnected(event)
                case ev.NodeListUpdated() | ev.NodeListConfirmed():
                    self._node_list.append(event)
                case _:
                    self._other.append(event)

    def _take_admitted(self) -> list[ev.Event]:
        if self._node_list or self._departures:
            events = list(self._node_list)
            self._node_list.clear()
            departing = min(EVENTS_PER_TURN, len(self._departures))
            return events + [self._departures.popleft() for _ in range(departing)]
        if self._urgent:
            return [self._take_urgent() for _ in range(min(EVENTS_PER_TURN, len(self._urgent)))]
        return [self._take_other() for _ in range(min(EVENTS_PER_TURN, len(self._other)))]

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
        elif isinstance(event, ev.TimerDue):
            self._is_timer_queued = False
        return event

    def _take_placement(self) -> ev.Event:
        if len(self._placements) <= FIRST_COME_PLACEMENTS:
            return self._pop_placement(next(iter(self._placements)))
        address, connections = next(iter(self._by_address.items()))
        self._by_address.move_to_end(address)
        conn = next(iter(connections))
        connections.move_to_end(conn)
        return self._pop_placement(next(iter(self._by_connection[conn])))

    def take_all(
        self, placements: bool = True, backlogs: bool = True, limit: int | None = None
    ) -> list[ev.Event]:
        """Remove and return all events, or only the first ones.

        With ``limit``, it stops after the turn that reaches that number of events. ``placements`` and
        ``backlogs``: see ``take``.
        """
        events: list[ev.Event] = []
        while (limit is None or len(events) < limit) and (batch := self.take(placements, backlogs)):
            events += batch
        return events

    def has_messages(self, backlogs: bool = True) -> bool:
        """Return whether anything other than new placement requests and timers is queued.

        Without ``backlogs``, what parties have sent beyond their shares does not count.
        """
        count = len(self) - len(self._placements) - self._is_timer_queued
        return count > (0 if backlogs else len(self.shares))


def _concerns_task(event: ev.Event) -> bool:
    """Return whether a cancellation of the event's task must stay behind the event.

    Health checks carry ids too; if they counted, another client's health checks could delay a cancellation.
    """
    if isinstance(event, ev.ClientMessage):
        return event.message.kind is Kind.PLACE
    return isinstance(event, ev.MachineMessage)


def _size(message: Message) -> int:
    """Return the length of a message's texts, which is nearly all of its size."""
    return len(message.body or "") + sum(map(len, message.fields.values()))


def _decrement(table: Counter[Any], key: Any) -> None:
    table[key] -= 1
    if not table[key]:
        del table[key]


def _discard(table: dict[Any, dict[int, Any]], key: Any, number: int) -> None:
    entries = table[key]
    del entries[number]
    if not entries:
        del table[key]
