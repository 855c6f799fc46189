"""What has been read and not yet handled, in the order in which it is to be handled. No I/O or clock.

Invariants (tests/platform/test_platform_inbox.py):

1. The board's word comes before everything, what machines and links say and what owners hold already before
   new set-ups: a set-up is placed by all that is known, not by what happened to be read first.
2. Between events that speak of the same task or connection the order is kept.
3. ``is_full`` once so many wait: owners are not read then. Machines and the board always are; what they say
   is bounded by what is out at them.
"""

from __future__ import annotations

from collections import Counter, deque

from . import events as ev
from .messages import Kind

WORDS_AT_ONCE, ASKS_AT_ONCE = 32, 8  # of one turn of the core: between turns what is said leaves
WAITING_MOST = 2048


def is_ask(event: ev.OwnerSaid) -> bool:
    """Whether it is a set-up of a task that no machine has yet."""
    extras = event.message.fields.get("extras", "")
    return event.message.kind is Kind.SET_UP and not (extras.startswith("at:") or ";at:" in extras)


class Inbox:
    def __init__(self) -> None:
        self._board: deque[ev.Event] = deque()
        self._words: deque[ev.Event] = deque()
        self._asks: deque[ev.Event] = deque()
        self._ids: Counter[str] = Counter()  # of tasks of which something waits among the asks
        self._conns: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._board) + len(self._words) + len(self._asks)

    def is_full(self) -> bool:
        return len(self) >= WAITING_MOST

    def holds(self, conn: int) -> bool:
        """Whether a set-up of that connection waits: read, and not yet handled."""
        return conn in self._conns

    def add(self, event: ev.Event) -> None:
        match event:
            case ev.BoardTold():
                self._board.append(event)
            case ev.OwnerSaid() if is_ask(event) or event.message.id in self._ids:
                self._asks.append(event)
                self._ids[event.message.id] += 1
                self._conns[event.conn] += 1
            case ev.OwnerLeft() if event.conn in self._conns:
                self._asks.append(event)
            case _:
                self._words.append(event)

    def take(self) -> list[ev.Event]:
        """The next turn's; nothing once all is handled."""
        if self._board:
            out = list(self._board)
            self._board.clear()
            return out
        if self._words:
            return [self._words.popleft() for _ in range(min(WORDS_AT_ONCE, len(self._words)))]
        return [self._ask() for _ in range(min(ASKS_AT_ONCE, len(self._asks)))]

    def _ask(self) -> ev.Event:
        event = self._asks.popleft()
        if isinstance(event, ev.OwnerSaid):
            for table, key in ((self._ids, event.message.id), (self._conns, event.conn)):
                table[key] -= 1  # type: ignore[index]
                if not table[key]:  # type: ignore[index]
                    del table[key]  # type: ignore[arg-type]
        return event

    def take_all(self) -> list[ev.Event]:
        out: list[ev.Event] = []
        while part := self.take():
            out += part
        return out
