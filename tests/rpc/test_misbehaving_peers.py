"""Peers that violate the protocol, send floods of frames, hang or disconnect, simulated with raw HTTP/2."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import h2.config
import h2.connection
import h2.events
import pytest
from gevent import socket
from hyperframe.frame import GoAwayFrame

from stairplank.rpc import Channel, Code, Limits, Method, RpcError, Server
from stairplank.rpc.framing import (
    MessageDecoder,
    decode_status_message,
    decode_timeout,
    encode_status_message,
    encode_timeout,
)

TIMEOUT_S = 10.0
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/t.T/Chat"),
    (":authority", "x"),
    ("te", "trailers"),
    ("content-type", "application/grpc"),
]
LIMITS = Limits(
    max_streams=3,
    max_control_frames=20,
    stream_window_bytes=65_535,
    max_unsent_bytes=50_000,
    handshake_timeout_s=0.3,
    max_connections=4,
)


def identity(raw: bytes) -> bytes:
    return raw


class EchoServer:
    def __init__(self, limits: Limits = LIMITS) -> None:
        self.started_calls = 0
        self.refused_sends = 0
        methods = {
            "/t.T/Chat": Method("bidi", self.chat, identity, identity),
            "/t.T/Flood": Method("bidi", self.flood, identity, identity),
            "/t.T/Hold": Method("bidi", lambda call: gevent.sleep(TIMEOUT_S), identity, identity),
        }
        self.server = Server(["127.0.0.1:0"], methods, limits)
        self.server.start()

    def chat(self, call: Any) -> None:
        self.started_calls += 1
        while (part := call.recv()) is not None:
            call.send(part)

    def flood(self, call: Any) -> None:
        call.recv()
        while self.refused_sends < 3:
            if not call.try_send(b"z" * 1000):
                self.refused_sends += 1
        call.stream.recv()


@pytest.fixture
def echo_server() -> Iterator[EchoServer]:
    server = EchoServer()
    yield server
    server.server.stop()


class RawClient:
    """A client that uses h2 directly, so that a test can check single frames and send invalid ones."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self.h2.initiate_connection()
        self.received_events: list[Any] = []
        self.send_pending()

    def send_pending(self) -> None:
        self.sock.sendall(self.h2.data_to_send())

    def wait_for_event(self, matches: Callable[[Any], bool]) -> Any:
        """Return the first event that matches, or None once the peer has closed the connection."""
        with gevent.Timeout(TIMEOUT_S):
            while True:
                for event in self.received_events:
                    if matches(event):
                        self.received_events.remove(event)
                        return event
                data = self.sock.recv(65536)
                if not data:
                    return None
                self.received_events += self.h2.receive_data(data)
                self.send_pending()


def message_prefix(size: int, flag: int = 0) -> bytes:
    return bytes([flag]) + size.to_bytes(4, "big")


def test_streams_past_the_limit_are_refused_and_never_run(echo_server: EchoServer) -> None:
    client = RawClient(echo_server.server.addresses[0])
    for i in range(5):  # all streams are opened before the client reads the server's SETTINGS
        client.h2.send_headers(1 + 2 * i, HEADERS)
    client.send_pending()
    for _ in range(2):
        reset = client.wait_for_event(lambda e: isinstance(e, h2.events.StreamReset))
        assert reset.error_code == 7 and reset.stream_id in (7, 9)
    assert echo_server.started_calls == 3


def test_reset_flood_ends_the_connection(echo_server: EchoServer) -> None:
    client = RawClient(echo_server.server.addresses[0])
    goaway = None
    try:
        for i in range(200):
            client.h2.send_headers(1 + 2 * i, HEADERS)
            client.h2.reset_stream(1 + 2 * i)
            client.send_pending()
            gevent.sleep(0)
        goaway = client.wait_for_event(lambda e: isinstance(e, h2.events.ConnectionTerminated))
    except OSError:
        pass  # the server closed the connection while the client was still sending
    assert goaway is None or goaway.error_code == 11
    with gevent.Timeout(TIMEOUT_S):
        while echo_server.server.connections:
            gevent.sleep(0.01)
    assert echo_server.started_calls <= LIMITS.max_control_frames + 2


def test_ping_flood_ends_the_connection(echo_server: EchoServer) -> None:
    client = RawClient(echo_server.server.addresses[0])
    for i in range(40):
        client.h2.ping(i.to_bytes(8, "big"))
    client.send_pending()
    goaway = client.wait_for_event(lambda e: isinstance(e, h2.events.ConnectionTerminated))
    assert goaway is None or goaway.error_code == 11


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (message_prefix(1 << 30), "8"),
        (message_prefix(4, 1) + b"abcd", "12"),
        (message_prefix(4, 7) + b"abcd", "13"),
    ],
    ids=["oversized", "compressed", "unknown flag"],
)
def test_invalid_messages_end_only_their_stream(echo_server: EchoServer, body: bytes, code: str) -> None:
    client = RawClient(echo_server.server.addresses[0])
    client.h2.send_headers(1, HEADERS)
    client.h2.send_headers(3, HEADERS)
    client.h2.send_data(1, body)
    client.send_pending()
    status_event = client.wait_for_event(
        lambda e: isinstance(e, (h2.events.TrailersReceived, h2.events.ResponseReceived))
    )
    assert status_event.stream_id == 1 and dict(status_event.headers)["grpc-status"] == code
    client.h2.send_data(3, message_prefix(2) + b"ok")
    client.send_pending()
    assert (
        client.wait_for_event(lambda e: isinstance(e, h2.events.DataReceived)).data
        == message_prefix(2) + b"ok"
    )


