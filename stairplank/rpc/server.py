"""The serving end: listeners, dispatch of calls to handlers, deadlines, graceful leave."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Literal

import gevent
import h2.errors
import h2.exceptions
import structlog
from gevent.event import Event

from . import address
from .connection import Connection, Limits, Stream
from .framing import Metadata, decode_metadata, decode_timeout, encode_metadata, encode_text
from .status import Code, RpcError

Kind = Literal["unary", "client_stream", "server_stream", "bidi"]
log = structlog.get_logger("rpc")


@dataclass(frozen=True, slots=True)
class Method:
    """One method of a service.

    ``handler`` takes ``(request, call)`` where the client sends one message, else ``(call)``; it returns the
    response where the server sends one, else sends through the call. ``decode`` and ``encode`` turn bytes
    into messages and back.
    """

    kind: Kind
    handler: Callable[..., Any]
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes] = lambda message: message.SerializeToString()


class ServerCall:
    """One call as its handler sees it."""

    def __init__(self, stream: Stream, path: str, method: Method, headers: list[tuple[str, str]]) -> None:
        self.stream = stream
        self.path = path
        self.metadata: Metadata = decode_metadata(headers)
        self.peer: str = stream.connection.peer  # type: ignore[attr-defined]
        self.deadline: float | None = None  # time.monotonic() seconds
        self._method = method
        self._sent_headers = False
        self._initial: Metadata = ()
        self.trailing: Metadata = ()  # sent with the status
        self.done = False

    def value(self, key: str) -> str | None:
        """A metadata value, or None."""
        return next((v for k, v in self.metadata if k == key and isinstance(v, str)), None)

    def remaining_s(self) -> float | None:
        """Seconds to the client's deadline, or None without one."""
        return None if self.deadline is None else self.deadline - time.monotonic()

    def initial_metadata(self, metadata: Metadata) -> None:
        """Send response headers now. Only once, before the first message."""
        if self._sent_headers:
            raise RpcError(Code.INTERNAL, "response headers have left already")
        self._initial = metadata
        self._headers()

    def recv(self, timeout_s: float | None = None) -> Any:
        """The client's next message, or None after its last. Raises RpcError."""
        raw = self.stream.recv(timeout_s)
        return None if raw is None else self.parse(raw)

    def parse(self, raw: bytes) -> Any:
        try:
            return self._method.decode(raw)
        except Exception as problem:
            kind = type(problem).__name__
            raise RpcError(Code.INVALID_ARGUMENT, f"the request cannot be read: {kind}") from None

    def send(self, message: Any, timeout_s: float | None = None) -> None:
        self._headers()
        self.stream.send(self._method.encode(message), timeout_s)

    def try_send(self, message: Any) -> bool:
        """Send without waiting; False where the client does not read and the bound is reached."""
        self._headers()
        return self.stream.try_send(self._method.encode(message))

    def _headers(self) -> None:
        if self._sent_headers or self.stream.error is not None:
            return
        self._sent_headers = True
        base = [(":status", "200"), ("content-type", "application/grpc")]
        self.stream.connection.h2.send_headers(self.stream.id, base + encode_metadata(self._initial))
        self.stream.connection.want_write(self.stream)

    def finish(self, code: Code, message: str = "", *, drop: bool = False) -> None:
        """Say the status; the first call counts. ``drop``: at once, not after all that is queued."""
        if self.done:
            return
        self.done = True
        stream, connection = self.stream, self.stream.connection
        if stream.error is not None or connection.dead is not None or stream.local_ended:
            return
        trailers = [("grpc-status", str(int(code)))]
        if message:
            trailers.append(("grpc-message", encode_text(message[:1024])))
        trailers += encode_metadata(self.trailing)

        def end() -> None:
            head = [] if self._sent_headers else [(":status", "200"), ("content-type", "application/grpc")]
            connection.h2.send_headers(stream.id, head + trailers, end_stream=True)
            if not stream.remote_ended:  # nothing more is wanted from the client
                connection.h2.reset_stream(stream.id, h2.errors.ErrorCodes.NO_ERROR)
                stream.remote_ended = True

        if drop and stream.out_at:  # within a message: trailers cannot follow half of it
            connection.reset(stream, h2.errors.ErrorCodes.CANCEL, RpcError(code, message))
            return
        if drop:
            stream.outbox.clear()
            stream.out_bytes = 0
        stream.finish = end
        connection.want_write(stream)


