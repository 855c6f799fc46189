"""Stand-ins for the platform around one planner: the notice board, machines and owners. Standard library only.

They follow the protocol page: binary messages with owners, JSON lines with machines and the notice board. All
of them run in one event loop; the planner is a process of its own, started as the deploy file says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETUP, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 9, 12, 16, 44, 51, 52, 53
CAUSE, DESCRIPTION = 128, 130


class NotRunnable(Exception):
    """The case could not be played as it is meant."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def line(self, text: str) -> float:
        """Write a line and return its time."""
        at = self.now()
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()
        return at


def classes() -> list[dict[str, Any]]:
    """Return the two classes of a small deployment, one repeatable and one keyed."""
    common = {"long_lived": True, "late_worth": 0.1}
    worker = {
        "name": "worker",
        "effect": "repeatable",
        "dedup_scope": "all",
        "window_us": 5_000_000,
        "promise_us": 3_500_000,
        "deadline_us": 7_500_000,
        "worth": 1.0,
    }
    ingest = {
        "name": "ingest",
        "effect": "by_key",
        "dedup_scope": "cell",
        "window_us": 8_000_000,
        "promise_us": 600_000,
        "deadline_us": 8_000_000,
        "worth": 5.0,
    }
    return [common | worker, common | ingest]


