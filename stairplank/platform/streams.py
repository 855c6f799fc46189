"""Sockets as the service reads and writes them: paced reads, buffered writes with a bound, graceful closes.

A message that is written may carry a mark. What waits in the send buffer behind a peer that does not read
is sent only if it may still be sent then: a marked message of which no byte has been sent is checked again
(``may_send``) before each write and withdrawn as a whole where it may not (``on_withdrawn``).
"""

from __future__ import annotations

import errno
import select
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event as Flag

from ..rpc import address

MAX_UNREAD_BYTES = 65_536  # that the peer has not read, before the connection is given up
MAX_WRITE_BYTES = 65_536  # of one write that had to wait
WRITE_TIMEOUT_S = 5.0  # without a byte taken by the peer
WRITE_RETRY_S = 0.01  # between attempts to write to a peer that takes nothing
MIN_RECEIVE_TIMEOUT_S = 0.01
# A connection that is being closed is read for so long, and for so many bytes.
LINGER_S = 0.5
MAX_LINGER_BYTES = 1_048_576
# Reads of one connection: one that sends at full speed would be read for ever, and nobody else.
MAX_CONSECUTIVE_READS = 4
# Errors that show that this process has no descriptors, memory or ports left.
RESOURCE_EXHAUSTED_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)


def receive(sock: Any, max_bytes: int, deadline_s: float | None) -> bytes:
    """Return what has arrived, at most ``max_bytes``; empty once the peer has closed.

    Danger: after a stall the timer is ready together with the bytes, and the connection would be closed under
    all that is open on it.

    Args:
        sock: A socket of gevent.
        max_bytes: The bound of one read.
        deadline_s: When to give up, by the monotonic clock; None waits for ever.

    Raises:
        TimeoutError: Nothing arrived by the deadline.
        OSError: The connection has failed.
    """
    timeout_s = None if deadline_s is None else max(MIN_RECEIVE_TIMEOUT_S, deadline_s - time.monotonic())
    sock.settimeout(timeout_s)
    try:
        data: bytes = sock.recv(max_bytes)
    except TimeoutError:
        sock.settimeout(0.0)
        try:
            data = sock.recv(max_bytes)
        except BlockingIOError:
            raise TimeoutError("a message has begun and does not go on") from None
    return data


class PacedReads:
    """The reads of one connection: each message complete in time, other connections served in between."""

    def __init__(self, sock: Any, partial_timeout_s: float) -> None:
        """Read ``sock``; a message that has begun must be complete within ``partial_timeout_s`` seconds."""
        self._sock = sock
        self._partial_timeout_s = partial_timeout_s
        self._began_s = 0.0  # when the message that is being received began
        self._read_count = 0

    def receive(self, max_bytes: int, is_partial: bool) -> bytes:
        """Return what has arrived; empty once the peer has closed.

        ``is_partial``: a message has begun and is not complete, so that its deadline applies. Raises
        TimeoutError and OSError as ``receive`` does.
        """
        deadline_s = self._began_s + self._partial_timeout_s if is_partial else None
        data = receive(self._sock, max_bytes, deadline_s)
        if not is_partial:
            self.restart_deadline()
        return data

    def restart_deadline(self) -> None:
        """Take the message that is incomplete now as begun now."""
        self._began_s = time.monotonic()

    def yield_to_others(self) -> None:
        """After some reads in a row let other connections have their turn.

        Danger: one that sends at full speed would be read for ever, and nobody else. Other reads mostly wait.
        """
        self._read_count += 1
        if self._read_count % MAX_CONSECUTIVE_READS == 0:
            gevent.sleep(0)


@dataclass(slots=True)
class MarkedMessage:
    """A message in a send buffer, by its positions among all bytes of the connection's life."""

    begin: int
    end: int
    mark: str


class SendBuffer:
    """Bytes that the system has not taken yet, and which of them belong to marked messages."""

    def __init__(self) -> None:
        """Begin empty."""
        self.data = bytearray()
        self._queued_bytes = 0  # put and not withdrawn, over the connection's life
        self._marked: deque[MarkedMessage] = deque()  # not sent completely, in order

    def __len__(self) -> int:
        """Return the number of bytes that are not sent."""
        return len(self.data)

    @property
    def sent_bytes(self) -> int:
        """How many bytes the system has taken over the connection's life."""
        return self._queued_bytes - len(self.data)

    def put(self, message: bytes, mark: str) -> None:
        """Append a message; an empty mark is none."""
        self.data += message
        if mark:
            self._marked.append(MarkedMessage(self._queued_bytes, self._queued_bytes + len(message), mark))
        self._queued_bytes += len(message)

    def record_sent(self, size: int) -> None:
        """Remove so many bytes from the front: the system has taken them."""
        del self.data[:size]
        sent = self.sent_bytes
        while self._marked and self._marked[0].end <= sent:
            self._marked.popleft()

    def unsent_marks(self) -> frozenset[str]:
        """Return the marks of messages of which not every byte is sent."""
        sent = self.sent_bytes
        return frozenset(message.mark for message in self._marked if message.end > sent)

    def withdraw_stale(self, may_send: Callable[[str], bool]) -> frozenset[str]:
        """Remove marked messages of which no byte is sent and that may not be sent; return their marks."""
        sent = self.sent_bytes
        removed_bytes = 0
        withdrawn: list[str] = []
        remaining: deque[MarkedMessage] = deque()
        for message in self._marked:
            begin = message.begin - removed_bytes
            end = message.end - removed_bytes
            if begin < sent or may_send(message.mark):
                remaining.append(MarkedMessage(begin, end, message.mark))
            else:
                del self.data[begin - sent : end - sent]
                removed_bytes += end - begin
                withdrawn.append(message.mark)
        self._marked = remaining
        self._queued_bytes -= removed_bytes
        return frozenset(withdrawn)


