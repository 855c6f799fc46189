"""What has been read and not yet handled, in the order in which it is to be handled. No I/O or clock.

Invariants (tests/platform/test_platform_event_queue.py):

1. Node list updates and changed settings come before everything; then what clients send, but for new
   set-ups, and what they are owed at once, answers and the ends of tasks that stood; then what else machines
   and links report; then new set-ups: a set-up is placed by all that is known, not by what happened to be
   read first.
2. Between events of the same task or connection the order is kept.
3. A set-up that its client cancels, or whose connection goes, leaves at once, unhandled, however many wait
   before it.
4. Bounds: ``PLACEMENTS_MOST`` set-ups wait, further ones are marked to be rejected (``over_limit``); with
   twice as many events in all (``is_overloaded``) clients are not read. Machines and the node list always
   are; what they send is bounded by the attempts at them.

Tables: the queues, and of what waits in them ``_by_task``, ``_by_connection``, ``_client_messages``,
``_machine_messages``, ``_links_coming_up``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import replace
from typing import Any

from . import events as ev
from .messages import ENDS, Kind

EVENTS_PER_TURN, PLACEMENTS_PER_TURN = 32, 8  # of one turn of the core: between turns messages are written
PLACEMENTS_MOST = 2048
EVENTS_MOST = 2 * PLACEMENTS_MOST


def is_new_placement(event: ev.Event) -> bool:
    """Whether it is a set-up of a task that no machine has yet."""
    if not isinstance(event, ev.ClientMessage) or event.message.kind is not Kind.SET_UP:
        return False
    extras = event.message.fields.get("extras", "")
    return not (extras.startswith("at:") or ";at:" in extras)


def is_due_to_client(event: ev.MachineMessage) -> bool:
    """Whether a client is to be notified of it: an answer, or the end of what stood."""
    message = event.message
    return message.kind is Kind.ANSWER or (message.kind is Kind.RELEASE and message.cause in ENDS)


class EventQueue:
    def __init__(self) -> None:
        self._node_list: deque[ev.Event] = deque()
        self._urgent: deque[ev.Event] = deque()
        self._other: deque[ev.Event] = deque()
        self._placements: OrderedDict[int, ev.Event] = OrderedDict()
        self._number = 0
        self._by_task: dict[str, dict[int, int]] = {}  # id: its waiting placements, and their connections
        self._by_connection: dict[int, dict[int, None]] = {}  # connection: the same
        self._client_messages: Counter[int] = Counter()  # by connection, in any queue
        self._machine_messages: Counter[str] = Counter()  # by task, in ``_other``
        self._links_coming_up: Counter[int] = Counter()  # by link, in ``_other``
        self._clients: dict[int, str] = {}  # by connection

    def __len__(self) -> int:
        return len(self._node_list) + len(self._urgent) + len(self._other) + len(self._placements)

    def is_full(self) -> bool:
        return len(self._placements) >= PLACEMENTS_MOST

    def is_overloaded(self) -> bool:
        return len(self) >= EVENTS_MOST

    def has_pending(self, conn: int) -> bool:
        """Whether a message of that connection waits: read, and not yet handled."""
        return conn in self._client_messages

    def add(self, event: ev.Event) -> None:
        match event:
            case ev.NodeListUpdated() | ev.NodeListConfirmed() | ev.SettingsChanged():
                self._node_list.append(event)
            case ev.MachineMessage():
                if is_due_to_client(event) and self._overtakes(event):
                    self._urgent.append(event)
                else:
                    self._other.append(event)
                    self._machine_messages[event.message.id] += 1
            case ev.ClientMessage():
                self._client_messages[event.conn] += 1
                self._client_message(event)
            case ev.ClientDisconnected():
                self._clients.pop(event.conn, None)
                self._take_out(list(self._by_connection.get(event.conn, ())))
                if event.conn in self._by_connection:
                    self._wait(event, "", event.conn)  # a set-up of what a machine holds waits, by its id
                else:
                    self._urgent.append(event)
            case ev.ClientConnected():
                self._clients[event.conn] = event.client
                self._urgent.append(event)
            case ev.StopRequested() | ev.MachinesClosing():
                self._urgent.append(event)
            case ev.LinkUp():
                self._links_coming_up[event.link] += 1
                self._other.append(event)
            case _:
                self._other.append(event)

    def _client_message(self, event: ev.ClientMessage) -> None:
        id = event.message.id
        if is_new_placement(event) and self.is_full():
            self._urgent.append(replace(event, over_limit=True))
        elif is_new_placement(event):
            self._wait(event, id, event.conn)
        elif id not in self._by_task:
            self._urgent.append(event)
        else:
            if event.message.kind in (Kind.RELEASE, Kind.MOVE):
                # Danger: behind the set-up that it ends, and all that waits before that, it is seen once the
                # set-up has gone out for a client that has left.
                client = self._clients.get(event.conn, event.conn)
                own = [n for n, c in self._by_task[id].items() if self._clients.get(c, c) == client]
                if self._take_out(own):
                    event = replace(event, cancelled_unhandled=True)
            if id in self._by_task:
                self._wait(event, id, event.conn)
            else:
                self._urgent.append(event)

    def _overtakes(self, event: ev.MachineMessage) -> bool:
        """Danger: in a jam hundreds of refusals wait, each a task to be placed anew, and the ends of tasks
        behind them are reported too late."""
        return event.message.id not in self._machine_messages and event.link not in self._links_coming_up

    def _wait(self, event: ev.Event, id: str, conn: int) -> None:
        self._number += 1
        self._placements[self._number] = event
        if id:
            self._by_task.setdefault(id, {})[self._number] = conn
        self._by_connection.setdefault(conn, {})[self._number] = None

    def _take_out(self, numbers: list[int]) -> int:
        """Of these the set-ups; how many."""
        numbers = [n for n in numbers if is_new_placement(self._placements[n])]
        for number in numbers:
            event: Any = self._placements.pop(number)
            self._forget(number, event)
            _less(self._client_messages, event.conn)
        return len(numbers)

    def _forget(self, number: int, event: Any) -> None:
        if isinstance(event, ev.ClientMessage):
            _without(self._by_task, event.message.id, number)
        _without(self._by_connection, event.conn, number)

    def take(self) -> list[ev.Event]:
        """The next turn's; nothing once all is handled."""
        out = self._taken()
        for event in out:
            if isinstance(event, ev.ClientMessage):
                _less(self._client_messages, event.conn)
        return out

    def _taken(self) -> list[ev.Event]:
        if self._node_list:
            out = list(self._node_list)
            self._node_list.clear()
            return out
        if self._urgent:
            return [self._urgent.popleft() for _ in range(min(EVENTS_PER_TURN, len(self._urgent)))]
        if self._other:
            return [self._take_other() for _ in range(min(EVENTS_PER_TURN, len(self._other)))]
        return [self._take_placement() for _ in range(min(PLACEMENTS_PER_TURN, len(self._placements)))]

    def _take_other(self) -> ev.Event:
        event = self._other.popleft()
        if isinstance(event, ev.MachineMessage):
            _less(self._machine_messages, event.message.id)
        elif isinstance(event, ev.LinkUp):
            _less(self._links_coming_up, event.link)
        return event

    def _take_placement(self) -> ev.Event:
        number, event = self._placements.popitem(last=False)
        self._forget(number, event)
        return event

    def take_all(self, placements: bool = True) -> list[ev.Event]:
        """Everything; without ``placements`` the new set-ups stay."""
        out: list[ev.Event] = []
        while len(self) > (0 if placements else len(self._placements)):
            out += self.take()
        return out


def _less(table: Counter[Any], key: Any) -> None:
    table[key] -= 1
    if not table[key]:
        del table[key]


def _without(table: dict[Any, dict[int, Any]], key: Any, number: int) -> None:
    of = table[key]
    del of[number]
    if not of:
        del table[key]
