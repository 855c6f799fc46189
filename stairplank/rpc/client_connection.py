"""Client side of a connection: opens streams and reads their status."""

from __future__ import annotations

from typing import Any

import h2.errors

from .connection import Connection
from .framing import (
    CONTENT_TYPE,
    IDENTITY,
    Headers,
    Metadata,
    decode_metadata,
    decode_status_message,
    encode_metadata,
    encode_timeout,
)
from .limits import Limits
from .status import Code, RpcError, error_from_http_status, error_from_reset
from .stream import Stream

MAX_STREAMS = 1 << 30  # limit of open streams if the peer's SETTINGS set none
USER_AGENT = "grpc-python-stairplank/1"


class ClientConnection(Connection):
    """The client side of a connection."""

    def __init__(self, sock: Any, limits: Limits, authority: str) -> None:
        """Take a connected socket and the ``:authority`` header that each call sends."""
        super().__init__(sock, True, limits)
        self.authority = authority

    def open(self, path: str, metadata: Metadata, timeout_s: float | None) -> Stream:
        """Open a stream and queue its request headers. Raises RpcError with ``never_ran``."""
        self._check_may_open()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", self.authority),
            ("te", "trailers"),
            ("content-type", CONTENT_TYPE),
            ("user-agent", USER_AGENT),
        ]
        if timeout_s is not None:
            headers.append(("grpc-timeout", encode_timeout(timeout_s)))
        headers += encode_metadata(metadata)
        stream = Stream(self, self.h2.get_next_available_stream_id())
        self.h2.send_headers(stream.id, headers)
        self.streams[stream.id] = stream
        self.schedule_write(stream)
        return stream

    def _check_may_open(self) -> None:
        if self.close_error is not None:
            raise RpcError(Code.UNAVAILABLE, self.close_error.message, never_ran=True)
        if self.peer_last_stream_id is not None:
            raise RpcError(Code.UNAVAILABLE, "the peer sent GOAWAY and accepts no new calls", never_ran=True)
        if len(self.streams) >= min(self.h2.remote_settings.max_concurrent_streams, MAX_STREAMS):
            raise RpcError(
                Code.RESOURCE_EXHAUSTED, "the limit of concurrent streams is reached", never_ran=True
            )

    def status_of(self, stream: Stream) -> RpcError | None:
        """Return the error that an ended stream's status stands for, or None for OK."""
        initial_headers = stream.initial_headers or []
        status_headers = initial_headers if stream.trailers is None else stream.trailers
        fields = dict(status_headers)
        status = fields.get("grpc-status")
        if status is None:
            http_status = dict(initial_headers).get(":status", "0")
            return error_from_http_status(int(http_status) if http_status.isdigit() else 0)
        try:
            code = Code(int(status))
        except ValueError:
            code = Code.UNKNOWN
        if code is Code.OK:
            return None
        message = decode_status_message(fields.get("grpc-message", ""))
        return RpcError(code, message, trailers=decode_metadata(status_headers))

    def on_headers(self, stream_id: int, headers: Headers) -> None:
        """Store the response headers; reject a response that is not gRPC or is compressed."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        stream.initial_headers = headers
        fields = dict(headers)
        if fields.get(":status") != "200":
            return
        encoding = fields.get("grpc-encoding", IDENTITY)
        if not fields.get("content-type", "").startswith(CONTENT_TYPE):
            stream.trailers = [("grpc-status", "2"), ("grpc-message", "the response is not gRPC")]
        elif encoding != IDENTITY:
            error = RpcError(Code.INTERNAL, f"response encoding {encoding[:40]} is not supported")
            self.reset(stream, h2.errors.ErrorCodes.CANCEL, error)

    def on_remote_closed(self, stream: Stream) -> None:
        """Handle the end of the response: drop unsent messages, as the server no longer needs them."""
        if not stream.local_closed:
            stream.drop_unsent()
            self.send_reset(stream.id, h2.errors.ErrorCodes.NO_ERROR)
            stream.local_closed = True
            stream.writable.set()
        if stream.on_error is not None and stream.error is None:
            stream.on_error(self.status_of(stream) or RpcError(Code.OK))

    def on_remote_reset(self, stream: Stream, error_code: int) -> None:
        """Fail the stream, unless the reset is NO_ERROR after the trailers of a complete response."""
        if stream.trailers is None or error_code != h2.errors.ErrorCodes.NO_ERROR:
            stream.fail(error_from_reset(error_code))

    def on_invalid_message(self, stream: Stream, error: RpcError) -> None:
        """Cancel the call, as the server has sent an invalid message."""
        # UNIMPLEMENTED stands for a compressed message, which is a server error as the client accepts none.
        if error.code is Code.UNIMPLEMENTED:
            error = RpcError(Code.INTERNAL, error.message)
        self.reset(stream, h2.errors.ErrorCodes.CANCEL, error)
