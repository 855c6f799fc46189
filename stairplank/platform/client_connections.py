"""Connections of clients: accepted up to a bound, read by a greenlet each, closed once all is written."""

from __future__ import annotations

import errno
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
from .streams import RESOURCE_EXHAUSTED_ERRNOS, PacedReads, Stream

# Of one read of one connection: a burst of one delays the others by no more than reading it.
READ_BYTES = 16_384
MIN_DECODE_BYTES = 512  # decoded at once when a round of reading has lasted as long as a slice of turns
LINGER_READ_BYTES = 65_536  # of one read of a connection that is being closed
PARTIAL_MESSAGE_TIMEOUT_S = 2.0  # a message that has begun is complete by then, or its connection is closed
QUEUE_FULL_PAUSE_S = 0.02  # between reads while as many placement requests wait as may
ACCEPT_RETRY_S = 0.02  # after a connection that could not be accepted for want of descriptors
CLOSE_POLL_S = 0.05  # between looks whether a connection has closed
TRANSIENT_ACCEPT_ERRNOS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})


class ClientConnections:
    """The sockets of the core's client sessions, by the connections' numbers."""

    def __init__(self, driver: CoreDriver, sessions: ClientSessions, max_connections: int) -> None:
        """Accept at most ``max_connections``, those that are being closed included."""
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
                if not self._can_accept_more(error):
                    return
                continue
            if len(self.accepted) >= self.max_connections and not self._close_idlest():
                address.abort(sock)
                continue
            self._open(sock, peer[0])
            # Danger: hundreds come at once, and those that are here would not be read until all are in.
            gevent.sleep(0)

    def _can_accept_more(self, error: OSError) -> bool:
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
        """Close the idlest connection; return whether there was one.

        Danger: silent connections would keep good clients, machines and the node list service out.
        """
        number = self._sessions.idlest_connection()
        stream = self.streams.get(number) if number is not None else None
        if stream is None:
            return False
        stream.close(abort=True)
        self.accepted.discard(stream)
        self._disconnected(stream)
        return True

    def has_unread(self, number: int) -> bool:
        """Return whether something of that client waits: read and not handled, begun, or still in its socket.

        Danger: a placement request that lies there would be lost with a connection that is closed as idle, or
        for another one.
        """
        if number in self._driver.clients_in_turn or self._driver.queue.has_pending(number):
            return True
        stream = self.streams.get(number)
        return stream is not None and (stream.has_partial_message or stream.is_readable())

    def has_partial_message(self) -> bool:
        """Return whether a message has begun to arrive on any connection, and is not complete."""
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
        """Return whether every connection that was accepted is closed."""
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
        reader = binary.MessageReader()
        reads = PacedReads(stream.sock, PARTIAL_MESSAGE_TIMEOUT_S)
        while not stream.is_closed:
            is_partial = bool(reader.pending_bytes) and not stream.is_closing
            max_bytes = LINGER_READ_BYTES if stream.is_closing else READ_BYTES
            data = reads.receive(max_bytes, is_partial)
            if stream.is_closing:
                if not stream.discard(len(data)):
                    return
            elif not data:
                return
            else:
                if len(data) == max_bytes:
                    self._check_hang_up(stream)
                if self._decode(stream, reader, data):
                    reads.restart_deadline()  # what remains has begun with these bytes
            stream.has_partial_message = bool(reader.pending_bytes)
            reads.yield_to_others()
            if self._wait_while_full(stream):
                reads.restart_deadline()  # the rest of a message may lie unread meanwhile

    def _decode(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Decode what was read into messages and queue them; return whether there were any.

        Danger: with hundreds that flood, a round in which all that was read of each is decoded at once lasts
        longer than a client's departure may go unnoticed.
        """
        found = False
        while data and not stream.is_closed and not stream.is_closing:
            size = MIN_DECODE_BYTES if self._driver.is_round_over() else READ_BYTES
            piece = data[:size]
            data = data[size:]
            stream.has_partial_message = (
                True  # Danger: closed as idle, or for another, the rest would be lost
            )
            found |= self._feed(stream, reader, piece)
            if data:
                self._check_hang_up(stream)
                gevent.sleep(0)
        return found

    def _check_hang_up(self, stream: Stream) -> None:
        """Queue that the client has closed its connection, once, before what it sent is read.

        Danger: the end of a connection lies behind all that was sent on it. Read in order, a client that
        sends hundreds of placement requests and closes would have them placed one after the other.
        """
        if not stream.hang_up_reported and not stream.is_closing and stream.is_closed_by_peer():
            stream.hang_up_reported = True
            self._driver.core.loop.count("client_hang_ups_before_read")
            self._driver.enqueue(ev.ClientHungUp(stream.number))

    def _feed(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Queue the messages that are complete now; return whether there are any."""
        try:
            messages = reader.feed(data)
        except ProtocolError as error:
            self._driver.core.loop.count("malformed_client_messages")
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
        """Slow a client down, and stop it while too many events wait; return whether it was.

        Danger: not read at all while placement requests wait, a client that cancels or leaves goes unnoticed.
        """
        queue = self._driver.queue
        is_slowed = queue.is_full()
        has_waited = False
        while (is_slowed or queue.must_wait(stream.number)) and not stream.is_closing:
            self._check_hang_up(stream)
            gevent.sleep(QUEUE_FULL_PAUSE_S)
            is_slowed = False
            has_waited = True
        return has_waited
