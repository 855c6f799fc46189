"""The capture file: raw bytes of every link, with direction and time.

Layout, all numbers little-endian. The file begins with the eight bytes ``SPCAP001`` and a u32 length with so
many bytes of JSON: the rules' figures and what ran. Then records: u8 kind, u64 time (microseconds on the
machine's monotonic clock), u32 link, u32 length, and so many bytes.

| kind | meaning | bytes |
| --- | --- | --- |
| 1 | a link opened | JSON: ``{"to": "planner 0"}`` |
| 2 | bytes from the dialling end | as read from its socket |
| 3 | bytes from the listening end | as read from its socket |
| 4 | the dialling end closed | none |
| 5 | the listening end closed | none |
| 6 | the script did something; link 0 | text |

A record's time is when the relay had read the bytes; they are passed on at once after that.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

MAGIC = b"SPCAP001"
HEAD = struct.Struct("<BQII")
SIZE = struct.Struct("<I")
OPEN, FROM_DIALLER, FROM_LISTENER, DIALLER_CLOSED, LISTENER_CLOSED, SCRIPT = 1, 2, 3, 4, 5, 6


class CaptureError(Exception):
    """The file is no whole capture; the text says where it breaks."""


class Record(NamedTuple):
    kind: int
    at: int
    link: int
    data: bytes


class Writer:
    def __init__(self, file: BinaryIO, facts: dict[str, Any]) -> None:
        self._file = file
        text = json.dumps(facts).encode()
        file.write(MAGIC + SIZE.pack(len(text)) + text)

    def write(self, kind: int, at: int, link: int, data: bytes = b"") -> None:
        self._file.write(HEAD.pack(kind, at, link, len(data)) + data)

    def flush(self) -> None:
        self._file.flush()


class Reader:
    """Reads a capture; ``facts`` are those of its head."""

    def __init__(self, path: str | Path) -> None:
        self._file = Path(path).open("rb")  # noqa: SIM115
        try:
            if self._file.read(8) != MAGIC:
                raise CaptureError(f"{path}: not a capture of this version")
            (size,) = SIZE.unpack(self._exactly(SIZE.size))
            self.facts: dict[str, Any] = json.loads(self._exactly(size))
        except (ValueError, struct.error) as error:
            raise CaptureError(f"{path}: its head cannot be read: {error}") from None

    def _exactly(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) != size:
            raise CaptureError(f"cut off {size - len(data)} bytes before the end of a record")
        return data

    def __iter__(self) -> Iterator[Record]:
        while head := self._file.read(HEAD.size):
            if len(head) < HEAD.size:
                raise CaptureError("cut off within the head of a record")
            kind, at, link, size = HEAD.unpack(head)
            if not OPEN <= kind <= SCRIPT:
                raise CaptureError(f"a record of unknown kind {kind}")
            yield Record(kind, at, link, self._exactly(size))

    def close(self) -> None:
        self._file.close()
