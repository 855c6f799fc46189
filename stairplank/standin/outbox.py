"""A node's final messages about attempts of one planner, kept until acknowledged. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple


class NumberedMessage(NamedTuple):
    """A message and its number; numbers start at 1."""

    number: int
    message: Any


class Outbox:
    """Unacknowledged messages to one incarnation of a planner.

    At the bound the oldest message is dropped, and the outbox is no longer ``complete``.
    """

    def __init__(self, incarnation: int, max_messages: int = 10_000) -> None:
        """Create an outbox without messages for one incarnation of a planner."""
        self.incarnation = incarnation
        self.complete = True
        self._max_messages = max_messages
        self._unacknowledged: deque[NumberedMessage] = deque()
        self._last_number = 0

    def add(self, message: Any) -> int:
        """Keep a message until it is acknowledged, and return its number."""
        self._last_number += 1
        self._unacknowledged.append(NumberedMessage(self._last_number, message))
        if len(self._unacknowledged) > self._max_messages:
            self._unacknowledged.popleft()
            self.complete = False
        return self._last_number

    def acknowledge(self, number: int) -> None:
        """Drop the messages up to this number: the planner has received them."""
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            self._unacknowledged.popleft()

    @property
    def last_number(self) -> int:
        """The number of the last message added, or 0 if there was none."""
        return self._last_number

    def unacknowledged_after(self, number: int) -> list[NumberedMessage]:
        """Return the unacknowledged messages with a higher number, in order."""
        return [each for each in self._unacknowledged if each.number > number]
