"""Socket streams of the service: paced reads, bounded send buffers and graceful closes.

A message in a send buffer may carry a mark. While the peer does not read, marked messages wait in the buffer.
Before each write, every marked message that is entirely unsent is checked again (``may_send``); a message
that may no longer be sent is removed from the buffer and reported (``on_withdrawn``).
"""

from __future__ import annotations

import fcntl
import select
import termios
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
from ..rpc.socket_errors import is_ours

MAX_UNREAD_BYTES = 65_536  # a connection with more unsent bytes in its buffer is closed
MAX_WRITE_BYTES = 65_536  # the most bytes in one write of the background writer
WRITE_TIMEOUT_S = 5.0  # a connection is closed if the peer accepts no byte for this long
WRITE_RETRY_S = 0.01  # wait before the next write to a peer that accepts no bytes
MIN_RECEIVE_TIMEOUT_S = 0.01
# A closing connection is read for at most this long, and for at most this many bytes.
LINGER_S = 0.5
MAX_LINGER_BYTES = 1_048_576
# Reads of one connection in a row before others are served; a peer that sends at full speed would otherwise
# block all other connections.
MAX_CONSECUTIVE_READS = 4
RETRY_S = 0.005  # wait before a read is tried again that failed for want of memory


def receive(sock: Any, max_bytes: int, deadline_s: float | None) -> bytes:
    """Return the bytes that have arrived, at most ``max_bytes``; empty once the peer has closed.

    After a time-out the socket is read once more without waiting. After a stall of the process, the timer may
    expire although bytes have arrived; without that read, the connection would be closed with all requests
    open on it.

    Args:
        sock: A gevent socket.
        max_bytes: The most bytes to return.
        deadline_s: When to give up, on the monotonic clock; None waits without limit.

    Raises:
        TimeoutError: No bytes arrived by the deadline.
        OSError: The connection has failed.
    """
    while True:
        timeout_s = None if deadline_s is None else max(MIN_RECEIVE_TIMEOUT_S, deadline_s - time.monotonic())
        sock.settimeout(timeout_s)
        try:
            return _receive_once(sock, max_bytes)
        except TimeoutError:
            raise
        except OSError as error:
            if not is_ours(error):
                raise
        gevent.sleep(RETRY_S)


def _receive_once(sock: Any, max_bytes: int) -> bytes:
    try:
        data: bytes = sock.recv(max_bytes)
    except TimeoutError:
        sock.settimeout(0.0)
        try:
            data = sock.recv(max_bytes)
        except BlockingIOError:
            raise TimeoutError("the rest of a partial message did not arrive in time") from None
    return data


class PacedReads:
    """Reads of one connection, with a deadline for partial messages and pauses for other connections."""

    def __init__(self, sock: Any, partial_timeout_s: float) -> None:
        """Read ``sock``; each message must be complete within ``partial_timeout_s`` after its first byte."""
        self._sock = sock
        self._partial_timeout_s = partial_timeout_s
        self._began_s = 0.0  # when the first byte of the partial message arrived
        self._read_count = 0

    def receive(self, max_bytes: int, is_partial: bool) -> bytes:
        """Return the bytes that have arrived; empty once the peer has closed.

        ``is_partial``: part of a message has been received, so that its deadline applies. Raises TimeoutError
        and OSError like ``receive``.
        """
        deadline_s = self._began_s + self._partial_timeout_s if is_partial else None
        data = receive(self._sock, max_bytes, deadline_s)
        if not is_partial:
            self.restart_deadline()
        return data

    def restart_deadline(self) -> None:
        """Restart the deadline of the partial message from now."""
        self._began_s = time.monotonic()

    def yield_to_others(self) -> None:
        """Yield to other greenlets after ``MAX_CONSECUTIVE_READS`` reads.

        Most reads wait for bytes and so yield anyway, but reads from a peer that sends at full speed never
        wait: no other connection would be served.
        """
        self._read_count += 1
        if self._read_count % MAX_CONSECUTIVE_READS == 0:
            gevent.sleep(0)


@dataclass(slots=True)
class MarkedMessage:
    """A marked message in a send buffer; positions count all bytes put since the connection was opened."""

    begin: int
    end: int
    mark: str


