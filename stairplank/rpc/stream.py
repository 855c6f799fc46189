"""The messages of one call, both ways, and their send and receive queues."""

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
    """A complete message that nobody has read yet."""

    data: bytes
    window_bytes: int  # returned to the stream's flow-control window when the message is read

    @property
    def framed_bytes(self) -> int:
        """Size with the length prefix."""
        return len(self.data) + PREFIX_BYTES


def _wait_until(event: Event, deadline_s: float | None) -> bool:
    """Wait for an event until a ``time.monotonic()`` time, or without end. False where the time was up."""
    if deadline_s is None:
        return bool(event.wait())
    remaining_s = deadline_s - time.monotonic()
    return remaining_s > 0 and bool(event.wait(remaining_s))


def _deadline_after(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else time.monotonic() + timeout_s


class Stream:
    """Messages of one call, both ways.

    Attributes:
        messages_queued: messages ever queued to be sent.
        messages_started: of those, the ones of which a byte was handed to the connection. The others
            provably never reached the peer.
        local_closed: END_STREAM or RST_STREAM has left.
        remote_closed: the peer has sent END_STREAM or RST_STREAM.
        initial_headers: the first header block from the peer.
        send_end: closes the local side once the send queue is empty.
        error: why the stream ended early; set once.
        on_error: called once, with the error.
    """

    def __init__(self, connection: Connection, stream_id: int) -> None:
        """Make the record of a stream; the connection's table of streams does not hold it yet."""
        self.connection = connection
        self.id = stream_id

        self.decoder = MessageDecoder(connection.limits.max_message_bytes)
        self.receive_queue: deque[ReceivedMessage] = deque()
        self.unread_bytes = 0
        self.window_debt_bytes = 0  # to be returned to the flow-control window
        self.partial_window_bytes = 0  # window that the incomplete message holds
        self.readable = Event()

        self.send_queue: deque[bytes] = deque()
        self.send_offset = 0  # bytes of the first queued message that have left
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
        """Queue a message; False where the stream's unsent bytes are at their bound. Raises RpcError."""
        if self.error is not None:
            raise self.error
        if self.send_end is not None or self.local_closed:
            raise RpcError(Code.INTERNAL, "the own side of the stream is closed")
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
                raise RpcError(Code.DEADLINE_EXCEEDED, "no room to send within the time-out")

    def recv(self, timeout_s: float | None = None) -> bytes | None:
        """The next message, or None after the peer's last. Raises RpcError, also after ``timeout_s``."""
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
        """At most ``size`` bytes from the head of the send queue, of as many messages as fit."""
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
        """Forget what is queued to be sent."""
        self.send_queue.clear()
        self.unsent_bytes = 0

    def wake_waiters(self) -> None:
        """Let those who wait in ``send`` or ``recv`` look at the stream's state again."""
        self.readable.set()
        self.writable.set()

    def fail(self, error: RpcError) -> None:
        """End the stream for its user; what is queued to be sent is dropped. The first error counts."""
        if self.error is not None:
            return
        self.error = error
        self.drop_unsent()
        self.wake_waiters()
        if self.on_error is not None:
            self.on_error(error)

    def close_both_sides(self) -> None:
        """Record that no frame of this stream is to be sent or expected any more."""
        self.local_closed = True
        self.remote_closed = True

    def is_closed(self) -> bool:
        """Whether both sides have closed."""
        return self.remote_closed and self.local_closed
