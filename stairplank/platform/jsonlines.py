"""The message format of machines and of the node list service: one JSON object per line.

No I/O; buffers are bounded.
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
    """Splits a stream of bytes into lines, without their line breaks."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete line are buffered."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """Add data to the buffer and return the lines that it completes.

        Raises:
            ProtocolError: If a line is too long; the lines before it are in its ``lines``.
        """
        self._data += data
        *complete, rest = bytes(self._data).split(b"\n") if b"\n" in data else (bytes(self._data),)
        if len(complete):
            self._data = bytearray(rest)
        for number, line in enumerate([*complete, rest]):
            # Without this check, a line that never ends would grow the buffer without bound.
            if len(line) >= self._max_bytes:
                raise ProtocolError(
                    f"the line is too long: {len(line)} bytes or more", lines=complete[:number]
                )
        return complete


def parse_object(line: bytes) -> dict[str, Any]:
    """Parse the JSON object of a line. Raises ProtocolError if the line is not a JSON object."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        raise ProtocolError("the line is not valid JSON") from None
    if not isinstance(value, dict):
        raise ProtocolError("the line is not a JSON object")
    return value


def decode(line: bytes) -> Message:
    """Decode a machine's message.

    Raises:
        ProtocolError: If the line is malformed; neither it nor any later line may be used.
    """
    value = parse_object(line)
    kind = KINDS.get(value.get("kind", "")) if isinstance(value.get("kind"), str) else None
    fields, cause, body = value.get("meta", {}), value.get("reason"), value.get("body")
    if kind is None:
        raise ProtocolError("the message's kind is unknown")
    if not is_id(value.get("uid")):
        raise ProtocolError("the uid is not a task's id")
    if not isinstance(fields, dict) or not all(isinstance(v, (str, int, float)) for v in fields.values()):
        raise ProtocolError("the message's meta is not an object of strings and numbers")
    _check_cause(cause)
    if body is not None and not isinstance(body, str):
        raise ProtocolError("the message's body is not a string")
    _check_text([body or "", *map(str, fields), *map(str, fields.values())])
    needs_cause = kind in (Kind.RELEASE, Kind.HEALTH_CHECK_RESULT)
    if (kind is Kind.ANSWER and not body) or (needs_cause and cause is None):
        raise ProtocolError("the message lacks its body or its reason")
    return Message(kind, value["uid"], {str(k): str(v) for k, v in fields.items()}, cause, body)


def _check_cause(cause: object) -> None:
    if cause is None:
        return
    if not isinstance(cause, int) or isinstance(cause, bool) or not 0 <= cause <= MAX_CAUSE:
        raise ProtocolError(f"the message's reason is not an integer from 0 to {MAX_CAUSE}")


def _check_text(texts: list[str]) -> None:
    """Raise ProtocolError for a text with an unpaired surrogate.

    JSON can escape half of a character, which cannot be encoded as UTF-8 and so cannot be forwarded.
    """
    try:
        "".join(texts).encode()
    except UnicodeEncodeError:
        raise ProtocolError("the message's text has an unpaired surrogate") from None


def encode_text(body: str) -> bytes:
    """Return a description as the JSON string that a machine's line contains."""
    return json.dumps(body, ensure_ascii=False).encode()


def encode(message: Message) -> bytes:
    """Encode a message as a line. Raises ValueError if it is too long."""
    value: dict[str, Any] = {"kind": NAMES[message.kind], "uid": message.id, "meta": message.fields}
    if message.cause is not None:
        value["reason"] = message.cause
    if message.body is not None:
        value["body"] = message.body
    line = json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode() + b"\n"
    if len(line) > MAX_MESSAGE_BYTES:
        raise ValueError(f"the line is too long: {len(line)} bytes")
    return line