class ServerConnection(Connection):
    """One client's connection."""

    def __init__(self, sock: Any, peer: str, limits: Limits, server: Server) -> None:
        super().__init__(sock, False, limits)
        self.peer = peer
        self.server = server
        self.calls: dict[int, tuple[ServerCall, Any]] = {}
        self.last_taken = 0

    def _headers(self, stream_id: int, headers: list[tuple[str, str]]) -> None:
        stream = Stream(self, stream_id)
        if len(self.streams) >= self.limits.streams or self.draining:
            self.h2.reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self.last_taken = max(self.last_taken, stream_id)
        self.streams[stream_id] = stream
        stream.headers = headers
        fields = dict(headers)
        path = fields.get(":path", "")
        method = self.server.methods.get(path)
        call = ServerCall(stream, path, method or _UNKNOWN, headers)
        problem = self._problem(fields, method, path)
        if problem is not None:
            if problem[0] == 0:
                call.finish(Code(problem[1]), problem[2])
            else:
                self._plain_http(stream, problem[0])
            return
        assert method is not None
        text = fields.get("grpc-timeout")
        if text is not None:
            try:
                left = decode_timeout(text)
            except ValueError as error:
                call.finish(Code.INTERNAL, str(error))
                return
            call.deadline = time.monotonic() + left
        greenlet = gevent.spawn(self._run, call, method)
        self.calls[stream_id] = (call, greenlet)
        if call.deadline is not None:
            timer = gevent.spawn_later(max(0.0, call.deadline - time.monotonic()), self._late, call)
            greenlet.link(lambda _: timer.kill(block=False))

    def _problem(
        self, fields: dict[str, str], method: Method | None, path: str
    ) -> tuple[int, int, str] | None:
        """HTTP status (0: say it by grpc-status), grpc-status and text of a request that cannot be served."""
        kind = fields.get("content-type", "")
        if not (kind == "application/grpc" or kind.startswith(("application/grpc+", "application/grpc;"))):
            return 415, 0, ""
        if fields.get(":method") != "POST":
            return 405, 0, ""
        if method is None:
            return 0, Code.UNIMPLEMENTED, f"unknown method {path[:200]}"
        encoding = fields.get("grpc-encoding", "identity")
        if encoding != "identity":
            return 0, Code.UNIMPLEMENTED, f"grpc-encoding {encoding[:40]} is not taken: only identity is"
        return None

    def _plain_http(self, stream: Stream, status: int) -> None:
        self.h2.send_headers(stream.id, [(":status", str(status))], end_stream=True)
        if not stream.remote_ended:
            with contextlib.suppress(h2.exceptions.ProtocolError):
                self.h2.reset_stream(stream.id, h2.errors.ErrorCodes.NO_ERROR)
        stream.local_ended = stream.remote_ended = True
        self._forget(stream)

    def _run(self, call: ServerCall, method: Method) -> None:
        code, text = Code.OK, ""
        try:
            if method.kind in ("unary", "server_stream"):
                request = call.recv()
                if request is None:
                    raise RpcError(Code.INVALID_ARGUMENT, "the call has no request message")
                answer = method.handler(request, call)
            else:
                answer = method.handler(call)
            if method.kind in ("unary", "client_stream"):
                call.send(answer)
        except RpcError as error:
            code, text = error.code, error.message
        except gevent.GreenletExit:
            code, text = Code.CANCELLED, ""
        except Exception as error:
            log.exception("handler failed", path=call.path)
            code, text = Code.UNKNOWN, f"{type(error).__name__} in the handler"
        try:
            call.finish(code, text)
        except (RpcError, ValueError, h2.exceptions.ProtocolError):
            self.reset(call.stream, h2.errors.ErrorCodes.INTERNAL_ERROR, RpcError(Code.INTERNAL))

    def _late(self, call: ServerCall) -> None:
        """The client's deadline has passed: say so and end the handler."""
        if call.done:
            return
        entry = self.calls.get(call.stream.id)
        call.finish(Code.DEADLINE_EXCEEDED, "deadline exceeded", drop=True)
        call.stream.error = call.stream.error or RpcError(Code.DEADLINE_EXCEEDED, "deadline exceeded")
        call.stream.readable.set()
        call.stream.writable.set()
        if call.stream.on_error is not None:
            call.stream.on_error(call.stream.error)
        if entry is not None:
            entry[1].kill(block=False)

    def remote_reset(self, stream: Stream, error_code: int) -> None:
        stream.fail(RpcError(Code.CANCELLED, f"cancelled by the client (HTTP/2 error {error_code})"))
        entry = self.calls.get(stream.id)
        if entry is not None:
            entry[0].done = True
            entry[1].kill(block=False)

    def bad_message(self, stream: Stream, error: RpcError) -> None:
        entry = self.calls.get(stream.id)
        if entry is None:
            return
        entry[0].finish(error.code, error.message, drop=True)
        stream.error = error
        stream.readable.set()
        entry[1].kill(block=False)

    def stream_gone(self, stream: Stream) -> None:
        self.calls.pop(stream.id, None)
        self.server.idle_check()

    def gone(self) -> None:
        self.server.forget(self)

    def leave(self) -> None:
        """Take no new streams; those that are open go on."""
        if not self.draining:
            self.draining = True
            self.say_goaway(self.last_taken, h2.errors.ErrorCodes.NO_ERROR, "leaving")