def _always_may_send(_stream: Stream, _mark: str) -> bool:
    return True


def _ignore_withdrawn(_stream: Stream, _marks: frozenset[str]) -> None:
    pass


class Stream:
    """A connected socket with its send buffer."""

    def __init__(
        self,
        sock: Any,
        number: int,
        on_failure: Callable[[Stream], None],
        may_send: Callable[[Stream, str], bool] = _always_may_send,
        on_withdrawn: Callable[[Stream, frozenset[str]], None] = _ignore_withdrawn,
    ) -> None:
        """Take over a connected socket.

        Args:
            sock: A socket of gevent; this object closes it.
            number: What the core calls the connection.
            on_failure: Called once writing has failed, with the socket closed.
            may_send: Returns whether a marked message that has waited may still be sent.
            on_withdrawn: Called with the marks of those that may not.
        """
        self.sock = sock
        self.number = number
        self.is_closed = False
        self.is_closing = False
        self.has_partial_message = False  # a message has begun to arrive, and is not complete
        self.hang_up_reported = False  # the peer has closed, and that was reported
        self.reading_done = Flag()  # nothing more is read from it
        self._on_failure = on_failure
        self._may_send = may_send
        self._on_withdrawn = on_withdrawn
        self._buffer = SendBuffer()
        self._writer: gevent.Greenlet[..., None] | None = None
        self._discarded_bytes = 0

    # Reading

    def is_readable(self) -> bool:
        """Return whether something of the peer lies in the socket, its end included."""
        if self.is_closed:
            return False
        return self._poll(select.POLLIN)

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed, though what it sent before may lie unread."""
        if self.is_closed:
            return False
        try:
            return self._poll(select.POLLRDHUP)
        except OSError:
            return False  # a system that does not report it: its end is read in turn

    def discard(self, size: int) -> bool:
        """Count bytes that were read and thrown away; return whether to read on."""
        self._discarded_bytes += size
        return size > 0 and self._discarded_bytes < MAX_LINGER_BYTES

    def _poll(self, event: int) -> bool:
        poller = select.poll()
        poller.register(self.sock.fileno(), event)
        return bool(poller.poll(0))

    # Writing

    def put(self, data: bytes, mark: str = "") -> None:
        """Have a message written with the next ``flush``; nothing happens on a connection that closes.

        Danger: a peer that does not read would have us keep all; one that reads must not lose its connection
        because a turn sends much to it.
        """
        if self.is_closed or self.is_closing:
            return
        self._buffer.put(data, mark)
        if len(self._buffer) > MAX_UNREAD_BYTES:
            self.flush()
            if len(self._buffer) > MAX_UNREAD_BYTES:
                self._fail()

    def flush(self) -> None:
        """Write what the system takes at once; a greenlet writes the rest."""
        if self.is_closed or self._writer is not None or not self._buffer:
            return
        try:
            self._record_sent(self.sock.send(self._buffer.data, 0, 0.0))
        except BlockingIOError:
            pass
        except OSError:
            self._fail()
            return
        if self._buffer:
            self._writer = gevent.spawn(self._write_rest)

    def unsent_marks(self) -> frozenset[str]:
        """Return the marks of messages of which the system has not taken every byte."""
        return self._buffer.unsent_marks()

    def _record_sent(self, size: int) -> None:
        self._buffer.record_sent(size)

    def _write_rest(self) -> None:
        """Write the buffer as the peer reads.

        Danger: a write that waits has chosen its bytes before it waits: what it holds is sent in the end,
        also after the drain of its machine, and for a client that has left.
        """
        deadline_s = time.monotonic() + WRITE_TIMEOUT_S
        try:
            while self._buffer and not self.is_closed:
                self._withdraw_stale_messages()
                try:
                    self._record_sent(self.sock.send(bytes(self._buffer.data[:MAX_WRITE_BYTES]), 0, 0.0))
                    deadline_s = time.monotonic() + WRITE_TIMEOUT_S
                except BlockingIOError:
                    if time.monotonic() > deadline_s:
                        raise TimeoutError("not read") from None
                    gevent.sleep(WRITE_RETRY_S)
        except (OSError, TimeoutError):
            self._fail()
        finally:
            self._writer = None

    def _withdraw_stale_messages(self) -> None:
        withdrawn = self._buffer.withdraw_stale(lambda mark: self._may_send(self, mark))
        if withdrawn:
            self._on_withdrawn(self, withdrawn)

    def _fail(self) -> None:
        if not self.is_closed:
            self.close(abort=True)
            self._on_failure(self)

    # Closing

    def close(self, abort: bool = False) -> None:
        """Close the socket now; with ``abort`` nothing written so far need arrive."""
        if self.is_closed:
            return
        self.is_closed = True
        if abort:
            address.abort(self.sock)
        else:
            self.sock.close()

    def close_gracefully(self) -> None:
        """Close once all is written; whoever reads it reads on until it is closed, and throws away.

        Danger: closing with bytes unread resets the connection, and the last answer is lost on its way. One
        closed only as its greenlet has its turn has still in flight what it gives up, as a duplicate is sent.
        """
        if self.is_closed or self.is_closing:
            return
        self.flush()
        self.is_closing = True
        if self._writer is None:
            self._shutdown_writing()
        gevent.spawn(self._linger)

    def _linger(self) -> None:
        with gevent.Timeout(LINGER_S, False):  # type: ignore[arg-type]
            if self._writer is not None:
                self._writer.join()
            self._shutdown_writing()
            self.reading_done.wait()
        self.close()

    def _shutdown_writing(self) -> None:
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
