"""Server side of a connection: validates requests, runs a handler for each call, enforces deadlines."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
import h2.errors
import h2.exceptions
import structlog

from .connection import Connection
from .errors import TimeoutFormatError
from .framing import CONTENT_TYPE, IDENTITY, Headers, decode_timeout
from .limits import Limits
from .server_call import Method, ServerCall
from .status import Code, RpcError
from .stream import Stream

if TYPE_CHECKING:
    from .server import Server

HTTP_METHOD_NOT_ALLOWED = 405
HTTP_UNSUPPORTED_MEDIA_TYPE = 415

log = structlog.get_logger("rpc")


@dataclass(frozen=True, slots=True)
class _RunningCall:
    call: ServerCall
    greenlet: gevent.Greenlet[..., None]


def _is_grpc(content_type: str) -> bool:
    return content_type == CONTENT_TYPE or content_type.startswith((f"{CONTENT_TYPE}+", f"{CONTENT_TYPE};"))


def _http_error(fields: dict[str, str]) -> int | None:
    """Return the HTTP error status for a request that is not gRPC, or None for a gRPC request."""
    if not _is_grpc(fields.get("content-type", "")):
        return HTTP_UNSUPPORTED_MEDIA_TYPE
    if fields.get(":method") != "POST":
        return HTTP_METHOD_NOT_ALLOWED
    return None


def _unimplemented_handler(call: ServerCall) -> None:  # noqa: ARG001 - every handler takes the call
    raise RpcError(Code.UNIMPLEMENTED)


_UNKNOWN_METHOD = Method("bidi", _unimplemented_handler, lambda raw: raw, lambda raw: raw)


class ServerConnection(Connection):
    """The server side of a connection."""

    def __init__(self, sock: Any, peer: str, limits: Limits, server: Server) -> None:
        """Take an accepted socket and the client's address as text."""
        super().__init__(sock, False, limits)
        self.peer = peer
        self.server = server
        self.last_accepted_stream_id = 0
        self._running: dict[int, _RunningCall] = {}

    @property
    def open_calls(self) -> tuple[ServerCall, ...]:
        """The calls whose handlers were started and whose streams are open."""
        return tuple(running.call for running in self._running.values())

    def drain(self) -> None:
        """Send GOAWAY and accept no new streams; open streams continue."""
        if not self.draining:
            self.draining = True
            self.send_goaway(self.last_accepted_stream_id, h2.errors.ErrorCodes.NO_ERROR, "leaving")

    def on_headers(self, stream_id: int, headers: Headers) -> None:
        """Start the handler of a new call, or refuse the call."""
        stream = Stream(self, stream_id)
        if len(self.streams) >= self.limits.max_streams or self.draining:
            self.h2.reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self.last_accepted_stream_id = max(self.last_accepted_stream_id, stream_id)
        self.streams[stream_id] = stream
        stream.initial_headers = headers
        fields = dict(headers)
        path = fields.get(":path", "")
        method = self.server.methods.get(path)
        call = ServerCall(stream, path, method or _UNKNOWN_METHOD, headers)
        http_status = _http_error(fields)
        if http_status is not None:
            self._send_http_error(stream, http_status)
        elif method is None:
            call.finish(Code.UNIMPLEMENTED, f"unknown method {path[:200]}")
        else:
            self._accept(call, method, fields)

    def _accept(self, call: ServerCall, method: Method, fields: dict[str, str]) -> None:
        encoding = fields.get("grpc-encoding", IDENTITY)
        if encoding != IDENTITY:
            message = f"grpc-encoding {encoding[:40]} is not taken: only identity is"
            call.finish(Code.UNIMPLEMENTED, message)
            return
        timeout = fields.get("grpc-timeout")
        if timeout is not None:
            try:
                timeout_s = decode_timeout(timeout)
            except TimeoutFormatError as error:
                call.finish(Code.INTERNAL, str(error))
                return
            call.deadline_s = time.monotonic() + timeout_s
        self._start_handler(call, method)

    def _start_handler(self, call: ServerCall, method: Method) -> None:
        greenlet = gevent.spawn(self._run, call, method)
        self._running[call.stream.id] = _RunningCall(call, greenlet)
        if call.deadline_s is not None:
            delay_s = max(0.0, call.deadline_s - time.monotonic())
            timer = gevent.spawn_later(delay_s, self._deadline_passed, call)
            greenlet.link(lambda _: timer.kill(block=False))

    def _send_http_error(self, stream: Stream, status: int) -> None:
        self.h2.send_headers(stream.id, [(":status", str(status))], end_stream=True)
        if not stream.remote_closed:
            self.send_reset(stream.id, h2.errors.ErrorCodes.NO_ERROR)
        stream.close_both_sides()
        self.remove_stream(stream)

    def _run(self, call: ServerCall, method: Method) -> None:
        """Run a handler and send the call's status."""
        code = Code.OK
        message = ""
        try:
            self._handle_call(call, method)
        except RpcError as error:
            code = error.code
            message = error.message
        except gevent.GreenletExit:
            code = Code.CANCELLED
        except Exception as error:
            log.exception("handler failed", path=call.path)
            code = Code.UNKNOWN
            message = f"{type(error).__name__} in the handler"
        try:
            call.finish(code, message)
        except (RpcError, ValueError, h2.exceptions.ProtocolError):
            self.reset(call.stream, h2.errors.ErrorCodes.INTERNAL_ERROR, RpcError(Code.INTERNAL))

    def _handle_call(self, call: ServerCall, method: Method) -> None:
        if method.has_single_request:
            request = call.recv()
            if request is None:
                raise RpcError(Code.INVALID_ARGUMENT, "the call has no request message")
            response = method.handler(request, call)
        else:
            response = method.handler(call)
        if method.has_single_response:
            call.send(response)

    def _deadline_passed(self, call: ServerCall) -> None:
        """Send DEADLINE_EXCEEDED and stop the handler of the call."""
        if call.finished:
            return
        running = self._running.get(call.stream.id)
        call.finish(Code.DEADLINE_EXCEEDED, "deadline exceeded", drop=True)
        stream = call.stream
        stream.error = stream.error or RpcError(Code.DEADLINE_EXCEEDED, "deadline exceeded")
        stream.wake_waiters()
        if stream.on_error is not None:
            stream.on_error(stream.error)
        if running is not None:
            running.greenlet.kill(block=False)

    def on_remote_reset(self, stream: Stream, error_code: int) -> None:
        """Handle a cancellation by the client: stop the handler and send no status."""
        stream.fail(RpcError(Code.CANCELLED, f"cancelled by the client (HTTP/2 error {error_code})"))
        running = self._running.get(stream.id)
        if running is not None:
            running.call.finished = True
            running.greenlet.kill(block=False)

    def on_invalid_message(self, stream: Stream, error: RpcError) -> None:
        """Send the error as the call's status and stop the handler."""
        running = self._running.get(stream.id)
        if running is None:
            return
        running.call.finish(error.code, error.message, drop=True)
        stream.error = error
        stream.readable.set()
        running.greenlet.kill(block=False)

    def on_stream_closed(self, stream: Stream) -> None:
        """Remove the call and check whether the server is now idle."""
        self._running.pop(stream.id, None)
        self.server.check_idle()

    def on_closed(self) -> None:
        """Remove this connection from the server."""
        self.server.remove_connection(self)
