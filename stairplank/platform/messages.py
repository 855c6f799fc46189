"""The platform's messages, in either format: a kind, a task's id, fields, perhaps a cause and a body."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

MAX_MESSAGE_BYTES = 16_384  # bytes of a whole message, in either form
ID_FORM = re.compile(r"[0-9a-f]{16}", re.ASCII)


class PlatformError(Exception):
    """The base of this package's errors."""


class ProtocolError(PlatformError):
    """What came cannot be followed, nor anything after it on that connection.

    ``messages`` or ``lines``, by the format, were complete before the fault.
    """

    def __init__(self, reason: str, messages: Sequence[Message] = (), lines: Sequence[bytes] = ()) -> None:
        super().__init__(reason)
        self.messages = list(messages)
        self.lines = list(lines)


class Kind(IntEnum):
    """What a message is, numbered as in the binary format."""

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
    """Why a task is released, by the platform's numbers."""

    ENDED = 16  # from a client that waits: cancelled
    CANCELLED = 31
    FULL = 34
    RESET = 41
    BUSY = 42
    ERROR = 47
    INVALID = 100
    NOT_SENT = 102


END_CAUSES = frozenset({int(Cause.ENDED), int(Cause.CANCELLED), int(Cause.RESET)})  # of a task that ran


@dataclass(frozen=True, slots=True)
class Message:
    """A message of either format.

    ``fields`` have the names of the JSON format; a body is forwarded and never read.
    """

    kind: Kind
    id: str  # 16 hex digits
    fields: dict[str, str] = field(default_factory=dict)
    cause: int | None = None
    body: str | None = None


def is_id(text: object) -> bool:
    """Whether it is a task's id or key: 16 hexadecimal digits."""
    return isinstance(text, str) and ID_FORM.fullmatch(text) is not None
