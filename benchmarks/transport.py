"""Streamed messages echoed by two servers: ours (h2 on gevent) and grpcio's under its gevent support.

    python benchmarks/transport.py [--streams 16] [--seconds 6] [--rounds 3]

The client is the same for both: our own, in a process apart. Rounds take turns, so that the machine's drift
falls on both; the table has medians. Written to benchmarks/results/transport.md.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import gevent

from stairplank.rpc import Channel, Method, Server

RESULTS = Path(__file__).parent / "results"


def same(raw: bytes) -> bytes:
    return raw


def serve_ours() -> None:
    def chat(call: Any) -> None:
        while (part := call.recv()) is not None:
            call.send(part)

    server = Server(["127.0.0.1:0"], {"/t.T/Chat": Method("bidi", chat, same, same)})
    server.start()
    print(server.addresses[0], flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


def serve_grpcio() -> None:
    import gevent.monkey

    gevent.monkey.patch_all()
    import grpc
    import grpc.experimental.gevent as grpc_gevent
    from gevent.threadpool import ThreadPoolExecutor

    grpc_gevent.init_gevent()

    def chat(parts: Any, context: Any) -> Any:
        yield from parts

    rpc = {"Chat": grpc.stream_stream_rpc_method_handler(chat)}
    server = grpc.server(ThreadPoolExecutor(64))
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.T", rpc),))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    print(f"127.0.0.1:{port}", flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


def cpu(pid: int) -> float:
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def measure(kind: str, streams: int, seconds: float) -> tuple[float, float]:
    """Messages a second, and the server's CPU microseconds a message."""
    child = subprocess.Popen(
        [sys.executable, __file__, "--serve", kind], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert child.stdout is not None and child.stdin is not None
    channel = Channel(child.stdout.readline().strip())
    done = [0]
    message = b"m" * 120

    def ping() -> None:
        call = channel.call("/t.T/Chat", same, same)
        while True:
            call.send(message)
            call.recv()
            done[0] += 1

    jobs = [gevent.spawn(ping) for _ in range(streams)]
    gevent.sleep(1.0)
    first, used, began = done[0], cpu(child.pid), time.monotonic()
    gevent.sleep(seconds)
    count, took, used = done[0] - first, time.monotonic() - began, cpu(child.pid) - used
    gevent.killall(jobs)
    channel.close()
    child.stdin.close()
    child.kill()
    child.wait()
    return count / took, used / max(1, count) * 1e6


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--serve")
    parser.add_argument("--streams", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rounds", type=int, default=3)
    args = parser.parse_args()
    if args.serve:
        serve_ours() if args.serve == "ours" else serve_grpcio()
        return
    got: dict[str, list[tuple[float, float]]] = {"ours": [], "grpcio": []}
    for _ in range(args.rounds):
        for kind, measured in got.items():
            measured.append(measure(kind, args.streams, args.seconds))
    lines = ["| server | messages/s | CPU us a message |\n", "| --- | --- | --- |\n"]
    for kind, measured in got.items():
        rate, used = (statistics.median(m[i] for m in measured) for i in (0, 1))
        lines.append(f"| {kind} | {rate:.0f} | {used:.0f} |\n")
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "transport.md").write_text("".join(lines))
    print("".join(lines))


if __name__ == "__main__":
    main()
