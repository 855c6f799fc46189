"""Stand-ins for the cases 6 to 10: owners, machines, the notice board, and the planner under review.

They follow the protocol page and nothing else, use the standard library alone and import nothing of the
project. The planner is a process of its own, started by the line `run` of deploy/balancer.toml. Owners,
machines and the board live in the process of the case, each on loopback sockets of its own.

Every message goes to record.txt: seconds since the start, who said it to whom, and what was said.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LIMIT_S = 112.0  # the case ends by itself before its 120 s are over
HELD, BROKEN, NOT_RUN = 0, 1, 2

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
KINDS = {
    SET_UP: "set-up",
    PROGRESS: "progress",
    ANSWER: "answer",
    RELEASE: "release",
    HEARD: "heard",
    NOTE: "note",
    MOVE: "move",
    TEST: "test",
    TESTED: "tested",
}
CODES = {"class": 100, "left": 102, "retry": 106, "key": 108, "figures": 110, "wait": 112, "idem": 126}
CAUSE, DESCRIPTION = 128, 130


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """The lines of record.txt."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, who: str, what: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f}  {who:<28} {what}")


class Case:
    """What one run of a case needs: record, temporary folder, and all that must be ended."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.planners: list[Planner] = []
        self.last_id = int.from_bytes(os.urandom(6), "big") << 8

    def new_id(self) -> str:
        """Return an id, a name or a key of 16 hexadecimal digits that was not used before."""
        self.last_id += 1
        return f"{self.last_id:016x}"

    def say(self, what: str) -> None:
        """Record a step of the case."""
        self.record.add("case", what)

    def end(self, code: int) -> None:
        """End every process and write the record."""
        for planner in self.planners:
            planner.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)
        verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
        self.say(f"trouble {int(self.trouble)}: {verdict}")
        (self.folder / "record.txt").write_text("\n".join(self.record.lines) + "\n")


def play(folder: Path, scenario: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a scenario, which returns the breaches of the rule, and exit with the code for it."""
    case = Case(folder)
    code = NOT_RUN
    try:
        breaches = asyncio.run(asyncio.wait_for(scenario(case), LIMIT_S))
        for breach in breaches:
            case.say(f"BROKEN: {breach}")
        code = BROKEN if breaches else HELD
    except CannotRun as error:
        case.say(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001 - a fault of the case is no verdict
        case.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.end(code)
    print("\n".join(line for line in case.record.lines if "  case  " in line), flush=True)
    os._exit(code)  # all processes have ended; what the closed loop still holds needs no word


async def until(condition: Callable[[], Any], seconds: float) -> Any:
    """Wait until the condition holds, at most ``seconds``. Return its value."""
    end = time.monotonic() + seconds
    while not (value := condition()) and time.monotonic() < end:
        await asyncio.sleep(0.01)
    return value


async def expect(condition: Callable[[], Any], seconds: float, what: str) -> Any:
    """Wait until the condition holds. Raises CannotRun if it does not in time: the stage is not set."""
    value = await until(condition, seconds)
    if not value:
        raise CannotRun(f"{what} did not come about within {seconds:g} s")
    return value


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the system does for a process that dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The notice board


class Board:
    """The notice board: numbered events, and the last number each second."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.events: list[dict[str, Any]] = []
        self.address = ""

    async def start(self, machines: list[Machine]) -> None:
        """Listen; the first event holds the whole list."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.publish([machine.entry() for machine in machines], whole=True)

    def publish(self, entries: list[dict[str, Any]], whole: bool = False) -> None:
        """Add an event."""
        rev = len(self.events) + 1
        self.events.append({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": entries}})
        self.case.record.add("board", json.dumps(self.events[-1], separators=(",", ":")))

    def known(self) -> dict[str, Any]:
        """Return what a configuration holds under `known`."""
        return {"rev": len(self.events), "notices": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            told = int((await reader.readline()).split()[1])
            said_at = 0.0
            while not reader.at_eof():
                while told < len(self.events):
                    writer.write(json.dumps(self.events[told]).encode() + b"\n")
                    told += 1
                if time.monotonic() - said_at >= 1.0:
                    said_at = time.monotonic()
                    writer.write(b'{"rev":%d}\n' % told)
                await writer.drain()
                await asyncio.sleep(0.02)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            writer.close()


# Machines


class Standing:
    """A task at a machine."""

    def __init__(self, id: str, writer: asyncio.StreamWriter) -> None:
        self.id = id
        self.writer = writer
        self.runs = False


class Machine:
    """A machine: takes set-ups, answers once the task runs, and tells the end of each task.

    As the protocol page says, it sends what concerns a task on the connection of its set-up, else on any
    open one, and its release also on the next connection that opens.
    """

    def __init__(self, case: Case, name: str, spare: tuple[float, float] = (30.0, 90.0)) -> None:
        self.case = case
        self.name = name
        self.spare = spare
        self.host, self.port = "127.0.0.1", 0
        self.health = "SERVING"
        self.born_ms = 0
        self.start_s = 0.05  # how long a start takes
        self.is_full = False  # refuses every set-up
        self.is_silent = False
        self.tasks: dict[str, Standing] = {}
        self.started: list[tuple[float, str]] = []  # what has run here, with the time of its answer
        self.stopped: list[tuple[float, str, bool]] = []  # releases of the planner; whether the task ran
        self.connections: list[asyncio.StreamWriter] = []
        self.connection_count = 0
        self._to_repeat: list[dict[str, Any]] = []
        self._server: asyncio.Server | None = None
        self._barrier: list[socket.socket] = []

    @property
    def address(self) -> str:
        """The address on the notice board."""
        return f"{self.host}:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Return the machine's entry on the notice board."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "hall-1",
            "class": "std",
            "block": 1,
            "health": self.health,
            "share": 1,
            "born_ms": self.born_ms,
            "spare": list(self.spare),
        }

    async def listen(self, port: int = 0) -> None:
        """Listen, at a free port or at a given one."""
        self._server = await asyncio.start_server(self._serve, self.host, port, backlog=128)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """End as a killed process does: connections are reset, tasks are cut, nobody listens."""
        self.case.record.add(self.name, "dies: resets its connections and cuts its tasks")
        if self._server is not None:
            self._server.close()
        self.tasks.clear()
        self._to_repeat.clear()
        for writer in self.connections:
            reset(writer)
        self.connections.clear()

    def vanish(self) -> None:
        """Vanish: its open connections stay open and silent, new ones never come up, its tasks are gone."""
        self.case.record.add(self.name, "vanishes: says and hears nothing any more")
        self.is_silent = True
        self.tasks.clear()
        for writer in self.connections:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        if self._server is not None:
            self._server.close()
        self._bar()

    def _bar(self) -> None:
        """Let no new connection come up: listen with a queue that is full, so that dials are not answered."""
        barrier = socket.socket()
        barrier.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        barrier.bind((self.host, self.port))
        barrier.listen(0)
        self._barrier = [barrier]
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.host, self.port))
            self._barrier.append(sock)

    def leave_address(self) -> None:
        """Free the address of a machine that has vanished, for another."""
        for sock in self._barrier:
            sock.close()
        self._barrier = []

    def end_task(self, id: str, cause: int = 16) -> float:
        """End a task that stands, and tell so. Return the time."""
        task = self.tasks.pop(id)
        message = {"kind": "stop", "uid": id, "meta": {}, "reason": cause}
        open_ones = [task.writer] if task.writer in self.connections else self.connections[:1]
        for writer in open_ones:
            self._send(writer, message)
        self._to_repeat.append(message)
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        self.connection_count += 1
        self.case.record.add(self.name, f"connection {self.connection_count} comes up")
        to_repeat, self._to_repeat = self._to_repeat, []
        for message in to_repeat:
            self._send(writer, message)
        try:
            while line := await reader.readline():
                self._received(json.loads(line), writer)
        except (OSError, ValueError):
            pass
        if writer in self.connections:
            self.connections.remove(writer)
            writer.close()
            for task in list(self.tasks.values()):
                if task.writer is writer and not task.runs:
                    del self.tasks[task.id]  # closing a connection gives up its open set-ups

    def _send(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if self.is_silent:
            return
        self.case.record.add(f"{self.name} > planner", json.dumps(message, separators=(",", ":")))
        if not writer.is_closing():
            writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def _received(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        if self.is_silent:
            return
        self.case.record.add(f"planner > {self.name}", json.dumps(message, separators=(",", ":")))
        id = message["uid"]
        match message["kind"]:
            case "check":
                load = {"load": f"x0:{self.spare[0]:g};x1:{self.spare[1]:g};utilization:0.1"}
                meta = load if message.get("reason") else {}
                self._send(writer, {"kind": "checked", "uid": id, "meta": meta, "reason": 1})
            case "launch" if self.is_full:
                self._send(writer, {"kind": "stop", "uid": id, "meta": {"note": "nc"}, "reason": 34})
            case "launch":
                self.tasks[id] = Standing(id, writer)
                asyncio.get_running_loop().call_later(self.start_s, self._start, self.tasks[id])
            case "stop":
                task = self.tasks.pop(id, None)
                self.stopped.append((time.monotonic(), id, task is not None and task.runs))
                if task is not None and task.runs:
                    self._send(writer, {"kind": "stop", "uid": id, "meta": {}, "reason": 31})

    def _start(self, task: Standing) -> None:
        if self.tasks.get(task.id) is not task:
            return  # given up, or the machine has died
        task.runs = True
        self.started.append((time.monotonic(), task.id))
        body = f"runs {task.id} at {self.name}"
        self._send(task.writer, {"kind": "running", "uid": task.id, "meta": {}, "body": body})


# Owners


class Message:
    """A binary message as an owner received it."""

    def __init__(self, at: float, kind: int, id: str, cause: int | None, description: str) -> None:
        self.at, self.kind, self.id, self.cause, self.description = at, kind, id, cause, description

    def __str__(self) -> str:
        cause = "" if self.cause is None else f" cause {self.cause}"
        return f"{KINDS.get(self.kind, self.kind)} {self.id}{cause} {self.description}".rstrip()


class Connection:
    """One connection of an owner to a planner; reads all that comes."""

    def __init__(self, case: Case, owner: str) -> None:
        self.case, self.owner = case, owner
        self.earlier: list[Message] = []
        self.received: list[Message] = []
        self.is_closed = False
        self._reading: asyncio.Task[None] | None = None

    async def open(self, address: str, source: str = "127.0.0.1") -> Connection:
        """Connect from the address ``source``."""
        host, port = address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(host, int(port), local_addr=(source, 0))
        self.case.record.add(self.owner, f"connects from {source}")
        self._reading = asyncio.create_task(self._read())
        return self

    def close(self) -> None:
        """Close the connection."""
        self.case.record.add(self.owner, "closes its connection")
        self.is_closed = True
        self._writer.close()

    def set_up(
        self, id: str, task_class: str, name: str, service: str, at: str = "", left_ms: int = 6000
    ) -> None:
        """Send a set-up; with ``at``, hand over a task that this machine holds."""
        fields = {"class": task_class, "left": str(left_ms), "key": name}
        fields["figures"] = f"cores:1;memory:2;service:{service}" + (f";at:{at}" if at else "")
        self.send(SET_UP, id, fields, description=f"run {name}")

    def send(
        self,
        kind: int,
        id: str,
        fields: dict[str, str] | None = None,
        cause: int | None = None,
        description: str | None = None,
    ) -> None:
        """Send a message."""
        parts = b""
        for field, text in (fields or {}).items():
            parts += struct.pack(">BH", CODES[field], len(text)) + text.encode()
        if cause is not None:
            parts += struct.pack(">BHB", CAUSE, 1, cause)
        if description is not None:
            parts += struct.pack(">BH", DESCRIPTION, len(description)) + description.encode()
        told = " ".join(f"{k}={v}" for k, v in (fields or {}).items())
        said = f"{KINDS[kind]} {id} {told}" + ("" if cause is None else f" cause {cause}")
        self.case.record.add(f"{self.owner} > planner", said)
        self._writer.write(struct.pack(">HB", 9 + len(parts), kind) + bytes.fromhex(id) + parts)

    async def again(self, address: str, source: str = "127.0.0.1") -> Connection:
        """Return this connection, or a new one of the same owner where this one has ended."""
        if not self.is_closed:
            return self
        again = await Connection(self.case, self.owner).open(address, source)
        again.earlier = self.history
        return again

    @property
    def history(self) -> list[Message]:
        """All that the owner has received, also on the connections before this one."""
        return self.earlier + self.received

    def of(self, id: str, *kinds: int) -> list[Message]:
        """Return the messages on a task, of some kinds or all."""
        return [m for m in self.received if m.id == id and (not kinds or m.kind in kinds)]

    async def _read(self) -> None:
        try:
            while True:
                size = int.from_bytes(await self._reader.readexactly(2), "big")
                message = self._decode(await self._reader.readexactly(size))
                self.received.append(message)
                self.case.record.add(f"planner > {self.owner}", str(message))
        except (OSError, asyncio.IncompleteReadError):
            if not self.is_closed:
                self.case.record.add(self.owner, "its connection has ended")
            self.is_closed = True

    @staticmethod
    def _decode(data: bytes) -> Message:
        cause, description, at = None, "", 9
        while at < len(data):
            code, size = struct.unpack_from(">BH", data, at)
            value = data[at + 3 : at + 3 + size]
            at += 3 + size
            if code == CAUSE:
                cause = value[0]
            elif code == DESCRIPTION:
                description = value.decode()
        return Message(time.monotonic(), data[0], data[1:9].hex(), cause, description)


# The planner


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment with one planner."""
    common = {"long_lived": True, "late_worth": 0.1, "worth": 1.0, "dedup_scope": "all"}
    common |= {"promise_us": 2_000_000, "deadline_us": 6_000_000, "window_us": 8_000_000}
    return {
        "classes": [
            common | {"name": "worker", "effect": "repeatable"},
            common | {"name": "plan", "effect": "once"},
        ],
        "contract": {
            "answer_slack_us": 8000,
            "ask_within_us": 10_000_000,
            "cold_from": 0.2,
            "drain_grace_us": 250_000,
            "fall_multiple": 2.0,
            "fall_us": 1_500_000,
            "ramp_time_us": 12_000_000,
        },
        "dcs": ["hall-1"],
        "family_info": {
            "accepts_cores": 2.0,
            "class_kind": [-1, -1],
            "class_most": [0, 0],
            "class_start_s": [8.0, 8.0],
            "confirms": "running",
            "fresh_offers": 60.0,
            "mem_booking": 1.5,
            "mem_of_kind": [120.0],
            "owner_wait_us": 3_000_000,
            "preempts": True,
            "shows_free": True,
            "size_cores": [40],
            "spread_by": ["none", "none"],
            "quota_cores": [],
            "unit_cores": 0.6,
            "unit_memory": 1.7,
        },
        "group_size": 1,
        "kinds": ["std"],
        "limits": {
            "conn_idle_us": 30_000_000,
            "dial_timeout_us": 250_000,
            "max_attempts": 3,
            "max_retry_after_us": 3_000_000,
            "may_cancel": True,
            "probes": True,
            "retry_after": True,
        },
        "parties": [],
        "penalties": {"probe": 0.003},
        "position": 0,
        "quantum_us": 2000,
        "registry_mode": "push",
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "zone": 0,
    }


class Planner:
    """The planner under review, as `run` of the deploy file starts it."""

    def __init__(self, case: Case, board: Board, name: str = "n0") -> None:
        self.case, self.board, self.name = case, board, name
        self.address = f"127.0.0.1:{free_port()}"
        self.path = case.temporary / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        case.planners.append(self)

    async def start(self) -> None:
        """Start the process; return once it passes the front's test."""
        value = {
            "name": self.name,
            "listen": self.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": self.board.address,
            "known": self.board.known(),
            "settings": settings(),
        }
        self.path.write_text(json.dumps(value))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.case.temporary / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        names = {"GW_NAME": self.name, "GW_LISTEN": self.address, "GW_CONFIG": str(self.path)}
        with (self.case.temporary / "planner.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=os.environ | names | {"TMPDIR": str(private)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.case.say(f"planner {self.name} is started")
        await self._passes_test()

    async def _passes_test(self) -> None:
        for _ in range(300):
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"the planner ended with {self.process.returncode}")
            front = Connection(self.case, "front")
            try:
                await front.open(self.address)
                front.send(TEST, self.case.new_id(), cause=0)
                passed = await until(lambda f=front: [m for m in f.received if m.kind == TESTED], 2.0)
                front.close()
                if passed and passed[0].cause == 1:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the planner did not pass its first test within 30 s")

    async def stop(self) -> None:
        """Restart's first half, planned: SIGTERM, and wait for the end."""
        assert self.process is not None
        self.case.say("SIGTERM to the planner")
        self.process.send_signal(signal.SIGTERM)
        await self._ended()
        self.case.say(f"the planner has ended with {self.process.returncode}")

    async def kill_now(self) -> None:
        """SIGKILL, and wait for the end."""
        assert self.process is not None
        self.case.say("SIGKILL to the planner")
        self.process.kill()
        await self._ended()

    async def _ended(self) -> None:
        process = self.process
        await expect(lambda: process is None or process.poll() is not None, 20.0, "the planner's end")

    def kill(self) -> None:
        """End the process if it still runs, and add its log to the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        log = self.case.temporary / "planner.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                if '"before' not in line:
                    self.case.record.lines.append(f"          log of {self.name:<20} {line[:400]}")
            log.unlink()
