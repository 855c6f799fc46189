"""Connections of clients: accepted within a bound, read by a greenlet each, closed once all is written."""

from __future__ import annotations

import errno
import time
from typing import Any

import gevent
from gevent import socket

from ..planner.clock import now_us
from ..rpc import address
from . import binary
from . import events as ev
from .client_sessions import ClientSessions
from .driver import CoreDriver
from .messages import Message, ProtocolError
from .streams import NO_MEANS, READS_IN_A_ROW, Stream, receive

# Read at once of one connection: a burst of one delays the others by no more than reading it.
CLIENT_READ = 16_384
DECODE_LEAST = 512  # bytes decoded at once, when a round of reading has lasted as long as a slice of turns
DRAIN_READ = 65_536  # the same of one that is being closed
PARTIAL_S = 2.0  # a message that has begun comes whole by then, or its connection is of no use
FULL_PAUSE_S = 0.02  # between reads while set-ups wait up to their bound
ACCEPT_RETRY_S = 0.02  # after a connection that could not be accepted for want of descriptors
CLOSE_POLL_S = 0.05
ACCEPT_RETRIES = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})


class ClientConnections:
    """At most ``most`` connections, those that are being closed included."""

    def __init__(self, driver: CoreDriver, sessions: ClientSessions, most: int) -> None:
        self._driver = driver
        self._sessions = sessions
        self.most = most
        self.streams: dict[int, Stream] = {}
        self.accepted: set[Stream] = set()  # those that are closing included
        self._last_number = 0

    def accept(self, listener: Any) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, peer = listener.accept()
            except OSError as error:
                if not self._may_accept_on(error):
                    return
                continue
            if len(self.accepted) >= self.most and not self._make_room():
                address.abort(sock)
                continue
            self._open(sock, peer[0])
            # Danger: hundreds come at once, and those that are here would not be read until all are in.
            gevent.sleep(0)

    def _may_accept_on(self, error: OSError) -> bool:
        if error.errno in NO_MEANS:
            # Danger: out of descriptors, accepting would spin and nothing else would run.
            self._make_room()
            gevent.sleep(ACCEPT_RETRY_S)
            return True
        return error.errno in ACCEPT_RETRIES

    def _open(self, sock: Any, client: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_number += 1
        stream = Stream(sock, self._last_number, self._gone)
        self.accepted.add(stream)
        self.streams[stream.number] = stream
        self._driver.enqueue(ev.ClientConnected(stream.number, client))
        gevent.spawn(self._serve, stream)

    def _make_room(self) -> bool:
        """Danger: silent connections would keep good clients, machines and the node list service out."""
        number = self._sessions.idlest_connection()
        stream = self.streams.get(number) if number is not None else None
        if stream is None:
            return False
        stream.close(hard=True)
        self.accepted.discard(stream)
        self._gone(stream)
        return True

    def has_unread(self, number: int) -> bool:
        """Whether something of that client waits: read and not handled, begun, or still in its socket.

        Danger: a set-up that lies there would be lost with a connection that is closed as idle, or for room.
        """
        if number in self._driver.clients_in_turn or self._driver.queue.has_pending(number):
            return True
        stream = self.streams.get(number)
        return stream is not None and (stream.half or stream.is_readable())

    def has_partial(self) -> bool:
        """Whether a message has begun to come on any connection, and is not whole."""
        return any(stream.half for stream in self.streams.values())

    def end(self, number: int) -> None:
        """Close a connection once all is written."""
        stream = self.streams.get(number)
        if stream is not None:
            stream.end()
            self._gone(stream)

    def end_all(self) -> None:
        """Close every connection once all is written."""
        for number in list(self.streams):
            self.end(number)

    def are_closed(self) -> bool:
        """Whether every connection that was accepted is closed."""
        return all(stream.closed for stream in self.accepted)

    def _gone(self, stream: Stream) -> None:
        if self.streams.pop(stream.number, None) is not None:
            self._driver.enqueue(ev.ClientDisconnected(stream.number))

    def _serve(self, stream: Stream) -> None:
        try:
            self._read(stream)
        except (OSError, TimeoutError):
            pass
        finally:
            stream.read_out.set()
            self.end(stream.number)
            while not stream.closed:
                gevent.sleep(CLOSE_POLL_S)
            self.accepted.discard(stream)

    def _read(self, stream: Stream) -> None:
        reader, began, reads = binary.MessageReader(), 0.0, 0
        while not stream.closed:
            is_partial = reader.pending_bytes and not stream.ending
            most = DRAIN_READ if stream.ending else CLIENT_READ
            data = receive(stream.sock, most, began + PARTIAL_S if is_partial else None)
            if not is_partial:
                began = time.monotonic()
            if stream.ending:
                if not stream.drained(len(data)):
                    return
            elif not data:
                return
            else:
                if len(data) == most:
                    self._look_for_hang_up(stream)
                if self._decode(stream, reader, data):
                    began = time.monotonic()  # what is left has begun with these bytes
            stream.half = bool(reader.pending_bytes)
            # Danger: one that sends at full speed would be read for ever, and nobody else.
            reads += 1
            if reads % READS_IN_A_ROW == 0:
                gevent.sleep(0)
            if self._wait_while_full(stream):
                began = time.monotonic()  # the rest of a message may lie unread meanwhile

    def _decode(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Cut what was read into messages and queue them; whether there were any.

        Danger: with hundreds that flood, a round in which all that was read of each is decoded at once lasts
        longer than a client's departure may go unnoticed.
        """
        found = False
        while data and not stream.closed and not stream.ending:
            size = DECODE_LEAST if self._driver.is_round_over() else CLIENT_READ
            piece, data = data[:size], data[size:]
            stream.half = True  # Danger: closed as idle, or for room, it would take the rest along
            found |= self._take(stream, reader, piece)
            if data:
                self._look_for_hang_up(stream)
                gevent.sleep(0)
        return found

    def _look_for_hang_up(self, stream: Stream) -> None:
        """Danger: the end of a connection lies behind all that was sent on it. Read in order, a client that
        sends hundreds of set-ups and closes would have them placed one after the other."""
        if not stream.hung_up and not stream.ending and stream.is_closed_by_peer():
            stream.hung_up = True
            self._driver.core.loop.count("hung_up_unread")
            self._driver.enqueue(ev.ClientHungUp(stream.number))

    def _take(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Queue the messages that are whole now; whether there are any."""
        try:
            messages = reader.feed(data)
        except ProtocolError as error:
            self._driver.core.loop.count("unreadable_owners")
            self._enqueue(stream, error.messages)  # type: ignore[attr-defined]
            self.end(stream.number)
            return False
        if messages:
            self._enqueue(stream, messages)
        return bool(messages)

    def _enqueue(self, stream: Stream, messages: list[Message]) -> None:
        now = now_us()
        self._driver.enqueue(*[ev.ClientMessage(stream.number, message, now) for message in messages])

    def _wait_while_full(self, stream: Stream) -> bool:
        """Slow a client down, and stop it while too many events wait; whether it was.

        Danger: not read at all while set-ups wait, a client that gives up, or leaves, is not seen to.
        """
        queue = self._driver.queue
        is_slowed, has_waited = queue.is_full(), False
        while (is_slowed or queue.must_wait(stream.number)) and not stream.ending:
            self._look_for_hang_up(stream)
            gevent.sleep(FULL_PAUSE_S)
            is_slowed, has_waited = False, True
        return has_waited
