"""Stand-ins of owners, machines and the notice board on loopback, with faults, and the process under test."""

from __future__ import annotations

import json
import os
import select
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from platform_config import CONFIG

from stairplank.planner.clock import now_us
from stairplank.platform import binary, jsonlines
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message, Unreadable
from stairplank.platform.service import Service

ROOT = Path(__file__).resolve().parents[2]
WAIT = 20.0


def listening() -> tuple[socket.socket, str]:
    sock = socket.create_server(("127.0.0.1", 0), backlog=256)
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def until(what: Callable[[], Any], wait: float = WAIT) -> Any:
    """Its first true value. Raises AssertionError after the wait."""
    end = time.monotonic() + wait
    while not (got := what()):
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.01)
    return got


class Server:
    """Accepts, one thread a connection."""

    def __init__(self) -> None:
        self.listener, self.address = listening()
        self.socks: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.socks.append(sock)
            threading.Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except (OSError, ValueError, Unreadable):
            pass

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """As a process that dies: nobody listens, connections are reset. Danger: a listener that is only
        closed lives on in the thread that accepts, and takes connections that are meant for another test."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # closed already
        self.listener.close()
        for sock in self.socks:
            try:
                reset(sock)
            except OSError:
                pass


class Machine(Server):
    """Answers set-ups with ``running``; ``fault`` may do otherwise and return True. While ``reads`` is not
    set it reads nothing; once a connection is closed by the planner it says ``last_words`` on it."""

    def __init__(self, name: str, fault: Callable[[socket.socket, Message], bool] | None = None) -> None:
        self.name = name
        self.fault = fault
        self.heard: list[tuple[float, Message]] = []
        self._on: dict[str, socket.socket] = {}
        self.reads = threading.Event()
        self.reads.set()
        self.last_words: list[Message] = []
        super().__init__()

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        return self.row_of(self.name, self.address, health)

    @staticmethod
    def row_of(name: str, address: str, health: str = "SERVING") -> dict[str, Any]:
        """A machine's entry in a node list."""
        return {
            "host": name,
            "dial": address,
            "site": "hall 1",
            "class": "node-32",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            "spare": [30.0, 90.0],
        }

    def last(self, id: str) -> socket.socket:
        """The connection on which that task was last spoken of."""
        return self._on[id]

    def launched(self) -> list[Message]:
        return [m for _, m in self.heard if m.kind is Kind.SET_UP]

    def serve(self, sock: socket.socket) -> None:
        lines = jsonlines.Lines()
        while True:
            self.reads.wait(WAIT)
            if not (data := sock.recv(65_536)):
                break
            for line in lines.feed(data):
                message = jsonlines.decode(line)
                self._on[message.id] = sock
                self.heard.append((time.monotonic(), message))
                if message.kind is Kind.TEST:
                    load = {"load": "x0:30;x1:90;utilization:0.1"} if message.cause else {}
                    self.say(sock, Message(Kind.TESTED, message.id, load, 1))
                elif message.kind is Kind.SET_UP and not (self.fault and self.fault(sock, message)):
                    self.say(sock, running(message))
        while self.last_words:
            self.say(sock, self.last_words.pop(0))
        sock.close()

    def say(self, sock: socket.socket, message: Message) -> None:
        sock.sendall(jsonlines.encode(message))


def running(message: Message) -> Message:
    return Message(Kind.ANSWER, message.id, body="stands " + message.id)


def cut(after: int) -> Callable[[socket.socket, Message], bool]:
    """A fault: the answer breaks off after so many bytes, with a reset."""

    def fault(sock: socket.socket, message: Message) -> bool:
        sock.sendall(jsonlines.encode(running(message))[:after])
        reset(sock)
        return True

    return fault


def held(gate: threading.Event, *words: Kind) -> Callable[[socket.socket, Message], bool]:
    """A fault: what is said comes once the gate is open, a second answer where it is named twice."""

    def later(sock: socket.socket, message: Message) -> None:
        gate.wait(WAIT)
        for kind in words:
            ended = Message(Kind.RELEASE, message.id, cause=int(Cause.ENDED))
            sock.sendall(jsonlines.encode(running(message) if kind is Kind.ANSWER else ended))

    def fault(sock: socket.socket, message: Message) -> bool:
        threading.Thread(target=later, args=(sock, message), daemon=True).start()
        return True

    return fault


