"""Client connections: accepted up to a bound, each read by its own greenlet, closed once all is written."""

from __future__ import annotations

from typing import Any

import gevent

from ..planner.clock import now_us
from ..rpc import address
from ..rpc.supervision import accept_connections, supervise
from . import binary
from . import events as ev
from .client_sessions import ClientSessions
from .driver import CoreDriver
from .logs import log_fault
from .messages import Message, ProtocolError
from .streams import PacedReads, Stream

# Bytes of one read: limits how long a burst on one connection delays the others.
READ_BYTES = 16_384
MIN_DECODE_BYTES = 512  # bytes decoded at once when a round of reading has used up its time slice
LINGER_READ_BYTES = 65_536  # bytes of one read of a connection that is being closed
PARTIAL_MESSAGE_TIMEOUT_S = 2.0  # the connection is closed if a message that has begun takes longer
QUEUE_FULL_PAUSE_S = 0.02  # pause between reads while the queue of placement requests is full
CLOSE_POLL_S = 0.05  # interval of the check whether a connection has closed


class ClientConnections:
    """The sockets of the client connections, by connection number."""

    def __init__(self, driver: CoreDriver, sessions: ClientSessions, max_connections: int) -> None:
        """Create a server for at most ``max_connections`` connections, including closing ones."""
        self._driver = driver
        self._sessions = sessions
        self.max_connections = max_connections
        self.streams: dict[int, Stream] = {}
        self.accepted: set[Stream] = set()  # includes connections that are being closed
        self._last_connection = 0

    def accept(self, listener: Any) -> None:
        """Accept connections until the listener is closed."""

        def accept() -> None:
            accept_connections(listener, self._accepted, lambda: False, log_fault, self._make_room)

        supervise(accept, log_fault)

    def _make_room(self) -> None:
        self._close_idlest()

    def _accepted(self, sock: Any, peer: Any) -> None:
        if len(self.accepted) >= self.max_connections and not self._close_idlest():
            address.abort(sock)
            return
        self._open(sock, peer[0])
        # Without the yield, a burst of hundreds of new connections would delay every read to its end.
        gevent.sleep(0)

    def _open(self, sock: Any, client: str) -> None:
        address.disable_nagle(sock)
        self._last_connection += 1
        stream = Stream(sock, self._last_connection, self._disconnected)
        self.accepted.add(stream)
        self.streams[stream.number] = stream
        self._driver.enqueue(ev.ClientConnected(stream.number, client))
        gevent.spawn(self._serve, stream)

    def _close_idlest(self) -> bool:
        """Close the idlest connection; return whether there was one.

        Without this, idle connections would keep out correct clients, machines and the node list service.
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
        """Return whether a connection has input that is not handled yet.

        The input may be a queued message, a part of a message, or data in the socket. Closing an idle
        connection without this check could lose a placement request.
        """
        if number in self._driver.clients_in_turn or self._driver.queue.has_pending(number):
            return True
        stream = self.streams.get(number)
        return stream is not None and (stream.has_partial_message or stream.is_readable())

    def is_delivered(self, number: int) -> bool:
        """Return whether the client's system has received all that was written on a connection."""
        stream = self.streams.get(number)
        return stream is not None and stream.is_delivered()

    def has_partial_message(self) -> bool:
        """Return whether any connection has received a part of a message."""
        return any(stream.has_partial_message for stream in self.streams.values())

    def close(self, number: int) -> None:
        """Close a connection once its send buffer is written."""
        stream = self.streams.get(number)
        if stream is not None:
            stream.close_gracefully()
            self._disconnected(stream)

    def close_all(self) -> None:
        """Close every connection once its send buffer is written."""
        for number in list(self.streams):
            self.close(number)

    def are_closed(self) -> bool:
        """Return whether all accepted connections are closed."""
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
                    reads.restart_deadline()  # the incomplete message that remains began in this read
            stream.has_partial_message = bool(reader.pending_bytes)
            reads.yield_to_others()
            if self._wait_while_full(stream):
                reads.restart_deadline()  # the rest of a message may have arrived during the pause

    def _decode(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Decode the data of one read and queue its messages. Return whether there were any.

        The data is decoded in pieces: with hundreds of busy connections, a round that decodes each read at
        once would last too long for a client's departure to be noticed in time.
        """
        found = False
        while data and not stream.is_closed and not stream.is_closing:
            size = MIN_DECODE_BYTES if self._driver.is_round_over() else READ_BYTES
            piece = data[:size]
            data = data[size:]
            # Without the flag, the connection could be closed as idle and the rest of the data lost.
            stream.has_partial_message = True
            found |= self._feed(stream, reader, piece)
            if data:
                self._check_hang_up(stream)
                gevent.sleep(0)
        return found

    def _check_hang_up(self, stream: Stream) -> None:
        """Queue a ``ClientHungUp`` event, once, if the client has closed its connection.

        Reading in order reaches the end of a connection only after all data sent before it. Without this
        check, the placement requests of a client that sends hundreds and closes would all be placed.
        """
        if not stream.hang_up_reported and not stream.is_closing and stream.is_closed_by_peer():
            stream.hang_up_reported = True
            self._driver.core.loop.count("client_hang_ups_before_read")
            self._driver.enqueue(ev.ClientHungUp(stream.number))

    def _feed(self, stream: Stream, reader: binary.MessageReader, data: bytes) -> bool:
        """Decode data and queue the messages that it completes. Return whether there were any."""
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
        """Pause reading a connection while the event queue is full. Return whether there was a pause.

        A full queue of placement requests causes one pause, so that cancellations and closed connections are
        still read; an overloaded queue stops the reading while ``must_wait`` holds for the connection.
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
