"""What has been read and not yet handled, in the order in which it is to be handled. No I/O or clock.

Invariants (tests/platform/test_platform_inbox.py):

1. The board's word comes before everything; then what owners say, but for new set-ups, and what they are owed
   at once, answers and the ends of tasks that stood; then what else machines and links say; then new set-ups:
   a set-up is placed by all that is known, not by what happened to be read first.
2. Between events that speak of the same task or connection the order is kept.
3. A set-up whose owner gives it up, or whose connection goes, leaves at once, unhandled, however many wait
   before it.
4. Bounds: ``ASKS_MOST`` set-ups wait, further ones are marked to be turned away (``beyond``); with twice as
   many events in all (``is_choked``) owners are not read. Machines and the board always are; what they say
   is bounded by what is out at them.

Tables: the queues, and of what waits in them ``_of_task``, ``_of_conn``, ``_said``, ``_spoken``, ``_coming``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import replace
from typing import Any

from . import events as ev
from .messages import ENDS, Kind

WORDS_AT_ONCE, ASKS_AT_ONCE = 32, 8  # of one turn of the core: between turns what is said leaves
ASKS_MOST = 2048
WAITING_MOST = 2 * ASKS_MOST


def is_ask(event: ev.Event) -> bool:
    """Whether it is a set-up of a task that no machine has yet."""
    if not isinstance(event, ev.OwnerSaid) or event.message.kind is not Kind.SET_UP:
        return False
    extras = event.message.fields.get("extras", "")
    return not (extras.startswith("at:") or ";at:" in extras)


def is_owed(event: ev.MachineSaid) -> bool:
    """Whether an owner is to hear of it: an answer, or the end of what stood."""
    message = event.message
    return message.kind is Kind.ANSWER or (message.kind is Kind.RELEASE and message.cause in ENDS)


class Inbox:
    def __init__(self) -> None:
        self._board: deque[ev.Event] = deque()
        self._first: deque[ev.Event] = deque()
        self._words: deque[ev.Event] = deque()
        self._asks: OrderedDict[int, ev.Event] = OrderedDict()
        self._number = 0
        self._of_task: dict[str, dict[int, int]] = {}  # id: what waits among the asks, and its connection
        self._of_conn: dict[int, dict[int, None]] = {}  # connection: the same
        self._said: Counter[int] = Counter()  # connections of which an owner's word waits anywhere
        self._spoken: Counter[str] = Counter()  # tasks of which a machine's word waits among the words
        self._coming: Counter[int] = Counter()  # connections that have come up, which waits there
        self._clients: dict[int, str] = {}  # of the connections that are there

    def __len__(self) -> int:
        return len(self._board) + len(self._first) + len(self._words) + len(self._asks)

    def is_full(self) -> bool:
        return len(self._asks) >= ASKS_MOST

    def is_choked(self) -> bool:
        return len(self) >= WAITING_MOST

    def holds(self, conn: int) -> bool:
        """Whether something that was said on that connection waits: read, and not yet handled."""
        return conn in self._said

    def add(self, event: ev.Event) -> None:
        match event:
            case ev.BoardTold() | ev.BoardHeard():
                self._board.append(event)
            case ev.MachineSaid():
                if is_owed(event) and self._overtakes(event):
                    self._first.append(event)
                else:
                    self._words.append(event)
                    self._spoken[event.message.id] += 1
            case ev.OwnerSaid():
                self._said[event.conn] += 1
                self._owner_said(event)
            case ev.OwnerLeft():
                self._clients.pop(event.conn, None)
                self._take_out(list(self._of_conn.get(event.conn, ())))
                if event.conn in self._of_conn:
                    self._wait(event, "", event.conn)  # a set-up of what a machine holds waits, by its id
                else:
                    self._first.append(event)
            case ev.OwnerCame():
                self._clients[event.conn] = event.client
                self._first.append(event)
            case ev.StopAsked() | ev.Parting():
                self._first.append(event)
            case ev.LinkUp():
                self._coming[event.link] += 1
                self._words.append(event)
            case _:
                self._words.append(event)

    def _owner_said(self, event: ev.OwnerSaid) -> None:
        id = event.message.id
        if is_ask(event) and self.is_full():
            self._first.append(replace(event, beyond=True))
        elif is_ask(event):
            self._wait(event, id, event.conn)
        elif id not in self._of_task:
            self._first.append(event)
        else:
            if event.message.kind in (Kind.RELEASE, Kind.MOVE):
                # Danger: behind the set-up that it ends, and all that waits before that, it is seen once the
                # set-up has gone out for a client that has left.
                client = self._clients.get(event.conn, event.conn)
                own = [n for n, c in self._of_task[id].items() if self._clients.get(c, c) == client]
                if self._take_out(own):
                    event = replace(event, took=True)
            if id in self._of_task:
                self._wait(event, id, event.conn)
            else:
                self._first.append(event)

    def _overtakes(self, event: ev.MachineSaid) -> bool:
        """Danger: in a jam hundreds of refusals wait, each a task to be placed anew, and the ends of tasks
        behind them are told too late."""
        return event.message.id not in self._spoken and event.link not in self._coming

    def _wait(self, event: ev.Event, id: str, conn: int) -> None:
        self._number += 1
        self._asks[self._number] = event
        if id:
            self._of_task.setdefault(id, {})[self._number] = conn
        self._of_conn.setdefault(conn, {})[self._number] = None

    def _take_out(self, numbers: list[int]) -> int:
        """Of these the set-ups; how many."""
        numbers = [n for n in numbers if is_ask(self._asks[n])]
        for number in numbers:
            event: Any = self._asks.pop(number)
            self._forget(number, event)
            _less(self._said, event.conn)
        return len(numbers)

    def _forget(self, number: int, event: Any) -> None:
        if isinstance(event, ev.OwnerSaid):
            _without(self._of_task, event.message.id, number)
        _without(self._of_conn, event.conn, number)

    def take(self) -> list[ev.Event]:
        """The next turn's; nothing once all is handled."""
        out = self._taken()
        for event in out:
            if isinstance(event, ev.OwnerSaid):
                _less(self._said, event.conn)
        return out

    def _taken(self) -> list[ev.Event]:
        if self._board:
            out = list(self._board)
            self._board.clear()
            return out
        if self._first:
            return [self._first.popleft() for _ in range(min(WORDS_AT_ONCE, len(self._first)))]
        if self._words:
            return [self._word() for _ in range(min(WORDS_AT_ONCE, len(self._words)))]
        return [self._ask() for _ in range(min(ASKS_AT_ONCE, len(self._asks)))]

    def _word(self) -> ev.Event:
        event = self._words.popleft()
        if isinstance(event, ev.MachineSaid):
            _less(self._spoken, event.message.id)
        elif isinstance(event, ev.LinkUp):
            _less(self._coming, event.link)
        return event

    def _ask(self) -> ev.Event:
        number, event = self._asks.popitem(last=False)
        self._forget(number, event)
        return event

    def take_all(self, asks: bool = True) -> list[ev.Event]:
        """Everything; without ``asks`` the new set-ups stay."""
        out: list[ev.Event] = []
        while len(self) > (0 if asks else len(self._asks)):
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
