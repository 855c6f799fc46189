"""Conformance of the Stairplank client and server, tested against grpcio and against each other."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import gevent
import grpc
import pytest

from stairplank.rpc import Channel, Code, Limits, Method, RpcError, Server

TIMEOUT_S = 20.0
NON_ASCII_TEXT = "nö 100% ☃"
LIMITS = Limits(max_message_bytes=4 << 20)


def identity(raw: bytes) -> bytes:
    return raw


class StairplankServer:
    def __init__(self) -> None:
        methods = {
            "/t.T/Unary": Method("unary", self.unary, identity, identity),
            "/t.T/Collect": Method("client_stream", self.collect, identity, identity),
            "/t.T/Expand": Method("server_stream", self.expand, identity, identity),
            "/t.T/Chat": Method("bidi", self.chat, identity, identity),
        }
        self.server = Server(["127.0.0.1:0"], methods, LIMITS)
        self.server.start()
        self.address = self.server.addresses[0]
        self.cancelled = 0

    def unary(self, request: bytes, call: Any) -> bytes:
        if call.metadata_value("sleep"):
            try:
                gevent.sleep(float(call.metadata_value("sleep")))
            except gevent.GreenletExit:
                self.cancelled += 1
                raise
        call.send_initial_metadata((("first", "1"), ("blob-bin", b"\x00\xff")))
        call.trailing_metadata = (("last", "2"),)
        if call.metadata_value("code"):
            raise RpcError(Code(int(call.metadata_value("code"))), NON_ASCII_TEXT)
        return request

    def collect(self, call: Any) -> bytes:
        parts = []
        while (part := call.recv()) is not None:
            parts.append(part)
        return b"".join(parts)

    def expand(self, request: bytes, call: Any) -> None:
        count, size = map(int, request.split(b":"))
        for i in range(count):
            call.send(bytes([i % 256]) * size)
        if call.metadata_value("code"):
            raise RpcError(Code(int(call.metadata_value("code"))), NON_ASCII_TEXT)

    def chat(self, call: Any) -> None:
        try:
            while (part := call.recv()) is not None:
                call.send(part)
        except (gevent.GreenletExit, RpcError):
            self.cancelled += 1
            raise

    def stop(self) -> None:
        self.server.stop()


class GrpcioServer:
    def __init__(self) -> None:
        self.cancelled = 0
        rpc = {
            "Unary": grpc.unary_unary_rpc_method_handler(self.unary),
            "Collect": grpc.stream_unary_rpc_method_handler(lambda parts, context: b"".join(parts)),
            "Expand": grpc.unary_stream_rpc_method_handler(self.expand),
            "Chat": grpc.stream_stream_rpc_method_handler(self.chat),
        }
        options = [("grpc.max_receive_message_length", LIMITS.max_message_bytes)]
        self.server = grpc.server(futures.ThreadPoolExecutor(8), options=options)
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.T", rpc),))
        self.address = f"127.0.0.1:{self.server.add_insecure_port('127.0.0.1:0')}"
        self.server.start()

    def unary(self, request: bytes, context: Any) -> bytes:
        metadata = dict(context.invocation_metadata())
        if "sleep" in metadata:
            context.add_callback(self.count_cancellation)
            deadline_s = time.monotonic() + float(metadata["sleep"])
            while context.is_active() and time.monotonic() < deadline_s:
                time.sleep(0.01)
        context.send_initial_metadata((("first", "1"), ("blob-bin", b"\x00\xff")))
        context.set_trailing_metadata((("last", "2"),))
        if metadata.get("code", "0") != "0":
            code = next(c for c in grpc.StatusCode if c.value[0] == int(metadata["code"]))
            context.abort(code, NON_ASCII_TEXT)
        return request

    def count_cancellation(self) -> None:
        self.cancelled += 1

    def expand(self, request: bytes, context: Any) -> Iterator[bytes]:
        count, size = map(int, request.split(b":"))
        for i in range(count):
            yield bytes([i % 256]) * size
        metadata = dict(context.invocation_metadata())
        if "code" in metadata:
            context.abort(
                next(c for c in grpc.StatusCode if c.value[0] == int(metadata["code"])), NON_ASCII_TEXT
            )

    def chat(self, parts: Any, context: Any) -> Iterator[bytes]:
        context.add_callback(self.count_cancellation)
        yield from parts

    def stop(self) -> None:
        self.server.stop(0)


class StairplankClient:
    def __init__(self, address: str) -> None:
        self.channel = Channel(address, LIMITS, dial_timeout_s=TIMEOUT_S)

    def call(
        self,
        method: str,
        parts: list[bytes],
        metadata: Any = (),
        timeout: float = TIMEOUT_S,
        pause: float = 0,
    ) -> tuple[int, str, list[bytes], dict, dict]:
        call = self.channel.call(f"/t.T/{method}", identity, identity, metadata=metadata, timeout_s=timeout)
        responses: list[bytes] = []
        code, text = 0, ""
        try:
            for part in parts:
                call.send(part)
            call.close_send()
            while (part := call.recv()) is not None:
                responses.append(part)
                gevent.sleep(pause)
        except RpcError as error:
            code, text = int(error.code), error.message
        return code, text, responses, dict(call.initial_metadata), dict(call.trailing_metadata)

    def abandon(self, method: str) -> None:
        call = self.channel.call(f"/t.T/{method}", identity, identity, metadata=(("sleep", "20"),))
        call.send(b"x")
        if method == "Chat":
            assert call.recv(TIMEOUT_S) == b"x"
        else:
            gevent.sleep(0.2)
        call.cancel()

    def close(self) -> None:
        self.channel.close()


class GrpcioClient:
    def __init__(self, address: str) -> None:
        size = LIMITS.max_message_bytes * 2
        self.channel = grpc.insecure_channel(address, options=[("grpc.max_receive_message_length", size)])

    def call(
        self,
        method: str,
        parts: list[bytes],
        metadata: Any = (),
        timeout: float = TIMEOUT_S,
        pause: float = 0,
    ) -> tuple[int, str, list[bytes], dict, dict]:
        return gevent.get_hub().threadpool.apply(self._call, (method, parts, metadata, timeout, pause))

    def _call(self, method: str, parts: list[bytes], metadata: Any, timeout: float, pause: float) -> tuple:
        path = f"/t.T/{method}"
        callable_for_kind = {
            "Unary": self.channel.unary_unary,
            "Collect": self.channel.stream_unary,
            "Expand": self.channel.unary_stream,
        }.get(method, self.channel.stream_stream)(path)
        responses: list[bytes] = []
        code, text = 0, ""
        has_single_request = method in ("Unary", "Expand")
        request = parts[0] if has_single_request else iter(parts)
        call: Any = None
        try:
            if method in ("Unary", "Collect"):
                response, call = callable_for_kind.with_call(request, metadata=metadata, timeout=timeout)
                responses = [response]
            else:
                call = callable_for_kind(request, metadata=metadata, timeout=timeout)
                for part in call:
                    responses.append(part)
                    time.sleep(pause)
        except grpc.RpcError as error:
            call, code, text = error, error.code().value[0], error.details()
        initial_metadata = dict(call.initial_metadata() or ())
        return code, text, responses, initial_metadata, dict(call.trailing_metadata() or ())

    def abandon(self, method: str) -> None:
        gevent.get_hub().threadpool.apply(self._abandon, (method,))

    def _abandon(self, method: str) -> None:
        if method == "Unary":
            call = self.channel.unary_unary("/t.T/Unary").future(b"x", metadata=(("sleep", "20"),))
            time.sleep(0.2)
        else:
            call_cancelled = futures.Future()

            def parts() -> Iterator[bytes]:
                yield b"x"
                call_cancelled.result(TIMEOUT_S)

            call = self.channel.stream_stream("/t.T/Chat")(parts())
            assert next(call) == b"x"
        call.cancel()
        if method != "Unary":
            call_cancelled.set_result(None)

    def close(self) -> None:
        gevent.get_hub().threadpool.apply(self.channel.close)


PAIRS = [
    (GrpcioClient, StairplankServer),
    (StairplankClient, GrpcioServer),
    (StairplankClient, StairplankServer),
]


@pytest.fixture(params=PAIRS, ids=["grpcio-stairplank", "stairplank-grpcio", "stairplank-stairplank"])
def pair(request: Any) -> Iterator[tuple[Any, Any]]:
    make_client, make_server = request.param
    server = make_server()
    client = make_client(server.address)
    yield client, server
    client.close()
    server.stop()


def test_unary_with_metadata(pair: Any) -> None:
    code, _, responses, initial_metadata, trailing_metadata = pair[0].call("Unary", [b"hello"], (("a", "b"),))
    assert (code, responses) == (0, [b"hello"])
    assert (
        initial_metadata["first"] == "1"
        and initial_metadata["blob-bin"] == b"\x00\xff"
        and trailing_metadata["last"] == "2"
    )


def test_empty_message(pair: Any) -> None:
    assert pair[0].call("Unary", [b""])[:3] == (0, "", [b""])


def test_every_stream_kind(pair: Any) -> None:
    assert pair[0].call("Collect", [b"a", b"", b"bc"])[2] == [b"abc"]
    assert pair[0].call("Collect", [])[2] == [b""]
    assert pair[0].call("Expand", [b"3:2"])[2] == [b"\0\0", b"\1\1", b"\2\2"]
    assert pair[0].call("Expand", [b"0:1"])[:3] == (0, "", [])
    parts = [bytes([i]) * i for i in range(50)]
    assert pair[0].call("Chat", parts)[2] == parts


@pytest.mark.parametrize("code", [c for c in Code if c])
def test_every_status_code(pair: Any, code: Code) -> None:
    result = pair[0].call("Unary", [b"x"], (("code", str(int(code))),))
    assert (result[0], result[1], result[2]) == (int(code), NON_ASCII_TEXT, [])


def test_status_after_messages(pair: Any) -> None:
    code, text, responses, _, _ = pair[0].call("Expand", [b"2:5"], (("code", "9"),))
    assert (code, text, len(responses)) == (9, NON_ASCII_TEXT, 2)


def test_deadline(pair: Any) -> None:
    started_s = time.monotonic()
    assert pair[0].call("Unary", [b"x"], (("sleep", "15"),), timeout=0.3)[0] == Code.DEADLINE_EXCEEDED
    assert time.monotonic() - started_s < 10


@pytest.mark.parametrize("method", ["Unary", "Chat"])
def test_cancellation_reaches_the_handler(pair: Any, method: str) -> None:
    client, server = pair
    client.abandon(method)
    deadline_s = time.monotonic() + TIMEOUT_S
    while not server.cancelled and time.monotonic() < deadline_s:
        gevent.sleep(0.02)
    assert server.cancelled == 1


def test_large_messages_both_ways(pair: Any) -> None:
    large_message = bytes(range(256)) * 8192  # 2 MiB, eight stream windows
    assert pair[0].call("Chat", [large_message, large_message])[2] == [large_message, large_message]


def test_oversized_message(pair: Any) -> None:
    code = pair[0].call("Collect", [b"x" * (LIMITS.max_message_bytes + 1)])[0]
    assert code == Code.RESOURCE_EXHAUSTED


def test_slow_reader_gets_all(pair: Any) -> None:
    code, _, responses, _, _ = pair[0].call("Expand", [b"40:65536"], pause=0.01)
    assert code == 0 and [len(p) for p in responses] == [65536] * 40


def test_unknown_method(pair: Any) -> None:
    assert pair[0].call("Nothing", [b"x"])[0] == Code.UNIMPLEMENTED


def test_many_calls_on_one_connection(pair: Any) -> None:
    client, _ = pair
    calls = [gevent.spawn(client.call, "Unary", [str(i).encode()]) for i in range(60)]
    gevent.joinall(calls, timeout=TIMEOUT_S)
    assert [greenlet.value[2] for greenlet in calls] == [[str(i).encode()] for i in range(60)]


def test_grpcio_client_with_compression_is_refused() -> None:
    server = StairplankServer()
    channel = grpc.insecure_channel(server.address, compression=grpc.Compression.Gzip)

    def call() -> int:
        try:
            channel.unary_unary("/t.T/Unary")(b"x" * 5000, timeout=TIMEOUT_S)
        except grpc.RpcError as error:
            return int(error.code().value[0])
        return 0

    try:
        assert gevent.get_hub().threadpool.apply(call) == Code.UNIMPLEMENTED
    finally:
        gevent.get_hub().threadpool.apply(channel.close)
        server.stop()
