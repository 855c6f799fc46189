"""A method of a service, and one call of it as its handler sees it."""

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
    """One method of a service.

    ``handler`` takes ``(request, call)`` where the client sends one message, else ``(call)``; it returns the
    response where the server sends one, else sends through the call. ``decode`` and ``encode`` turn bytes
    into messages and back.
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
    """One call as its handler sees it.

    Attributes:
        peer: the client's address.
        metadata: from the client.
        deadline_s: the client's deadline as ``time.monotonic()`` seconds, or None.
        trailing_metadata: set by the handler, sent with the status.
        finished: the status is decided; nothing more is sent.
    """

    def __init__(self, stream: Stream, path: str, method: Method, headers: Headers) -> None:
        """``headers`` are those of the request."""
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
        """The first text of a metadata key, or None."""
        return next((value for name, value in self.metadata if name == key and isinstance(value, str)), None)

    def remaining_s(self) -> float | None:
        """Seconds to the client's deadline, or None without one."""
        return None if self.deadline_s is None else self.deadline_s - time.monotonic()

    def send_initial_metadata(self, metadata: Metadata) -> None:
        """Send response headers now. Only once, before the first message."""
        if self._headers_sent:
            raise RpcError(Code.INTERNAL, "response headers have left already")
        self._initial_metadata = metadata
        self._send_headers()

    def recv(self, timeout_s: float | None = None) -> Any:
        """The client's next message, or None after its last. Raises RpcError."""
        raw = self.stream.recv(timeout_s)
        return None if raw is None else self.decode(raw)

    def decode(self, raw: bytes) -> Any:
        """Turn bytes into a message. Raises RpcError with INVALID_ARGUMENT."""
        try:
            return self._method.decode(raw)
        except Exception as problem:  # noqa: BLE001 - decoders are given by the services: any error may come
            kind = type(problem).__name__
            raise RpcError(Code.INVALID_ARGUMENT, f"the request cannot be read: {kind}") from None

    def send(self, message: Any, timeout_s: float | None = None) -> None:
        """Queue a message, waiting for buffer space. Raises RpcError."""
        self._send_headers()
        self.stream.send(self._method.encode(message), timeout_s)

    def try_send(self, message: Any) -> bool:
        """Send without waiting; False where the client does not read and the bound is reached."""
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
        """Send the status; the first call counts. ``drop``: at once, not after all that is queued."""
        if self.finished:
            return
        self.finished = True
        stream = self.stream
        connection = stream.connection
        if stream.error is not None or connection.close_error is not None or stream.local_closed:
            return
        trailers = self._trailers(code, message)
        if drop and stream.send_offset:  # within a message: trailers cannot follow half of it
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
        if not stream.remote_closed:  # nothing more is wanted from the client
            protocol.reset_stream(stream.id, h2.errors.ErrorCodes.NO_ERROR)
            stream.remote_closed = True
