"""Hollow workers of the platform form: they speak the whole protocol and run nothing, hundreds in a process.

A worker answers a placement with ``running`` at once and keeps the task for the run time in its description.
It then reports the end (``stop``, cause 16) on the planner's newest connection, and again on each new
connection until the planner has acknowledged it. Bytes and messages are counted by planner.
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass
from typing import Any

import gevent

from ..platform import jsonlines
from ..platform.messages import Cause, Kind, Message, ProtocolError
from ..rpc import address
from .counts import Counts, OpenConnections, is_control
from .loopback import Listener

READ_BYTES = 65_536
LIFE_PREFIX = "life "  # in a task's description, before its run time in seconds; 0 means no end
CORES, MEMORY = 30.0, 90.0  # free capacity of a worker without tasks


def description(life_s: float) -> str:
    """Returns the task description that makes a hollow worker run it for ``life_s``; 0 means no end."""
    return f"{LIFE_PREFIX}{life_s:.3f}"


def life_of(body: str | None) -> float:
    if not body or not body.startswith(LIFE_PREFIX):
        return 0.0
    return float(body.removeprefix(LIFE_PREFIX))


@dataclass(slots=True, eq=False)
class Task:
    """A task that this worker runs."""

    planner: int
    timer: gevent.Greenlet | None = None


class PlannerTraffic:
    """Counts the traffic between one worker process and one planner."""

    def __init__(self) -> None:
        self.counts = Counts()
        self.connections = OpenConnections(time.monotonic())

    def snapshot(self) -> dict[str, Any]:
        self.counts.connection_seconds = self.connections.seconds(time.monotonic())
        return asdict(self.counts)


class Traffic(dict[int, PlannerTraffic]):
    """Maps a planner to its traffic; an entry is created on first use."""

    def __missing__(self, planner: int) -> PlannerTraffic:
        self[planner] = PlannerTraffic()
        return self[planner]


class HollowWorker:
    """One worker: its listener, its connections and its running tasks."""

    def __init__(self, name: str, zone: str, rack: int, traffic: Traffic) -> None:
        self.name, self.zone, self.rack = name, zone, rack
        self.tasks: dict[str, Task] = {}
        self.started_ms = 0  # Unix time of the last restart; 0 if it has not restarted
        self._traffic = traffic
        self._connections: dict[int, list[Any]] = {}  # sockets by planner, the newest last
        self._unconfirmed: dict[int, dict[str, Message]] = {}  # task ends, by planner and task id
        self._is_silent = False
        self._listener = Listener()
        self._accepting = gevent.spawn(self._accept)

    def row(self) -> dict[str, Any]:
        """Returns the worker's node list row. It omits the address, which differs by planner."""
        return {
            "host": self.name,
            "port": self._listener.port,
            "site": self.zone,
            "class": "standard",
            "block": self.rack,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": self.started_ms,
            "spare": [CORES, MEMORY],
        }

    def task_planners(self) -> set[int]:
        return {task.planner for task in self.tasks.values()}

    # Faults

    def crash(self) -> None:
        """Simulates a process crash: closes the listener, resets all connections and drops all tasks."""
        self._accepting.kill()
        self._listener.close()
        for connections in self._connections.values():
            for sock in connections:
                address.abort(sock)
        for task in self.tasks.values():
            if task.timer is not None:
                task.timer.kill(block=False)
        self.tasks.clear()
        self._unconfirmed.clear()

    def start_again(self) -> None:
        self.started_ms = int(time.time() * 1000)
        self._listener.reopen()
        self._accepting = gevent.spawn(self._accept)

    def fall_silent(self) -> None:
        """Simulates the loss of a host: nothing is answered, and no connection is closed."""
        self._is_silent = True
        self._accepting.kill()
        self._listener.fall_silent()

    def speak_again(self) -> None:
        self._is_silent = False
        self._listener.speak_again()
        self._accepting = gevent.spawn(self._accept)

    # Connections

    def _accept(self) -> None:
        while True:
            try:
                sock, planner = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._serve, sock, planner)

    def _serve(self, sock: Any, planner: int) -> None:
        traffic = self._traffic[planner]
        traffic.counts.dials += 1
        traffic.connections.change(1, time.monotonic())
        self._connections.setdefault(planner, []).append(sock)
        try:
            for message in list(self._unconfirmed.get(planner, {}).values()):
                self._send(sock, planner, message)
            self._read(sock, planner)
        except (OSError, ProtocolError):
            pass
        finally:
            traffic.connections.change(-1, time.monotonic())
            self._connections[planner].remove(sock)
            sock.close()

    def _read(self, sock: Any, planner: int) -> None:
        lines, counts = jsonlines.LineReader(), self._traffic[planner].counts
        while data := sock.recv(READ_BYTES):
            while self._is_silent:
                gevent.sleep(0.1)
            for line in lines.feed(data):
                message = jsonlines.decode(line)
                counts.count(is_control(message.kind), len(line) + 1)
                self._handle_message(sock, planner, message)

    def _send(self, sock: Any, planner: int, message: Message) -> None:
        data = jsonlines.encode(message)
        self._traffic[planner].counts.count(is_control(message.kind), len(data))
        sock.sendall(data)

    # Messages

    def _handle_message(self, sock: Any, planner: int, message: Message) -> None:
        match message.kind:
            case Kind.HEALTH_CHECK:
                fields = {"load": self._load_report()} if message.cause else {}
                self._send(sock, planner, Message(Kind.HEALTH_CHECK_RESULT, message.id, fields, 1))
            case Kind.PLACE:
                self._start_task(planner, message)
                self._send(sock, planner, Message(Kind.ANSWER, message.id, body=self.name))
            case Kind.RELEASE:
                self._release_task(message.id)
                self._send(sock, planner, Message(Kind.ACKNOWLEDGEMENT, message.id))
            case Kind.ACKNOWLEDGEMENT:
                self._unconfirmed.get(planner, {}).pop(message.id, None)

    def _load_report(self) -> str:
        running = len(self.tasks)
        cores, memory = max(0.0, CORES - running), max(0.0, MEMORY - 2 * running)
        return f"x0:{cores:g};x1:{memory:g};utilization:{min(1.0, running / CORES):.3f}"

    def _start_task(self, planner: int, message: Message) -> None:
        task = self.tasks.setdefault(message.id, Task(planner))
        life_s = life_of(message.body)
        if life_s and task.timer is None:
            task.timer = gevent.spawn_later(life_s, self._end_task, message.id)

    def _release_task(self, id: str) -> None:
        task = self.tasks.pop(id, None)
        if task is not None and task.timer is not None:
            task.timer.kill(block=False)

    def _end_task(self, id: str) -> None:
        """Ends a task whose run time is over and reports it to its planner."""
        task = self.tasks.pop(id, None)
        if task is None:
            return
        message = Message(Kind.RELEASE, id, cause=int(Cause.ENDED))
        self._unconfirmed.setdefault(task.planner, {})[id] = message
        connections = self._connections.get(task.planner)
        if connections and not self._is_silent:
            try:
                self._send(connections[-1], task.planner, message)
            except OSError:
                pass  # _serve() sends it again on the next connection