@pytest.mark.parametrize(
    ("change", "status"),
    [(("content-type", "text/html"), "415"), ((":method", "GET"), "405"), (("grpc-timeout", "soon"), "200")],
)
def test_requests_that_are_not_grpc(echo_server: EchoServer, change: tuple[str, str], status: str) -> None:
    client = RawClient(echo_server.server.addresses[0])
    headers = [change if k == change[0] else (k, v) for k, v in HEADERS]
    client.h2.send_headers(1, headers if change in headers else [*headers, change], end_stream=True)
    client.send_pending()
    response_headers = dict(
        client.wait_for_event(lambda e: isinstance(e, h2.events.ResponseReceived)).headers
    )
    assert response_headers[":status"] == status and response_headers.get("grpc-status", "13") == "13"
    assert echo_server.started_calls == 0


def test_garbage_and_silent_connections_are_closed(echo_server: EchoServer) -> None:
    host, _, port = echo_server.server.addresses[0].rpartition(":")
    garbage = socket.create_connection((host, int(port)))
    garbage.sendall(b"GET / HTTP/1.1\r\n\r\n" * 10)
    silent = socket.create_connection((host, int(port)))
    with gevent.Timeout(TIMEOUT_S):
        while garbage.recv(1000):
            pass
        while silent.recv(1000):
            pass
    assert not echo_server.server.connections


def test_connections_past_the_limit_are_closed(echo_server: EchoServer) -> None:
    clients = [RawClient(echo_server.server.addresses[0]) for _ in range(4)]
    with gevent.Timeout(TIMEOUT_S):
        while len(echo_server.server.connections) < 4:
            gevent.sleep(0.01)
        extra = socket.create_connection(clients[0].sock.getpeername())
        assert extra.recv(1) == b""
    assert echo_server.server.rejected_connections == 1


def test_a_reader_that_does_not_read_bounds_the_sender(echo_server: EchoServer) -> None:
    client = RawClient(echo_server.server.addresses[0])
    client.h2.send_headers(1, [h if h[0] != ":path" else (":path", "/t.T/Flood") for h in HEADERS])
    client.h2.send_data(1, message_prefix(1) + b"x")
    client.send_pending()
    with gevent.Timeout(TIMEOUT_S):
        while echo_server.refused_sends < 3:
            gevent.sleep(0.01)
    (connection,) = echo_server.server.connections
    (stream,) = connection.streams.values()
    assert stream.unsent_bytes <= LIMITS.max_unsent_bytes + 1005


@pytest.mark.parametrize("size", [1000, 30_000])
def test_a_handler_that_does_not_read_bounds_the_client(echo_server: EchoServer, size: int) -> None:
    """Covers messages that span two frames, so that part of the unread data is an incomplete message."""
    channel = Channel(echo_server.server.addresses[0], LIMITS)
    call = channel.call("/t.T/Hold", identity, identity)
    sent = 0
    while call.try_send(b"y" * size):
        sent += 1
        if sent % 20 == 0 or size > 16_384:
            gevent.sleep(0.02)
    assert 60_000 < sent * (size + 5) < 65_535 + LIMITS.max_unsent_bytes + 3 * size
    (connection,) = echo_server.server.connections
    (stream,) = connection.streams.values()
    assert stream.unread_bytes + stream.decoder.partial_bytes <= 65_535 + size
    other = channel.call("/t.T/Chat", identity, identity)  # other streams of the connection still work
    other.send(b"hi")
    assert other.recv(TIMEOUT_S) == b"hi"
    channel.close()


class RawServer:
    """A server that runs a script on the first connection that it accepts."""

    def __init__(self, script: Callable[[Any, Any], None]) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.script = script
        gevent.spawn(self.run)

    def run(self) -> None:
        sock, _ = self.listener.accept()
        conn = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        conn.initiate_connection()
        sock.sendall(conn.data_to_send())
        self.script(sock, conn)


def accept_streams(sock: Any, conn: Any, count: int) -> None:
    opened = 0
    while opened < count:
        opened += sum(isinstance(e, h2.events.RequestReceived) for e in conn.receive_data(sock.recv(65536)))
    sock.sendall(conn.data_to_send())


def error_of(call: Any) -> RpcError:
    with pytest.raises(RpcError) as caught:
        call.recv(TIMEOUT_S)
    return caught.value


def test_refused_stream_proves_that_nothing_ran() -> None:
    def script(sock: Any, conn: Any) -> None:
        accept_streams(sock, conn, 2)
        conn.reset_stream(1, 7)
        conn.reset_stream(3, 2)
        sock.sendall(conn.data_to_send())
        gevent.sleep(TIMEOUT_S)

    channel = Channel(RawServer(script).address)
    first, second = (channel.call("/x", identity, identity) for _ in range(2))
    assert error_of(first).never_ran and error_of(first).code is Code.UNAVAILABLE
    assert not error_of(second).never_ran and error_of(second).code is Code.INTERNAL


