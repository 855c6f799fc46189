"""Counters of messages, bytes and connections at a socket, and their sums. No I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from ..platform.messages import Kind

CONTROL_KINDS = frozenset({Kind.HEALTH_CHECK, Kind.HEALTH_CHECK_RESULT})


def is_control(kind: Kind) -> bool:
    """Returns whether a message is a health check or its result, which belong to no task."""
    return kind in CONTROL_KINDS


@dataclass(slots=True)
class Counts:
    """Totals since the start of a process; bytes are payload, both directions together."""

    dials: int = 0
    task_messages: int = 0
    task_bytes: int = 0
    control_messages: int = 0
    control_bytes: int = 0
    connection_seconds: float = 0.0

    def count(self, control: bool, size: int) -> None:
        """Counts one message of ``size`` bytes."""
        if control:
            self.control_messages += 1
            self.control_bytes += size
        else:
            self.task_messages += 1
            self.task_bytes += size

    def plus(self, other: Counts) -> Counts:
        return Counts(*(a + b for a, b in zip(self.values(), other.values(), strict=True)))

    def minus(self, other: Counts) -> Counts:
        return Counts(*(a - b for a, b in zip(self.values(), other.values(), strict=True)))

    def values(self) -> tuple[Any, ...]:
        return tuple(asdict(self).values())

    @property
    def messages(self) -> int:
        return self.task_messages + self.control_messages

    @property
    def bytes(self) -> int:
        return self.task_bytes + self.control_bytes


class OpenConnections:
    """Tracks the number of open connections and its integral over time."""

    def __init__(self, now: float) -> None:
        self.open = 0
        self._seconds = 0.0
        self._since = now

    def change(self, by: int, now: float) -> None:
        self.seconds(now)
        self.open += by

    def seconds(self, now: float) -> float:
        """Returns the connection-seconds accumulated so far."""
        self._seconds += self.open * (now - self._since)
        self._since = now
        return self._seconds
