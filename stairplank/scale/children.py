"""The starter's side of child processes: hollow ones that are commanded, and planners of a real kind.

Every child ends when its starter does: a hollow one as its standard input closes, a planner by the kernel's
signal at its parent's death. ``end_all`` ends those that were started here, by their ids.
"""

from __future__ import annotations

import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import psutil

from .interrupts import deferred

COMMAND_TIMEOUT_S = 90.0
END_TIMEOUT_S = 5.0
READ_BYTES = 1_048_576
NANOSECONDS = 1e9
PR_SET_PDEATHSIG = 1  # of prctl(2)
_LIBC = ctypes.CDLL(None, use_errno=True)


class ChildError(Exception):
    """A child has failed or does not answer; the text says which."""


def _die_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A process that was started here."""

    def __init__(self, name: str, process: subprocess.Popen[bytes], log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log
        self.usage = psutil.Process(process.pid)

    def cpu_seconds(self) -> float:
        """Processor time so far. Where the kernel tells it in nanoseconds, a span of seconds is enough for a
        small share; its ticks are of 10 ms."""
        try:
            tasks = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
            return sum(int(task.read_text().split()[0]) for task in tasks) / NANOSECONDS
        except (OSError, ValueError, IndexError):
            times = self.usage.cpu_times()
            return float(times.user + times.system)

    def memory_mb(self) -> float:
        return float(self.usage.memory_info().rss) / 2**20

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(END_TIMEOUT_S)
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                pipe.close()

    def failure(self, what: str) -> ChildError:
        return ChildError(f"{self.name}: {what}; its log: {self.log}")


class Commanded(Child):
    """A hollow process: commands as JSON lines on its standard input, one answer each."""

    _pending = b""

    def send(self, call: str, **arguments: Any) -> None:
        assert self.process.stdin is not None
        line = json.dumps({"call": call, "arguments": arguments}).encode() + b"\n"
        try:
            self.process.stdin.write(line)
            self.process.stdin.flush()
        except OSError:
            raise self.failure("has ended") from None

    def receive(self, timeout_s: float = COMMAND_TIMEOUT_S) -> Any:
        """The answer to the oldest command. Raises ChildError."""
        answer = json.loads(self._line(time.monotonic() + timeout_s))
        if "error" in answer:
            raise self.failure(answer["error"])
        return answer["result"]

    def ask(self, call: str, **arguments: Any) -> Any:
        self.send(call, **arguments)
        return self.receive()

    def _line(self, deadline: float) -> bytes:
        assert self.process.stdout is not None
        descriptor = self.process.stdout.fileno()
        while b"\n" not in self._pending:
            left = deadline - time.monotonic()
            if left <= 0 or not select.select([descriptor], [], [], left)[0]:
                raise self.failure("does not answer")
            data = os.read(descriptor, READ_BYTES)
            if not data:
                raise self.failure("has ended")
            self._pending += data
        line, _, self._pending = self._pending.partition(b"\n")
        return line


class Children:
    """All processes of one site."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._children: list[Child] = []

    def hollow(self, form: str, role: str, number: int = 0) -> Commanded:
        name = f"{role}-{number}"
        arguments = [sys.executable, "-m", "stairplank.scale.hollow", form, role]
        log = self.folder / f"{name}.log"
        with deferred(), log.open("ab") as errors:
            process = subprocess.Popen(
                arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors, bufsize=0
            )
            child = Commanded(name, process, log)
            self._children.append(child)
        return child

    def plain(self, name: str, arguments: Sequence[str], environment: Mapping[str, str]) -> Child:
        """A process that is not commanded; its standard error goes to its log."""
        log = self.folder / f"{name}.log"
        with deferred(), log.open("wb") as errors:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=errors,
                env=os.environ | environment,
                preexec_fn=_die_with_parent,
            )
            child = Child(name, process, log)
            self._children.append(child)
        return child

    def end(self, child: Child) -> None:
        child.end()
        self._children.remove(child)

    def end_all(self) -> None:
        for child in self._children:
            if child.process.poll() is None:
                child.process.kill()
        for child in self._children:
            child.end()
        self._children.clear()


def ask_all(children: Sequence[Commanded], call: str, **arguments: Any) -> list[Any]:
    """The same command to several at once; their answers in order."""
    for child in children:
        child.send(call, **arguments)
    return [child.receive() for child in children]
