"""Server side of a call: the method and the object that its handler uses to receive and send."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

import h2.errors

from .framing import (
    CONTENT_TYPE,
    Headers,
    Metadata,
    decode_metadata,
    encode_metadata,
    encode_status_message,
)
from .status import Code, RpcError
from .stream import Stream

MAX_STATUS_MESSAGE_CHARACTERS = 1024
RESPONSE_HEADERS: Headers = [(":status", "200"), ("content-type", CONTENT_TYPE)]

MethodKind = Literal["unary", "client_stream", "server_stream", "bidi"]


@dataclass(frozen=True, slots=True)
class Method:
    """A method of a service.

    ``handler`` takes ``(request, call)`` if the client sends one message, otherwise ``(call)``. It returns
    the response if the server sends one message, otherwise it sends messages through the call. ``decode``
    parses a message from bytes and ``encode`` serializes one.
    """

    kind: MethodKind
    handler: Callable[..., Any]
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes] = lambda message: message.SerializeToString()

    @property
    def has_single_request(self) -> bool:
        """Whether the client sends exactly one message."""
        return self.kind in ("unary", "server_stream")

    @property
    def has_single_response(self) -> bool:
        """Whether the server sends exactly one message."""
        return self.kind in ("unary", "client_stream")


class ServerCall:
    """A call on the server, as passed to its handler.

    Attributes:
        peer: the client's address.
        metadata: custom metadata that the client has sent.
        deadline_s: the client's deadline in ``time.monotonic()`` seconds, or None.
        trailing_metadata: metadata that the handler sets and that is sent with the status.
        finished: whether the status is final, after which no more messages are sent.
    """

    def __init__(self, stream: Stream, path: str, method: Method, headers: Headers) -> None:
        """Take a stream, its method and the request headers."""
        self.stream = stream
        self.path = path
        self.metadata: Metadata = decode_metadata(headers)
        self.peer: str = stream.connection.peer  # type: ignore[attr-defined]
        self.deadline_s: float | None = None
        self.trailing_metadata: Metadata = ()
        self.finished = False
        self._method = method
        self._headers_sent = False
        self._initial_metadata: Metadata = ()

    def metadata_value(self, key: str) -> str | None:
        """Return the first text value of a metadata key, or None."""
        return next((value for name, value in self.metadata if name == key and isinstance(value, str)), None)

    def remaining_s(self) -> float | None:
        """Return the seconds until the client's deadline, or None without a deadline."""
        return None if self.deadline_s is None else self.deadline_s - time.monotonic()

    def send_initial_metadata(self, metadata: Metadata) -> None:
        """Send the response headers with metadata, once, before the first message. Raises RpcError."""
        if self._headers_sent:
            raise RpcError(Code.INTERNAL, "the response headers have already been sent")
        self._initial_metadata = metadata
        self._send_headers()

    def recv(self, timeout_s: float | None = None) -> Any:
        """Return the client's next message, or None after its last. Raises RpcError."""
        raw = self.stream.recv(timeout_s)
        return None if raw is None else self.decode(raw)

    def decode(self, raw: bytes) -> Any:
        """Parse a message. Raises RpcError with INVALID_ARGUMENT if it is malformed."""
        try:
            return self._method.decode(raw)
        except Exception as problem:  # noqa: BLE001 - a decoder may raise any exception
            kind = type(problem).__name__
            raise RpcError(Code.INVALID_ARGUMENT, f"the request cannot be read: {kind}") from None

    def send(self, message: Any, timeout_s: float | None = None) -> None:
        """Queue a message, waiting for buffer space. Raises RpcError."""
        self._send_headers()
        self.stream.send(self._method.encode(message), timeout_s)

    def try_send(self, message: Any) -> bool:
        """Queue a message without waiting. Returns False if the limit of unsent bytes is reached."""
        self._send_headers()
        return self.stream.try_send(self._method.encode(message))

    def _send_headers(self) -> None:
        if self._headers_sent or self.stream.error is not None:
            return
        self._headers_sent = True
        connection = self.stream.connection
        connection.h2.send_headers(self.stream.id, RESPONSE_HEADERS + encode_metadata(self._initial_metadata))
        connection.schedule_write(self.stream)

    def finish(self, code: Code, message: str = "", *, drop: bool = False) -> None:
        """Send the status; only the first call has an effect. ``drop`` discards queued messages."""
        if self.finished:
            return
        self.finished = True
        stream = self.stream
        connection = stream.connection
        if stream.error is not None or connection.close_error is not None or stream.local_closed:
            return
        trailers = self._trailers(code, message)
        if drop and stream.send_offset:  # trailers cannot follow a partly sent message, so reset
            connection.reset(stream, h2.errors.ErrorCodes.CANCEL, RpcError(code, message))
            return
        if drop:
            stream.drop_unsent()
        stream.send_end = lambda: self._send_trailers(trailers)
        connection.schedule_write(stream)

    def _trailers(self, code: Code, message: str) -> Headers:
        trailers = [("grpc-status", str(int(code)))]
        if message:
            text = encode_status_message(message[:MAX_STATUS_MESSAGE_CHARACTERS])
            trailers.append(("grpc-message", text))
        return trailers + encode_metadata(self.trailing_metadata)

    def _send_trailers(self, trailers: Headers) -> None:
        stream = self.stream
        protocol = stream.connection.h2
        headers = [] if self._headers_sent else RESPONSE_HEADERS
        protocol.send_headers(stream.id, headers + trailers, end_stream=True)
        if not stream.remote_closed:  # ask the client to stop sending
            protocol.reset_stream(stream.id, h2.errors.ErrorCodes.NO_ERROR)
            stream.remote_closed = True
