"""A planner that prints what it has counted and used so far, as a line of JSON, each time it gets SIGUSR1.

python counted_planner.py FILE [--samples | --calls]

Processor time is that of the one thread that does all the work, so that time in which other processes had
the processor does not count. ``--samples`` looks every few milliseconds of used processor time which part of
the program runs; ``--calls`` counts Python function calls by part (slow: its times mean nothing). The
counters and samples of a window are the difference of the two lines printed around it.
"""

from __future__ import annotations

import cProfile
import gc
import json
import logging
import pstats
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from types import FrameType
from typing import Any

import gevent
import h2.connection
import structlog

from stairplank.cli.processes import end_with_stdin
from stairplank.planner import events as ev
from stairplank.planner.daemon import Daemon
from stairplank.planner.node_connection import NodeConnection
from stairplank.rpc.stream import Stream
from stairplank.rpc.writer import ConnectionWriter
from stairplank.settings import load_planner

SAMPLE_S = 0.001  # of processor time; the kernel rounds it up to its tick
PARTS = (  # file name fragment, part: the first that matches
    ("stairplank/decisions/", "module"),
    ("stairplank/interface.py", "module"),
    ("stairplank/planner/daemon.py", "driver"),
    ("stairplank/planner/placement_service.py", "driver"),
    ("stairplank/planner/node_connection.py", "driver"),
    ("stairplank/planner/node_connections.py", "driver"),
    ("stairplank/planner/node_list_watch.py", "driver"),
    ("stairplank/planner/convert.py", "driver"),
    ("stairplank/planner/stall_detector.py", "driver"),
    ("stairplank/planner/", "core"),
    ("stairplank/fence/", "fence"),
    ("stairplank/rpc/", "rpc"),
    ("stairplank/proto/", "rpc"),
    ("/h2/", "h2"),
    ("/hyperframe/", "h2"),
    ("/hpack/", "h2"),
    ("/gevent/", "gevent"),
)


def part_of_file(name: str) -> str:
    for fragment, part in PARTS:
        if fragment in name:
            return part
    return "other"


