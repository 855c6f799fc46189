"""Send side of a connection: schedules the streams' data and runs the socket's write loop.

Queued messages of a stream are sent in one DATA frame, which lowers the cost of a message on a busy stream.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import h2.exceptions
from gevent.event import Event

from .status import Code, RpcError
from .stream import Stream

if TYPE_CHECKING:
    from .connection import Connection

MAX_TURN_BYTES = 65_536  # limit for a stream in a turn, so that large streams do not delay small ones
FINAL_FLUSH_TIMEOUT_S = 0.5


class ConnectionWriter:
    """Moves messages from the streams' send queues into h2, and bytes from h2 to the socket."""

    def __init__(self, connection: Connection) -> None:
        """Create a writer, whose loop ``run`` needs a dedicated greenlet."""
        self._connection = connection
        self._protocol = connection.h2
        self._frames: list[bytes] = []  # serialized frames to send before the data buffered in h2
        self._ready: dict[int, None] = {}  # ids of streams that may have something to send, in order
        self._wakeup = Event()

    @property
    def has_ready_streams(self) -> bool:
        """Whether any stream is marked as ready to send."""
        return bool(self._ready)

    def mark_ready(self, stream_id: int) -> None:
        """Mark a stream with new data or a reopened window as ready, without waking the writer."""
        self._ready[stream_id] = None

    def mark_queued_ready(self) -> None:
        """Mark every stream with queued messages as ready to send, without waking the writer."""
        self._ready.update(dict.fromkeys(s.id for s in self._connection.streams.values() if s.send_queue))

    def remove(self, stream_id: int) -> None:
        """Remove a closed stream from the streams that are ready to send."""
        self._ready.pop(stream_id, None)

    def wake(self) -> None:
        """Wake the write loop, which then sends all data that is ready."""
        self._wakeup.set()

    def queue_frames(self, data: bytes) -> None:
        """Queue serialized frames to be sent before the data buffered in h2."""
        self._frames.append(data)

    def run(self) -> None:
        """Write data until the greenlet is killed. Raises OSError and h2's ProtocolError."""
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            while self._connection.close_error is None:
                has_more = self._fill()
                data = b"".join(self._frames) + self._protocol.data_to_send()
                self._frames.clear()
                if data:
                    self._connection.sock.sendall(data)
                if not has_more:
                    break

    def flush_final(self) -> None:
        """Send the GOAWAY that h2 has queued; a timeout guards against a peer that does not read."""
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            self._connection.sock.settimeout(FINAL_FLUSH_TIMEOUT_S)
            self._connection.sock.sendall(self._protocol.data_to_send() + b"".join(self._frames))

    def _fill(self) -> bool:
        """Move queued data into h2, as far as the windows allow. Returns True if more can be moved."""
        has_more = False
        for stream_id in list(self._ready):
            self._ready.pop(stream_id, None)
            stream = self._connection.streams.get(stream_id)
            if stream is None or stream.local_closed:
                continue
            try:
                if self._fill_stream(stream):
                    self._ready[stream_id] = None
                    has_more = True
            except h2.exceptions.StreamClosedError:
                stream.local_closed = True
                stream.fail(RpcError(Code.CANCELLED, "stream closed"))
                self._connection.remove_stream(stream)
        return has_more

    def _fill_stream(self, stream: Stream) -> bool:
        """Send one stream's data. Returns True if it has more to send and the window allows it."""
        if stream.send_queue:
            self._send_queued(stream)
            if stream.send_queue:
                return self._protocol.local_flow_control_window(stream.id) > 0
        if stream.send_end is not None:
            send_end = stream.send_end
            stream.send_end = None
            send_end()
            stream.local_closed = True
            if stream.is_closed():
                self._connection.remove_stream(stream)
        return False

    def _send_queued(self, stream: Stream) -> None:
        budget_bytes = min(self._protocol.local_flow_control_window(stream.id), MAX_TURN_BYTES)
        max_frame_bytes = self._protocol.max_outbound_frame_size
        while stream.send_queue and budget_bytes > 0:
            chunk = stream.take_chunk(min(budget_bytes, max_frame_bytes))
            budget_bytes -= len(chunk)
            self._protocol.send_data(stream.id, chunk)
        if stream.unsent_bytes <= self._connection.limits.max_unsent_bytes // 2:
            stream.writable.set()
