"""The capture file: the raw bytes of every link, with the times of reading, forwarding and dropping.

Layout, all numbers little-endian. The file begins with the eight bytes ``SPCAP002`` and a u32 length with so
many bytes of JSON: the parameters of the rules and of the scenario. The rest is a sequence of records: u8
kind, u64 time (microseconds on the machine's monotonic clock), u32 link, u32 length, and so many bytes.

| kind | meaning | bytes |
| --- | --- | --- |
| 1 | the relay accepted a link | JSON: ``{"to": "planner 0"}`` |
| 2 | read from the dialling end | as read from its socket |
| 3 | read from the listening end | as read from its socket |
| 4 | the dialling end closed | none |
| 5 | the listening end closed | none |
| 6 | the scenario took an action; link 0 | text |
| 7 | forwarded to the listening end | u64: total of the dialler's bytes forwarded so far |
| 8 | forwarded to the dialling end | u64: total of the listener's bytes forwarded so far |
| 9 | dropped on the way to the listening end | u64: number of bytes, counted from the last one forwarded |
| 10 | dropped on the way to the dialling end | u64: number of bytes, counted from the last one forwarded |

An end had sent a byte by the time of its reading, and the other end had received it by the time of its
forwarding. Between the two the relay holds the bytes for as long as the scenario says.

Files of version 1 (``SPCAP001``) have only kinds 1 to 6, without forwarding times. They are read as if all
bytes had been forwarded at once.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

MAGIC, FIRST_MAGIC = b"SPCAP002", b"SPCAP001"
HEAD = struct.Struct("<BQII")
SIZE = struct.Struct("<I")
COUNT = struct.Struct("<Q")
OPEN, FROM_DIALLER, FROM_LISTENER, DIALLER_CLOSED, LISTENER_CLOSED, SCRIPT = 1, 2, 3, 4, 5, 6
TO_LISTENER, TO_DIALLER, LOST_TO_LISTENER, LOST_TO_DIALLER = 7, 8, 9, 10
HANDED = {FROM_DIALLER: TO_LISTENER, FROM_LISTENER: TO_DIALLER}
DROPPED = {FROM_DIALLER: LOST_TO_LISTENER, FROM_LISTENER: LOST_TO_DIALLER}
CLOSED = {FROM_DIALLER: DIALLER_CLOSED, FROM_LISTENER: LISTENER_CLOSED}


class CaptureError(Exception):
    """The file is not a complete capture; the text says where reading failed."""


class Record(NamedTuple):
    """A record of a capture file."""

    kind: int
    at: int
    link: int
    data: bytes

    @property
    def number(self) -> int:
        """Return the number in a record of kinds 7 to 10. Raises CaptureError for another length."""
        if len(self.data) != COUNT.size:
            raise CaptureError(f"a record of kind {self.kind} with {len(self.data)} bytes in place of 8")
        return int(COUNT.unpack(self.data)[0])


class Writer:
    """Writes a capture file."""

    def __init__(self, file: BinaryIO, facts: dict[str, Any]) -> None:
        self._file = file
        text = json.dumps(facts).encode()
        file.write(MAGIC + SIZE.pack(len(text)) + text)

    def write(self, kind: int, at: int, link: int, data: bytes = b"") -> None:
        self._file.write(HEAD.pack(kind, at, link, len(data)) + data)

    def counted(self, kind: int, at: int, link: int, number: int) -> None:
        """Write a record of kinds 7 to 10."""
        self.write(kind, at, link, COUNT.pack(number))

    def flush(self) -> None:
        self._file.flush()


class Reader:
    """Reads a capture file; ``facts`` holds the JSON of its header."""

    def __init__(self, path: str | Path) -> None:
        self._file = Path(path).open("rb")  # noqa: SIM115
        try:
            magic = self._file.read(8)
            if magic not in (MAGIC, FIRST_MAGIC):
                what = f"version {magic[5:].decode()}" if magic.startswith(b"SPCAP") else "no capture"
                raise CaptureError(f"{path}: {what}; captures of versions 001 and 002 are read")
            self.version = 1 if magic == FIRST_MAGIC else 2
            (size,) = SIZE.unpack(self._exactly(SIZE.size))
            self.facts: dict[str, Any] = json.loads(self._exactly(size))
        except (ValueError, struct.error) as error:
            raise CaptureError(f"{path}: its header cannot be read: {error}") from None

    def _exactly(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) != size:
            raise CaptureError(f"cut off {size - len(data)} bytes before the end of a record")
        return data

    def __iter__(self) -> Iterator[Record]:
        passed: dict[tuple[int, int], int] = {}
        while head := self._file.read(HEAD.size):
            if len(head) < HEAD.size:
                raise CaptureError("cut off within the header of a record")
            kind, at, link, size = HEAD.unpack(head)
            if not OPEN <= kind <= (SCRIPT if self.version == 1 else LOST_TO_DIALLER):
                raise CaptureError(f"a record of unknown kind {kind}")
            record = Record(kind, at, link, self._exactly(size))
            yield record
            if self.version == 1 and kind in HANDED:
                passed[link, kind] = passed.get((link, kind), 0) + size
                yield Record(HANDED[kind], at, link, COUNT.pack(passed[link, kind]))

    def close(self) -> None:
        self._file.close()