class WorkerHost:
    """Handles the commands sent to the process of hollow workers."""

    def __init__(self) -> None:
        self._traffic = Traffic()
        self._workers: dict[str, HollowWorker] = {}

    def start(self, first: int, count: int, zones: int, rack_size: int) -> list[dict[str, Any]]:
        """Starts ``count`` workers. Returns the node list rows of all workers in this process."""
        for number in range(first, first + count):
            name, rack = f"worker-{number:05d}", number // rack_size
            worker = HollowWorker(name, f"zone-{rack % zones}", rack, self._traffic)
            self._workers[name] = worker
        return [worker.row() for worker in self._workers.values()]

    def snapshot(self) -> dict[str, Any]:
        """Returns the traffic of each planner and the number of workers that run its tasks, with totals."""
        machines: dict[int, int] = {}
        for worker in self._workers.values():
            for planner in worker.task_planners():
                machines[planner] = machines.get(planner, 0) + 1
        return {
            "traffic": {planner: traffic.snapshot() for planner, traffic in self._traffic.items()},
            "task_machines": machines,
            "tasks": sum(len(worker.tasks) for worker in self._workers.values()),
        }

    def crash(self, names: list[str]) -> None:
        for worker in self._local_workers(names):
            worker.crash()

    def start_again(self, names: list[str]) -> list[dict[str, Any]]:
        """Restarts these workers. Returns their new node list rows."""
        rows = []
        for worker in self._local_workers(names):
            worker.start_again()
            rows.append(worker.row())
        return rows

    def fall_silent(self, names: list[str]) -> None:
        gevent.joinall([gevent.spawn(worker.fall_silent) for worker in self._local_workers(names)])

    def speak_again(self, names: list[str]) -> None:
        for worker in self._local_workers(names):
            worker.speak_again()

    def _local_workers(self, names: list[str]) -> list[HollowWorker]:
        return [self._workers[name] for name in names if name in self._workers]
