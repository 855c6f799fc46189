"""What has been read and not yet handled, in the order in which it is to be handled. No I/O or clock.

Invariants (tests/platform/test_platform_inbox.py):

1. The board's word comes before everything; then what owners are owed at once, answers and the ends of tasks
   that stood; then what else machines and links say and what owners hold already; then new set-ups: a set-up
   is placed by all that is known, not by what happened to be read first.
2. Between events that speak of the same task or connection the order is kept.
3. ``is_full`` once so many wait: owners are not read then. Machines and the board always are; what they say
   is bounded by what is out at them.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from . import events as ev
from .messages import Cause, Kind

WORDS_AT_ONCE, ASKS_AT_ONCE = 32, 8  # of one turn of the core: between turns what is said leaves
WAITING_MOST = 2048


def is_ask(event: ev.OwnerSaid) -> bool:
    """Whether it is a set-up of a task that no machine has yet."""
    extras = event.message.fields.get("extras", "")
    return event.message.kind is Kind.SET_UP and not (extras.startswith("at:") or ";at:" in extras)


ENDS = frozenset({int(Cause.ENDED), int(Cause.CANCELLED), int(Cause.RESET)})


def is_owed(event: ev.MachineSaid) -> bool:
    """Whether an owner is to hear of it: an answer, or the end of what stood."""
    message = event.message
    return message.kind is Kind.ANSWER or (message.kind is Kind.RELEASE and message.cause in ENDS)


class Inbox:
    def __init__(self) -> None:
        self._board: deque[ev.Event] = deque()
        self._owed: deque[ev.Event] = deque()
        self._spoken: Counter[str] = Counter()  # tasks of which something waits among the words
        self._coming: Counter[int] = Counter()  # connections that have come up, which waits there
        self._words: deque[ev.Event] = deque()
        self._asks: deque[ev.Event] = deque()
        self._ids: Counter[str] = Counter()  # of tasks of which something waits among the asks
        self._conns: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._board) + len(self._owed) + len(self._words) + len(self._asks)

    def is_full(self) -> bool:
        return len(self) >= WAITING_MOST

    def holds(self, conn: int) -> bool:
        """Whether a set-up of that connection waits: read, and not yet handled."""
        return conn in self._conns

    def add(self, event: ev.Event) -> None:
        match event:
            case ev.BoardTold():
                self._board.append(event)
            case ev.MachineSaid() if self._overtakes(event):
                self._owed.append(event)
            case ev.OwnerSaid() if is_ask(event) or event.message.id in self._ids:
                self._asks.append(event)
                self._ids[event.message.id] += 1
                self._conns[event.conn] += 1
            case ev.OwnerLeft() if event.conn in self._conns:
                self._asks.append(event)
            case _:
                self._words.append(event)
                if isinstance(event, (ev.MachineSaid, ev.OwnerSaid)):
                    self._spoken[event.message.id] += 1
                elif isinstance(event, ev.LinkUp):
                    self._coming[event.link] += 1

    def _overtakes(self, event: ev.MachineSaid) -> bool:
        """Danger: in a jam hundreds of refusals wait, each a task to be placed anew, and the ends of tasks
        behind them are told too late."""
        return is_owed(event) and event.message.id not in self._spoken and event.link not in self._coming

    def take(self) -> list[ev.Event]:
        """The next turn's; nothing once all is handled."""
        if self._board:
            out = list(self._board)
            self._board.clear()
            return out
        if self._owed:
            return [self._owed.popleft() for _ in range(min(WORDS_AT_ONCE, len(self._owed)))]
        if self._words:
            return [self._word() for _ in range(min(WORDS_AT_ONCE, len(self._words)))]
        return [self._ask() for _ in range(min(ASKS_AT_ONCE, len(self._asks)))]

    def _word(self) -> ev.Event:
        event = self._words.popleft()
        if isinstance(event, (ev.MachineSaid, ev.OwnerSaid)):
            _less(self._spoken, event.message.id)
        elif isinstance(event, ev.LinkUp):
            _less(self._coming, event.link)
        return event

    def _ask(self) -> ev.Event:
        event = self._asks.popleft()
        if isinstance(event, ev.OwnerSaid):
            _less(self._ids, event.message.id)
            _less(self._conns, event.conn)
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
