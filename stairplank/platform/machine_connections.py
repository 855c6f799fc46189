"""Connections to machines: dialled and closed as the core's links want it, read by a greenlet each."""

from __future__ import annotations

import time
from typing import Any

import gevent

from ..planner.clock import now_us
from ..rpc import address
from . import events as ev
from . import jsonlines
from .core import Core
from .driver import CoreDriver
from .messages import Unreadable
from .streams import MAX_CONSECUTIVE_READS, RESOURCE_EXHAUSTED_ERRNOS, Stream, receive

READ_BYTES = 65_536  # at once of one connection
PARTIAL_LINE_TIMEOUT_S = 1.0  # a line that has begun comes whole by then, or its connection is of no use


class MachineConnections:
    """The sockets of the core's links, by the links' numbers."""

    def __init__(self, driver: CoreDriver, core: Core, dial_timeout_us: int) -> None:
        self._driver = driver
        self._core = core
        self.set_dial_timeout(dial_timeout_us)
        self.streams: dict[int, Stream] = {}
        self.dials: dict[int, gevent.Greenlet] = {}
        self.unsent_by_link: dict[int, set[str]] = {}  # for links whose loss waits in the event queue

    def set_dial_timeout(self, dial_timeout_us: int) -> None:
        """How long a dial may take, from the next one on."""
        self._dial_timeout_s = dial_timeout_us / 1e6

    def dial(self, link: int, machine_address: str) -> None:
        """Open a connection to a machine and serve it."""
        self.dials[link] = gevent.spawn(self._serve, link, machine_address)

    def close(self, link: int) -> None:
        """Close a connection once all is written, or give up its dial."""
        dialling = self.dials.pop(link, None)
        if dialling is not None:
            dialling.kill(block=False)  # its descriptor is free at once
        stream = self.streams.get(link)
        if stream is not None:
            stream.close_gracefully()

    def are_closed(self) -> bool:
        """Whether no connection is open and none is dialled."""
        return not self.dials and all(stream.is_closed for stream in self.streams.values())

    def stream_for(self, link: int, mark: str) -> Stream | None:
        """The connection of a link; None where it is gone, and a marked message then counts as unsent."""
        stream = self.streams.get(link)
        # Danger: kept for one whose loss the core has handled already, it would be kept for good.
        if stream is None and mark and link in self._core.links.links:
            self.unsent_by_link.setdefault(link, set()).add(mark)
        return stream

    def with_unsent(self, event: ev.LinkLost) -> ev.LinkLost:
        """The loss of a link, with the messages that were sent to it after its socket was gone."""
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
            # Danger: notified first, the core would send what was out on it elsewhere while it is still open.
            stream.close()
            self._disconnected(stream)

    def _connect(self, link: int, where: str) -> Any:
        """The socket; None where the dial has failed or was given up."""
        try:
            sock = address.dial(where, self._dial_timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            if self.dials.pop(link, None) is not None:
                ours = isinstance(error, OSError) and error.errno in RESOURCE_EXHAUSTED_ERRNOS
                self._driver.enqueue(ev.LinkFailed(link, isinstance(error, ConnectionRefusedError), ours))
            return None
        if self.dials.pop(link, None) is None:
            sock.close()
            return None
        return sock

    def _read(self, stream: Stream) -> None:
        lines, began, reads = jsonlines.Lines(), 0.0, 0
        while not stream.is_closed:
            is_partial = lines.waiting
            data = receive(stream.sock, READ_BYTES, began + PARTIAL_LINE_TIMEOUT_S if is_partial else None)
            if not data:
                return
            whole, is_readable = _complete_lines(lines, data)
            if whole or not is_partial:
                began = time.monotonic()  # what is left has begun with these bytes
            events, is_decoded = _decode_lines(stream.number, whole)
            self._driver.enqueue(*events)
            if not is_readable or not is_decoded:
                self._core.loop.count("spoilt_links")
                return
            reads += 1
            if (
                reads % MAX_CONSECUTIVE_READS == 0
            ):  # else the next read mostly waits, and the others have their turn
                gevent.sleep(0)

    def _disconnected(self, stream: Stream) -> None:
        if self.streams.pop(stream.number, None) is not None:
            self._driver.enqueue(ev.LinkLost(stream.number, stream.unsent_marks()))

    def _may_send(self, stream: Stream, mark: str) -> bool:
        return self._core.may_leave(now_us(), stream.number, mark)

    def _withdrawn(self, stream: Stream, marks: frozenset[str]) -> None:
        self._core.loop.count("taken_out_unsent")
        self._driver.enqueue(ev.Unsent(stream.number, marks))


def _complete_lines(lines: jsonlines.Lines, data: bytes) -> tuple[list[bytes], bool]:
    """The lines that are whole now, and whether what came can be followed."""
    try:
        return lines.feed(data), True
    except Unreadable as error:
        return error.lines, False  # type: ignore[attr-defined]


def _decode_lines(link: int, whole: list[bytes]) -> tuple[list[ev.Event], bool]:
    """The messages up to the first line that is none, and whether all are."""
    events: list[ev.Event] = []
    try:
        for line in whole:
            events.append(ev.MachineMessage(link, jsonlines.decode(line)))
    except Unreadable:
        return events, False
    return events, True
