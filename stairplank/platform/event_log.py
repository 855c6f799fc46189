"""The last events of the process, kept in memory and written to the log for incidents and on request.

Recording costs an append to a bounded deque: texts are made when the events are written. What each entry
holds is bounded too, as descriptions of tasks are left out.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import gevent

from . import events as ev
from .logs import log, write_line
from .messages import Message

MAX_EVENTS = 8192
MAX_WRITTEN = 2000  # the most events of one writing
WRITE_BATCH, WRITE_PAUSE_S = 64, 0.01  # standard error is given time to take the lines
MIN_INTERVAL_S = 10.0  # between two writings

Entry = tuple[int, str, tuple[Any, ...]]  # time of the monotonic clock in nanoseconds, event, values


class EventLog:
    """Records what was received, sent, opened and closed, and writes the last of it when asked."""

    def __init__(self, machine_of: Callable[[int], str]) -> None:
        """``machine_of`` returns the name of the machine that a link leads to, or an empty text."""
        self._machine_of = machine_of
        self._entries: deque[Entry] = deque(maxlen=MAX_EVENTS)
        self._written_at_s = 0.0

    def __len__(self) -> int:
        """Return the number of recorded events."""
        return len(self._entries)

    def record_all(self, items: Iterable[ev.Event | ev.Action]) -> None:
        """Record events of the sockets, or actions of the core."""
        now = time.monotonic_ns()
        for item in items:
            entry = _describe(item)
            if entry is not None:
                self._entries.append((now, type(item).__name__, entry))

    def write(self, why: str) -> None:
        """Write the last events to the log, in a greenlet; at most once in ``MIN_INTERVAL_S``."""
        now_s = time.monotonic()
        if self._written_at_s and now_s < self._written_at_s + MIN_INTERVAL_S:
            return
        self._written_at_s = now_s
        skipped = max(0, len(self._entries) - MAX_WRITTEN)
        gevent.spawn(self._write, why, list(islice(self._entries, skipped, None)))

    def _write(self, why: str, entries: list[Entry]) -> None:
        log("last events", why=why, count=len(entries))
        clock_offset_ns = time.time_ns() - time.monotonic_ns()
        for number, (at_ns, name, values) in enumerate(entries):
            write_line(
                {"at": round((clock_offset_ns + at_ns) / 1e9, 4), "event": name, "of": self._named(values)}
            )
            if number % WRITE_BATCH == WRITE_BATCH - 1:
                gevent.sleep(WRITE_PAUSE_S)

    def _named(self, values: tuple[Any, ...]) -> list[Any]:
        if values and isinstance(values[0], ev.LinkNumber):
            return [int(values[0]), self._machine_of(values[0]), *values[1:]]
        return list(values)


def _message(message: Message) -> tuple[Any, ...]:
    return message.kind.name, message.id, message.cause


def _describe(item: ev.Event | ev.Action) -> tuple[Any, ...] | None:
    """Return the values of an event or action that are kept, or None if it is not recorded."""
    match item:
        case ev.SendToClient() | ev.ClientMessage():
            return item.conn, *_message(item.message)
        case ev.SendToMachine() | ev.MachineMessage():
            return ev.LinkNumber(item.link), *_message(item.message)
        case ev.Dial() | ev.LinkUp():
            return (ev.LinkNumber(item.link),)
        case ev.LinkFailed():
            return ev.LinkNumber(item.link), item.why
        case ev.LinkLost() | ev.CloseLink():
            return ev.LinkNumber(item.link), item.why
        case ev.ClientConnected():
            return item.conn, item.client
        case ev.ClientHungUp() | ev.ClientDisconnected():
            return (item.conn,)
        case ev.CloseClient():
            return item.conn, item.why
    return None