def _no_handler(call: ServerCall) -> None:
    raise RpcError(Code.UNIMPLEMENTED)


_UNKNOWN = Method("bidi", _no_handler, lambda raw: raw, lambda raw: raw)


class Server:
    """Listens on one or more addresses and serves methods by path (``/package.Service/Method``)."""

    def __init__(
        self,
        addresses: Iterable[str],
        methods: dict[str, Method],
        limits: Limits | None = None,
    ) -> None:
        self.methods = dict(methods)
        self.limits = limits or Limits()
        self.connections: set[ServerConnection] = set()
        self.refused = 0  # connections turned away at the bound
        self._listeners = [address.listen(a) for a in addresses]
        self.addresses = tuple(a for _, a in self._listeners)
        self._accepting: list[Any] = []
        self._idle = Event()
        self.leaving = False

    def start(self) -> None:
        self._accepting = [gevent.spawn(self._accept, sock) for sock, _ in self._listeners]

    def _accept(self, listener: Any) -> None:
        while True:
            try:
                sock, peer = listener.accept()
            except OSError:
                if self.leaving or listener.fileno() < 0:
                    return
                gevent.sleep(0.05)  # out of descriptors: what is open must end first
                continue
            if len(self.connections) >= self.limits.connections:
                self.refused += 1
                sock.close()
                continue
            if listener.family != gevent.socket.AF_UNIX:
                sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            connection = ServerConnection(sock, address.render(peer), self.limits, self)
            self.connections.add(connection)
            connection.start()
            gevent.spawn_later(self.limits.handshake_s, self._settled, connection)

    def _settled(self, connection: ServerConnection) -> None:
        """Danger: connections that never speak would fill the table."""
        if not connection.settled.is_set():
            connection.close(RpcError(Code.UNAVAILABLE, "no HTTP/2 settings came"))

    def forget(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self.idle_check()

    def idle_check(self) -> None:
        if self.leaving and not any(c.streams for c in self.connections):
            self._idle.set()

    def stop_accepting(self) -> None:
        for greenlet in self._accepting:
            greenlet.kill(block=False)
        for sock, _ in self._listeners:
            sock.close()

    def leave(self) -> None:
        """Take nothing new: stop accepting, say GOAWAY; open calls go on."""
        self.leaving = True
        self.stop_accepting()
        for connection in list(self.connections):
            connection.leave()
        self.idle_check()

    def stop(self, grace_s: float = 0.0) -> bool:
        """Leave, wait at most ``grace_s`` for open calls, close. True where every call had ended."""
        self.leave()
        clean = self._idle.wait(grace_s) if grace_s > 0 else self._idle.is_set()
        if clean:
            gevent.sleep(0)  # the writers flush the last trailers
            gevent.sleep(0.01)
        for connection in list(self.connections):
            connection.close(RpcError(Code.UNAVAILABLE, "server stopped"))
        return bool(clean)
