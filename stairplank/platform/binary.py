"""The clients' binary message format: length, type, id and parameters, big-endian.

No I/O; buffers are bounded.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from .messages import MAX_MESSAGE_BYTES, Kind, Message, ProtocolError

LENGTH_BYTES = 2
HEAD = struct.Struct(">HB8s")  # length of what follows it, type, id
PARAMETER = struct.Struct(">BH")
CAUSE, BODY = 128, 130
NAMES = {100: "class", 102: "left", 104: "tenant", 106: "retry", 108: "key", 110: "extras", 112: "wait"}
NAMES |= {126: "idem"}
CODES = {name: code for code, name in NAMES.items()}
_KINDS = {int(kind): kind for kind in Kind}


class MessageReader:
    """Splits a stream of bytes into messages."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete message are buffered."""
        return len(self._data)

    def feed(self, data: bytes) -> list[Message]:
        """Add data to the buffer and return the messages that it completes.

        Raises:
            ProtocolError: If a message is malformed; the messages before it are in its ``messages``.
        """
        self._data += data
        messages: list[Message] = []
        try:
            while (message := self._next()) is not None:
                messages.append(message)
        except ProtocolError as error:
            raise ProtocolError(str(error), messages=messages) from None
        return messages

    def _next(self) -> Message | None:
        """Remove the first message from the buffer and return it, or None if it is incomplete."""
        if len(self._data) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._data[:LENGTH_BYTES], "big") + LENGTH_BYTES
        # Without this check, the reader would buffer data for a length that no message may have.
        if size < HEAD.size or size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"invalid message length: {size - LENGTH_BYTES} bytes")
        if len(self._data) < size:
            return None
        message = decode(bytes(self._data[:size]))
        del self._data[:size]
        return message


def decode(data: bytes) -> Message:
    """Decode one complete message. Raises ProtocolError if it is malformed."""
    _, number, raw = HEAD.unpack_from(data)
    kind = _KINDS.get(number)
    if kind is None:
        raise ProtocolError(f"unknown message type {number}")
    fields: dict[str, str] = {}
    cause, body = None, None
    for code, value in _parameters(data):
        if code == CAUSE:
            cause = _cause(value)
            continue
        text = _text(code, value)
        if code == BODY:
            body = text
        elif code in NAMES:
            fields[NAMES[code]] = text
    return Message(kind, raw.hex(), fields, cause, body)


def _parameters(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the code and the value of each parameter of a message, in order."""
    at = HEAD.size
    while at < len(data):
        if at + PARAMETER.size > len(data):
            raise ProtocolError("a parameter has no complete code and length")
        code, size = PARAMETER.unpack_from(data, at)
        at += PARAMETER.size
        if at + size > len(data):
            raise ProtocolError(f"parameter {code} runs past the end of the message")
        yield code, data[at : at + size]
        at += size


def _cause(value: bytes) -> int:
    if len(value) != 1:
        raise ProtocolError(f"the cause has {len(value)} bytes instead of 1")
    return value[0]


def _text(code: int, value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise ProtocolError(f"parameter {code} is not valid UTF-8") from None


def encode(message: Message) -> bytes:
    """Encode a message. Raises ValueError if it is too long."""
    parts = []
    for name, text in message.fields.items():
        value = text.encode()
        parts.append(PARAMETER.pack(CODES[name], len(value)) + value)
    if message.cause is not None:
        parts.append(PARAMETER.pack(CAUSE, 1) + bytes([message.cause & 0xFF]))
    if message.body is not None:
        value = message.body.encode()
        parts.append(PARAMETER.pack(BODY, len(value)) + value)
    rest = b"".join(parts)
    size = HEAD.size - 2 + len(rest)
    if size + 2 > MAX_MESSAGE_BYTES:
        raise ValueError(f"the message is too long: {size} bytes")
    return HEAD.pack(size, message.kind, bytes.fromhex(message.id)) + rest
