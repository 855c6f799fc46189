"""Runs a scenario with real planner processes, stand-ins, relays on every link and faults, into a capture."""

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

START_S = 15.0  # time within which the processes must accept connections
END_S = 20.0  # time within which an owner or planner process must end after SIGTERM


class RehearsalError(Exception):
    """The rehearsal itself could not be run."""


class Child:
    """A process of the rehearsal. It ends when its standard input closes, also if the rehearsal is killed."""

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
        """Send SIGTERM, then SIGKILL after the timeout. Returns the exit code, or None after SIGKILL."""
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
    """The results of a rehearsal."""

    capture: Path
    checker: Checker
    problems: list[str]  # records of the capture that could not be decoded
    owners: dict[str, Any]
    script: list[tuple[int, str]]
    begin_us: int
    unclean: list[str]  # processes that did not exit with code 0


def judge(path: Path) -> tuple[Checker, list[str], list[tuple[int, str]]]:
    """Check a capture; return the checker, the decoder's problems and the scenario's actions.

    Raises CaptureError.
    """
    reader = capture.Reader(path)
    try:
        checker = Checker(reader.facts)
        decoder, decoded = messages(reader)
        checker.script = decoder.script  # grows as the messages are read
        checker.feed(decoded)
        checker.end()
        return checker, decoder.problems, decoder.script
    finally:
        reader.close()


