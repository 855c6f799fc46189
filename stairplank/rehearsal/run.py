"""Runs a scenario: real planner processes, stand-ins, relays on every link, faults by script, a capture."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import gevent.subprocess

from ..planner.clock import now_us
from ..settings.cluster import CLUSTER_SCHEMA
from ..settings.parsers import round_durations
from ..standin.config import CLIENTS, LIST, MODEL
from ..standin.script import Fault
from . import capture
from .checker import Checker
from .decode import messages
from .relay import Recorder
from .scenario import PLANNER_KEYS, Scenario, described, lines_for, names

START_S = 15.0  # children must serve by then
END_S = 20.0  # and have left by then


class RehearsalError(Exception):
    """The rehearsal itself could not be run."""


class Child:
    """A process of the rehearsal. It ends when its standard input does, so also when we are killed."""

    def __init__(self, name: str, command: str, file: Path, log: Path) -> None:
        self.name = name
        self.args = [sys.executable, "-m", "stairplank", "--log-format", "json", "--end-with-stdin"]
        self.args += [command, str(file)]
        self.log = log
        self.process: Any = None
        self.paused = False

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = gevent.subprocess.Popen(
                self.args, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=log
            )

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.alive:
            self.process.send_signal(number)

    def end(self, timeout_s: float) -> int | None:
        """SIGTERM, then SIGKILL; the exit code, or None where it had to be killed."""
        if self.process is None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            code: int = self.process.wait(timeout=timeout_s)
            return code
        except gevent.subprocess.TimeoutExpired:
            return None
        finally:
            if self.alive:
                self.process.kill()
                self.process.wait(timeout=5)
            self.process.stdin.close()


@dataclass
class Result:
    """What a rehearsal gave."""

    capture: Path
    checker: Checker
    problems: list[str]  # of the record
    owners: dict[str, Any]
    script: list[tuple[int, str]]
    begin_us: int
    unclean: list[str]  # processes that ended otherwise than they should


def judge(path: Path) -> tuple[Checker, list[str], list[tuple[int, str]]]:
    """Check a capture. Raises CaptureError."""
    reader = capture.Reader(path)
    try:
        checker = Checker(reader.facts)
        decoder, each = messages(reader)
        checker.script = decoder.script  # grows as the messages are read
        checker.feed(each)
        checker.end()
        return checker, decoder.problems, decoder.script
    finally:
        reader.close()


class Rehearsal:
    def __init__(self, scenario: Scenario, work: Path, progress: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.work = work
        self.progress = progress
        self.capture_path = work / "capture"
        self.children: dict[str, Child] = {}
        self.begin_us = 0
        self.ending = False
        self.on_signal: tuple[str, ...] = ("node 2 kill for 1s",)  # what the nodes do at SIGUSR1
        # Unix socket paths are short by nature; a working folder may not be.
        self.sockets = Path(tempfile.mkdtemp(prefix="sp"))

    # Files of the children

    def _socket(self, name: str) -> str:
        return f"unix:{self.sockets}/{name}"

    def _write(self, name: str, lines: list[str]) -> Path:
        path = self.work / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _faults(self, *targets: str) -> list[str]:
        return [f.line() for f in self.scenario.faults if f.target in targets]

    def _prepare(self, recorder: Recorder) -> None:
        scenario = self.scenario
        room = lines_for(scenario, names(CLUSTER_SCHEMA), {"class"})
        common = [f"begin {self.work}/begin", f"seed {scenario.seed}"]
        zones = scenario.cluster.zones
        lists: dict[str, str] = {}
        # Each zone has a node list of its own, which gives its planners addresses of their own: so the links
        # between two zones can be cut without touching the others.
        directories: list[str] = []
        for zone in zones:
            real = self._socket(f"list-{zone}")
            lists[zone] = recorder.relay("list", real, key=f"list {zone}")
            directories.append(f"directory {real} {zone}")
            lines = lines_for(scenario, names(LIST), set())
            lines += [*common, f"listen {real}", *self._faults("list")]
            self._child(f"list {zone}", "directory", lines)

        lines = [*room, *lines_for(scenario, names(MODEL), set()), *common, *directories]
        for node in scenario.nodes:
            model = node.model
            here = self._socket(f"n{model.id}")
            lines += [
                f"node {model.id} {model.name}",
                f"  kind {model.node_type}",
                f"  zone {model.zone}",
                f"  rack {model.rack}",
                f"  listen {here}",
                *(["  absent yes"] if node.absent else []),
            ]
            for zone in zones:
                there = recorder.relay(f"node {model.id}", here, key=f"node {model.id} {zone}")
                lines.append(f"  advertise {there} {zone}")
            lines.append("end")
        lines += [f"on-signal {line}" for line in self.on_signal]
        self._child("nodes", "node", [*lines, *self._faults("node")])

        owners = [*room, *lines_for(scenario, names(CLIENTS), {"demand"}), *common]
        if scenario.section.value("asks-end") is None:
            owners.append(f"asks-end {max(1, scenario.lasts_us - scenario.settles_us)}us")
        for i in range(scenario.planners):
            here = self._socket(f"p{i}")
            lines = [*room, *lines_for(scenario, set(PLANNER_KEYS), set())]
            zone = zones[i % len(zones)]
            lines += [f"planner {i} of {scenario.planners}", f"listen {here}"]
            lines += [f"home-zone {zone}", f"directory {lists[zone]}"]
            self._child(f"planner {i}", "planner", lines)
            owners.append(f"planner {i} {recorder.relay(f'planner {i}', here)}")
        owners += [f"owner owner-{i}" for i in range(scenario.owners)]
        owners += [f"report {self.work / 'owners.json'}", *self._faults("owners", "demand")]
        self._child("owners", "owners", owners)

    def _child(self, name: str, command: str, lines: list[str]) -> None:
        file = self._write(name.replace(" ", ""), lines)
        self.children[name] = Child(name, command, file, self.work / f"{name.replace(' ', '')}.log")

    # Running

    def run(self) -> Result:
        """Raises RehearsalError where a process does not come up or fails on its own."""
        scenario = self.scenario
        facts = described(scenario) | {"scenario": scenario.name, "seed": scenario.seed}
        begin_file = self.work / "begin"
        begin_file.unlink(missing_ok=True)
        unclean: list[str] = []
        with self.capture_path.open("wb") as file:
            recorder = Recorder(capture.Writer(file, facts))
            try:
                self._prepare(recorder)
                zones = scenario.cluster.zones
                for name in (*(f"list {zone}" for zone in zones), "nodes"):
                    self.children[name].start()
                first = [f"list-{zone}" for zone in zones]
                self._await_sockets([*first, *(f"n{n.model.id}" for n in scenario.nodes if not n.absent)])
                for i in range(scenario.planners):
                    self.children[f"planner {i}"].start()
                self._await_sockets([f"p{i}" for i in range(scenario.planners)])
                gevent.sleep(0.5)  # planners and nodes find each other
                # The script's zero is fixed only now, so that a slow start does not eat into the day.
                self.begin_us = now_us() + 1_500_000
                part = self.work / "begin.part"
                part.write_text(str(self.begin_us))
                part.rename(begin_file)
                recorder.note(f"begin {self.begin_us}")
                self.children["owners"].start()
                for fault in scenario.faults:
                    gevent.spawn(self._script, fault, recorder)
                self._watch_over()
                self.ending = True
                self.progress("the day is over: owners leave, then planners")
                if self.children["owners"].end(END_S) != 0:
                    unclean.append("owners")
                for i in range(scenario.planners):
                    if self.children[f"planner {i}"].end(END_S) != 0:
                        unclean.append(f"planner {i}")
            finally:
                self.ending = True
                for child in self.children.values():
                    if child.alive:
                        child.end(5.0)
                recorder.close()
                for path in self.sockets.iterdir():
                    path.unlink()
                self.sockets.rmdir()
        checker, problems, script = judge(self.capture_path)
        told = self.work / "owners.json"
        owners = json.loads(told.read_text()) if told.exists() else {}
        return Result(self.capture_path, checker, problems, owners, script, self.begin_us, unclean)

    def _await_sockets(self, wanted: list[str]) -> None:
        until = now_us() + START_S * 1e6
        while not all((self.sockets / name).exists() for name in wanted):
            for child in self.children.values():
                if child.process is not None and not child.alive:
                    raise RehearsalError(f"{child.name} did not start:\n{child.log.read_text()[-2000:]}")
            if now_us() > until:
                raise RehearsalError(f"processes did not come up within {START_S:g} s")
            gevent.sleep(0.02)

    def _watch_over(self) -> None:
        """Until the day is over; a process that ends on its own ends the rehearsal."""
        end = self.begin_us + self.scenario.lasts_us
        shown = 0
        while now_us() < end:
            gevent.sleep(0.05)
            for child in self.children.values():
                if not child.alive and not getattr(child, "meant", False):
                    raise RehearsalError(f"{child.name} ended on its own:\n{child.log.read_text()[-2000:]}")
            second = int((now_us() - self.begin_us) / 5e6)
            if second > shown:
                shown = second
                self.progress(f"{shown * 5:>4} s of {self.scenario.lasts_us / 1e6:g} s")

    def _script(self, fault: Fault, recorder: Recorder) -> None:
        gevent.sleep(max(0.0, (self.begin_us + fault.at_us - now_us()) / 1e6))
        if self.ending:
            return
        text = fault.line().split(" ", 2)[2]
        recorder.note(text)
        self.progress(f"{fault.at_us / 1e6:>6.1f} s: {round_durations(text)}")
        if fault.target == "planner":
            for i in fault.target_ids:
                gevent.spawn(self._planner_fault, fault, i, recorder)
        elif fault.target == "node" and fault.what == "cut":
            for i in fault.target_ids:
                for zone in self.scenario.cluster.zones:
                    recorder.relays[f"node {i} {zone}"].cut()
        elif fault.target == "farm":
            gevent.spawn(self._pause, self.children["nodes"], fault.duration_us)
        what, direction, value = self._weather(fault)
        touched = [recorder.relays[key] for key in self._touched(fault)]
        for relay in touched:
            if what == "cut":
                relay.cut()
            else:
                relay.begin(what, direction, value)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            for relay in touched:
                relay.end(what, direction, value)
            recorder.note(f"over: {text}")

    @staticmethod
    def _weather(fault: Fault) -> tuple[str, str, int]:
        """What the relays do: fault, direction, value."""
        if fault.target == "zone":
            return "hold", "both", 0
        direction, value = (*fault.values, *("both", 0)[len(fault.values) :])[:2]
        return fault.what, str(direction), int(value)

    def _touched(self, fault: Fault) -> list[str]:
        """The relays that a fault is about."""
        zones = self.scenario.cluster.zones
        if fault.target == "zone":
            return self._between(fault.name)
        if fault.target != "links":
            return []
        if fault.name == "list":
            return [f"list {zone}" for zone in zones]
        if fault.name == "planner":
            return [f"planner {i}" for i in fault.target_ids]
        return [f"node {i} {zone}" for i in fault.target_ids for zone in zones]

    @staticmethod
    def _pause(child: Child, for_us: int) -> None:
        child.signal(signal.SIGSTOP)
        gevent.sleep(for_us / 1e6)
        child.signal(signal.SIGCONT)

    def _between(self, cut: str) -> list[str]:
        """The relays between a zone and the others."""
        return [
            f"node {n.model.id} {zone}"
            for n in self.scenario.nodes
            for zone in self.scenario.cluster.zones
            if (zone == cut) != (n.model.zone == cut)
        ]

    def _planner_fault(self, fault: Fault, i: int, recorder: Recorder) -> None:
        child = self.children[f"planner {i}"]
        if fault.what == "cut":
            recorder.relays[f"planner {i}"].cut()
        elif fault.what == "pause":
            self._pause(child, fault.duration_us)
        elif fault.what == "kill":
            child.meant = True  # type: ignore[attr-defined]
            child.signal(signal.SIGKILL)
            child.process.wait(timeout=5)
            child.process.stdin.close()
            gevent.sleep(fault.duration_us / 1e6)
            if not self.ending:
                child.start()
                gevent.sleep(1.0)
                child.meant = False  # type: ignore[attr-defined]


def work_folder(path: str | None) -> Path:
    """The folder given, made if need be, or a new one."""
    if path is None:
        return Path(tempfile.mkdtemp(prefix="rehearsal-"))
    folder = Path(path)
    os.makedirs(folder, exist_ok=True)
    return folder.resolve()
