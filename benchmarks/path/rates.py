"""What one task costs the planner's processor at low rates of asks and at full load, and where it goes.

    python benchmarks/path/run.py --rates 0,7.4,26,52,280,full [--nodes 820] [--planners 7] [--seconds 20]
        [--runs 2] [--price-probe 0.003] [--burst 1] [--samples | --calls] [--name base] [--out FILE]

One planner stays up for all rates of a run. At each rate asks arrive at random times (open loop; ``full``
keeps 512 asks under way), tasks live one second, and after a warm-up the counters of counted_planner.py are
read before and after the window. What the rate 0 shows is idle cost and is taken off in proportion to time.
``--out`` adds the runs, under their name, to those that the file has; ``--table FILE`` prints them.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import gevent.subprocess
from hdrh.histogram import HdrHistogram
from run import PRICE_PROBE, Room, ask

from stairplank.rpc import RpcError

LIFE_MS = 1000.0
WARM_S = 2.5  # tasks end as fast as they start by then
SETTLE_S = 1.5  # between two rates: what ran has ended
PERF_START_S = 0.2  # until perf counts
AT_ONCE = 512  # asks under way at full load
FULL = "full"
HARDWARE = ("instructions:u", "instructions:k", "cycles:u", "cycles:k", "cache-misses")  # where perf can


class Owner:
    """Asks at a rate, and notes how long each took."""

    def __init__(self, room: Room) -> None:
        self.room = room
        self.rng = random.Random(4)
        self.due: dict[int, float] = {}
        self.last = 0
        self.placed = 0
        self.late = HdrHistogram(1, 60_000_000, 3)
        gevent.spawn(self.read)

    def read(self) -> None:
        with contextlib.suppress(RpcError):  # the room is closed
            while (event := self.room.call.recv()) is not None:
                if event.WhichOneof("kind") == "placed":
                    late_s = time.monotonic() - self.due.pop(event.placed.ask)
                    self.late.record_value(max(1, int(late_s * 1e6)))
                    self.placed += 1

    def send(self, due: float) -> None:
        self.last += 1
        self.due[self.last] = due
        self.room.call.send(ask(self.last))

    def at_rate(self, rate: float, burst: int) -> None:
        """Asks at this mean rate, so many at each of the random times."""
        due = time.monotonic()
        while rate:
            due += self.rng.expovariate(rate / burst)
            gevent.sleep(max(0.0, due - time.monotonic()))
            for _ in range(burst):
                self.send(due)

    def at_full_load(self) -> None:
        while True:
            while len(self.due) < AT_ONCE:
                self.send(time.monotonic())
            gevent.sleep(0.001)


class HardwareCounters:
    """``perf stat`` on the planner's process, where the machine has it: no figure of time, so no noise."""

    def __init__(self, process: int) -> None:
        self.perf: Any = None
        if shutil.which("perf"):
            command = ["perf", "stat", "-x", ",", "-e", ",".join(HARDWARE), "-p", str(process)]
            self.perf = gevent.subprocess.Popen(command, stderr=subprocess.PIPE)

    def read(self) -> dict[str, float]:
        """Counted since the start; ends it."""
        if self.perf is None:
            return {}
        self.perf.send_signal(signal.SIGINT)
        lines = [line.split(",") for line in self.perf.communicate()[1].decode().splitlines()]
        return {fields[2]: float(fields[0]) for fields in lines if len(fields) > 2 and fields[0].isdigit()}


def counted(room: Room) -> dict[str, float]:
    """The planner's counters, now."""
    room.planner.send_signal(signal.SIGUSR1)
    with gevent.Timeout(10):
        line: dict[str, float] = json.loads(room.planner.stdout.readline())
    return line


def window(room: Room, owner: Owner, rate: str, args: argparse.Namespace) -> dict[str, Any]:
    """Counters of one window at one rate, as differences; function calls as they are."""
    sender: Any
    if rate == FULL:
        sender = gevent.spawn(owner.at_full_load)
    else:
        sender = gevent.spawn(owner.at_rate, float(rate), args.burst)
    gevent.sleep(WARM_S)
    owner.late.reset()
    hardware = HardwareCounters(room.planner.pid)
    gevent.sleep(PERF_START_S)
    before, placed, began = counted(room), owner.placed, time.monotonic()
    gevent.sleep(args.seconds)
    after, took = counted(room), time.monotonic() - began
    events = hardware.read()
    tasks, histogram = owner.placed - placed, owner.late
    row: dict[str, Any] = {"rate": rate, "seconds": took, "tasks": tasks}
    row["counts"] = after if args.calls else {k: v - before.get(k, 0) for k, v in after.items()}
    if not args.calls:
        counted_s = time.monotonic() - began + PERF_START_S
        row["counts"].update({name: number * took / counted_s for name, number in events.items()})
    if tasks:
        row["p50_ms"] = histogram.get_value_at_percentile(50) / 1e3
        row["p99_ms"] = histogram.get_value_at_percentile(99) / 1e3
    row["load_average"] = os.getloadavg()[0]
    sender.kill()
    gevent.sleep(SETTLE_S)
    return row


