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

UNREAD_MOST = 65_536  # bytes that the other side does not read before the connection is given up
WRITE_S = 5.0  # without a byte taken by the other side
BLOCKED_S = 0.01  # between looks whether it takes more
DRAIN_S, DRAIN_MOST = 0.5, 1_048_576  # a connection that is closed is read so long, and so much
# Reads of one connection: one that sends at full speed would be read for ever, and nobody else.
READS_IN_A_ROW = 4
# Errors that show that this process has no descriptors, memory or ports left.
NO_MEANS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})


def receive(sock: Any, most: int, until: float | None) -> bytes:
    """What has come, at most so many bytes. Raises TimeoutError after ``until`` (monotonic, in seconds).

    Danger: after a stall the timer is ready together with the bytes, and the connection would be closed under
    all that is open on it.
    """
    sock.settimeout(None if until is None else max(0.01, until - time.monotonic()))
    try:
        return sock.recv(most)
    except TimeoutError:
        sock.settimeout(0.0)
        try:
            return sock.recv(most)
        except BlockingIOError:
            raise TimeoutError("a message has begun and does not go on") from None


class Stream:
    """``gone`` is called once writing has failed; ``may`` returns whether a marked message that has
    waited may still leave, ``dropped`` is called with those that may not."""

    def __init__(
        self,
        sock: Any,
        number: int,
        gone: Callable[[Stream], None],
        may: Callable[[Stream, str], bool] = lambda stream, mark: True,
        dropped: Callable[[Stream, frozenset[str]], None] = lambda stream, marks: None,
    ) -> None:
        self.sock = sock
        self.number = number
        self.closed = False
        self.half = False  # a message has begun to come, and is not whole
        self.hung_up = False  # the other side has closed, and that was reported
        self._gone, self._may, self._dropped = gone, may, dropped
        self._buffer = bytearray()
        self._queued = 0  # bytes put and not taken out again, over the connection's life
        self._marks: deque[tuple[int, int, str]] = deque()  # where messages that matter begin and end
        self._writer: gevent.Greenlet | None = None
        self.ending = False
        self.read_out = Flag()  # nothing more is read from it
        self._drained = 0

    def put(self, data: bytes, mark: str = "") -> None:
        """Have it written with the next ``flush``. Danger: who does not read would have us keep all; one that
        reads must not lose its connection because a turn sends much to it."""
        if self.closed or self.ending:
            return
        self._buffer += data
        if mark:
            self._marks.append((self._queued, self._queued + len(data), mark))
        self._queued += len(data)
        if len(self._buffer) > UNREAD_MOST:
            self.flush()
            if len(self._buffer) > UNREAD_MOST:
                self._fail()

    def is_readable(self) -> bool:
        """Whether something of the other side lies in the socket, its end included."""
        if self.closed:
            return False
        look = select.poll()
        look.register(self.sock.fileno(), select.POLLIN)
        return bool(look.poll(0))

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has closed, though what it sent before may lie unread."""
        if self.closed:
            return False
        look = select.poll()
        look.register(self.sock.fileno(), select.POLLRDHUP)
        try:
            return bool(look.poll(0))
        except OSError:
            return False  # a system that does not report it: its end is read in turn

    def unsent(self) -> frozenset[str]:
        """Marks of the messages of which not every byte has been given to the system."""
        written = self._queued - len(self._buffer)
        return frozenset(mark for _, end, mark in self._marks if end > written)

    def flush(self) -> None:
        if self.closed or self._writer is not None or not self._buffer:
            return
        try:
            self._sent(self.sock.send(self._buffer, 0, 0.0))
        except BlockingIOError:
            pass
        except OSError:
            self._fail()
            return
        if self._buffer:
            self._writer = gevent.spawn(self._write)

    def _sent(self, size: int) -> None:
        del self._buffer[:size]
        written = self._queued - len(self._buffer)
        while self._marks and self._marks[0][1] <= written:
            self._marks.popleft()

    def _write(self) -> None:
        """Danger: a write that waits has chosen its bytes before it waits: what it holds leaves in the end,
        also after the drain of its machine, and for a client that has left."""
        until = time.monotonic() + WRITE_S
        try:
            while self._buffer and not self.closed:
                self._take_out()
                try:
                    self._sent(self.sock.send(bytes(self._buffer[:65_536]), 0, 0.0))
                    until = time.monotonic() + WRITE_S
                except BlockingIOError:
                    if time.monotonic() > until:
                        raise TimeoutError("not read") from None
                    gevent.sleep(BLOCKED_S)
        except (OSError, TimeoutError):
            self._fail()
        finally:
            self._writer = None

    def _take_out(self) -> None:
        """Marked messages of which no byte has gone, and that may not leave any more."""
        written = self._queued - len(self._buffer)
        gone, shift = [], 0
        kept: deque[tuple[int, int, str]] = deque()
        for begin, end, mark in self._marks:
            begin, end = begin - shift, end - shift
            if begin < written or self._may(self, mark):
                kept.append((begin, end, mark))
            else:
                del self._buffer[begin - written : end - written]
                shift += end - begin
                gone.append(mark)
        self._marks, self._queued = kept, self._queued - shift
        if gone:
            self._dropped(self, frozenset(gone))

    def _fail(self) -> None:
        if not self.closed:
            self.close(hard=True)
            self._gone(self)

    def close(self, hard: bool = False) -> None:
        """``hard``: nothing written so far need arrive."""
        if self.closed:
            return
        self.closed = True
        if hard:
            address.abort(self.sock)
        else:
            self.sock.close()

    def end(self) -> None:
        """Close once all is written; whoever reads it reads on until it is closed, and throws away.

        Danger: closing with bytes unread resets the connection, and the last answer is lost on its way. One
        closed only as its greenlet has its turn has still out what it gives up, as a copy leaves.
        """
        if self.closed or self.ending:
            return
        self.flush()
        self.ending = True
        if self._writer is None:
            self._shut()
        gevent.spawn(self._end)

    def drained(self, size: int) -> bool:
        """So many bytes more were thrown away: whether to go on."""
        self._drained += size
        return size > 0 and self._drained < DRAIN_MOST

    def _end(self) -> None:
        with gevent.Timeout(DRAIN_S, False):  # type: ignore[arg-type]
            if self._writer is not None:
                self._writer.join()
            self._shut()
            self.read_out.wait()
        self.close()

    def _shut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
