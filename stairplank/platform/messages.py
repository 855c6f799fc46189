"""The platform's messages, independent of format: a kind, a task's id, fields, an optional cause and body."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

MAX_MESSAGE_BYTES = 16_384  # bytes of a complete message, in either format
ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII)


class PlatformError(Exception):
    """Base class of this package's errors."""


class ProtocolError(PlatformError):
    """A connection sent malformed data; nothing after it on that connection can be used.

    ``messages`` (binary format) or ``lines`` (JSON format) hold what was complete before the error.
    """

    def __init__(self, reason: str, messages: Sequence[Message] = (), lines: Sequence[bytes] = ()) -> None:
        super().__init__(reason)
        self.messages = list(messages)
        self.lines = list(lines)


class Kind(IntEnum):
    """The kind of a message, with its number in the binary format."""

    PLACE = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    ACKNOWLEDGEMENT = 16
    STATUS_UPDATE = 44
    MIGRATE = 51
    HEALTH_CHECK = 52
    HEALTH_CHECK_RESULT = 53


class Cause(IntEnum):
    """The reason for a release, with its number in the platform's protocol."""

    ENDED = 16  # a client that waits for an answer cancels its task with this cause
    CANCELLED = 31
    FULL = 34
    RESET = 41
    BUSY = 42
    ERROR = 47
    INVALID = 100
    NOT_SENT = 102


# Causes of a machine's release that end a running task.
END_CAUSES = frozenset({int(Cause.ENDED), int(Cause.CANCELLED), int(Cause.RESET)})


@dataclass(frozen=True, slots=True)
class Message:
    """A message of either format.

    ``fields`` are keyed by the names of the JSON format. ``body`` is forwarded and never parsed.
    """

    kind: Kind
    id: str  # 16 hex digits
    fields: dict[str, str] = field(default_factory=dict)
    cause: int | None = None
    body: str | None = None


def is_id(text: object) -> bool:
    """Return whether a value has the form of a task's id or key: 16 hexadecimal digits."""
    return isinstance(text, str) and ID_PATTERN.fullmatch(text) is not None