class Rehearsal:
    """One run of a scenario, with its processes, relays and files."""

    def __init__(self, scenario: Scenario, work: Path, progress: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.work = work
        self.progress = progress
        self.capture_path = work / "capture"
        self.children: dict[str, Child] = {}
        self.begin_us = 0
        self.ending = False
        # Faults that the nodes' process begins on SIGUSR1.
        self.on_signal: tuple[str, ...] = ("node 2 kill for 1s",)
        # The length of a Unix socket path is limited, and the path of the working folder may be too long.
        self.sockets = Path(tempfile.mkdtemp(prefix="sp"))

    # Settings files of the processes

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
        cluster_lines = lines_for(scenario, names(CLUSTER_SCHEMA), {"class"})
        common = [f"begin {self.work}/begin", f"seed {scenario.seed}"]
        zones = scenario.cluster.zones
        lists: dict[str, str] = {}
        # Each zone has its own node list, which gives that zone's planners separate relay addresses. So the
        # links between two zones can be cut without affecting other links.
        directories: list[str] = []
        for zone in zones:
            target = self._socket(f"list-{zone}")
            lists[zone] = recorder.relay("list", target, key=f"list {zone}")
            directories.append(f"directory {target} {zone}")
            lines = lines_for(scenario, names(LIST), set())
            lines += [*common, f"listen {target}", *self._faults("list")]
            self._child(f"list {zone}", "directory", lines)

        lines = [*cluster_lines, *lines_for(scenario, names(MODEL), set()), *common, *directories]
        for node in scenario.nodes:
            model = node.model
            target = self._socket(f"n{model.id}")
            lines += [
                f"node {model.id} {model.name}",
                f"  kind {model.node_type}",
                f"  zone {model.zone}",
                f"  rack {model.rack}",
                f"  listen {target}",
                *(["  absent yes"] if node.absent else []),
            ]
            for zone in zones:
                relayed = recorder.relay(f"node {model.id}", target, key=f"node {model.id} {zone}")
                lines.append(f"  advertise {relayed} {zone}")
            lines.append("end")
        lines += [f"on-signal {line}" for line in self.on_signal]
        self._child("nodes", "node", [*lines, *self._faults("node")])

        owners = [*cluster_lines, *lines_for(scenario, names(CLIENTS), {"demand"}), *common]
        if scenario.section.value("asks-end") is None:
            owners.append(f"asks-end {max(1, scenario.lasts_us - scenario.settles_us)}us")
        for i in range(scenario.planners):
            target = self._socket(f"p{i}")
            lines = [*cluster_lines, *lines_for(scenario, set(PLANNER_KEYS), set())]
            zone = zones[i % len(zones)]
            lines += [f"planner {i} of {scenario.planners}", f"listen {target}"]
            lines += [f"home-zone {zone}", f"directory {lists[zone]}"]
            self._child(f"planner {i}", "planner", lines)
            owners.append(f"planner {i} {recorder.relay(f'planner {i}', target)}")
        owners += [f"owner owner-{i}" for i in range(scenario.owners)]
        owners += [f"report {self.work / 'owners.json'}", *self._faults("owners", "demand")]
        self._child("owners", "owners", owners)

    def _child(self, name: str, command: str, lines: list[str]) -> None:
        file = self._write(name.replace(" ", ""), lines)
        self.children[name] = Child(name, command, file, self.work / f"{name.replace(' ', '')}.log")

    # Running

    def run(self) -> Result:
        """Run the scenario and check its capture. Raises RehearsalError where a process fails."""
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
                gevent.sleep(0.5)  # time for planners and nodes to connect
                # The start of the scenario is set only now, so that a slow process start does not shorten it.
                self.begin_us = now_us() + 1_500_000
                unfinished = self.work / "begin.part"
                unfinished.write_text(str(self.begin_us))
                unfinished.rename(begin_file)
                recorder.note(f"begin {self.begin_us}")
                self.children["owners"].start()
                for fault in scenario.faults:
                    gevent.spawn(self._script, fault, recorder)
                self._wait_until_end()
                self.ending = True
                self.progress("the scenario is over: ending the owners, then the planners")
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
        owners_report = self.work / "owners.json"
        owners = json.loads(owners_report.read_text()) if owners_report.exists() else {}
        return Result(self.capture_path, checker, problems, owners, script, self.begin_us, unclean)

    def _await_sockets(self, wanted: list[str]) -> None:
        until = now_us() + START_S * 1e6
        while not all((self.sockets / name).exists() for name in wanted):
            for child in self.children.values():
                if child.process is not None and not child.alive:
                    raise RehearsalError(f"{child.name} did not start:\n{child.log.read_text()[-2000:]}")
            if now_us() > until:
                raise RehearsalError(f"processes did not start within {START_S:g} s")
            gevent.sleep(0.02)

    def _wait_until_end(self) -> None:
        """Wait for the end of the scenario. Raises RehearsalError where a process ends unexpectedly."""
        end = self.begin_us + self.scenario.lasts_us
        shown_second = 0
        while now_us() < end:
            gevent.sleep(0.05)
            for child in self.children.values():
                if not child.alive and not getattr(child, "ends_by_fault", False):
                    raise RehearsalError(f"{child.name} ended unexpectedly:\n{child.log.read_text()[-2000:]}")
            second = int((now_us() - self.begin_us) / 5e6)
            if second > shown_second:
                shown_second = second
                self.progress(f"{shown_second * 5:>4} s of {self.scenario.lasts_us / 1e6:g} s")

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
        what, direction, value = self._relay_fault(fault)
        affected = [recorder.relays[key] for key in self._affected_relays(fault)]
        for relay in affected:
            if what == "cut":
                relay.cut()
            else:
                relay.begin(what, direction, value)
        if fault.duration_us:
            gevent.sleep(fault.duration_us / 1e6)
            for relay in affected:
                relay.end(what, direction, value)
            recorder.note(f"over: {text}")

    @staticmethod
    def _relay_fault(fault: Fault) -> tuple[str, str, int]:
        """Return the relays' part of a fault: its kind, direction and value."""
        if fault.target == "zone":
            return "hold", "both", 0
        direction, value = (*fault.values, *("both", 0)[len(fault.values) :])[:2]
        return fault.what, str(direction), int(value)

    def _affected_relays(self, fault: Fault) -> list[str]:
        """Return the keys of the relays that a fault affects."""
        zones = self.scenario.cluster.zones
        if fault.target == "zone":
            return self._relays_across(fault.name)
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

    def _relays_across(self, cut: str) -> list[str]:
        """Return the keys of the relays between a zone and the other zones."""
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
            child.ends_by_fault = True  # type: ignore[attr-defined]
            child.signal(signal.SIGKILL)
            child.process.wait(timeout=5)
            child.process.stdin.close()
            gevent.sleep(fault.duration_us / 1e6)
            if not self.ending:
                child.start()
                gevent.sleep(1.0)
                child.ends_by_fault = False  # type: ignore[attr-defined]


def work_folder(path: str | None) -> Path:
    """Return the given folder, created where it is missing, or a new temporary one."""
    if path is None:
        return Path(tempfile.mkdtemp(prefix="rehearsal-"))
    folder = Path(path)
    os.makedirs(folder, exist_ok=True)
    return folder.resolve()
