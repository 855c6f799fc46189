"""The platform's messages, in either format: a kind, a task's id, fields, perhaps a cause and a body."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import IntEnum

MESSAGE_MOST = 16_384  # bytes of a whole message, in either form
ID_FORM = re.compile(r"[0-9a-f]{16}", re.ASCII)


class Unreadable(Exception):
    """What came cannot be followed, nor anything after it on that connection."""


class Kind(IntEnum):
    """Numbered as in the binary form."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    HEARD = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53


class Cause(IntEnum):
    """Of releases, by the numbers that the platform gives them."""

    ENDED = 16  # and, from who waits, "given up"
    CANCELLED = 31
    FULL = 34
    RESET = 41
    BUSY = 42
    ERROR = 47
    INVALID = 100
    MOOT = 102


ENDS = frozenset({int(Cause.ENDED), int(Cause.CANCELLED), int(Cause.RESET)})  # of a task that stood


@dataclass(frozen=True, slots=True)
class Message:
    """``fields`` have the JSON form's names; a body is passed on and never read."""

    kind: Kind
    id: str  # 16 hex digits
    fields: dict[str, str] = field(default_factory=dict)
    cause: int | None = None
    body: str | None = None


def is_id(text: object) -> bool:
    return isinstance(text, str) and ID_FORM.fullmatch(text) is not None
