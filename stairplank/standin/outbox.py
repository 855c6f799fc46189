"""A node's final messages on attempts of one planner, kept until they are acknowledged. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple


class NumberedMessage(NamedTuple):
    """A message and its number; numbers start at 1."""

    number: int
    message: Any


class Outbox:
    """Messages to one incarnation of a planner.

    At the bound the oldest message is dropped, and the outbox is no longer ``complete``.
    """

    def __init__(self, incarnation: int, max_messages: int = 10_000) -> None:
        """Start without messages."""
        self.incarnation = incarnation
        self.complete = True
        self._max_messages = max_messages
        self._unacknowledged: deque[NumberedMessage] = deque()
        self._last_number = 0

    def add(self, message: Any) -> int:
        """Keep a message; returns its number."""
        self._last_number += 1
        self._unacknowledged.append(NumberedMessage(self._last_number, message))
        if len(self._unacknowledged) > self._max_messages:
            self._unacknowledged.popleft()
            self.complete = False
        return self._last_number

    def acknowledge(self, number: int) -> None:
        """The planner has received all messages up to this number."""
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            self._unacknowledged.popleft()

    @property
    def last_number(self) -> int:
        """The number of the last message; 0: there was none."""
        return self._last_number

    def unacknowledged_after(self, number: int) -> list[NumberedMessage]:
        """Messages that are kept and have a higher number, in order."""
        return [each for each in self._unacknowledged if each.number > number]
