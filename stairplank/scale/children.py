"""Starts, commands and ends child processes: hollow processes and real planners.

Every child ends when its parent process does: a hollow process when its standard input closes, a planner by
the signal that the kernel sends at its parent's death. ``end_all`` ends only the processes started here.
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
PR_SET_PDEATHSIG = 1  # option of prctl(2): the signal to send when the parent dies
_LIBC = ctypes.CDLL(None, use_errno=True)


class ChildError(Exception):
    """Raised when a child process has failed or does not answer; the message names the child."""


def _kill_on_parent_death() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A child process, with its log and its resource usage."""

    def __init__(self, name: str, process: subprocess.Popen[bytes], log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log
        self.usage = psutil.Process(process.pid)

    def cpu_seconds(self) -> float:
        """Returns the processor time used so far.

        The kernel's nanosecond counters are preferred: with them a span of seconds is long enough to measure
        a small share. The fallback counts in ticks of 10 ms.
        """
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

    def failure(self, problem: str) -> ChildError:
        return ChildError(f"{self.name}: {problem}; its log: {self.log}")


class Commanded(Child):
    """A hollow process that takes commands as JSON lines on standard input and writes one answer to each."""

    _pending = b""

    def send(self, call: str, **arguments: Any) -> None:
        assert self.process.stdin is not None
        line = json.dumps({"call": call, "arguments": arguments}).encode() + b"\n"
        try:
            self.process.stdin.write(line)
            self.process.stdin.flush()
        except OSError:
            raise self.failure("the process has ended") from None

    def receive(self, timeout_s: float = COMMAND_TIMEOUT_S) -> Any:
        """Returns the answer to the oldest unanswered command. Raises ChildError."""
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
                raise self.failure("the process does not answer")
            data = os.read(descriptor, READ_BYTES)
            if not data:
                raise self.failure("the process has ended")
            self._pending += data
        line, _, self._pending = self._pending.partition(b"\n")
        return line


class Children:
    """The child processes of one site."""

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
        """Starts a process that takes no commands; its standard error goes to its log."""
        log = self.folder / f"{name}.log"
        with deferred(), log.open("wb") as errors:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=errors,
                env=os.environ | environment,
                preexec_fn=_kill_on_parent_death,
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
    """Sends the same command to several children at once and returns their answers in the same order."""
    for child in children:
        child.send(call, **arguments)
    return [child.receive() for child in children]
