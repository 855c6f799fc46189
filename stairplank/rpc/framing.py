"""Encodes and decodes the gRPC wire format: message prefix, timeouts, status messages, metadata."""

from __future__ import annotations

import base64
import binascii
import math
import re
import struct
from collections.abc import Iterable

from .errors import MetadataKeyError, MetadataValueError, TimeoutFormatError
from .status import Code, RpcError

Headers = list[tuple[str, str]]
Metadata = tuple[tuple[str, str | bytes], ...]

CONTENT_TYPE = "application/grpc"
IDENTITY = "identity"  # the only supported message encoding
MAX_TIMEOUT_COUNT = 99_999_999
PREFIX = struct.Struct(">BI")  # message prefix: compressed flag, message length
PREFIX_BYTES = PREFIX.size

_COMPRESSED_FLAG = 1
_SECONDS_OF_UNIT = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
_UNITS_FINEST_FIRST = (("n", 1e9), ("u", 1e6), ("m", 1e3), ("S", 1.0), ("M", 1 / 60), ("H", 1 / 3600))
_TIMEOUT_PATTERN = re.compile(r"([0-9]{1,8})([HMSmun])")
_METADATA_KEY_PATTERN = re.compile(r"[0-9a-z_.\-]+")
_RESERVED_KEYS = ("grpc-", ":", "content-type", "te", "user-agent")


def encode_message(message: bytes) -> bytes:
    """Return a message with its length prefix, uncompressed."""
    return PREFIX.pack(0, len(message)) + message


class MessageDecoder:
    """Splits the bytes of a stream into messages; buffers at most one incomplete message."""

    def __init__(self, max_message_bytes: int) -> None:
        """Reject messages larger than ``max_message_bytes``."""
        self._max_message_bytes = max_message_bytes
        self._buffer = bytearray()

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of the incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that ``data`` completes. Raises RpcError if the format is invalid."""
        buffer = self._buffer
        buffer += data
        messages: list[bytes] = []
        position = 0
        size = len(buffer)
        while size - position >= PREFIX_BYTES:
            flag, length = PREFIX.unpack_from(buffer, position)
            self._check_prefix(flag, length)
            start = position + PREFIX_BYTES
            if size - start < length:
                break
            position = start + length
            messages.append(bytes(buffer[start:position]))
        if position:
            del buffer[:position]
        return messages

    def _check_prefix(self, flag: int, length: int) -> None:
        if flag == _COMPRESSED_FLAG:
            raise RpcError(Code.UNIMPLEMENTED, "compressed messages are not taken: only identity is")
        if flag:
            raise RpcError(Code.INTERNAL, f"message prefix with an unknown flag {flag}")
        if length > self._max_message_bytes:
            raise RpcError(
                Code.RESOURCE_EXHAUSTED,
                f"message of {length} bytes; at most {self._max_message_bytes} are taken",
            )


def encode_timeout(seconds: float) -> str:
    """Return a ``grpc-timeout`` value, rounded up, in the finest unit that fits into eight digits."""
    if seconds <= 0:
        return "0n"
    for unit, per_second in _UNITS_FINEST_FIRST:
        count = math.ceil(seconds * per_second)
        if count <= MAX_TIMEOUT_COUNT:
            return f"{count}{unit}"
    return f"{MAX_TIMEOUT_COUNT}H"


def decode_timeout(text: str) -> float:
    """Return a ``grpc-timeout`` value in seconds. Raises TimeoutFormatError if it is malformed."""
    match = _TIMEOUT_PATTERN.fullmatch(text)
    if match is None:
        raise TimeoutFormatError(text)
    return int(match[1]) * _SECONDS_OF_UNIT[match[2]]


def encode_status_message(text: str) -> str:
    """Return a status message as a ``grpc-message`` value, which is percent-encoded UTF-8."""
    return "".join(
        chr(byte) if 0x20 <= byte <= 0x7E and byte != 0x25 else f"%{byte:02X}"
        for byte in text.encode("utf-8")
    )


def decode_status_message(text: str) -> str:
    """Return the text of a ``grpc-message`` header, with invalid UTF-8 replaced."""
    raw = re.sub(r"%([0-9A-Fa-f]{2})", lambda match: chr(int(match[1], 16)), text)
    return raw.encode("latin-1", "replace").decode("utf-8", "replace")


def encode_metadata(metadata: Iterable[tuple[str, str | bytes]]) -> Headers:
    """Return metadata as headers; -bin keys carry bytes. Raises MetadataKeyError, MetadataValueError."""
    headers: Headers = []
    for key, value in metadata:
        if not _METADATA_KEY_PATTERN.fullmatch(key) or key.startswith(_RESERVED_KEYS):
            raise MetadataKeyError(key)
        if key.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode("utf-8")
            headers.append((key, base64.b64encode(raw).decode("ascii").rstrip("=")))
            continue
        text = value if isinstance(value, str) else value.decode("ascii")
        if not text.isascii() or not text.isprintable():
            raise MetadataValueError(key)
        headers.append((key, text))
    return headers


def decode_metadata(headers: Iterable[tuple[str, str]]) -> Metadata:
    """Return the custom metadata in received headers. Values of -bin keys that are not base64 are skipped."""
    metadata: list[tuple[str, str | bytes]] = []
    for key, value in headers:
        if key.startswith(_RESERVED_KEYS):
            continue
        if not key.endswith("-bin"):
            metadata.append((key, value))
            continue
        for part in value.split(","):
            text = part.strip()
            try:
                raw = base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
            except (binascii.Error, ValueError):
                continue
            metadata.append((key, raw))
    return tuple(metadata)
