"""The parts of the protocol that are bytes and text: message prefix, time-outs, status text, metadata."""

from __future__ import annotations

import base64
import binascii
import math
import re
import struct
from collections.abc import Iterable

from .status import Code, RpcError

Metadata = tuple[tuple[str, str | bytes], ...]
PREFIX = struct.Struct(">BI")
_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
_TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
_KEY = re.compile(r"[0-9a-z_.\-]+")
_OWN = ("grpc-", ":", "content-type", "te", "user-agent")


def frame(message: bytes) -> bytes:
    """A length-prefixed, uncompressed message."""
    return PREFIX.pack(0, len(message)) + message


class MessageReader:
    """Cuts the bytes of a stream into messages; holds at most one unfinished message."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._buffer = bytearray()

    @property
    def unfinished(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that ``data`` completes. Raises RpcError where the peer breaks the format."""
        buffer = self._buffer
        buffer += data
        out: list[bytes] = []
        at, size = 0, len(buffer)
        while size - at >= 5:
            flag, length = PREFIX.unpack_from(buffer, at)
            if flag == 1:
                raise RpcError(Code.UNIMPLEMENTED, "compressed messages are not taken: only identity is")
            if flag:
                raise RpcError(Code.INTERNAL, f"message prefix with an unknown flag {flag}")
            if length > self._most:
                raise RpcError(
                    Code.RESOURCE_EXHAUSTED, f"message of {length} bytes; at most {self._most} are taken"
                )
            if size - at - 5 < length:
                break
            out.append(bytes(buffer[at + 5 : at + 5 + length]))
            at += 5 + length
        if at:
            del buffer[:at]
        return out


def encode_timeout(seconds: float) -> str:
    """``grpc-timeout``, rounded up, in the finest unit that fits into eight digits."""
    if seconds <= 0:
        return "0n"
    for unit, size in (("n", 1e9), ("u", 1e6), ("m", 1e3), ("S", 1.0), ("M", 1 / 60), ("H", 1 / 3600)):
        count = math.ceil(seconds * size)
        if count < 100_000_000:
            return f"{count}{unit}"
    return "99999999H"


def decode_timeout(text: str) -> float:
    """Seconds. Raises ValueError for what the document does not allow."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise ValueError(f"grpc-timeout {text!r} is not 1 to 8 digits and a unit of H M S m u n")
    return int(match[1]) * _UNITS[match[2]]


def encode_text(text: str) -> str:
    """``grpc-message``: percent-encoded UTF-8."""
    return "".join(chr(b) if 0x20 <= b <= 0x7E and b != 0x25 else f"%{b:02X}" for b in text.encode("utf-8"))


def decode_text(text: str) -> str:
    raw = re.sub(r"%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), text)
    return raw.encode("latin-1", "replace").decode("utf-8", "replace")


def encode_metadata(metadata: Iterable[tuple[str, str | bytes]]) -> list[tuple[str, str]]:
    """Headers for metadata; keys ending in -bin carry bytes. Raises ValueError for what cannot be sent."""
    out: list[tuple[str, str]] = []
    for key, value in metadata:
        if not _KEY.fullmatch(key) or key.startswith(_OWN):
            raise ValueError(f"metadata key {key!r} cannot be sent")
        if key.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode("utf-8")
            out.append((key, base64.b64encode(raw).decode("ascii").rstrip("=")))
            continue
        text = value if isinstance(value, str) else value.decode("ascii")
        if not text.isascii() or not text.isprintable():
            raise ValueError(f"metadata value of {key!r} is not printable ASCII; name the key {key}-bin")
        out.append((key, text))
    return out


def decode_metadata(headers: Iterable[tuple[str, str]]) -> Metadata:
    """Custom metadata among received headers. Unreadable -bin values are passed over."""
    out: list[tuple[str, str | bytes]] = []
    for key, value in headers:
        if key.startswith(_OWN):
            continue
        if not key.endswith("-bin"):
            out.append((key, value))
            continue
        for part in value.split(","):
            text = part.strip()
            try:
                out.append((key, base64.b64decode(text + "=" * (-len(text) % 4), validate=True)))
            except (binascii.Error, ValueError):
                continue
    return tuple(out)
