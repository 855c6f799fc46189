"""One HTTP/2 connection on a gevent socket, shared by server and client.

One greenlet reads and one writes; h2 holds the protocol's state between them and never blocks.

Bounds (``Limits``), each with its answer: a message over ``max_message_bytes`` ends its stream with
RESOURCE_EXHAUSTED; a stream's unread bytes end at its flow-control window; the unread bytes of all streams of
a connection end at ``max_unread_bytes``, past which the connection window is not opened again until something
is read; a stream's unsent bytes end at ``max_unsent_bytes``, past which ``send`` waits and ``try_send``
returns False; streams past ``max_streams`` are refused with REFUSED_STREAM; resets or pings in a flood end
the connection with ENHANCE_YOUR_CALM.
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

DEFAULT_WINDOW_BYTES = 65_535  # of a connection, before any WINDOW_UPDATE
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
    """The common half of both ends. Subclasses say what headers and resets mean.

    Attributes:
        streams: the open streams by id.
        close_error: why the connection is closed, or None while it is open.
        peer_last_stream_id: from the peer's GOAWAY: it processes no stream above; None before one came.
        draining: the local side opens, or accepts, no more streams.
        last_received_s: ``time.monotonic()`` of the last bytes from the peer.
        settings_received: set once the peer's SETTINGS have come, or the connection is closed.
    """

    def __init__(self, sock: Any, client_side: bool, limits: Limits) -> None:
        """Take over a connected socket; nothing is sent before ``start``."""
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
        # The peer learns the bound by SETTINGS; what it opened before reading them is refused by stream
        # (REFUSED_STREAM proves that it never ran), not by an error that ends the connection.
        self.h2.local_settings[h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS] = UNLIMITED_STREAMS
        self.h2.local_settings.acknowledge()
        self._writer.wake()
        self._greenlets = [gevent.spawn(self._read_loop), gevent.spawn(self._write_loop)]
        if limits.keepalive_interval_s > 0:
            self._greenlets.append(gevent.spawn(run_keepalive, self))

    # For streams

    def schedule_write(self, stream: Stream) -> None:
        """A stream has something to send."""
        self._writer.mark_ready(stream.id)
        self._writer.wake()

    def message_consumed(self, stream: Stream, received: ReceivedMessage) -> None:
        """A message has left a stream's receive queue: its bytes open the window again."""
        self._windows.message_consumed(stream, received, is_open=self.close_error is None)

    def reset(self, stream: Stream, error_code: int, error: RpcError) -> None:
        """Cancel a stream: the peer sees RST_STREAM, the stream's user sees ``error``."""
        if self.close_error is None and not stream.is_closed():
            self.send_reset(stream.id, error_code)
            self._writer.wake()
        stream.close_both_sides()
        stream.fail(error)
        self.remove_stream(stream)

    def send_reset(self, stream_id: int, error_code: int) -> None:
        """Queue RST_STREAM, unless the stream is closed already; the writer is not woken."""
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(stream_id, error_code)

    def remove_stream(self, stream: Stream) -> None:
        """Forget a stream that is over."""
        if self.streams.pop(stream.id, None) is not None:
            self._writer.remove(stream.id)
            self.on_stream_closed(stream)

    # For the connection as a whole

    def send_goaway(self, last_stream_id: int, error_code: int, debug_text: str = "") -> None:
        """Send GOAWAY without closing; h2's own would end the connection."""
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
        """Close the socket; every open stream ends with ``error``. ``abort``: and nothing more is sent."""
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

    # Loops

    def _read_loop(self) -> None:
        error = RpcError(Code.UNAVAILABLE, "connection closed by the peer")
        try:
            while data := self.sock.recv(READ_BYTES):
                self.last_received_s = time.monotonic()
                self._receive(data)
        except h2.exceptions.ProtocolError as problem:
            error = RpcError(Code.UNAVAILABLE, f"HTTP/2 broken by the peer: {problem}")
            self._writer.flush_last()
        except (OSError, EOFError) as problem:
            error = RpcError(Code.UNAVAILABLE, f"connection lost: {problem}")
        self.close(error)

    def _receive(self, data: bytes) -> None:
        may_be_preface = not self.h2.config.client_side and not self.settings_received.is_set()
        data = self._goaway_filter.feed(data, may_be_preface=may_be_preface)
        if data:
            for event in self.h2.receive_data(data):
                self._handle(event)
        # The writer is woken only where there is something to write: with many links most of what
        # comes wants no answer, and each needless turn costs as much as reading it.
        answer = self.h2.data_to_send()
        if answer:
            self._writer.queue_frames(answer)
        if answer or self._writer.has_ready_streams:
            self._writer.wake()

    def _write_loop(self) -> None:
        try:
            self._writer.run()
        except (OSError, EOFError) as problem:
            self.close(RpcError(Code.UNAVAILABLE, f"connection lost: {problem}"))
        except h2.exceptions.ProtocolError as problem:
            self.close(RpcError(Code.INTERNAL, f"HTTP/2: {problem}"))

    # Received frames

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
        """Frames that carry nothing of a call."""
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
        """Danger: resets and pings are cheap to send and cost us work (rapid reset)."""
        if self._flood_guard.is_flood(kind):
            code = h2.errors.ErrorCodes.ENHANCE_YOUR_CALM
            self.send_goaway(self.h2.highest_inbound_stream_id, code, kind)
            raise h2.exceptions.ProtocolError(f"too many frames of kind {kind}")

    # What the two ends do differently

    @abstractmethod
    def on_headers(self, stream_id: int, headers: Headers) -> None:
        """The peer has sent a stream's first header block."""

    @abstractmethod
    def on_remote_reset(self, stream: Stream, error_code: int) -> None:
        """The peer has cancelled a stream."""

    @abstractmethod
    def on_invalid_message(self, stream: Stream, error: RpcError) -> None:
        """The peer has sent a message that is malformed or too large."""

    def on_remote_closed(self, stream: Stream) -> None:  # noqa: B027 - an optional hook, empty on purpose
        """The peer has sent its last message of a stream."""

    def on_stream_closed(self, stream: Stream) -> None:  # noqa: B027 - an optional hook, empty on purpose
        """Called once when a stream is over on both sides."""

    def on_closed(self) -> None:  # noqa: B027 - an optional hook, empty on purpose
        """Called once when the connection is closed."""