@pytest.mark.parametrize("split", [1, 5, 9, 12, 1000])
def test_goaway_proves_what_lies_above_its_last_stream(split: int) -> None:
    def script(sock: Any, conn: Any) -> None:
        accept_streams(sock, conn, 3)
        conn.send_headers(1, [(":status", "200"), ("content-type", "application/grpc")])
        data = conn.data_to_send() + GoAwayFrame(0, last_stream_id=3, additional_data=b"leaving").serialize()
        for at in range(0, len(data), split):  # the GOAWAY frame arrives in several parts
            sock.sendall(data[at : at + split])
            gevent.sleep(0.001)
        conn.send_data(1, message_prefix(2) + b"ok")  # streams up to the last stream id continue after GOAWAY
        conn.send_headers(1, [("grpc-status", "0")], end_stream=True)
        sock.sendall(conn.data_to_send())
        gevent.sleep(0.1)
        sock.close()

    channel = Channel(RawServer(script).address)
    calls = [channel.call("/x", identity, identity) for _ in range(3)]
    assert error_of(calls[2]).never_ran
    assert calls[0].recv(TIMEOUT_S) == b"ok" and calls[0].recv(TIMEOUT_S) is None
    assert not error_of(calls[1]).never_ran  # the connection was lost later, so this call may have run
    with pytest.raises(RpcError) as caught:
        channel.connection.open("/x", (), None)
    assert caught.value.never_ran


def test_unsent_messages_are_counted() -> None:
    """After a lost connection, the client knows how many messages cannot have reached the peer."""

    def script(sock: Any, conn: Any) -> None:
        accept_streams(sock, conn, 1)
        gevent.sleep(0.3)  # the server sends no WINDOW_UPDATE, so at most 65,535 bytes can be sent
        sock.close()

    channel = Channel(RawServer(script).address)
    call = channel.call("/x", identity, identity)
    for _ in range(10):
        call.send(b"m" * 9_995)
    assert error_of(call).code is Code.UNAVAILABLE
    assert call.unsent_count() == 3 and call.stream.messages_started == 7


def test_refused_and_unanswered_connections() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(RpcError) as caught:
        Channel(address, dial_timeout_s=1).connect()
    assert caught.value.never_ran and caught.value.code is Code.UNAVAILABLE
    listener.listen()  # the kernel accepts connections, but no SETTINGS are sent
    started_s = time.monotonic()
    with pytest.raises(RpcError) as caught:
        Channel(address, dial_timeout_s=0.3).connect()
    assert caught.value.never_ran and time.monotonic() - started_s < TIMEOUT_S


def test_half_open_peer_is_found_by_ping() -> None:
    def script(sock: Any, conn: Any) -> None:
        accept_streams(sock, conn, 1)
        gevent.sleep(TIMEOUT_S)  # the socket stays open, but the server answers no PING

    channel = Channel(RawServer(script).address, Limits(keepalive_interval_s=0.1, keepalive_timeout_s=0.1))
    error = error_of(channel.call("/x", identity, identity))
    assert "keepalive" in error.message and not error.never_ran


def test_graceful_shutdown(echo_server: EchoServer) -> None:
    channel = Channel(echo_server.server.addresses[0])
    call = channel.call("/t.T/Chat", identity, identity)
    call.send(b"a")
    assert call.recv(TIMEOUT_S) == b"a"
    stopping = gevent.spawn(echo_server.server.stop, TIMEOUT_S)
    with gevent.Timeout(TIMEOUT_S):
        while channel.connection.peer_last_stream_id is None:
            gevent.sleep(0.01)
    call.send(b"b")
    assert call.recv(TIMEOUT_S) == b"b"
    call.close_send()
    assert call.recv(TIMEOUT_S) is None
    assert stopping.get(timeout=TIMEOUT_S) is True


@pytest.mark.parametrize("text", ["", "5", "S", "123456789S", "5s", "-1S", "1.5S", "5 S"])
def test_invalid_timeouts(text: str) -> None:
    with pytest.raises(ValueError):
        decode_timeout(text)


@pytest.mark.parametrize("seconds", [1e-9, 0.001, 0.25, 3.0, 86_400.0, 1e8])
def test_timeouts_never_shrink(seconds: float) -> None:
    assert seconds <= decode_timeout(encode_timeout(seconds)) <= seconds * 1.01 + 1e-9


def test_status_messages_and_fragmented_messages() -> None:
    for text in ("", "plain", "100 %", "ä☃\n\0", "%41"):
        assert decode_status_message(encode_status_message(text)) == text
    decoder = MessageDecoder(10)
    data = message_prefix(3) + b"abc" + message_prefix(0) + message_prefix(1) + b"d"
    assert [m for i in range(len(data)) for m in decoder.feed(data[i : i + 1])] == [b"abc", b"", b"d"]
    assert decoder.partial_bytes == 0
