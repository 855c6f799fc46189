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


class LineReader:
    """Cuts what was read into lines, without their ends."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Bytes of a line that has not come whole."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole by now. Raises Unreadable for one that is too long; the lines before it
        are in its ``lines``.
        """
        self._data += data
        *whole, rest = bytes(self._data).split(b"\n") if b"\n" in data else (bytes(self._data),)
        if len(whole):
            self._data = bytearray(rest)
        for number, line in enumerate([*whole, rest]):
            # Danger: a line that never ends would be kept as it grows.
            if len(line) >= self._max_bytes:
                raise ProtocolError(f"a line of {len(line)} bytes or more", lines=whole[:number])
        return whole


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
    """A machine's line. Raises Unreadable: nothing of such a line may be used, nor of what comes after it."""
    value = parse_object(line)
    kind = KINDS.get(value.get("kind", "")) if isinstance(value.get("kind"), str) else None
    meta, cause, body = value.get("meta", {}), value.get("reason"), value.get("body")
    if kind is None:
        raise ProtocolError("a line of no known kind")
    if not is_id(value.get("uid")):
        raise ProtocolError("a line without a task's id")
    if not isinstance(meta, dict) or not all(isinstance(v, (str, int, float)) for v in meta.values()):
        raise ProtocolError("a line whose fields are no strings or numbers")
    if cause is not None and (not isinstance(cause, int) or isinstance(cause, bool) or not 0 <= cause <= 255):
        raise ProtocolError("a line whose cause is no number")
    if body is not None and not isinstance(body, str):
        raise ProtocolError("a line whose description is no text")
    try:
        # Danger: JSON can name half a character, which no other form can be given.
        "".join([body or "", *map(str, meta), *map(str, meta.values())]).encode()
    except UnicodeEncodeError:
        raise ProtocolError("a line with half a character") from None
    if (kind is Kind.ANSWER and not body) or (
        kind in (Kind.RELEASE, Kind.HEALTH_CHECK_RESULT) and cause is None
    ):
        raise ProtocolError("a line that lacks its description or cause")
    return Message(kind, value["uid"], {str(k): str(v) for k, v in meta.items()}, cause, body)


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
