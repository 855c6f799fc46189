"""Dials and closes the sockets to machines as the core requests, and reads each in a greenlet."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import gevent

from ..planner.clock import now_us
from ..rpc import address
from ..rpc.socket_errors import error_name, is_ours
from . import events as ev
from . import jsonlines
from .core import Core
from .driver import CoreDriver
from .messages import ProtocolError
from .streams import PacedReads, Stream

READ_BYTES = 16_384  # the most bytes that one read of a connection returns
QUEUE_FULL_PAUSE_S = 0.02  # pause between reads while much that the machine sent is not handled
PARTIAL_LINE_TIMEOUT_S = 1.0  # a connection is closed if a line is still incomplete after this time


@dataclass(slots=True)
class DecodedBatch:
    """The messages that one read completed, up to the first malformed line.

    ``is_well_formed``: there was no malformed line.
    """

    events: list[ev.Event]
    is_well_formed: bool


class MachineConnections:
    """The sockets of the core's links, by link number."""

    def __init__(self, driver: CoreDriver, core: Core, dial_timeout_us: int) -> None:
        """Serve the links of ``core``; a dial may take ``dial_timeout_us`` microseconds."""
        self._driver = driver
        self._core = core
        self.set_dial_timeout(dial_timeout_us)
        self.streams: dict[int, Stream] = {}
        self.dials: dict[int, gevent.Greenlet[..., None]] = {}
        # The marks of unsent messages to links whose LinkLost event is still queued.
        self.unsent_by_link: dict[int, set[str]] = {}

    def set_dial_timeout(self, dial_timeout_us: int) -> None:
        """Set the time-out of later dials."""
        self._dial_timeout_s = dial_timeout_us / 1e6

    def dial(self, link: int, machine_address: str) -> None:
        """Open a connection to a machine and serve it."""
        self.dials[link] = gevent.spawn(self._serve, link, machine_address)

    def close(self, link: int) -> None:
        """Close a connection once its send buffer is written, or abandon its dial."""
        dialling = self.dials.pop(link, None)
        if dialling is not None:
            dialling.kill(block=False)  # frees the descriptor at once
        stream = self.streams.get(link)
        if stream is not None:
            stream.close_gracefully()

    def are_closed(self) -> bool:
        """Return whether no connection is open or being dialled."""
        return not self.dials and all(stream.is_closed for stream in self.streams.values())

    def stream_for(self, link: int, mark: str) -> Stream | None:
        """Return the stream of a link, or None if it is lost; a marked message then counts as unsent."""
        stream = self.streams.get(link)
        # Only links that the core still knows get an entry: once the core has handled the loss of a link, no
        # event would remove its entry again.
        if stream is None and mark and link in self._core.links.links:
            self.unsent_by_link.setdefault(link, set()).add(mark)
        return stream

    def with_unsent(self, event: ev.LinkLost) -> ev.LinkLost:
        """Return the event with the messages added that were put after the link's socket was closed."""
        if event.link not in self.unsent_by_link:
            return event
        return replace(event, unsent=event.unsent | self.unsent_by_link.pop(event.link))

    def _serve(self, link: int, machine_address: str) -> None:
        sock = self._connect(link, machine_address)
        if sock is None:
            return
        stream = Stream(sock, link, self._disconnected, self._may_send, self._withdrawn)
        self.streams[link] = stream
        self._driver.enqueue(ev.LinkUp(link))
        why = "closed by the machine"
        try:
            self._read(stream)
        except (OSError, TimeoutError) as error:
            why = error_name(error)
        finally:
            stream.reading_done.set()
            # The socket is closed before the core is notified. Otherwise the core would send the requests in
            # flight to other machines while this connection is still open.
            stream.close()
            self._disconnected(stream, why)

    def _connect(self, link: int, machine_address: str) -> Any:
        """Return the connected socket, or None if the dial failed or was abandoned."""
        try:
            sock = address.dial(machine_address, self._dial_timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            if self.dials.pop(link, None) is not None:
                is_refused = isinstance(error, ConnectionRefusedError)
                why = error_name(error)
                self._driver.enqueue(ev.LinkFailed(link, is_refused, is_ours(error), why))
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
                reads.restart_deadline()  # the incomplete line began with these bytes
            self._driver.enqueue(*batch.events)
            if not batch.is_well_formed:
                self._core.loop.count("malformed_machine_messages")
                return
            reads.yield_to_others()
            if self._wait_while_full(stream):
                reads.restart_deadline()  # the rest of a line may have arrived during the pause

    def _wait_while_full(self, stream: Stream) -> bool:
        """Pause reading a machine while much that it sent waits to be handled. Return whether it paused."""
        has_waited = False
        while self._driver.queue.must_wait_for_machine(stream.number) and not stream.is_closed:
            gevent.sleep(QUEUE_FULL_PAUSE_S)
            has_waited = True
        return has_waited

    def _disconnected(self, stream: Stream, why: str = "write failed") -> None:
        if self.streams.pop(stream.number, None) is not None:
            self._driver.enqueue(ev.LinkLost(stream.number, stream.unsent_marks(), why))

    def _may_send(self, stream: Stream, mark: str) -> bool:
        return self._core.may_send(now_us(), stream.number, mark)

    def _withdrawn(self, stream: Stream, marks: frozenset[str]) -> None:
        self._core.loop.count("withdrawn_unsent")
        self._driver.enqueue(ev.MessagesUnsent(stream.number, marks))


def _decode(link: int, lines: jsonlines.LineReader, data: bytes) -> DecodedBatch:
    """Decode the lines that ``data`` completes."""
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
