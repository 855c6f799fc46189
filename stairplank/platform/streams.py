"""A connection as the service writes it: joined, bounded, and with the marks of what left whole.

What waits in the buffer behind a side that does not read leaves only if it may leave then: a marked message
of which no byte has gone is asked about again (``may``) before each write, and taken out whole (``unsent``).
"""

from __future__ import annotations

import errno
import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event as Flag

from ..rpc import address

MAX_UNREAD_BYTES = 65_536  # bytes that the other side does not read before the connection is given up
WRITE_TIMEOUT_S = 5.0  # without a byte taken by the other side
WRITE_RETRY_S = 0.01  # between looks whether it takes more
LINGER_S, MAX_LINGER_BYTES = 0.5, 1_048_576  # a connection that is closed is read so long, and so much
# Reads of one connection: one that sends at full speed would be read for ever, and nobody else.
MAX_CONSECUTIVE_READS = 4
# Errors that show that this process has no descriptors, memory or ports left.
RESOURCE_EXHAUSTED_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)


def receive(sock: Any, max_bytes: int, deadline_s: float | None) -> bytes:
    """What has come, at most so many bytes. Raises TimeoutError after ``until`` (monotonic, in seconds).

    Danger: after a stall the timer is ready together with the bytes, and the connection would be closed under
    all that is open on it.
    """
    sock.settimeout(None if deadline_s is None else max(0.01, deadline_s - time.monotonic()))
    try:
        return sock.recv(max_bytes)
    except TimeoutError:
        sock.settimeout(0.0)
        try:
            return sock.recv(max_bytes)
        except BlockingIOError:
            raise TimeoutError("a message has begun and does not go on") from None


class Stream:
    """``gone`` is called once writing has failed; ``may`` returns whether a marked message that has
    waited may still leave, ``dropped`` is called with those that may not."""

    def __init__(
        self,
        sock: Any,
        number: int,
        on_failure: Callable[[Stream], None],
        may_send: Callable[[Stream, str], bool] = lambda stream, mark: True,
        on_withdrawn: Callable[[Stream, frozenset[str]], None] = lambda stream, marks: None,
    ) -> None:
        self.sock = sock
        self.number = number
        self.is_closed = False
        self.has_partial_message = False  # a message has begun to come, and is not whole
        self.hang_up_reported = False  # the other side has closed, and that was reported
        self._on_failure, self._may_send, self._on_withdrawn = on_failure, may_send, on_withdrawn
        self._buffer = bytearray()
        self._queued_bytes = 0  # bytes put and not taken out again, over the connection's life
        self._marks: deque[tuple[int, int, str]] = deque()  # where messages that matter begin and end
        self._writer: gevent.Greenlet | None = None
        self.is_closing = False
        self.reading_done = Flag()  # nothing more is read from it
        self._discarded_bytes = 0

    def put(self, data: bytes, mark: str = "") -> None:
        """Have it written with the next ``flush``. Danger: who does not read would have us keep all; one that
        reads must not lose its connection because a turn sends much to it."""
        if self.is_closed or self.is_closing:
            return
        self._buffer += data
        if mark:
            self._marks.append((self._queued_bytes, self._queued_bytes + len(data), mark))
        self._queued_bytes += len(data)
        if len(self._buffer) > MAX_UNREAD_BYTES:
            self.flush()
            if len(self._buffer) > MAX_UNREAD_BYTES:
                self._fail()

    def is_readable(self) -> bool:
        """Whether something of the other side lies in the socket, its end included."""
        if self.is_closed:
            return False
        look = select.poll()
        look.register(self.sock.fileno(), select.POLLIN)
        return bool(look.poll(0))

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has closed, though what it sent before may lie unread."""
        if self.is_closed:
            return False
        look = select.poll()
        look.register(self.sock.fileno(), select.POLLRDHUP)
        try:
            return bool(look.poll(0))
        except OSError:
            return False  # a system that does not report it: its end is read in turn

    def unsent_marks(self) -> frozenset[str]:
        """Marks of the messages of which not every byte has been given to the system."""
        written = self._queued_bytes - len(self._buffer)
        return frozenset(mark for _, end, mark in self._marks if end > written)

    def flush(self) -> None:
        if self.is_closed or self._writer is not None or not self._buffer:
            return
        try:
            self._record_sent(self.sock.send(self._buffer, 0, 0.0))
        except BlockingIOError:
            pass
        except OSError:
            self._fail()
            return
        if self._buffer:
            self._writer = gevent.spawn(self._write)

    def _record_sent(self, size: int) -> None:
        del self._buffer[:size]
        written = self._queued_bytes - len(self._buffer)
        while self._marks and self._marks[0][1] <= written:
            self._marks.popleft()

    def _write(self) -> None:
        """Danger: a write that waits has chosen its bytes before it waits: what it holds leaves in the end,
        also after the drain of its machine, and for a client that has left."""
        until = time.monotonic() + WRITE_TIMEOUT_S
        try:
            while self._buffer and not self.is_closed:
                self._withdraw_stale_messages()
                try:
                    self._record_sent(self.sock.send(bytes(self._buffer[:65_536]), 0, 0.0))
                    until = time.monotonic() + WRITE_TIMEOUT_S
                except BlockingIOError:
                    if time.monotonic() > until:
                        raise TimeoutError("not read") from None
                    gevent.sleep(WRITE_RETRY_S)
        except (OSError, TimeoutError):
            self._fail()
        finally:
            self._writer = None

    def _withdraw_stale_messages(self) -> None:
        """Marked messages of which no byte has gone, and that may not leave any more."""
        written = self._queued_bytes - len(self._buffer)
        gone, shift = [], 0
        kept: deque[tuple[int, int, str]] = deque()
        for begin, end, mark in self._marks:
            begin, end = begin - shift, end - shift
            if begin < written or self._may_send(self, mark):
                kept.append((begin, end, mark))
            else:
                del self._buffer[begin - written : end - written]
                shift += end - begin
                gone.append(mark)
        self._marks, self._queued_bytes = kept, self._queued_bytes - shift
        if gone:
            self._on_withdrawn(self, frozenset(gone))

    def _fail(self) -> None:
        if not self.is_closed:
            self.close(abort=True)
            self._on_failure(self)

    def close(self, abort: bool = False) -> None:
        """``hard``: nothing written so far need arrive."""
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
        closed only as its greenlet has its turn has still out what it gives up, as a copy leaves.
        """
        if self.is_closed or self.is_closing:
            return
        self.flush()
        self.is_closing = True
        if self._writer is None:
            self._shutdown_writing()
        gevent.spawn(self._linger)

    def discard(self, size: int) -> bool:
        """So many bytes more were thrown away: whether to go on."""
        self._discarded_bytes += size
        return size > 0 and self._discarded_bytes < MAX_LINGER_BYTES

    def _linger(self) -> None:
        with gevent.Timeout(LINGER_S, False):  # type: ignore[arg-type]
            if self._writer is not None:
                self._writer.join()
            self._shutdown_writing()
            self.reading_done.wait()
        self.close()

    def _shutdown_writing(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
