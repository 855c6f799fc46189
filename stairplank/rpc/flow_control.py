"""Receive side of HTTP/2 flow control: limits what the peer may send on each stream and on the connection.

A WINDOW_UPDATE frame is sent only for a quarter of a window or more, because one for each message would cost
as much as the message itself.
"""

from __future__ import annotations

from collections.abc import Callable

import h2.connection
import h2.exceptions

from .framing import PREFIX_BYTES
from .limits import Limits
from .stream import ReceivedMessage, Stream


class ReceiveWindows:
    """Counts received bytes and reopens the flow-control windows as messages are read."""

    def __init__(
        self, protocol: h2.connection.H2Connection, limits: Limits, wake: Callable[[], None]
    ) -> None:
        """Take a callback ``wake`` that is called when a WINDOW_UPDATE frame is ready to be written."""
        self._protocol = protocol
        self._limits = limits
        self._wake = wake
        self._unread_bytes = 0  # received but unread bytes of all streams
        self._unreturned_connection_bytes = 0  # received bytes not yet covered by a WINDOW_UPDATE frame

    def messages_received(
        self, stream: Stream, messages: list[bytes], frame_bytes: int, partial_bytes: int
    ) -> None:
        """Queue the messages that a DATA frame completes.

        ``frame_bytes`` is the frame's flow-controlled length; ``partial_bytes`` is how much of the first
        message was received in earlier frames.

        The bytes of a complete message are returned to the window when the message is read. The bytes of an
        incomplete message are returned at once if no unread message precedes it, because the message may be
        larger than the window; ``max_message_bytes`` bounds them. If they were returned in all cases, a peer
        that sends its messages in parts could exhaust the memory of a slow reader.
        """
        stream.partial_window_bytes += frame_bytes
        remaining_bytes = frame_bytes
        unread_bytes = 0
        for message in messages:
            framed_bytes = len(message) + PREFIX_BYTES
            from_this_frame = framed_bytes - partial_bytes
            partial_bytes = 0
            partial_window = stream.partial_window_bytes
            window_bytes = max(0, min(partial_window, partial_window - remaining_bytes + from_this_frame))
            stream.partial_window_bytes -= window_bytes
            remaining_bytes -= from_this_frame
            unread_bytes += framed_bytes
            stream.receive_queue.append(ReceivedMessage(message, window_bytes))
        self._unread_bytes += unread_bytes
        stream.unread_bytes += unread_bytes
        self.credit_connection(frame_bytes)
        self._credit_stream(stream)

    def message_consumed(self, stream: Stream, received: ReceivedMessage, *, is_open: bool) -> None:
        """Credit the windows for a message that was read; ``is_open`` is whether the connection is open."""
        self._unread_bytes -= received.framed_bytes
        if not is_open:
            return
        if not stream.remote_closed and stream.error is None:
            stream.unreturned_window_bytes += received.window_bytes
            self._credit_stream(stream)
        self.credit_connection(0)

    def credit_connection(self, size: int) -> None:
        """Credit ``size`` bytes to the connection window; WINDOW_UPDATE is sent once enough accumulate."""
        self._unreturned_connection_bytes += size
        is_update_due = self._unreturned_connection_bytes >= self._limits.connection_window_bytes // 4
        if is_update_due and self._unread_bytes <= self._limits.max_unread_bytes:
            self._protocol.increment_flow_control_window(self._unreturned_connection_bytes)
            self._unreturned_connection_bytes = 0
            self._wake()

    def _credit_stream(self, stream: Stream) -> None:
        if not stream.receive_queue:
            stream.unreturned_window_bytes += stream.partial_window_bytes
            stream.partial_window_bytes = 0
        is_update_due = stream.unreturned_window_bytes >= self._limits.stream_window_bytes // 4
        if is_update_due and not stream.remote_closed:
            self._increment_stream_window(stream)
            stream.unreturned_window_bytes = 0

    def _increment_stream_window(self, stream: Stream) -> None:
        try:
            self._protocol.increment_flow_control_window(stream.unreturned_window_bytes, stream.id)
        except (h2.exceptions.ProtocolError, KeyError):
            return  # the stream has been closed, so its window no longer matters
        self._wake()
