"""The format of clients: length, type, id, parameters, big-endian. No I/O; buffers are bounded."""

from __future__ import annotations

import struct

from .messages import MAX_MESSAGE_BYTES, Kind, Message, ProtocolError

HEAD = struct.Struct(">HB8s")  # the length counts all that follows it
PARAMETER = struct.Struct(">BH")
CAUSE, BODY = 128, 130
NAMES = {100: "class", 102: "left", 104: "tenant", 106: "retry", 108: "key", 110: "extras", 112: "wait"}
NAMES |= {126: "idem"}
CODES = {name: code for code, name in NAMES.items()}
_KINDS = {int(kind): kind for kind in Kind}


class MessageReader:
    """Cuts what was read into messages."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._data)

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole by now. Raises Unreadable; what stood before the fault is in its
        ``messages``."""
        self._data += data
        out: list[Message] = []
        at, have = 0, len(self._data)
        try:
            while have - at >= 2:
                size = int.from_bytes(self._data[at : at + 2], "big")
                # Danger: a length is believed before its bytes are here; the reader would wait for them.
                if size < HEAD.size - 2 or size + 2 > MAX_MESSAGE_BYTES:
                    raise ProtocolError(f"a message of {size} bytes")
                if have - at < size + 2:
                    break
                out.append(decode(bytes(self._data[at : at + 2 + size])))
                at += 2 + size
        except ProtocolError as error:
            raise ProtocolError(str(error), messages=out) from None
        finally:
            del self._data[:at]
        return out


def decode(data: bytes) -> Message:
    """One whole message. Raises Unreadable."""
    _, number, raw = HEAD.unpack_from(data)
    kind = _KINDS.get(number)
    if kind is None:
        raise ProtocolError(f"type {number}")
    fields: dict[str, str] = {}
    cause, body = None, None
    at = HEAD.size
    while at < len(data):
        if at + PARAMETER.size > len(data):
            raise ProtocolError("a parameter without its length")
        code, size = PARAMETER.unpack_from(data, at)
        at += PARAMETER.size
        if at + size > len(data):
            raise ProtocolError(f"parameter {code} runs past the message")
        value = data[at : at + size]
        at += size
        if code == CAUSE:
            if size != 1:
                raise ProtocolError(f"a cause of {size} bytes")
            cause = value[0]
            continue
        try:
            text = value.decode()
        except UnicodeDecodeError:
            raise ProtocolError(f"parameter {code} is no text") from None
        if code == BODY:
            body = text
        elif code in NAMES:
            fields[NAMES[code]] = text
    return Message(kind, raw.hex(), fields, cause, body)


def encode(message: Message) -> bytes:
    """The bytes of a message. Raises ValueError for one that is too long."""
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
        raise ValueError(f"a message of {size} bytes")
    return HEAD.pack(size, message.kind, bytes.fromhex(message.id)) + rest
