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
from .messages import Message, Unreadable
from .streams import MAX_CONSECUTIVE_READS, RESOURCE_EXHAUSTED_ERRNOS, Stream, receive

# Read at once of one connection: a burst of one delays the others by no more than reading it.
READ_BYTES = 16_384
MIN_DECODE_BYTES = (
    512  # bytes decoded at once, when a round of reading has lasted as long as a slice of turns
)
LINGER_READ_BYTES = 65_536  # the same of one that is being closed
PARTIAL_MESSAGE_TIMEOUT_S = (
    2.0  # a message that has begun comes whole by then, or its connection is of no use
)
QUEUE_FULL_PAUSE_S = 0.02  # between reads while set-ups wait up to their bound
ACCEPT_RETRY_S = 0.02  # after a connection that could not be accepted for want of descriptors
CLOSE_POLL_S = 0.05
TRANSIENT_ACCEPT_ERRNOS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})


class ClientConnections:
    """At most ``most`` connections, those that are being closed included."""

    def __init__(self, driver: CoreDriver, sessions: ClientSessions, max_connections: int) -> None:
        self._driver = driver
        self._sessions = sessions
        self.max_connections = max_connections
        self.streams: dict[int, Stream] = {}
        self.accepted: set[Stream] = set()  # those that are closing included
        self._last_connection = 0

    def accept(self, listener: Any) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, peer = listener.accept()
            except OSError as error:
                if not self._may_keep_accepting(error):
                    return
                continue
            if len(self.accepted) >= self.max_connections and not self._close_idlest():
                address.abort(sock)
                continue
            self._open(sock, peer[0])
            # Danger: hundreds come at once, and those that are here would not be read until all are in.
            gevent.sleep(0)

    def _may_keep_accepting(self, error: OSError) -> bool:
        if error.errno in RESOURCE_EXHAUSTED_ERRNOS:
            # Danger: out of descriptors, accepting would spin and nothing else would run.
            self._close_idlest()
            gevent.sleep(ACCEPT_RETRY_S)
            return True
        return error.errno in TRANSIENT_ACCEPT_ERRNOS

    def _open(self, sock: Any, client: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_connection += 1
        stream = Stream(sock, self._last_connection, self._disconnected)
        self.accepted.add(stream)
        self.streams[stream.number] = stream
        self._driver.enqueue(ev.ClientConnected(stream.number, client))
        gevent.spawn(self._serve, stream)

    def _close_idlest(self) -> bool:
        """Danger: silent connections would keep good clients, machines and the node list service out."""
        number = self._sessions.idlest_connection()
        stream = self.streams.get(number) if number is not None else None
        if stream is None:
            return False
        stream.close(abort=True)
        self.accepted.discard(stream)
        self._disconnected(stream)
        return True

    def has_unread(self, number: int) -> bool:
        """Whether something of that client waits: read and not handled, begun, or still in its socket.

        Danger: a set-up that lies there would be lost with a connection that is closed as idle, or for room.
        """
        if number in self._driver.clients_in_turn or self._driver.queue.has_pending(number):
            return True
        stream = self.streams.get(number)
        return stream is not None and (stream.has_partial_message or stream.is_readable())

    def has_partial_message(self) -> bool:
        """Whether a message has begun to come on any connection, and is not whole."""
        return any(stream.has_partial_message for stream in self.streams.values())

    def close(self, number: int) -> None:
        """Close a connection once all is written."""
        stream = self.streams.get(number)
        if stream is not None:
            stream.close_gracefully()
            self._disconnected(stream)

    def close_all(self) -> None:
        """Close every connection once all is written."""
        for number in list(self.streams):
            self.close(number)

    def are_closed(self) -> bool:
        """Whether every connection that was accepted is closed."""
        return all(stream.is_closed for stream in self.accepted)

    def _disconnected(self, stream: Stream) -> None:
        if self.streams.pop(stream.number, None) is not None:
            self._driver.enqueue(ev.ClientDisconnected(stream.number))

    def _serve(self, stream: Stream) -> None:
        try:
            self._read(stream)
        except (OSError, TimeoutError):
            pass
        finally:
            stream.reading_done.set()
            self.close(stream.number)
            while not stream.is_closed:
                gevent.sleep(CLOSE_POLL_S)
            self.accepted.discard(stream)

    def _read(self, stream: Stream) -> None:
        reader, began, reads = binary.Reader(), 0.0, 0
        while not stream.is_closed:
            is_partial = reader.waiting and not stream.is_closing
            most = LINGER_READ_BYTES if stream.is_closing else READ_BYTES
            data = receive(stream.sock, most, began + PARTIAL_MESSAGE_TIMEOUT_S if is_partial else None)
            if not is_partial:
                began = time.monotonic()
            if stream.is_closing:
                if not stream.discard(len(data)):
                    return
            elif not data:
                return
            else:
                if len(data) == most:
                    self._check_hang_up(stream)
                if self._decode(stream, reader, data):
                    began = time.monotonic()  # what is left has begun with these bytes
            stream.has_partial_message = bool(reader.waiting)
            # Danger: one that sends at full speed would be read for ever, and nobody else.
            reads += 1
            if reads % MAX_CONSECUTIVE_READS == 0:
                gevent.sleep(0)
            if self._wait_while_full(stream):
                began = time.monotonic()  # the rest of a message may lie unread meanwhile

    def _decode(self, stream: Stream, reader: binary.Reader, data: bytes) -> bool:
        """Cut what was read into messages and queue them; whether there were any.

        Danger: with hundreds that flood, a round in which all that was read of each is decoded at once lasts
        longer than a client's departure may go unnoticed.
        """
        found = False
        while data and not stream.is_closed and not stream.is_closing:
            size = MIN_DECODE_BYTES if self._driver.is_round_over() else READ_BYTES
            piece, data = data[:size], data[size:]
            stream.has_partial_message = (
                True  # Danger: closed as idle, or for room, it would take the rest along
            )
            found |= self._feed(stream, reader, piece)
            if data:
                self._check_hang_up(stream)
                gevent.sleep(0)
        return found

    def _check_hang_up(self, stream: Stream) -> None:
        """Danger: the end of a connection lies behind all that was sent on it. Read in order, a client that
        sends hundreds of set-ups and closes would have them placed one after the other."""
        if not stream.hang_up_reported and not stream.is_closing and stream.is_closed_by_peer():
            stream.hang_up_reported = True
            self._driver.core.loop.count("hung_up_unread")
            self._driver.enqueue(ev.ClientHungUp(stream.number))

    def _feed(self, stream: Stream, reader: binary.Reader, data: bytes) -> bool:
        """Queue the messages that are whole now; whether there are any."""
        try:
            messages = reader.feed(data)
        except Unreadable as error:
            self._driver.core.loop.count("unreadable_owners")
            self._enqueue(stream, error.messages)  # type: ignore[attr-defined]
            self.close(stream.number)
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
        while (is_slowed or queue.must_wait(stream.number)) and not stream.is_closing:
            self._check_hang_up(stream)
            gevent.sleep(QUEUE_FULL_PAUSE_S)
            is_slowed, has_waited = False, True
        return has_waited
