"""HTTP/2 connection on a gevent socket: the common base of the server side and the client side.

One greenlet reads and one writes; h2 keeps the protocol state that they share and never blocks.

The following limits (``Limits``) are enforced: a message over ``max_message_bytes`` ends its stream with
RESOURCE_EXHAUSTED. The unread bytes of a stream are limited by its flow-control window. If the unread bytes
of all streams exceed ``max_unread_bytes``, the connection window is not reopened until messages are read. If
the unsent bytes of a stream would exceed ``max_unsent_bytes``, ``send`` waits and ``try_send`` returns False.
Streams beyond ``max_streams`` are refused with REFUSED_STREAM. A flood of RST_STREAM or PING frames ends the
connection with ENHANCE_YOUR_CALM.
"""

from __future__ import annotations

import contextlib
import time
from abc import ABC, abstractmethod
from typing import Any

import gevent
import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from gevent.event import Event
from hyperframe.frame import GoAwayFrame

from . import address
from .flood_guard import ControlFrame, FloodGuard
from .flow_control import ReceiveWindows
from .framing import Headers
from .goaway import GoAway, GoAwayFilter
from .keepalive import run_keepalive
from .limits import Limits
from .status import Code, RpcError
from .stream import ReceivedMessage, Stream
from .writer import ConnectionWriter

DEFAULT_WINDOW_BYTES = 65_535  # initial connection window that RFC 9113 defines
READ_BYTES = 65_536
UNLIMITED_STREAMS = 2**31 - 1


def _text_headers(headers: Any) -> Headers:
    return [(str(name), str(value)) for name, value in headers or ()]


def _new_protocol(limits: Limits, *, client_side: bool) -> h2.connection.H2Connection:
    config = h2.config.H2Configuration(client_side=client_side, header_encoding="latin-1")
    protocol = h2.connection.H2Connection(config)
    codes = h2.settings.SettingCodes
    protocol.local_settings = h2.settings.Settings(
        client=client_side,
        initial_values={
            codes.ENABLE_PUSH: 0,
            codes.MAX_CONCURRENT_STREAMS: limits.max_streams,
            codes.INITIAL_WINDOW_SIZE: limits.stream_window_bytes,
            codes.MAX_HEADER_LIST_SIZE: limits.max_header_list_bytes,
        },
    )
    protocol.decoder.max_header_list_size = limits.max_header_list_bytes
    return protocol