class Counts:
    """Counters of one planner's process; only ever growing."""

    def __init__(self) -> None:
        self.numbers: Counter[str] = Counter()
        self.samples: Counter[str] = Counter()
        self.profile: cProfile.Profile | None = None

    def add(self, name: str, amount: int = 1) -> None:
        self.numbers[name] += amount

    def timed(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        """``call``, its processor time summed. Not for functions that wait: others run meanwhile."""

        def wrapped(*args: Any) -> Any:
            began = time.thread_time_ns()
            try:
                return call(*args)
            finally:
                self.numbers[f"{name}_ns"] += time.thread_time_ns() - began
                self.numbers[f"{name}_calls"] += 1

        return wrapped

    def sample(self, number: int, frame: FrameType | None) -> None:
        while frame is not None:
            part = part_of_file(frame.f_code.co_filename)
            if part != "other":
                self.samples[part] += 1
                return
            frame = frame.f_back
        self.samples["other"] += 1


def count_module(counts: Counts, daemon: Daemon) -> None:
    """Processor time of the decision module by kind of event, and of the core around it."""
    module, core = daemon.core.module, daemon.core
    handle = module.handle
    by_kind: dict[str, Callable[..., Any]] = {}

    def handle_by_kind(now: int, event: Any) -> Any:
        kind = type(event).__name__
        if kind not in by_kind:
            by_kind[kind] = counts.timed(f"module_{kind}", handle)
        return by_kind[kind](now, event)

    module.handle = handle_by_kind  # type: ignore[method-assign]
    core.handle = counts.timed("core_and_module", core.handle)  # type: ignore[method-assign]
    core.handle_after_stall = counts.timed("core_and_module", core.handle_after_stall)  # type: ignore[method-assign]
    for part, method, name in (  # the names of the counters are those of the stored results
        (module.health_checks, "check_least_recent", "decide_probe_one"),
        (module.selector, "select", "decide_choose"),
        (module.selector, "_stays_home", "decide_stays"),
        (module.selector, "_draw", "decide_draw"),
    ):
        setattr(part, method, counts.timed(name, getattr(part, method)))


def count_timers(counts: Counts, daemon: Daemon) -> None:
    """Timers of the core that came due, by what they call."""
    context = daemon.core.context
    pop_due = context.pop_due

    def counted() -> Any:
        due = pop_due()
        if due is not None:
            counts.add(f"timer_{due.callback.__qualname__}")
        return due

    context.pop_due = counted  # type: ignore[method-assign]


def count_events(counts: Counts) -> None:
    feed = Daemon.handle

    def counted(self: Daemon, event: ev.Event) -> None:
        counts.add(f"event_{type(event).__name__}")
        if isinstance(event, ev.NodeListReceived):
            counts.add("list_entries", len(event.nodes))
        feed(self, event)

    Daemon.handle = counted  # type: ignore[method-assign]


def count_transport(counts: Counts) -> None:
    """Messages, bytes, turns of the writers, keepalive pings; processor time of framing."""
    try_send, recv, ping = Stream.try_send, Stream.recv, h2.connection.H2Connection.ping
    link_send = NodeConnection.send

    def counted_send(self: Stream, message: bytes) -> bool:
        counts.add("messages_out")
        counts.add("bytes_out", len(message))
        return try_send(self, message)

    def counted_recv(self: Stream, timeout_s: float | None = None) -> bytes | None:
        message = recv(self, timeout_s)
        counts.add("messages_in")
        counts.add("bytes_in", len(message or b""))
        return message

    def counted_link_send(self: NodeConnection, message: Any, id: Any) -> bool:
        counts.add(f"to_node_{message.WhichOneof('kind')}")
        return link_send(self, message, id)

    def counted_ping(self: Any, data: Any) -> None:
        counts.add("keepalive_pings")
        ping(self, data)

    Stream.try_send = counted_send  # type: ignore[method-assign]
    Stream.recv = counted_recv  # type: ignore[method-assign]
    NodeConnection.send = counted_link_send  # type: ignore[method-assign]
    protocol: Any = h2.connection.H2Connection
    protocol.ping = counted_ping
    protocol.receive_data = counts.timed("h2_receive", protocol.receive_data)  # one for each read
    writer: Any = ConnectionWriter
    writer._fill = counts.timed("fill", writer._fill)  # one for each turn of a writer


def called(profile: cProfile.Profile) -> dict[str, int]:
    """Function calls by part, and those of built-in functions."""
    calls: Counter[str] = Counter()
    for (file, _, _), (_, number, *_) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        calls["builtin" if file == "~" else part_of_file(file)] += number
    return dict(calls)


def main() -> None:
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),  # as the command does by default
        cache_logger_on_first_use=True,
    )
    end_with_stdin()
    counts = Counts()
    count_events(counts)
    count_transport(counts)
    daemon = Daemon(load_planner(sys.argv[1]))
    count_module(counts, daemon)
    count_timers(counts, daemon)
    gc.callbacks.append(
        lambda phase, info: counts.add(f"gc_{info['generation']}") if phase == "stop" else None
    )
    if "--samples" in sys.argv:
        signal.signal(signal.SIGPROF, counts.sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)

    def say() -> None:
        if counts.profile is not None:
            counts.profile.disable()
            print(json.dumps(called(counts.profile)), flush=True)
            counts.profile = None
            return
        used = resource.getrusage(resource.RUSAGE_SELF)
        line = {
            "cpu_ns": time.process_time_ns(),
            "user_s": used.ru_utime,
            "system_s": used.ru_stime,
            "wake_ups": used.ru_nvcsw,  # voluntary context switches: waits of the event loop that blocked
            "preempted": used.ru_nivcsw,
            "loop_turns": gevent.get_hub().loop.iteration,
            **counts.numbers,
            **{f"core_{name}": number for name, number in daemon.core.counts.items()},
            **{f"samples_{part}": number for part, number in counts.samples.items()},
        }
        print(json.dumps(line), flush=True)
        if "--calls" in sys.argv:
            counts.profile = cProfile.Profile()
            counts.profile.enable()

    gevent.signal_handler(signal.SIGUSR1, say)
    code = daemon.run()
    print(json.dumps({"code": code}))
    sys.exit(code)


if __name__ == "__main__":
    main()
