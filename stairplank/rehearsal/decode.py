"""Decodes a capture into messages with HTTP/2 frames, HPACK and the proto files alone.

No connection code of the planner, the stand-ins or the rpc package is used, so that the rules are checked on
the bytes that passed on the sockets.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from hpack import Decoder
from hpack.exceptions import HPACKError
from hyperframe.exceptions import HyperframeError
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    RstStreamFrame,
)

from ..proto import directory_pb2, node_pb2, placement_pb2
from . import capture

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
KINDS: dict[str, tuple[Any, Any]] = {
    "/stairplank.v1.Placement/Place": (placement_pb2.PlaceRequest, placement_pb2.PlaceEvent),
    "/stairplank.v1.Node/Offers": (node_pb2.OfferRequest, node_pb2.OfferEvent),
    "/stairplank.v1.Node/Probe": (node_pb2.ProbeRequest, node_pb2.ProbeResponse),
    "/stairplank.v1.Node/Held": (node_pb2.HeldRequest, node_pb2.HeldResponse),
    "/stairplank.v1.Directory/List": (directory_pb2.ListRequest, directory_pb2.NodeList),
    "/stairplank.v1.Directory/Watch": (directory_pb2.WatchRequest, directory_pb2.NodeList),
}


@dataclass(frozen=True, slots=True)
class Message:
    """A message, or the end of a stream or link, in the order of the capture.

    It appears once when it was sent and, if it was forwarded, once more when it was received.
    """

    at: int
    link: int
    to: str  # the listening end: "planner 0", "node 3" or "list"
    stream: int
    path: str
    from_dialler: bool
    body: Any  # the message; None for the end of a stream or link
    end: str = ""  # "reset 8", "trailers 0", "closed", "goaway 1"
    frame: int = 0  # number of the record in the capture
    heard: bool = False  # whether this is the receipt of the message
    said_at: int = 0  # the time of sending, where this is the receipt

    def where(self) -> str:
        """Return a line that locates the message in the capture and names its kind."""
        arrow = "->" if self.from_dialler else "<-"
        oneof = self.body is not None and "kind" in self.body.DESCRIPTOR.oneofs_by_name
        kind = self.body.WhichOneof("kind") if oneof else None
        kind_text = self.end if self.body is None else f"{type(self.body).__name__} {kind or ''}".strip()
        if self.heard:
            kind_text += f" (said {(self.at - self.said_at) / 1e3:.1f} ms before)"
        return f"record {self.frame} link {self.link} {arrow} {self.to} stream {self.stream}: {kind_text}"


@dataclass
class _Direction:
    """The decoding state of one direction of a connection."""

    buffer: bytearray = field(default_factory=bytearray)
    hpack: Decoder = field(default_factory=Decoder)
    block: bytearray = field(default_factory=bytearray)
    block_stream: int = 0
    block_ends: bool = False
    parts: dict[int, bytearray] = field(default_factory=dict)
    preface: bool = False
    read: int = 0  # number of bytes consumed ahead of the buffer
    # Messages that were not yet forwarded, each with the offset of its last byte.
    waiting: deque[tuple[int, Message]] = field(default_factory=deque)


class _Link:
    """The decoding state of a connection."""

    def __init__(self, number: int, to: str) -> None:
        self.number = number
        self.to = to
        self.directions = {True: _Direction(), False: _Direction()}
        self.paths: dict[int, str] = {}
        self.broken = ""


class CaptureDecoder:
    """Turns records into messages and lists undecodable records in ``problems``."""

    def __init__(self) -> None:
        self.links: dict[int, _Link] = {}
        self.problems: list[str] = []
        self.script: list[tuple[int, str]] = []
        self.dropped = 0  # number of bytes that were never forwarded

    @staticmethod
    def _received(direction: _Direction, record: capture.Record, number: int) -> Iterator[Message]:
        """Yield the messages that this forwarding record completes, as received."""
        count = record.number
        while direction.waiting and direction.waiting[0][0] <= count:
            sent = direction.waiting.popleft()[1]
            yield replace(sent, at=record.at, heard=True, said_at=sent.at, frame=number)

    def feed(self, number: int, record: capture.Record) -> Iterator[Message]:
        if record.kind == capture.SCRIPT:
            self.script.append((record.at, record.data.decode("utf-8", "replace")))
            return
        if record.kind == capture.OPEN:
            self.links[record.link] = _Link(record.link, json.loads(record.data)["to"])
            return
        link = self.links.get(record.link)
        if link is None:
            self.problems.append(f"record {number}: link {record.link} was never opened")
            return
        if record.kind in (capture.TO_LISTENER, capture.TO_DIALLER):
            yield from self._received(link.directions[record.kind == capture.TO_LISTENER], record, number)
            return
        if record.kind in (capture.LOST_TO_LISTENER, capture.LOST_TO_DIALLER):
            self.dropped += record.number
            return
        dialler = record.kind in (capture.FROM_DIALLER, capture.DIALLER_CLOSED)
        if record.kind in (capture.DIALLER_CLOSED, capture.LISTENER_CLOSED):
            yield Message(record.at, link.number, link.to, 0, "", dialler, None, "closed", number)
            return
        if link.broken:
            return
        try:
            yield from self._decode_bytes(link, dialler, record, number)
        except (HyperframeError, HPACKError, ValueError) as error:
            link.broken = f"record {number}: link {link.number} cannot be read: {error}"
            self.problems.append(link.broken)

    def _decode_bytes(
        self, link: _Link, dialler: bool, record: capture.Record, number: int
    ) -> Iterator[Message]:
        direction = link.directions[dialler]
        direction.buffer += record.data
        if dialler and not direction.preface:
            if len(direction.buffer) < len(PREFACE):
                return
            if not direction.buffer.startswith(PREFACE):
                raise ValueError("no HTTP/2 preface")
            del direction.buffer[: len(PREFACE)]
            direction.read += len(PREFACE)
            direction.preface = True
        while len(direction.buffer) >= 9:
            frame, length = Frame.parse_frame_header(memoryview(bytes(direction.buffer[:9])))
            if len(direction.buffer) < 9 + length:
                return
            frame.parse_body(memoryview(bytes(direction.buffer[9 : 9 + length])))
            del direction.buffer[: 9 + length]
            direction.read += 9 + length
            for message in self._decode_frame(link, direction, dialler, frame, record.at, number):
                direction.waiting.append((direction.read, message))
                yield message

    def _decode_frame(
        self, link: _Link, direction: _Direction, dialler: bool, frame: Frame, at: int, number: int
    ) -> Iterator[Message]:
        stream = frame.stream_id

        def message(body: Any, end: str = "") -> Message:
            path = link.paths.get(stream, "")
            return Message(at, link.number, link.to, stream, path, dialler, body, end, number)

        match frame:
            case HeadersFrame() | ContinuationFrame():
                if isinstance(frame, HeadersFrame):
                    direction.block.clear()
                    direction.block_stream = stream
                    direction.block_ends = "END_STREAM" in frame.flags
                direction.block += frame.data
                if "END_HEADERS" in frame.flags:
                    headers = [
                        (_text(k), _text(v))
                        for k, v in direction.hpack.decode(bytes(direction.block), raw=True)
                    ]
                    fields = dict(headers)
                    if ":path" in fields:
                        link.paths[stream] = fields[":path"]
                    if direction.block_ends:
                        yield message(None, f"trailers {fields.get('grpc-status', '-')}")
            case DataFrame():
                part = direction.parts.setdefault(stream, bytearray())
                part += frame.data
                kinds = KINDS.get(link.paths.get(stream, ""))
                while len(part) >= 5:
                    size = int.from_bytes(part[1:5], "big")
                    if len(part) < 5 + size:
                        break
                    raw = bytes(part[5 : 5 + size])
                    del part[: 5 + size]
                    if kinds is not None:
                        yield message(kinds[0 if dialler else 1].FromString(raw))
                if "END_STREAM" in frame.flags:
                    yield message(None, "half-closed")
            case RstStreamFrame():
                yield message(None, f"reset {frame.error_code}")
            case GoAwayFrame():
                yield message(None, f"goaway {frame.last_stream_id}")


def _text(raw: Any) -> str:
    return raw.decode("latin-1") if isinstance(raw, bytes) else str(raw)


def messages(reader: capture.Reader) -> tuple[CaptureDecoder, Iterator[Message]]:
    """Return the decoder and an iterator over the messages.

    The decoder's ``problems`` and ``script`` are complete once the iterator is exhausted.
    """
    decoder = CaptureDecoder()

    def decoded() -> Iterator[Message]:
        for number, record in enumerate(reader):
            yield from decoder.feed(number, record)

    return decoder, decoded()