def settings() -> dict[str, Any]:
    """Return settings with the figures of the protocol note's example."""
    return {
        "classes": classes(),
        "client_habits": {"marks_retry": True},
        "contract": {
            "answer_slack_us": 8_000,
            "ask_within_us": 10_000_000,
            "cold_from": 0.16,
            "drain_grace_us": 250_000,
            "fall_multiple": 2.0,
            "fall_us": 1_500_000,
            "ramp_time_us": 17_000_000,
        },
        "dcs": ["wien-arsenal"],
        "family_info": {
            "accepts_cores": 4.0,
            "class_kind": [-1, -1],
            "class_most": [1, 3],
            "class_start_s": [8.0, 8.0],
            "confirms": "running",
            "easy_until": [1.0, 0.8],
            "evict_counts": 2.0,
            "fresh_offers": 62.0,
            "lost_after": [1.0, 0.25],
            "mem_booking": 2.0,
            "mem_of_kind": [140.0, 179.0],
            "one_home": False,
            "owner_wait_us": 3_000_000,
            "preempts": True,
            "priority_by_class": [0, 1],
            "quota_cores": [],
            "report_counts": "asked",
            "says_pressure": False,
            "shows_free": True,
            "size_cores": [39, 61],
            "spread_by": ["machine", "cell"],
            "tells_use": False,
            "turned_down_price": 0.02,
            "unit_cores": 0.58,
            "unit_memory": 1.67,
        },
        "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
        "group_size": 1,
        "kind_of_service": "place",
        "kinds": ["node-32", "node-64"],
        "layer": 0,
        "limits": {
            "at_once_per_conn": 1_048_576,
            "conn_idle_us": 30_000_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 750_852,
            "dial_timeout_us": 250_000,
            "max_attempts": 3,
            "max_open": 1_501_705,
            "max_retry_after_us": 3_000_000,
            "may_cancel": True,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "over_share_worth": 0.1,
        "parties": [],
        "penalties": {"handshake": 0.0, "moves": 0.05, "probe": 0.003, "waste": 0.08},
        "position": 0,
        "quantum_us": 2_000,
        "registry_mode": "ask",
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "tiers": ["rechenknoten"],
        "weight_kind": "none",
        "worth_by": "work",
        "zone": 0,
    }


# The notice board


class Watch:
    """One connection of the planner to the board."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number = number
        self.writer = writer
        self.is_told = False  # its first events were sent; later ones follow at once


class Board:
    """The notice board: numbered events, all of which follow on each watch, and the last number each second.

    ``answer_delay_s``: how long a new watch waits for its first line. Watches that are told already go on.
    """

    def __init__(self, record: Record, hosts: list[dict[str, Any]]) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.answer_delay_s = 0.0
        self.watches: list[Watch] = []
        self.address = ""
        self._count = 0
        self.publish(hosts, whole=True)

    def publish(self, hosts: list[dict[str, Any]], whole: bool = False) -> float:
        """Add an event and tell it on every watch that is told; return its time."""
        rev = len(self.events) + 1
        self.events.append({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": hosts}})
        states = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        at = self.record.line(f"board     event {rev}: {states}")
        for watch in self.watches:
            if watch.is_told:
                self._send(watch, self.events[-1])
        return at

    def known(self) -> dict[str, Any]:
        """Return the events so far, as the configuration holds them."""
        return {"rev": len(self.events), "notices": list(self.events)}

    async def start(self) -> None:
        """Listen, and tell the last number each second."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        spawn(self._tick())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for watch in self.watches:
                if watch.is_told:
                    self._send(watch, {"rev": len(self.events)})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._count += 1
        watch = Watch(self._count, writer)
        try:
            line = await reader.readline()
            last = int(line.split()[1])
            delay_s = self.answer_delay_s
            told = f"answered after {delay_s:g} s" if delay_s else "answered at once"
            self.record.line(f"board     watch {watch.number} opened, from event {last}; {told}")
            self.watches.append(watch)
            spawn(self._first_answer(watch, last, delay_s))
            await reader.read(1)
        except (OSError, IndexError, ValueError):
            pass
        if watch in self.watches:
            self.watches.remove(watch)
            state = "which works" if watch.is_told else "which waits for its first line"
            self.record.line(f"board     watch {watch.number}, {state}, closed by the planner")
        writer.close()

    async def _first_answer(self, watch: Watch, last: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if watch not in self.watches:
            return
        for event in self.events[last:]:
            self._send(watch, event)
        watch.is_told = True

    @staticmethod
    def _send(watch: Watch, value: dict[str, Any]) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            watch.writer.write(json.dumps(value).encode() + b"\n")


# Machines


class Machine:
    """A machine that starts each task that it is sent and lets it stand until it is ended.

    ``refuses``: the note with which it refuses set-ups, or nothing. ``vanish``: from then on it says nothing,
    its open connections stay open, and new ones never come up.
    """

    def __init__(self, record: Record, name: str, block: int, start_s: float = 0.03) -> None:
        self.record = record
        self.name = name
        self.block = block
        self.start_s = start_s
        self.born_ms = 0
        self.refuses = ""
        self.has_vanished = False
        self.launches: list[tuple[float, str]] = []  # set-ups by time and id
        self.stands: dict[str, asyncio.StreamWriter] = {}  # tasks that stand, with the set-up's connection
        self.stops: list[tuple[float, str]] = []  # releases of the planner, by time and id
        self.connections: list[asyncio.StreamWriter] = []
        self.forgotten: set[asyncio.StreamWriter] = set()  # reset as soon as something arrives on them
        self.said_at = 0.0  # when it last said something
        self._unheard: list[bytes] = []  # releases that also go on the next connection
        self._listener: socket.socket
        self._server: asyncio.Server
        self._fillers: list[socket.socket] = []
        self.address = ""

    def entry(self, health: str = "SERVING") -> dict[str, Any]:
        """Return its entry of the notice board."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "wien-arsenal",
            "class": "node-32",
            "block": self.block,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
            "spare": [30.0, 120.0],
        }

    async def start(self) -> None:
        """Listen at a free address, or again at the one it had."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=self._listener)

    def die(self) -> None:
        """Stop as a killed process does: connections are reset, tasks are cut, nobody listens."""
        self.record.line(f"machine   {self.name} dies with {len(self.stands)} tasks")
        self._server.close()
        self.stands.clear()
        for writer in self.connections:
            reset(writer)
        self.connections.clear()
        self._unheard.clear()

    def vanish(self) -> float:
        """Say nothing more. The backlog is filled, so that the system leaves new connections unanswered."""
        at = self.record.line(f"machine   {self.name} vanishes with the tasks {', '.join(self.stands)}")
        self.has_vanished = True
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        self._listener.listen(0)
        host, _, port = self.address.rpartition(":")
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, int(port)))
            self._fillers.append(filler)
        for writer in self.connections:
            with contextlib.suppress(RuntimeError):
                writer.transport.pause_reading()  # type: ignore[attr-defined]
        return at

    def forget_connections(self) -> None:
        """Forget all connections, as a system that has dropped them: what arrives on one is answered by a reset."""
        self.forgotten.update(self.connections)
        self.record.line(f"machine   {self.name} forgets {len(self.connections)} idle connections")
        self.connections.clear()

    def end(self, task: str, cause: int, note: str = "") -> float:
        """End a task that stands and say so; return the time."""
        writer = self.stands.pop(task)
        meta = {"note": note} if note else {}
        line = self._line("stop", task, meta, reason=cause)
        if writer.is_closing() or writer not in self.connections:
            usable = [w for w in self.connections if not w.is_closing()]
            writer = usable[-1] if usable else writer
        self._say(writer, line)
        self._unheard.append(line)
        return self.record.line(f"machine   {self.name} ends {task}, cause {cause} {note}")

    @staticmethod
    def _line(kind: str, task: str, meta: dict[str, Any], **more: Any) -> bytes:
        return json.dumps({"kind": kind, "uid": task, "meta": meta, **more}).encode() + b"\n"

    def _say(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if self.has_vanished:
            return
        self.said_at = self.record.now()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        unheard, self._unheard = self._unheard, []
        for line in unheard:
            self._say(writer, line)
        try:
            while line := await reader.readline():
                if self.has_vanished:
                    await asyncio.sleep(3600)
                if writer in self.forgotten:
                    self.record.line(
                        f"machine   {self.name} resets a forgotten connection at {line.decode().strip()}"
                    )
                    reset(writer)
                    return
                self._received(writer, json.loads(line))
        except (OSError, ValueError):
            pass
        if not self.has_vanished:
            if writer in self.connections:
                self.connections.remove(writer)
            writer.close()

    def _received(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        kind, task = message["kind"], message["uid"]
        if kind == "check":
            meta = {"load": "x0:30;x1:120;utilization:0.2"} if message.get("reason") == 1 else {}
            self._say(writer, self._line("checked", task, meta, reason=1))
        elif kind == "launch":
            at = self.record.line(f"machine   {self.name} is sent {task} ({message['meta'].get('class')})")
            self.launches.append((at, task))
            if self.refuses:
                self._say(writer, self._line("stop", task, {"note": self.refuses}, reason=34))
                self.record.line(f"machine   {self.name} refuses {task}, note {self.refuses}")
            else:
                spawn(self._begin(writer, task))
        elif kind == "stop":
            at = self.record.line(f"machine   {self.name} is told to stop {task}, cause {message['reason']}")
            self.stops.append((at, task))
            if task in self.stands:
                self.stands[task] = writer
                self.end(task, 31)

    async def _begin(self, writer: asyncio.StreamWriter, task: str) -> None:
        await asyncio.sleep(self.start_s)
        if writer.is_closing() or self.has_vanished:
            return
        if any(stopped == task for _, stopped in self.stops):
            return
        self.stands[task] = writer
        self._say(writer, self._line("running", task, {}, body=f"stands at {self.name}: {task}"))
        self.record.line(f"machine   {self.name} runs {task}")


# Owners


def pack(kind: int, task: str, fields: dict[int, str], cause: int | None = None) -> bytes:
    """Return a binary message."""
    body = b"".join(struct.pack(">BH", code, len(v.encode())) + v.encode() for code, v in fields.items())
    if cause is not None:
        body += struct.pack(">BHB", CAUSE, 1, cause)
    return struct.pack(">HB8s", 9 + len(body), kind, bytes.fromhex(task)) + body


class Task:
    """A task as its owner knows it: when it was asked for, answered and released, and the causes."""

    def __init__(self, id: str, task_class: str, asked_at: float) -> None:
        self.id = id
        self.task_class = task_class
        self.asked_at = asked_at
        self.fields: dict[int, str] = {}
        self.answered_at = 0.0
        self.answer = ""
        self.released_at = 0.0
        self.cause = 0
        self.done = asyncio.Event()  # answered or released


class Owner:
    """One owner with a connection, from an address of its own (``host``)."""

    _ids = 0

    def __init__(self, record: Record, name: str, planner: str, host: str = "127.0.0.1") -> None:
        self.record = record
        self.name = name
        self.planner = planner
        self.host = host
        self.tasks: dict[str, Task] = {}
        self.foreign: list[tuple[float, str]] = []  # what came about tasks of others
        self.tests: dict[str, asyncio.Event] = {}
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open a connection to the planner."""
        host, _, port = self.planner.rpartition(":")
        reader, self.writer = await asyncio.open_connection(host, int(port), local_addr=(self.host, 0))
        spawn(self._read(reader, self.writer))

    def disconnect(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.record.line(f"owner     {self.name} closes its connection")
            self.writer.close()
            self.writer = None

    @classmethod
    def new_id(cls) -> str:
        """Return an id that no other message has."""
        cls._ids += 1
        return f"{(os.getpid() << 32) + cls._ids:016x}"

    async def ask(self, task_class: str = "worker", wait_ms: int = 7_500, service: str = "") -> Task:
        """Ask for a task to be placed; a new connection is opened where none is open."""
        if self.writer is None:
            await self.connect()
        id = self.new_id()
        task = self.tasks[id] = Task(id, task_class, self.record.now())
        task.fields = {
            100: task_class,
            102: str(wait_ms),
            108: "7f" + id[2:],
            110: f"cores:0.25;memory:1;service:{service or 'a1' + id[2:]}",
        }
        if task_class == "ingest":
            task.fields[126] = id + id
        self._send(pack(SETUP, id, task.fields | {DESCRIPTION: f"start {id}"}))
        self.record.line(f"owner     {self.name} asks for {id} ({task_class})")
        return task

    async def hand_over(self, task: Task, machine: str) -> None:
        """Hand over a task that stands, as after a planner's start."""
        if self.writer is None:
            await self.connect()
        fields = dict(task.fields)
        fields[110] += f";at:{machine}"
        self._send(pack(SETUP, task.id, fields | {DESCRIPTION: f"start {task.id}"}))
        self.record.line(f"owner     {self.name} hands over {task.id}, at {machine}")

    def release(self, task: Task) -> None:
        """End a task that stands."""
        self.record.line(f"owner     {self.name} ends {task.id}")
        self._send(pack(RELEASE, task.id, {}, 16))

    async def test(self, timeout_s: float = 1.0) -> bool:
        """Test the planner; return whether it passes."""
        if self.writer is None:
            await self.connect()
        id = self.new_id()
        passed = self.tests[id] = asyncio.Event()
        self._send(pack(TEST, id, {}, 0))
        try:
            await asyncio.wait_for(passed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def _send(self, data: bytes) -> None:
        if self.writer is not None:
            self.writer.write(data)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readexactly(2)
                data = await reader.readexactly(int.from_bytes(head, "big"))
                self._received(data[0], data[1:9].hex(), parameters(data[9:]))
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()
        if self.writer is writer:
            self.writer = None
            self.record.line(f"owner     {self.name}'s connection has ended")

    def _received(self, kind: int, id: str, values: dict[int, bytes]) -> None:
        cause = values.get(CAUSE, b"\0")[0]
        if kind == TESTED:
            if cause == 1 and id in self.tests:
                self.tests[id].set()
            return
        task = self.tasks.get(id)
        if task is None:
            at = self.record.line(
                f"owner     {self.name} is sent type {kind}, cause {cause}, for {id}: not its own"
            )
            self.foreign.append((at, id))
        elif kind == ANSWER:
            task.answered_at = self.record.line(f"owner     {self.name} has the answer for {id}")
            task.answer = values.get(DESCRIPTION, b"").decode()
            task.done.set()
        elif kind in (RELEASE, MOVE):
            task.released_at = self.record.line(
                f"owner     {self.name} has the release of {id}, cause {cause}"
            )
            task.cause = cause
            task.done.set()


def parameters(data: bytes) -> dict[int, bytes]:
    """Return a message's parameters by code."""
    values = {}
    at = 0
    while at + 3 <= len(data):
        code, size = struct.unpack_from(">BH", data, at)
        values[code] = data[at + 3 : at + 3 + size]
        at += 3 + size
    return values


# The planner


class Planner:
    """One planner process, started by the line ``run`` of the deploy file."""

    def __init__(self, record: Record, folder: Path, board: Board, name: str = "n0") -> None:
        self.record = record
        self.folder = folder
        self.board = board
        self.name = name
        self.listen = f"127.0.0.1:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_config(self) -> Path:
        """Write the configuration file, whole at once."""
        path = self.folder / f"{self.name}.json"
        value = {
            "name": self.name,
            "listen": self.listen,
            "seed": f"{0x8C1F30D27A5BE964 + self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "board": self.board.address,
            "known": self.board.known(),
            "settings": settings(),
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(value), encoding="utf-8")
        new.replace(path)
        return path

    async def start(self) -> None:
        """Start the process; it need not be ready yet."""
        self.starts += 1
        path = self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self.folder / f"tmp{self.starts}"
        temporary.mkdir()
        variables = {
            "GW_NAME": self.name,
            "GW_LISTEN": self.listen,
            "GW_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        log = (self.folder / "planner.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=dict(os.environ) | variables, stdout=log, stderr=log
        )
        log.close()
        self.record.line(f"planner   {self.name} is started")

    async def ready(self, owner: Owner, timeout_s: float = 30.0) -> None:
        """Wait until the planner passes a test."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                raise NotRunnable("the planner has ended")
            try:
                if await owner.test():
                    self.record.line(f"planner   {self.name} passes a test")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise NotRunnable("the planner was not ready in time")

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    async def kill(self) -> None:
        """Kill the process outright."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.line(f"planner   {self.name} is killed")


# Running a case


_background: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine beside the others."""
    running = asyncio.get_running_loop().create_task(work)
    _background.add(running)
    running.add_done_callback(_background.discard)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def free_port() -> int:
    """Return a port that nobody uses at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
    return port


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def wait_for(condition: Callable[[], Any], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.01)
    return True


class Stage:
    """The record, the temporary folder, the board, the machines and the planner of a case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.machines: list[Machine] = []
        self.board: Board
        self.planner: Planner

    async def open(self, machines: int, start_s: float = 0.03) -> None:
        """Start machines and the board, and make a planner that is not started yet."""
        for number in range(machines):
            machine = Machine(self.record, f"s-{number + 1:08x}", 1 + number // 3, start_s)
            await machine.start()
            self.machines.append(machine)
        self.board = Board(self.record, [machine.entry() for machine in self.machines])
        await self.board.start()
        self.planner = Planner(self.record, self.folder, self.board)

    def owner(self, name: str, host: str = "127.0.0.1") -> Owner:
        """Return an owner of tasks."""
        return Owner(self.record, name, self.planner.listen, host)


def play(case: Callable[[Stage], Coroutine[Any, Any, list[str]]]) -> None:
    """Play a case and exit: 1 with the breaches that it returns, 0 without any, 2 if it could not run."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.line(f"case      TROUBLE={1 if has_trouble() else 0}")
    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.new_event_loop().run_until_complete(_play(case, record, Path(folder)))
    sys.stdout.flush()
    os._exit(code)  # whatever the stand-ins still wait for ends with the process


async def _play(case: Callable[[Stage], Coroutine[Any, Any, list[str]]], record: Record, folder: Path) -> int:
    stage = Stage(record, folder)
    code = NOT_RUN
    playing = asyncio.ensure_future(case(stage))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        breaches = await asyncio.wait_for(playing, 100)
        if stage.planner.has_ended():
            raise NotRunnable("the planner has ended by itself")
        for breach in breaches:
            record.line(f"BROKEN    {breach}")
            print(f"broken: {breach}")
        code = BROKEN if breaches else HELD
    except (NotRunnable, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.line(f"case      could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)  # the case is over
        if hasattr(stage, "planner"):
            await stage.planner.kill()
            log = folder / "planner.log"
            if log.exists():
                for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[:200]:
                    record.line(f"log       {line}")
    record.line(f"case      exit {code}")
    return code
