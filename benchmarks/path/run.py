"""The whole path on loopback: one planner, light nodes, one owner. Table and chart in benchmarks/results.

    python benchmarks/path/run.py [--nodes 12,76,300] [--seconds 8] [--profile]
    python benchmarks/path/run.py --rates 0,7.4,26,52,280,full [--nodes 820] ...   (see rates.py)

For each size, with the planner as one of so many as the room would have (a quarter of the nodes: its part of
the fleet is then a handful of nodes) and as the only one (its part is the whole fleet): tasks a second with
512 asks under way at all times; then 280 tasks a second arriving at random times whatever the answers do
(latency counts from the time at which the ask was due, so that a stall is not hidden); then 10,000 tasks held
open, for memory. benchmarks/transport.py has the transport alone.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent
import gevent.subprocess
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import common_pb2, open_call, placement_pb2
from stairplank.rpc import Channel

HERE = Path(__file__).parent
RESULTS = HERE.parent / "results"
REQUEST = placement_pb2.PlaceRequest
ROOM = """
planner 0 of {planners}
listen unix:{work}/p.sock
directory unix:{work}/d.sock
open-most 100000
owner-open-most 100000
running-most 1000000
class worker
    effect repeatable
    aim 1s
    deadline 60s
end
kind std cores 1000000 memory 1000000
zone a
mean-cores 1
mean-memory 1
tick 10ms
price probe {price_probe}
"""
PRICE_PROBE = 0.003  # points: low enough for a probe with every task


class Room:
    """Planner, list and nodes as processes of their own."""

    def __init__(
        self,
        nodes: int,
        life_ms: float,
        planners: int = 1,
        profile: Path | None = None,
        program: Sequence[str] = ("timed_planner.py",),
        price_probe: float = PRICE_PROBE,
    ) -> None:
        self.work = Path(tempfile.mkdtemp(prefix="bp"))
        (self.work / "p.conf").write_text(
            ROOM.format(work=self.work, planners=planners, price_probe=price_probe)
        )
        (self.work / "d.conf").write_text(
            f"listen unix:{self.work}/d.sock\nlist-notice 10ms\nlist-period 50ms\n"
        )
        self.children: list[Any] = []
        self.start(
            [
                "-m",
                "stairplank",
                "--log-level",
                "error",
                "--end-with-stdin",
                "directory",
                f"{self.work}/d.conf",
            ]
        )
        self.wait_for("d.sock")
        parts = min(4, nodes)
        for i in range(parts):
            share = range(nodes)[i::parts]
            args = [str(HERE / "nodes.py"), str(1 + i * 1000), str(len(share)), str(life_ms)]
            self.start([*args, f"unix:{self.work}/d.sock"])
        gevent.sleep(1.0)
        script, *options = program
        planner = [str(HERE / script), f"{self.work}/p.conf", *options]
        if profile is not None:
            planner = ["-m", "cProfile", "-o", str(profile), *planner]
        self.planner = self.start(planner, stdout=subprocess.PIPE)
        self.wait_for("p.sock")
        gevent.sleep(0.5 + nodes / 150)
        self.channel = Channel(f"unix:{self.work}/p.sock")
        self.call = open_call(self.channel, PLACEMENT_SERVICE, "Place")
        self.call.send(REQUEST(hello=REQUEST.Hello(owner="bench")))
        self.call.recv(10)

    def start(self, args: list[str], stdout: Any = subprocess.DEVNULL) -> Any:
        env = {**os.environ, "PYTHONPATH": str(HERE.parent.parent)}
        child = gevent.subprocess.Popen(
            [sys.executable, *args], stdin=subprocess.PIPE, stdout=stdout, env=env
        )
        self.children.append(child)
        return child

    def wait_for(self, name: str) -> None:
        with gevent.Timeout(20):
            while not (self.work / name).exists():
                gevent.sleep(0.02)

    def rss(self) -> int:
        pages = int(Path(f"/proc/{self.planner.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def cpu(self) -> float:
        parts = Path(f"/proc/{self.planner.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    def close(self) -> dict[str, Any]:
        self.channel.close()
        self.planner.send_signal(signal.SIGTERM)
        with gevent.Timeout(30):
            out = self.planner.stdout.read()  # not communicate(): it would close the standard input first
        for child in self.children:
            if child.poll() is None:
                child.kill()
        return json.loads(out.splitlines()[-1])


def ask(n: int) -> Any:
    task = common_pb2.Task(key=n, task_class="worker", service=1 + n % 997, cores=1, memory=1)
    return REQUEST(ask=REQUEST.Ask(ask=n, task=task, wait_us=60_000_000))


def saturated(room: Room, seconds: float, at_once: int = 512) -> tuple[float, float]:
    """Tasks a second, and CPU microseconds of the planner a task, with so many asks under way."""
    state = {"sent": 0, "placed": 0, "stop": False}
    more = Event()

    def read() -> None:
        while (event := room.call.recv()) is not None:
            if event.WhichOneof("kind") == "placed":
                state["placed"] += 1
                more.set()

    reader = gevent.spawn(read)

    def send() -> None:
        while not state["stop"]:
            while state["sent"] - state["placed"] < at_once:
                state["sent"] += 1
                room.call.send(ask(state["sent"]))
            more.clear()
            more.wait(1.0)

    sender = gevent.spawn(send)
    gevent.sleep(1.5)  # warm
    placed, cpu, began = state["placed"], room.cpu(), time.monotonic()
    gevent.sleep(seconds)
    took = time.monotonic() - began
    rate, used = (state["placed"] - placed) / took, room.cpu() - cpu
    state["stop"] = True
    sender.join(5)
    with gevent.Timeout(20):
        while state["placed"] < state["sent"]:
            gevent.sleep(0.01)
    reader.kill()
    return rate, used / max(1, rate * took) * 1e6


def paced(room: Room, seconds: float, rate: float, first: int) -> HdrHistogram:
    """Latency in microseconds from when each ask was due to its binding, arrivals at random times."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    due: dict[int, float] = {}
    rng = random.Random(4)
    done = Event()

    def read() -> None:
        while (event := room.call.recv()) is not None:
            if event.WhichOneof("kind") == "placed":
                at = due.pop(event.placed.ask)
                histogram.record_value(max(1, int((time.monotonic() - at) * 1e6)))
                if done.is_set() and not due:
                    return

    reader = gevent.spawn(read)
    n, next_at, end = first, time.monotonic(), time.monotonic() + seconds
    while next_at < end:
        wait = next_at - time.monotonic()
        if wait > 0:
            gevent.sleep(wait)
        due[n] = next_at
        room.call.send(ask(n))
        n += 1
        next_at += rng.expovariate(rate)
    done.set()
    reader.join(20)
    return histogram