class Connection(ABC):
    """Base class of client and server connections, which handle headers, resets and invalid messages.

    Attributes:
        streams: the open streams, by id.
        close_error: why the connection is closed, or None while it is open.
        peer_last_stream_id: highest stream id that the peer processes, from its GOAWAY; None before a GOAWAY.
        draining: whether the local side accepts no new streams.
        last_received_s: ``time.monotonic()`` when data was last received.
        settings_received: set once the peer's SETTINGS are received or the connection is closed.
    """

    def __init__(self, sock: Any, client_side: bool, limits: Limits) -> None:
        """Take ownership of a connected socket; nothing is sent before ``start``."""
        self.sock = sock
        self.limits = limits
        self.h2 = _new_protocol(limits, client_side=client_side)
        self.streams: dict[int, Stream] = {}
        self.close_error: RpcError | None = None
        self.peer_last_stream_id: int | None = None
        self.draining = False
        self.last_received_s = time.monotonic()
        self.settings_received = Event()
        self._writer = ConnectionWriter(self)
        self._windows = ReceiveWindows(self.h2, limits, self._writer.wake)
        self._goaway_filter = GoAwayFilter(self._goaway_received)
        self._flood_guard = FloodGuard(limits.max_control_frames)
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Send the preface and SETTINGS, and start reading, writing and keepalive."""
        limits = self.limits
        if limits.keepalive_interval_s > 0:
            address.limit_kernel_buffering(
                self.sock, limits.keepalive_interval_s + limits.keepalive_timeout_s
            )
        self.h2.initiate_connection()
        if limits.connection_window_bytes > DEFAULT_WINDOW_BYTES:
            self.h2.increment_flow_control_window(limits.connection_window_bytes - DEFAULT_WINDOW_BYTES)
        # SETTINGS tell the peer the limit. h2 must not enforce it, as that would end the connection when the
        # peer has opened more streams before it read the SETTINGS: such streams are refused one by one
        # instead, with REFUSED_STREAM, which proves that their calls never ran.
        self.h2.local_settings[h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS] = UNLIMITED_STREAMS
        self.h2.local_settings.acknowledge()
        self._writer.wake()
        self._greenlets = [gevent.spawn(self._read_loop), gevent.spawn(self._write_loop)]
        if limits.keepalive_interval_s > 0:
            self._greenlets.append(gevent.spawn(run_keepalive, self))

    # Methods that the streams use

    def schedule_write(self, stream: Stream) -> None:
        """Mark a stream as ready to send and wake the writer."""
        self._writer.mark_ready(stream.id)
        self._writer.wake()

    def message_consumed(self, stream: Stream, received: ReceivedMessage) -> None:
        """Credit the flow-control windows for a message that was read from a stream."""
        self._windows.message_consumed(stream, received, is_open=self.close_error is None)

    def reset(self, stream: Stream, error_code: int, error: RpcError) -> None:
        """Cancel a stream: send RST_STREAM to the peer and fail the stream locally with ``error``."""
        if self.close_error is None and not stream.is_closed():
            self.send_reset(stream.id, error_code)
            self._writer.wake()
        stream.close_both_sides()
        stream.fail(error)
        self.remove_stream(stream)

    def send_reset(self, stream_id: int, error_code: int) -> None:
        """Queue RST_STREAM without waking the writer, unless the stream is closed already."""
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(stream_id, error_code)

    def remove_stream(self, stream: Stream) -> None:
        """Remove a closed stream from the connection."""
        if self.streams.pop(stream.id, None) is not None:
            self._writer.remove(stream.id)
            self.on_stream_closed(stream)

    # Methods that act on the whole connection

    def send_goaway(self, last_stream_id: int, error_code: int, debug_text: str = "") -> None:
        """Send GOAWAY and keep the connection open, which h2's own method would close."""
        goaway = GoAwayFrame(
            0,
            last_stream_id=last_stream_id,
            error_code=int(error_code),
            additional_data=debug_text.encode(),
        )
        self._writer.queue_frames(goaway.serialize())
        self._writer.wake()

    def send_ping(self, data: bytes) -> None:
        """Send PING with eight bytes of data."""
        self.h2.ping(data)
        self._writer.wake()

    def close(self, error: RpcError | None = None, abort: bool = False) -> None:
        """Close the socket and fail every open stream with ``error``; ``abort`` discards unsent data."""
        if self.close_error is not None:
            return
        self.close_error = error or RpcError(Code.CANCELLED, "connection closed")
        self._fail_streams(list(self.streams.values()), self.close_error)
        with contextlib.suppress(OSError):
            if abort:
                address.abort(self.sock)
            else:
                self.sock.close()
        self.settings_received.set()
        self.on_closed()
        current = gevent.getcurrent()
        for greenlet in self._greenlets:
            if greenlet is not current:
                greenlet.kill(block=False)

    def _fail_streams(self, streams: list[Stream], error: RpcError) -> None:
        for stream in streams:
            stream.close_both_sides()
            stream.fail(error)
            self.remove_stream(stream)

    # Read and write loops

    def _read_loop(self) -> None:
        error = RpcError(Code.UNAVAILABLE, "connection closed by the peer")
        try:
            while data := self.sock.recv(READ_BYTES):
                self.last_received_s = time.monotonic()
                self._receive(data)
        except h2.exceptions.ProtocolError as problem:
            error = RpcError(Code.UNAVAILABLE, f"HTTP/2 protocol error: {problem}")
            self._writer.flush_final()
        except (OSError, EOFError) as problem:
            error = RpcError(Code.UNAVAILABLE, f"connection lost: {problem}")
        self.close(error)

    def _receive(self, data: bytes) -> None:
        may_be_preface = not self.h2.config.client_side and not self.settings_received.is_set()
        data = self._goaway_filter.feed(data, may_be_preface=may_be_preface)
        if data:
            for event in self.h2.receive_data(data):
                self._handle(event)
        # The writer is woken only if there is data to write: with many connections, most received data
        # needs no reply, and waking the writer for nothing costs as much as reading the data.
        reply = self.h2.data_to_send()
        if reply:
            self._writer.queue_frames(reply)
        if reply or self._writer.has_ready_streams:
            self._writer.wake()

    def _write_loop(self) -> None:
        try:
            self._writer.run()
        except (OSError, EOFError) as problem:
            self.close(RpcError(Code.UNAVAILABLE, f"connection lost: {problem}"))
        except h2.exceptions.ProtocolError as problem:
            self.close(RpcError(Code.INTERNAL, f"HTTP/2 protocol error while writing: {problem}"))

    # Handlers of received frames

    def _handle(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                self._data_received(event)
            case h2.events.RequestReceived() | h2.events.ResponseReceived():
                self.on_headers(event.stream_id, _text_headers(event.headers))
            case h2.events.TrailersReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.trailers = _text_headers(event.headers)
            case h2.events.StreamEnded():
                self._end_received(event.stream_id)
            case h2.events.StreamReset():
                self._reset_received(event)
            case _:
                self._handle_control(event)

    def _handle_control(self, event: h2.events.Event) -> None:
        """Handle the frames that do not belong to a call: WINDOW_UPDATE, SETTINGS and PING."""
        match event:
            case h2.events.WindowUpdated():
                if event.stream_id:
                    self._writer.mark_ready(event.stream_id)
                else:
                    self._writer.mark_queued_ready()
            case h2.events.RemoteSettingsChanged():
                self.settings_received.set()
                self._writer.mark_queued_ready()
            case h2.events.PingReceived():
                self._check_flood(ControlFrame.PING)

    def _data_received(self, event: h2.events.DataReceived) -> None:
        frame_bytes = event.flow_controlled_length or 0
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.error is not None:
            self._windows.credit_connection(frame_bytes)
            return
        partial_bytes = stream.decoder.partial_bytes
        try:
            messages = stream.decoder.feed(event.data or b"")
        except RpcError as error:
            self._windows.credit_connection(frame_bytes)
            self.on_invalid_message(stream, error)
            return
        self._windows.messages_received(stream, messages, frame_bytes, partial_bytes)
        if messages:
            stream.readable.set()

    def _end_received(self, stream_id: int) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        stream.remote_closed = True
        self.on_remote_closed(stream)
        stream.readable.set()
        if stream.is_closed():
            self.remove_stream(stream)

    def _reset_received(self, event: h2.events.StreamReset) -> None:
        if event.remote_reset:
            self._check_flood(ControlFrame.RESET)
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.close_both_sides()
            self.on_remote_reset(stream, int(event.error_code))
            self.remove_stream(stream)

    def _goaway_received(self, goaway: GoAway) -> None:
        self.peer_last_stream_id = goaway.last_stream_id
        if self.h2.config.client_side:
            unprocessed = [s for s in self.streams.values() if s.id > goaway.last_stream_id]
            for stream in unprocessed:
                self._fail_streams([stream], RpcError(Code.UNAVAILABLE, str(goaway), never_ran=True))

    def _check_flood(self, kind: ControlFrame) -> None:
        """End the connection on a flood of RST_STREAM or PING frames (rapid reset).

        These frames are cheap to send but costly to process, so a peer could otherwise overload this process.
        """
        if self._flood_guard.is_flood(kind):
            code = h2.errors.ErrorCodes.ENHANCE_YOUR_CALM
            self.send_goaway(self.h2.highest_inbound_stream_id, code, kind)
            raise h2.exceptions.ProtocolError(f"too many frames of kind {kind}")

    # Hooks that the client and server connections implement

    @abstractmethod
    def on_headers(self, stream_id: int, headers: Headers) -> None:
        """Handle the first header block of a stream."""

    @abstractmethod
    def on_remote_reset(self, stream: Stream, error_code: int) -> None:
        """Handle an RST_STREAM frame from the peer."""

    @abstractmethod
    def on_invalid_message(self, stream: Stream, error: RpcError) -> None:
        """Handle a received message that is malformed or too large."""

    def on_remote_closed(self, stream: Stream) -> None:  # noqa: B027 - optional hook, empty on purpose
        """Handle the end of the peer's side of a stream."""

    def on_stream_closed(self, stream: Stream) -> None:  # noqa: B027 - optional hook, empty on purpose
        """Handle the removal of a stream; called once for each stream."""

    def on_closed(self) -> None:  # noqa: B027 - optional hook, empty on purpose
        """Handle the close of the connection; called once."""