class SendBuffer:
    """The bytes that are not yet written to the socket, with the positions of marked messages."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.data = bytearray()
        self._queued_bytes = 0  # bytes put since the connection was opened, without withdrawn messages
        self._marked: deque[MarkedMessage] = deque()  # marked messages that are not completely sent, in order

    def __len__(self) -> int:
        """Return the number of unsent bytes."""
        return len(self.data)

    @property
    def sent_bytes(self) -> int:
        """The number of bytes written to the socket since the connection was opened."""
        return self._queued_bytes - len(self.data)

    def put(self, message: bytes, mark: str) -> None:
        """Append a message; an empty ``mark`` leaves it unmarked."""
        self.data += message
        if mark:
            self._marked.append(MarkedMessage(self._queued_bytes, self._queued_bytes + len(message), mark))
        self._queued_bytes += len(message)

    def record_sent(self, size: int) -> None:
        """Remove ``size`` bytes that were written to the socket from the front of the buffer."""
        del self.data[:size]
        sent = self.sent_bytes
        while self._marked and self._marked[0].end <= sent:
            self._marked.popleft()

    def unsent_marks(self) -> frozenset[str]:
        """Return the marks of messages that are not completely sent."""
        sent = self.sent_bytes
        return frozenset(message.mark for message in self._marked if message.end > sent)

    def withdraw_stale(self, may_send: Callable[[str], bool]) -> frozenset[str]:
        """Remove entirely unsent marked messages that ``may_send`` rejects, and return their marks."""
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
        """Take ownership of a connected socket.

        Args:
            sock: A gevent socket; this object closes it.
            number: The connection's number in the core.
            on_failure: Called after a write has failed and the socket is closed.
            may_send: Returns whether a marked message in the send buffer may still be sent.
            on_withdrawn: Called with the marks of messages that were withdrawn from the send buffer.
        """
        self.sock = sock
        self.number = number
        self.is_closed = False
        self.is_closing = False
        self.has_partial_message = False  # part of a message has been received
        self.hang_up_reported = False  # the close by the peer was reported
        self.reading_done = Flag()  # set when the reader of this connection has ended
        self._on_failure = on_failure
        self._may_send = may_send
        self._on_withdrawn = on_withdrawn
        self._buffer = SendBuffer()
        self._writer: gevent.Greenlet[..., None] | None = None
        self._discarded_bytes = 0

    # Reading

    def is_readable(self) -> bool:
        """Return whether the socket has unread bytes or an end of file."""
        if self.is_closed:
            return False
        try:
            return self._poll(select.POLLIN)
        except OSError:
            return True  # not known: the connection is not closed as idle

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed its side, even if bytes that it sent before are still unread."""
        if self.is_closed:
            return False
        try:
            return self._poll(select.POLLRDHUP)
        except OSError:
            return False  # a system without POLLRDHUP: the end of file is read after the unread bytes

    def discard(self, size: int) -> bool:
        """Count bytes that were read and discarded, and return whether to read on."""
        self._discarded_bytes += size
        return size > 0 and self._discarded_bytes < MAX_LINGER_BYTES

    def _poll(self, event: int) -> bool:
        poller = select.poll()
        poller.register(self.sock.fileno(), event)
        return bool(poller.poll(0))

    # Writing

    def put(self, data: bytes, mark: str = "") -> None:
        """Add a message to the send buffer for the next ``flush``, unless the connection is closing.

        The connection is closed if more than ``MAX_UNREAD_BYTES`` are left after a flush: the buffer for a
        peer that does not read would grow without a bound. The flush comes first, because a peer that does
        read must not lose its connection when one turn sends it many messages.
        """
        if self.is_closed or self.is_closing:
            return
        self._buffer.put(data, mark)
        if len(self._buffer) > MAX_UNREAD_BYTES:
            self.flush()
            if len(self._buffer) > MAX_UNREAD_BYTES:
                self._fail()

    def flush(self) -> None:
        """Write as much as the socket accepts at once; a greenlet writes the rest."""
        if self.is_closed or self._writer is not None or not self._buffer:
            return
        try:
            self._record_sent(self.sock.send(self._buffer.data, 0, 0.0))
        except OSError as error:
            if not is_ours(error):
                self._fail()
                return
        if self._buffer:
            self._writer = gevent.spawn(self._write_rest)

    def is_delivered(self) -> bool:
        """Return whether the peer's system has received all that was put; True if that cannot be known."""
        if self.is_closed or self._buffer:
            return False
        try:
            return not any(fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4)))
        except OSError:
            return True

    def unsent_marks(self) -> frozenset[str]:
        """Return the marks of messages that are not completely written to the socket."""
        return self._buffer.unsent_marks()

    def _record_sent(self, size: int) -> None:
        self._buffer.record_sent(size)

    def _write_rest(self) -> None:
        """Write the buffer as the peer reads, with writes that do not block.

        A blocking write would keep the bytes that it was given until the peer reads them. They would then be
        sent even if their machine drains or their client has disconnected in the meantime.
        """
        deadline_s = time.monotonic() + WRITE_TIMEOUT_S
        try:
            while self._buffer and not self.is_closed:
                self._withdraw_stale_messages()
                try:
                    self._record_sent(self.sock.send(bytes(self._buffer.data[:MAX_WRITE_BYTES]), 0, 0.0))
                    deadline_s = time.monotonic() + WRITE_TIMEOUT_S
                except OSError as error:
                    if not is_ours(error):
                        raise
                    if time.monotonic() > deadline_s:
                        raise TimeoutError("the peer accepted no bytes within the write time-out") from None
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
        """Close the socket now; with ``abort`` the connection is reset and written bytes may be lost."""
        if self.is_closed:
            return
        self.is_closed = True
        if abort:
            address.abort(self.sock)
        else:
            self.sock.close()

    def close_gracefully(self) -> None:
        """Close the connection after the send buffer is written; its reader discards input until then.

        A close with unread bytes would reset the connection, and the last answer could be lost. Writing is
        shut down at once if the buffer is empty: if that waited for the greenlet, the abandoned requests
        would still be in flight on this connection while a duplicate is sent elsewhere.
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