def held(nodes: int, planners: int, count: int = 10_000) -> float:
    """Bytes of the planner's memory for a task that runs."""
    room = Room(nodes, 0, planners)
    before, placed, sent = room.rss(), 0, 0
    while placed < count:
        while sent - placed < 256 and sent < count:
            sent += 1
            room.call.send(ask(sent))
        event = room.call.recv(30)
        placed += event.WhichOneof("kind") == "placed"
    grown = room.rss() - before
    room.close()
    return grown / count


def main() -> None:
    if any(argument.split("=")[0] in ("--rates", "--table") for argument in sys.argv[1:]):
        import rates

        rates.main()
        return
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="12,76,300")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--profile", help="write a cProfile of the planner at the first size to this file")
    parser.add_argument("--alone", action=argparse.BooleanOptionalAction, default=True)
    args = parser.parse_args()
    rows = []
    sizes = list(map(int, args.nodes.split(",")))
    for nodes, planners in [(n, max(1, n // 4)) for n in sizes] + [(n, 1) for n in sizes if args.alone]:
        room = Room(nodes, 200, planners, Path(args.profile) if args.profile else None)
        rate, cpu_us = saturated(room, args.seconds)
        spent = room.close()
        if args.profile:
            print(f"profile in {args.profile}; {rate:.0f} tasks/s under it")
            return
        room = Room(nodes, 200, planners)
        histogram = paced(room, args.seconds, 280.0, 1)
        room.close()
        bytes_held = held(nodes, planners)
        placed = max(1, spent["placed"])
        row = {
            "nodes": nodes,
            "planners": planners,
            "tasks_per_s": rate,
            "cpu_us_a_task": cpu_us,
            "module_us": spent["module_s"] / placed * 1e6,
            "core_us": spent["core_s"] / placed * 1e6,
            "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
            "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
            "p999_ms": histogram.get_value_at_percentile(99.9) / 1e3,
            "count": histogram.get_total_count(),
            "bytes_a_task": bytes_held,
        }
        row["transport_us"] = max(0.0, row["cpu_us_a_task"] - row["module_us"] - row["core_us"])
        rows.append(row)
        print(json.dumps({k: round(v, 2) for k, v in row.items()}), flush=True)
    write(rows)


def write(rows: list[dict[str, float]]) -> None:
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "path.json").write_text(json.dumps(rows, indent=1))
    head = (
        "| nodes | planner 0 of | tasks/s | CPU us a task | module | core | transport"
        " | p50 ms | p99 ms | p99.9 ms | bytes a task |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    )
    columns = ("cpu_us_a_task", "module_us", "core_us", "transport_us")
    lines = [
        f"| {r['nodes']:.0f} | {r['planners']:.0f} | {r['tasks_per_s']:.0f} | "
        + " | ".join(f"{r[c]:.0f}" for c in columns)
        + f" | {r['p50_ms']:.2f} | {r['p99_ms']:.2f} | {r['p999_ms']:.2f} | {r['bytes_a_task']:.0f} |\n"
        for r in rows
    ]
    (RESULTS / "path.md").write_text(head + "".join(lines))
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 4), layout="constrained")
    names = [f"{r['nodes']:.0f}, 0 of {r['planners']:.0f}" for r in rows]
    bottom = [0.0] * len(rows)
    for part in ("module", "core", "transport"):
        values = [r[f"{part}_us"] for r in rows]
        left.bar(names, values, bottom=bottom, label=part)
        bottom = [a + b for a, b in zip(bottom, values, strict=True)]
    left.set(xlabel="nodes, planner", ylabel="CPU us a task", title="one planner, saturated")
    left.tick_params("x", labelrotation=30)
    right.tick_params("x", labelrotation=30)
    left.legend()
    for part, label in (("p50_ms", "p50"), ("p99_ms", "p99"), ("p999_ms", "p99.9")):
        right.plot(names, [r[part] for r in rows], marker="o", label=label)
    right.set(xlabel="nodes, planner", ylabel="ms", title="ask to binding at 280 tasks/s", yscale="log")
    right.legend()
    figure.savefig(RESULTS / "path.png", dpi=110)


if __name__ == "__main__":
    main()