def per_task(row: dict[str, Any], idle: dict[str, Any]) -> dict[str, float]:
    """Every counter a task, idle cost taken off; processor time in microseconds."""
    share = row["seconds"] / idle["seconds"]
    names = row["counts"].keys()
    spent = {k: row["counts"][k] - idle["counts"].get(k, 0) * share for k in names}
    return {
        (k.removesuffix("_ns") + "_us" if k.endswith("_ns") else k): v
        / row["tasks"]
        / (1e3 if k.endswith("_ns") else 1)
        for k, v in spent.items()
    }


def measure(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The windows of one run, the rate 0 first."""
    mode = ["--samples"] if args.samples else ["--calls"] if args.calls else []
    program = ("counted_planner.py", *mode)
    room = Room(args.nodes, LIFE_MS, args.planners, program=program, price_probe=args.price_probe)
    owner = Owner(room)
    rows = [window(room, owner, rate, args) for rate in args.rates.split(",")]
    room.close()
    return rows


def show(row: dict[str, Any], idle: dict[str, Any]) -> None:
    shown = {k: v for k, v in row.items() if k != "counts"}
    counts = (
        per_task(row, idle) if row["tasks"] else {k: v / row["seconds"] for k, v in row["counts"].items()}
    )
    what = "a task" if row["tasks"] else "a second"
    print(
        json.dumps(shown), what, json.dumps({k: round(v, 3) for k, v in sorted(counts.items())}), flush=True
    )


COLUMNS: dict[str, Callable[[dict[str, float]], float]] = {  # of the table, from the figures a task
    "CPU us": lambda task: task["cpu_us"],
    "module": lambda task: module_us(task),
    "core": lambda task: task["core_and_module_us"] - module_us(task),
    "framing": lambda task: task["h2_receive_us"] + task["fill_us"],
    "rest": lambda task: (
        task["cpu_us"] - task["core_and_module_us"] - task["h2_receive_us"] - task["fill_us"]
    ),
    "instructions, million": lambda task: instructions(task) / 1e6,
    "cycles an instruction": lambda task: (task["cycles:u"] + task["cycles:k"]) / instructions(task),
    "cache misses, thousand": lambda task: task["cache-misses"] / 1e3,
    "loop turns": lambda task: task["loop_turns"],
    "messages": lambda task: task["messages_in"] + task["messages_out"],
    "probes": lambda task: task.get("core_probes", 0.0),
}


def module_us(task: dict[str, float]) -> float:
    return sum(v for k, v in task.items() if k.startswith("module_") and k.endswith("_us"))


def instructions(task: dict[str, float]) -> float:
    return task["instructions:u"] + task["instructions:k"]


def short(figure: float) -> str:
    return f"{figure:.0f}" if abs(figure) >= 100 else f"{figure:.3g}"


def table(kept: list[dict[str, Any]]) -> str:
    """Markdown, a row for each setting and rate, with the figures of each run."""
    rows: dict[tuple[str, str], list[dict[str, float]]] = {}
    for run in kept:
        idle, *others = run["windows"]
        for row in others:
            if "instructions:u" in row["counts"] and not run["settings"]["samples"]:
                rows.setdefault((run["name"], row["rate"]), []).append(per_task(row, idle))
    lines = [f"| setting | tasks/s | {' | '.join(COLUMNS)} |", "| --- " * (2 + len(COLUMNS)) + "|"]
    for (name, rate), tasks in rows.items():
        cells = [", ".join(short(figure(task)) for task in tasks) for figure in COLUMNS.values()]
        lines.append(f"| {name} | {rate} | {' | '.join(cells)} |")
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default=f"0,7.4,26,52,280,{FULL}")
    parser.add_argument("--nodes", type=int, default=820)
    parser.add_argument("--planners", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--runs", type=int, default=2)
    parser.add_argument("--price-probe", type=float, default=PRICE_PROBE)
    parser.add_argument("--burst", type=int, default=1, help="asks that arrive together")
    parser.add_argument("--samples", action="store_true")
    parser.add_argument("--calls", action="store_true")
    parser.add_argument("--name", default="base")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--table", type=Path, help="only print the table of this results file")
    args = parser.parse_args()
    if args.table is not None:
        print(table(json.loads(args.table.read_text())))
        return
    if float(args.rates.split(",")[0]):
        parser.error("--rates: the first must be 0, the others are counted above it")
    for _ in range(args.runs):
        began = time.strftime("%H:%M:%S", time.gmtime())
        rows = measure(args)
        for row in rows:
            show(row, rows[0])
        if args.out is not None:
            keep(args, began, rows)


def keep(args: argparse.Namespace, began: str, rows: list[dict[str, Any]]) -> None:
    """Add a run to the results file."""
    kept = json.loads(args.out.read_text()) if args.out.exists() else []
    settings = {k: v for k, v in vars(args).items() if k not in ("out", "name", "runs", "rates", "table")}
    kept.append({"name": args.name, "began": began, "settings": settings, "windows": rows})
    runs = [json.dumps(run).replace('{"rate"', '\n  {"rate"') for run in kept]  # a line for each window
    args.out.write_text("[\n" + ",\n".join(runs) + "\n]\n")


if __name__ == "__main__":
    main()
