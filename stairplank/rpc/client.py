"""Client side of gRPC: a channel to one address and the calls on it."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import h2.errors

from . import address
from .client_connection import ClientConnection
from .framing import Metadata, decode_metadata
from .limits import Limits
from .status import Code, RpcError
from .stream import Stream

MIN_HANDSHAKE_WAIT_S = 0.001


class Call:
    """A call. ``recv`` returns messages, then None; a status other than OK is raised as RpcError."""

    def __init__(self, connection: ClientConnection, stream: Stream, encode: Any, decode: Any) -> None:
        """Take ``encode``, which serializes a message, and ``decode``, which parses one."""
        self._connection = connection
        self.stream = stream
        self._encode = encode
        self._decode = decode
        self.deadline_timer: gevent.Greenlet[..., None] | None = None

    def send(self, message: Any, timeout_s: float | None = None) -> None:
        """Queue a message, waiting for buffer space. Raises RpcError."""
        self.stream.send(self._encode(message), timeout_s)

    def try_send(self, message: Any) -> bool:
        """Queue a message without waiting. Returns False if the limit of unsent bytes is reached."""
        return self.stream.try_send(self._encode(message))

    def close_send(self) -> None:
        """Close the local side of the stream once the queued messages are sent."""
        stream = self.stream
        if stream.error is None and stream.send_end is None and not stream.local_closed:
            stream.send_end = lambda: self._connection.h2.end_stream(stream.id)
            self._connection.schedule_write(stream)

    def recv(self, timeout_s: float | None = None) -> Any:
        """Return the next message, or None after the last one.

        Raises RpcError if the call fails, and after ``timeout_s``, which leaves the call open.
        """
        raw = self.stream.recv(timeout_s)
        if raw is None:
            error = self._connection.status_of(self.stream)
            if error is not None:
                raise error
            return None
        return self._decode(raw)

    def result(self) -> Any:
        """Return the single response of a call that has exactly one. Raises RpcError."""
        message = self.recv()
        if message is None:
            raise RpcError(Code.INTERNAL, "status OK without a response message")
        if self.recv() is not None:
            raise RpcError(Code.INTERNAL, "more than one response message")
        return message

    def cancel(self) -> None:
        """Cancel the call; a greenlet that waits in ``send`` or ``recv`` gets CANCELLED."""
        self._reset(RpcError(Code.CANCELLED, "cancelled by the caller"))

    def expire(self) -> None:
        """End the call with DEADLINE_EXCEEDED, unless it has ended already."""
        if not self.stream.remote_closed and self.stream.error is None:
            self._reset(RpcError(Code.DEADLINE_EXCEEDED, "deadline exceeded"))

    def _reset(self, error: RpcError) -> None:
        self._connection.reset(self.stream, h2.errors.ErrorCodes.CANCEL, error)

    def unsent_count(self) -> int:
        """Return how many queued messages cannot have reached the peer because no byte was sent."""
        return self.stream.messages_queued - self.stream.messages_started

    @property
    def initial_metadata(self) -> Metadata:
        """The custom metadata in the response headers."""
        return decode_metadata(self.stream.initial_headers or ())

    @property
    def trailing_metadata(self) -> Metadata:
        """The custom metadata in the trailers."""
        return decode_metadata(self.stream.trailers or ())


class Channel:
    """A connection to one address; after it is lost, the next call or ``connect`` dials again."""

    def __init__(self, target: str, limits: Limits | None = None, dial_timeout_s: float = 2.0) -> None:
        """Create a channel that dials on first use; ``dial_timeout_s`` includes the wait for SETTINGS."""
        self.target = target
        self.limits = limits or Limits()
        self.dial_timeout_s = dial_timeout_s
        self.connection: ClientConnection | None = None

    def connect(self) -> ClientConnection:
        """Return the open connection, dialling it if there is none. Raises RpcError with ``never_ran``."""
        if self.connection is not None and self.connection.close_error is None:
            return self.connection
        deadline_s = time.monotonic() + self.dial_timeout_s
        try:
            sock = address.dial(self.target, self.dial_timeout_s)
        except OSError as problem:
            raise self._unavailable(str(problem)) from None
        authority = "localhost" if self.target.startswith(address.UNIX_PREFIX) else self.target
        connection = ClientConnection(sock, self.limits, authority)
        connection.start()
        wait_s = max(MIN_HANDSHAKE_WAIT_S, deadline_s - time.monotonic())
        if not connection.settings_received.wait(wait_s):
            connection.close(RpcError(Code.UNAVAILABLE, "no HTTP/2 SETTINGS received"))
            raise self._unavailable("no HTTP/2 SETTINGS received")
        if connection.close_error is not None:
            raise self._unavailable(connection.close_error.message)
        self.connection = connection
        return connection

    def _unavailable(self, problem: str) -> RpcError:
        return RpcError(Code.UNAVAILABLE, f"{self.target}: {problem}", never_ran=True)

    def call(
        self,
        path: str,
        encode: Callable[[Any], bytes],
        decode: Callable[[bytes], Any],
        *,
        metadata: Metadata = (),
        timeout_s: float | None = None,
    ) -> Call:
        """Open a unary or streaming call; ``timeout_s`` is its deadline, which is also sent to the server."""
        connection = self.connect()
        stream = connection.open(path, metadata, timeout_s)
        call = Call(connection, stream, encode, decode)
        if timeout_s is not None:
            call.deadline_timer = gevent.spawn_later(timeout_s, call.expire)
        return call

    def unary(
        self,
        path: str,
        request: Any,
        decode: Callable[[bytes], Any],
        *,
        metadata: Metadata = (),
        timeout_s: float | None = None,
    ) -> Any:
        """Make a unary call. Returns its response; raises RpcError."""
        call = self.call(
            path,
            lambda message: message.SerializeToString(),
            decode,
            metadata=metadata,
            timeout_s=timeout_s,
        )
        try:
            call.send(request)
            call.close_send()
            return call.result()
        finally:
            if call.deadline_timer is not None:
                call.deadline_timer.kill(block=False)

    def close(self, abort: bool = False) -> None:
        """Close the connection; ``abort`` discards data that the kernel has not sent yet."""
        if self.connection is not None:
            self.connection.close(abort=abort)