class BoardStand(Server):
    """Keeps notices; ``frozen`` makes it say nothing more, ``mangled`` break off in the middle of the next.
    ``stuck`` connections (by their number, from 0) go on with the number they have; ``silent`` ones come up
    and say nothing; ``bare`` ones say the last number without the notices before it. While ``away`` is set
    every connection is reset; ``dialled`` counts connections, ``told`` is the last number that was said."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.lines = [json.dumps({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": rows}}).encode()]
        self.frozen = self.mangled = False
        self.watches: list[int] = []
        self.stuck: set[int] = set()
        self.silent: set[int] = set()
        self.bare: set[int] = set()
        self.away = threading.Event()
        self.dialled = self.told = 0
        super().__init__()

    def tell(self, *rows: Any, whole: bool = False) -> None:
        rev = len(self.lines) + 1
        pool = {"seq": rev, "whole": whole, "hosts": list(rows)}
        self.lines.append(json.dumps({"rev": rev, "pool": pool}).encode())

    def serve(self, sock: socket.socket) -> None:
        self.dialled += 1
        if self.away.is_set():
            reset(sock)
            return
        line = b""
        while not line.endswith(b"\n"):
            line += sock.recv(1)
        at = int(line.split()[1])
        number = len(self.watches)
        self.watches.append(at)
        spoke = 0.0
        while True:
            if self.away.is_set():
                reset(sock)
                return
            if number in self.silent:
                pass
            elif number in self.bare:
                sock.sendall(b'{"rev":%d}\n' % len(self.lines))
                time.sleep(0.05)
            elif not self.frozen and at < len(self.lines) and number not in self.stuck:
                if self.mangled:
                    self.mangled = False
                    sock.sendall(self.lines[at][:40])
                    sock.close()
                    return
                sock.sendall(self.lines[at] + b"\n" + self.lines[at] + b"\n")
                at += 1
                self.told = at
            elif not self.frozen and time.monotonic() - spoke > 0.4:
                spoke = time.monotonic()
                sock.sendall(b'{"rev":%d}\n' % at)
            if select.select([sock], [], [], 0.02)[0] and not sock.recv(100):
                return


class Owner:
    """One connection of an owner."""

    def __init__(self, where: str, source: str = "127.0.0.1") -> None:
        host, port = where.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), WAIT, source_address=(source, 0))
        self.reader = binary.Reader()
        self.received: list[Message] = []
        self.ended = False

    def say(self, message: Message) -> None:
        self.sock.sendall(binary.encode(message))

    def ask(self, number: int, sort: str = "worker", **changes: str) -> str:
        id = f"{number:016x}"
        fields = {"class": sort, "left": "6000", "key": f"{number + 4096:016x}"}
        fields["extras"] = f"cores:1;memory:2;service:{number:016x}"
        if sort == "ingest":
            fields["idem"] = f"{number:032x}"
        self.say(Message(Kind.SET_UP, id, fields | changes, body=f"body {number}"))
        return id

    def read(self, wait: float) -> None:
        self.sock.settimeout(wait)
        try:
            data = self.sock.recv(65_536)
        except TimeoutError:
            return
        except OSError:
            data = b""
        if not data:
            self.ended = True
        self.received += self.reader.feed(data)

    def replies(self, id: str, count: int = 1, wait: float = WAIT) -> list[Message]:
        """What was said of that task, once so much has come or the wait is over."""
        end = time.monotonic() + wait
        while not self.ended and time.monotonic() < end:
            got = [m for m in self.received if m.id == id]
            if len(got) >= count:
                return got
            self.read(min(0.2, max(0.01, end - time.monotonic())))
        return [m for m in self.received if m.id == id]

    def closed_within(self, wait: float) -> bool:
        end = time.monotonic() + wait
        while not self.ended and time.monotonic() < end:
            self.read(max(0.01, end - time.monotonic()))
        return self.ended


class Process:
    """The real process, as ``run`` starts it. ``files_limit``: how many files it may have open; ``changes``:
    of its configuration; ``command``: the interpreter's arguments. With ``waits`` it serves by the time this
    returns."""

    def __init__(
        self,
        folder: Path,
        board: BoardStand,
        sockets: int = 256,
        files_limit: int | None = None,
        changes: dict[str, Any] | None = None,
        waits: bool = True,
        command: tuple[str, ...] = ("-m", "stairplank.platform"),
    ) -> None:
        self.path = folder / "config.json"
        self.board = board
        self.sockets = sockets
        self.changes = changes or {}
        self.write(board.address)
        self.log: list[dict[str, Any]] = []
        run = [sys.executable, *command]
        if files_limit is not None:
            run = ["sh", "-c", f'ulimit -n {files_limit}; exec "$@"', "sh", *run]
        self.child = subprocess.Popen(
            run,
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(self.path), "PYTHONPATH": str(ROOT)},
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )
        threading.Thread(target=self._read, daemon=True).start()
        self.where = self.serves() if waits else ""

    def serves(self, wait: float = WAIT) -> str:
        """Its address, once it accepts clients."""
        found = until(lambda: next((e for e in self.log if e["event"] == "serves"), None), wait)
        return str(found["listen"])

    def write(self, board: str) -> None:
        known = {"rev": 1, "notices": [json.loads(self.board.lines[0])]}
        value = CONFIG | {"board": board, "known": known, "limits": {"sockets": self.sockets}} | self.changes
        self.path.write_text(json.dumps(value))

    def _read(self) -> None:
        assert self.child.stderr is not None
        for line in self.child.stderr:
            try:
                self.log.append(json.loads(line))
            except ValueError:
                self.log.append({"event": "not a log line", "text": line.decode(errors="replace")})

    def events(self, event: str) -> list[dict[str, Any]]:
        return [e for e in self.log if e["event"] == event]

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self) -> None:
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(WAIT)
        assert not self.events("not a log line"), self.log


class Live:
    """The service in this process, with real connections to stand-ins, and a gate before its turns: while
    ``held``, all that comes is read and nothing is handled."""

    def __init__(
        self, folder: Path, machines: int = 1, changes: dict[str, Any] | None = None, known: int | None = None
    ) -> None:
        self.fleet = [Machine(f"s-{n:08x}") for n in range(1, machines + 1)]
        rows = [m.row() for m in self.fleet]
        self.board = BoardStand(rows)
        first = {"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": rows[:known]}}
        self.config = CONFIG | {"board": self.board.address, "known": {"rev": 1, "notices": [first]}}
        (folder / "config.json").write_text(json.dumps(self.config | (changes or {})))
        self.service = Service(str(folder / "config.json"))
        self.read: list[ev.Event] = []  # by the service, whether handled or not
        enqueue, self._late = self.service.driver.enqueue, self.service.driver.stall_detector.late

        def enqueues(*events: ev.Event) -> None:
            self.read.extend(events)
            enqueue(*events)

        self.service.driver.enqueue = enqueues  # type: ignore[method-assign]
        self.service.node_watch._enqueue = enqueues
        self.runs = gevent.spawn(self.service.run)
        self.until(lambda: self.service.listen_address and self.service.core.requests.ready)

    def until(self, what: Callable[[], Any], wait: float = WAIT) -> Any:
        with gevent.Timeout(wait, AssertionError("it did not come about")):
            while not (got := what()):
                gevent.sleep(0.005)
        return got

    def off(self, call: Callable[..., Any], *args: Any, **named: Any) -> Any:
        """A stand-in's blocking call, while the service goes on."""
        return gevent.get_hub().threadpool.apply(call, args, named)

    def owner(self, source: str = "127.0.0.1") -> Owner:
        return self.off(Owner, self.service.listen_address, source)

    def placed(self, owner: Owner, number: int, sort: str = "worker") -> str:
        """A task that stands."""
        id = self.off(owner.ask, number, sort)
        assert [m.kind for m in self.off(owner.replies, id)] == [Kind.ANSWER]
        return id

    def hold(self) -> None:
        self.service.driver.stall_detector.late = lambda: True  # type: ignore[method-assign]

    def go(self) -> None:
        self.service.driver.stall_detector.at = now_us()
        self.service.driver.stall_detector.late = self._late  # type: ignore[method-assign]
        self.service.driver._turn_wanted.set()

    def has_read(self, kind: type, id: str = "") -> bool:
        return any(isinstance(e, kind) and (not id or e.message.id == id) for e in self.read)

    def end(self) -> None:
        self.runs.kill()
        for thing in [self.board, *self.fleet]:
            thing.close()
        for stream in [*self.service.machines.streams.values(), *self.service.clients.accepted]:
            stream.close(abort=True)
