"""The format of machines and of the node list service: one JSON object a line. No I/O; buffers are
bounded.
"""

from __future__ import annotations

import json
from typing import Any

from .messages import MAX_MESSAGE_BYTES, Kind, Message, ProtocolError, is_id

KINDS = {
    "launch": Kind.PLACE,
    "staging": Kind.PROGRESS,
    "running": Kind.ANSWER,
    "stop": Kind.RELEASE,
    "stopped": Kind.ACKNOWLEDGEMENT,
    "update": Kind.STATUS_UPDATE,
    "migrate": Kind.MIGRATE,
    "check": Kind.HEALTH_CHECK,
    "checked": Kind.HEALTH_CHECK_RESULT,
}
NAMES = {kind: name for name, kind in KINDS.items()}
MAX_CAUSE = 255


class LineReader:
    """Splits what was read into lines, without their ends."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """How many bytes of an incomplete line there are."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete by now. Raises Unreadable for one that is too long; the lines before it
        are in its ``lines``.
        """
        self._data += data
        *complete, rest = bytes(self._data).split(b"\n") if b"\n" in data else (bytes(self._data),)
        if len(complete):
            self._data = bytearray(rest)
        for number, line in enumerate([*complete, rest]):
            # Danger: a line that never ends would be kept as it grows.
            if len(line) >= self._max_bytes:
                raise ProtocolError(f"a line of {len(line)} bytes or more", lines=complete[:number])
        return complete


def parse_object(line: bytes) -> dict[str, Any]:
    """A line's object. Raises Unreadable."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        raise ProtocolError("a line that is no JSON") from None
    if not isinstance(value, dict):
        raise ProtocolError("a line that is no object")
    return value


def decode(line: bytes) -> Message:
    """A machine's message.

    Raises:
        ProtocolError: nothing of such a line may be used, nor of what comes after it.
    """
    value = parse_object(line)
    kind = KINDS.get(value.get("kind", "")) if isinstance(value.get("kind"), str) else None
    fields, cause, body = value.get("meta", {}), value.get("reason"), value.get("body")
    if kind is None:
        raise ProtocolError("a line of no known kind")
    if not is_id(value.get("uid")):
        raise ProtocolError("a line without a task's id")
    if not isinstance(fields, dict) or not all(isinstance(v, (str, int, float)) for v in fields.values()):
        raise ProtocolError("a line whose fields are no strings or numbers")
    _check_cause(cause)
    if body is not None and not isinstance(body, str):
        raise ProtocolError("a line whose description is no text")
    _check_text([body or "", *map(str, fields), *map(str, fields.values())])
    needs_cause = kind in (Kind.RELEASE, Kind.HEALTH_CHECK_RESULT)
    if (kind is Kind.ANSWER and not body) or (needs_cause and cause is None):
        raise ProtocolError("a line that lacks its description or cause")
    return Message(kind, value["uid"], {str(k): str(v) for k, v in fields.items()}, cause, body)


def _check_cause(cause: object) -> None:
    if cause is None:
        return
    if not isinstance(cause, int) or isinstance(cause, bool) or not 0 <= cause <= MAX_CAUSE:
        raise ProtocolError("a line whose cause is no number")


def _check_text(texts: list[str]) -> None:
    """Danger: JSON can name half a character, which no other form can be given."""
    try:
        "".join(texts).encode()
    except UnicodeEncodeError:
        raise ProtocolError("a line with half a character") from None


def encode_text(body: str) -> bytes:
    """A description as a line has it."""
    return json.dumps(body, ensure_ascii=False).encode()


def encode(message: Message) -> bytes:
    """The line of a message. Raises ValueError for one that is too long."""
    value: dict[str, Any] = {"kind": NAMES[message.kind], "uid": message.id, "meta": message.fields}
    if message.cause is not None:
        value["reason"] = message.cause
    if message.body is not None:
        value["body"] = message.body
    line = json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode() + b"\n"
    if len(line) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a line of {len(line)} bytes")
    return line
