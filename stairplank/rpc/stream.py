"""HTTP/2 stream of a call: its send and receive queues and its state."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from gevent.event import Event

from .framing import PREFIX_BYTES, Headers, MessageDecoder, encode_message
from .status import Code, RpcError

if TYPE_CHECKING:
    from .connection import Connection


class ReceivedMessage(NamedTuple):
    """A complete received message that waits in the receive queue."""

    data: bytes
    window_bytes: int  # bytes credited to the stream's window when the message is read

    @property
    def framed_bytes(self) -> int:
        """Size of the message including its length prefix."""
        return len(self.data) + PREFIX_BYTES


def _wait_until(event: Event, deadline_s: float | None) -> bool:
    """Wait for an event, without limit if ``deadline_s`` is None. Returns False if the deadline passed."""
    if deadline_s is None:
        return bool(event.wait())
    remaining_s = deadline_s - time.monotonic()
    return remaining_s > 0 and bool(event.wait(remaining_s))


def _deadline_after(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else time.monotonic() + timeout_s


class Stream:
    """A stream: the messages of one call in both directions.

    Attributes:
        messages_queued: how many messages have been queued to be sent.
        messages_started: how many queued messages have been passed to the connection at least in part; the
            other messages cannot have reached the peer.
        local_closed: whether END_STREAM or RST_STREAM has been sent.
        remote_closed: whether the peer has sent END_STREAM or RST_STREAM.
        initial_headers: the first header block from the peer.
        send_end: callback that closes the local side once the send queue is empty; None if not requested.
        error: the error that ended the stream early, or None; set once.
        on_error: callback that is called once, with the error.
    """

    def __init__(self, connection: Connection, stream_id: int) -> None:
        """Create a stream; the caller adds it to the streams of the connection."""
        self.connection = connection
        self.id = stream_id

        self.decoder = MessageDecoder(connection.limits.max_message_bytes)
        self.receive_queue: deque[ReceivedMessage] = deque()
        self.unread_bytes = 0
        self.unreturned_window_bytes = 0  # bytes to credit with the next WINDOW_UPDATE frame
        self.partial_window_bytes = 0  # flow-control window used by the incomplete message
        self.readable = Event()

        self.send_queue: deque[bytes] = deque()
        self.send_offset = 0  # bytes of the first queued message already passed to h2
        self.unsent_bytes = 0
        self.messages_queued = 0
        self.messages_started = 0
        self.writable = Event()
        self.send_end: Callable[[], None] | None = None

        self.initial_headers: Headers | None = None
        self.trailers: Headers | None = None
        self.remote_closed = False
        self.local_closed = False
        self.error: RpcError | None = None
        self.on_error: Callable[[RpcError], None] | None = None

    def try_send(self, message: bytes) -> bool:
        """Queue a message. Returns False if the limit of unsent bytes is reached; raises RpcError."""
        if self.error is not None:
            raise self.error
        if self.send_end is not None or self.local_closed:
            raise RpcError(Code.INTERNAL, "the local side of the stream is closed")
        max_unsent_bytes = self.connection.limits.max_unsent_bytes
        if self.unsent_bytes and self.unsent_bytes + len(message) > max_unsent_bytes:
            return False
        data = encode_message(message)
        self.send_queue.append(data)
        self.unsent_bytes += len(data)
        self.messages_queued += 1
        self.connection.schedule_write(self)
        return True

    def send(self, message: bytes, timeout_s: float | None = None) -> None:
        """Queue a message, waiting for buffer space. Raises RpcError, also after ``timeout_s``."""
        deadline_s = _deadline_after(timeout_s)
        while not self.try_send(message):
            self.writable.clear()
            if not _wait_until(self.writable, deadline_s):
                raise RpcError(Code.DEADLINE_EXCEEDED, "no send buffer space within the timeout")

    def recv(self, timeout_s: float | None = None) -> bytes | None:
        """Return the next message, or None after the last one. Raises RpcError, also after ``timeout_s``."""
        deadline_s = _deadline_after(timeout_s)
        while not self.receive_queue:
            if self.error is not None:
                raise self.error
            if self.remote_closed:
                return None
            self.readable.clear()
            if not _wait_until(self.readable, deadline_s):
                raise RpcError(Code.DEADLINE_EXCEEDED, "nothing came within the time-out")
        received = self.receive_queue.popleft()
        self.unread_bytes -= received.framed_bytes
        self.connection.message_consumed(self, received)
        return received.data

    def take_chunk(self, size: int) -> bytes:
        """Remove and return up to ``size`` bytes from the send queue; they may span several messages."""
        parts: list[bytes] = []
        while self.send_queue and size > 0:
            first = self.send_queue[0]
            if self.send_offset == 0:
                self.messages_started += 1
            part = first[self.send_offset : self.send_offset + size]
            parts.append(part)
            size -= len(part)
            self.unsent_bytes -= len(part)
            self.send_offset += len(part)
            if self.send_offset == len(first):
                self.send_queue.popleft()
                self.send_offset = 0
        return b"".join(parts)

    def drop_unsent(self) -> None:
        """Discard the queued messages that have not been sent."""
        self.send_queue.clear()
        self.unsent_bytes = 0

    def wake_waiters(self) -> None:
        """Wake the greenlets that wait in ``send`` or ``recv``, so that they check the stream's state."""
        self.readable.set()
        self.writable.set()

    def fail(self, error: RpcError) -> None:
        """Fail the stream and discard its queued messages; only the first error is kept."""
        if self.error is not None:
            return
        self.error = error
        self.drop_unsent()
        self.wake_waiters()
        if self.on_error is not None:
            self.on_error(error)

    def close_both_sides(self) -> None:
        """Mark both sides as closed, so that no more frames of the stream are sent or expected."""
        self.local_closed = True
        self.remote_closed = True

    def is_closed(self) -> bool:
        """Return whether both sides are closed."""
        return self.remote_closed and self.local_closed
