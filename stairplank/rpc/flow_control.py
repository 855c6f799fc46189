"""Receiving half of HTTP/2 flow control: what the peer may send, by stream and by connection.

Window is returned in large steps: a WINDOW_UPDATE for each message would cost as much as the message.
"""

from __future__ import annotations

from collections.abc import Callable

import h2.connection
import h2.exceptions

from .framing import PREFIX_BYTES
from .limits import Limits
from .stream import ReceivedMessage, Stream


class ReceiveWindows:
    """Counts received bytes and returns window as messages are read."""

    def __init__(
        self, protocol: h2.connection.H2Connection, limits: Limits, wake: Callable[[], None]
    ) -> None:
        """``wake`` is called when a WINDOW_UPDATE frame is ready to be written."""
        self._protocol = protocol
        self._limits = limits
        self._wake = wake
        self._unread_bytes = 0  # over all streams
        self._connection_debt_bytes = 0  # connection window not yet returned

    def messages_received(
        self, stream: Stream, messages: list[bytes], frame_bytes: int, partial_bytes: int
    ) -> None:
        """Queue the messages that a DATA frame has completed.

        ``frame_bytes`` is the frame's flow-controlled length; ``partial_bytes`` of the first message had
        come with earlier frames.

        A message's bytes return to the window when it is read. Those of an incomplete one return at once
        where nothing waits before it, as it may be larger than the window; ``max_message_bytes`` bounds them.
        Danger: returned in any case, messages sent in halves would fill a slow reader's memory.
        """
        stream.partial_window_bytes += frame_bytes
        remaining_bytes = frame_bytes
        unread_bytes = 0
        for message in messages:
            framed_bytes = len(message) + PREFIX_BYTES
            from_this_frame = framed_bytes - partial_bytes
            partial_bytes = 0
            held_bytes = stream.partial_window_bytes
            window_bytes = max(0, min(held_bytes, held_bytes - remaining_bytes + from_this_frame))
            stream.partial_window_bytes -= window_bytes
            remaining_bytes -= from_this_frame
            unread_bytes += framed_bytes
            stream.receive_queue.append(ReceivedMessage(message, window_bytes))
        self._unread_bytes += unread_bytes
        stream.unread_bytes += unread_bytes
        self.credit_connection(frame_bytes)
        self._credit_stream(stream)

    def message_consumed(self, stream: Stream, received: ReceivedMessage, *, is_open: bool) -> None:
        """Return the window of a message that was read; ``is_open``: the connection still stands."""
        self._unread_bytes -= received.framed_bytes
        if not is_open:
            return
        if not stream.remote_closed and stream.error is None:
            stream.window_debt_bytes += received.window_bytes
            self._credit_stream(stream)
        self.credit_connection(0)

    def credit_connection(self, size: int) -> None:
        """Add ``size`` bytes to what the connection window is owed, and return it once it is enough."""
        self._connection_debt_bytes += size
        is_enough = self._connection_debt_bytes >= self._limits.connection_window_bytes // 4
        if is_enough and self._unread_bytes <= self._limits.max_unread_bytes:
            self._protocol.increment_flow_control_window(self._connection_debt_bytes)
            self._connection_debt_bytes = 0
            self._wake()

    def _credit_stream(self, stream: Stream) -> None:
        if not stream.receive_queue:
            stream.window_debt_bytes += stream.partial_window_bytes
            stream.partial_window_bytes = 0
        is_enough = stream.window_debt_bytes >= self._limits.stream_window_bytes // 4
        if is_enough and not stream.remote_closed:
            self._increment_stream_window(stream)
            stream.window_debt_bytes = 0

    def _increment_stream_window(self, stream: Stream) -> None:
        try:
            self._protocol.increment_flow_control_window(stream.window_debt_bytes, stream.id)
        except (h2.exceptions.ProtocolError, KeyError):
            return  # the stream has closed meanwhile
        self._wake()
