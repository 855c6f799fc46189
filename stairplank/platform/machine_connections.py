"""Connections to machines: dialled and closed as the core's links want it, read by a greenlet each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import gevent

from ..planner.clock import now_us
from ..rpc import address
from . import events as ev
from . import jsonlines
from .core import Core
from .driver import CoreDriver
from .messages import ProtocolError
from .streams import RESOURCE_EXHAUSTED_ERRNOS, PacedReads, Stream

READ_BYTES = 65_536  # of one read of one connection
PARTIAL_LINE_TIMEOUT_S = 1.0  # a line that has begun is complete by then, or its connection is closed


@dataclass(slots=True)
class DecodedBatch:
    """What one read completed: the messages up to the first malformed line, and whether there was none."""

    events: list[ev.Event]
    is_well_formed: bool


class MachineConnections:
    """The sockets of the core's links, by the links' numbers."""

    def __init__(self, driver: CoreDriver, core: Core, dial_timeout_us: int) -> None:
        """Serve the links of ``core``; a dial may take ``dial_timeout_us`` microseconds."""
        self._driver = driver
        self._core = core
        self.set_dial_timeout(dial_timeout_us)
        self.streams: dict[int, Stream] = {}
        self.dials: dict[int, gevent.Greenlet[..., None]] = {}
        self.unsent_by_link: dict[int, set[str]] = {}  # for links whose loss waits in the event queue

    def set_dial_timeout(self, dial_timeout_us: int) -> None:
        """Set how long a dial may take, from the next one on."""
        self._dial_timeout_s = dial_timeout_us / 1e6

    def dial(self, link: int, machine_address: str) -> None:
        """Open a connection to a machine and serve it."""
        self.dials[link] = gevent.spawn(self._serve, link, machine_address)

    def close(self, link: int) -> None:
        """Close a connection once all is written, or abandon its dial."""
        dialling = self.dials.pop(link, None)
        if dialling is not None:
            dialling.kill(block=False)  # its descriptor is free at once
        stream = self.streams.get(link)
        if stream is not None:
            stream.close_gracefully()

    def are_closed(self) -> bool:
        """Return whether no connection is open and none is dialled."""
        return not self.dials and all(stream.is_closed for stream in self.streams.values())

    def stream_for(self, link: int, mark: str) -> Stream | None:
        """Return the connection of a link; where it is lost None, and a marked message counts as unsent."""
        stream = self.streams.get(link)
        # Danger: stored for one whose loss the core has handled already, it would be stored for good.
        if stream is None and mark and link in self._core.links.links:
            self.unsent_by_link.setdefault(link, set()).add(mark)
        return stream

    def with_unsent(self, event: ev.LinkLost) -> ev.LinkLost:
        """Return the loss of a link with the messages that were sent to it after its socket was closed."""
        if event.link not in self.unsent_by_link:
            return event
        return ev.LinkLost(event.link, event.unsent | self.unsent_by_link.pop(event.link))

    def _serve(self, link: int, where: str) -> None:
        sock = self._connect(link, where)
        if sock is None:
            return
        stream = Stream(sock, link, self._disconnected, self._may_send, self._withdrawn)
        self.streams[link] = stream
        self._driver.enqueue(ev.LinkUp(link))
        try:
            self._read(stream)
        except (OSError, TimeoutError):
            pass
        finally:
            stream.reading_done.set()
            # Danger: notified first, the core would send what was in flight on it elsewhere while it is open.
            stream.close()
            self._disconnected(stream)

    def _connect(self, link: int, where: str) -> Any:
        """Return the socket, or None where the dial has failed or was abandoned."""
        try:
            sock = address.dial(where, self._dial_timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            if self.dials.pop(link, None) is not None:
                is_ours = isinstance(error, OSError) and error.errno in RESOURCE_EXHAUSTED_ERRNOS
                is_refused = isinstance(error, ConnectionRefusedError)
                self._driver.enqueue(ev.LinkFailed(link, is_refused, is_ours))
            return None
        if self.dials.pop(link, None) is None:
            sock.close()
            return None
        return sock

    def _read(self, stream: Stream) -> None:
        lines = jsonlines.LineReader()
        reads = PacedReads(stream.sock, PARTIAL_LINE_TIMEOUT_S)
        while not stream.is_closed:
            data = reads.receive(READ_BYTES, bool(lines.pending_bytes))
            if not data:
                return
            batch = _decode(stream.number, lines, data)
            if batch.events:
                reads.restart_deadline()  # what remains has begun with these bytes
            self._driver.enqueue(*batch.events)
            if not batch.is_well_formed:
                self._core.loop.count("malformed_machine_messages")
                return
            reads.yield_to_others()

    def _disconnected(self, stream: Stream) -> None:
        if self.streams.pop(stream.number, None) is not None:
            self._driver.enqueue(ev.LinkLost(stream.number, stream.unsent_marks()))

    def _may_send(self, stream: Stream, mark: str) -> bool:
        return self._core.may_send(now_us(), stream.number, mark)

    def _withdrawn(self, stream: Stream, marks: frozenset[str]) -> None:
        self._core.loop.count("withdrawn_unsent")
        self._driver.enqueue(ev.MessagesUnsent(stream.number, marks))


def _decode(link: int, lines: jsonlines.LineReader, data: bytes) -> DecodedBatch:
    """Decode the lines that are complete with ``data``."""
    is_well_formed = True
    try:
        complete = lines.feed(data)
    except ProtocolError as error:
        complete = error.lines  # type: ignore[attr-defined]
        is_well_formed = False
    events: list[ev.Event] = []
    for line in complete:
        try:
            message = jsonlines.decode(line)
        except ProtocolError:
            return DecodedBatch(events, is_well_formed=False)
        events.append(ev.MachineMessage(link, message))
    return DecodedBatch(events, is_well_formed)
