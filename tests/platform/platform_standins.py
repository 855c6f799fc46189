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

from platform_config import CONFIG

from stairplank.platform import binary, jsonlines
from stairplank.platform.messages import Kind, Message, Unreadable

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
    """Answers set-ups with ``running``; ``fault`` may do otherwise and return True."""

    def __init__(self, name: str, fault: Callable[[socket.socket, Message], bool] | None = None) -> None:
        self.name = name
        self.fault = fault
        self.heard: list[tuple[float, Message]] = []
        super().__init__()

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": self.address,
            "site": "hall 1",
            "class": "node-32",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            "spare": [30.0, 90.0],
        }

    def launched(self) -> list[Message]:
        return [m for _, m in self.heard if m.kind is Kind.SET_UP]

    def serve(self, sock: socket.socket) -> None:
        lines = jsonlines.Lines()
        while data := sock.recv(65_536):
            for line in lines.feed(data):
                message = jsonlines.decode(line)
                self.heard.append((time.monotonic(), message))
                if message.kind is Kind.TEST:
                    load = {"load": "x0:30;x1:90;utilization:0.1"} if message.cause else {}
                    self.say(sock, Message(Kind.TESTED, message.id, load, 1))
                elif message.kind is Kind.SET_UP and not (self.fault and self.fault(sock, message)):
                    self.say(sock, running(message))

    def say(self, sock: socket.socket, message: Message) -> None:
        sock.sendall(jsonlines.encode(message))


def running(message: Message) -> Message:
    return Message(Kind.ANSWER, message.id, body="stands " + message.id)


class BoardStand(Server):
    """Keeps notices; ``freeze`` makes it say nothing more, ``mangle`` break off in the middle of the next."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.lines = [json.dumps({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": rows}}).encode()]
        self.frozen = self.mangled = False
        self.watches: list[int] = []
        super().__init__()

    def tell(self, *rows: dict[str, Any]) -> None:
        rev = len(self.lines) + 1
        pool = {"seq": rev, "whole": False, "hosts": list(rows)}
        self.lines.append(json.dumps({"rev": rev, "pool": pool}).encode())

    def serve(self, sock: socket.socket) -> None:
        line = b""
        while not line.endswith(b"\n"):
            line += sock.recv(1)
        at = int(line.split()[1])
        self.watches.append(at)
        spoke = 0.0
        while True:
            if not self.frozen and at < len(self.lines):
                if self.mangled:
                    self.mangled = False
                    sock.sendall(self.lines[at][:40])
                    sock.close()
                    return
                sock.sendall(self.lines[at] + b"\n" + self.lines[at] + b"\n")
                at += 1
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
        self.said: list[Message] = []
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
        self.said += self.reader.feed(data)

    def words(self, id: str, count: int = 1, wait: float = WAIT) -> list[Message]:
        """What was said of that task, once so much has come or the wait is over."""
        end = time.monotonic() + wait
        while not self.ended and time.monotonic() < end:
            got = [m for m in self.said if m.id == id]
            if len(got) >= count:
                return got
            self.read(min(0.2, max(0.01, end - time.monotonic())))
        return [m for m in self.said if m.id == id]

    def closed_within(self, wait: float) -> bool:
        end = time.monotonic() + wait
        while not self.ended and time.monotonic() < end:
            self.read(max(0.01, end - time.monotonic()))
        return self.ended


class Process:
    """The real process, as ``run`` starts it."""

    def __init__(self, folder: Path, board: BoardStand, sockets: int = 256) -> None:
        self.path = folder / "config.json"
        self.board = board
        self.sockets = sockets
        self.write(board.address)
        self.log: list[dict[str, Any]] = []
        self.child = subprocess.Popen(
            [sys.executable, "-m", "stairplank.platform"],
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )
        threading.Thread(target=self._read, daemon=True).start()
        self.where: str = until(lambda: next((e for e in self.log if e["event"] == "serves"), None))["listen"]

    def write(self, board: str) -> None:
        known = {"rev": 1, "notices": [json.loads(self.board.lines[0])]}
        value = CONFIG | {"board": board, "known": known, "limits": {"sockets": self.sockets}}
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
