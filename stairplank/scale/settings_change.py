"""Measures configuration changes at planners of the gRPC form: live changes, and changes by restarts.

All planners are real processes. They have no workers and no tasks, because these do not affect the cost of a
change. The configuration is that of a site with ``TENANTS`` tenants.
"""

from __future__ import annotations

import time
from pathlib import Path
from statistics import fmean

from . import grpc_files
from .children import Child, Children
from .counts import Counts
from .event_names import SETTINGS_CHANGE, SETTINGS_FOLLOWED
from .forms import FORMS, served_at
from .measure import with_headers
from .plan import GRPC, SampleSpec
from .results import EventTimes, PlannerCost, Sample
from .site import wait_for

REPLICAS = 3
TENANTS = 310
CHANGE_EVERY_S = 1.0
START_TIMEOUT_S = 60.0
POLL_S = 0.02
UNUSED_PORT = 1  # no node list service listens on this port


def site_text(change: int) -> str:
    """Return the configuration after this number of changes.

    Each change sets another latency objective; a change of any other key would cost the same.
    """
    return grpc_files.site_text(zones=1, tenants=TENANTS, aim_ms=1000 + change)


class SettingsSite:
    """Planners that follow replicas of the configuration service. The constructor starts all processes."""

    def __init__(self, planners: int, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.planners = planners
        self.folder = folder
        self.children = Children(folder)
        self.changes = 0
        try:
            self.replicas = self.children.hollow(GRPC, "replicas")
            self.addresses: list[str] = self.replicas.ask("start", folder=str(folder), count=REPLICAS)
            self.real = [self._start(position, follows=True) for position in range(planners)]
            for child in self.real:
                self._wait_until_served(child)
            self._change()
        except BaseException:
            self.end()
            raise

    def end(self) -> None:
        """End every process."""
        self.children.end_all()

    def sample(self, spec: SampleSpec) -> Sample:
        """Take the sample that the specification describes."""
        if spec.load == SETTINGS_FOLLOWED:
            return self._span(spec, 0)
        if spec.load == SETTINGS_CHANGE:
            return self._span(spec, max(1, round(spec.span_s / CHANGE_EVERY_S)))
        return self._restart(spec)

    # Samples

    def _span(self, spec: SampleSpec, changes: int) -> Sample:
        """Publish this number of changes, evenly over a span, and measure the cost of a planner."""
        before, cpu_before, began = self._traffic(), self._cpu(), time.monotonic()
        delays = []
        for number in range(changes):
            time.sleep(max(0.0, began + number * CHANGE_EVERY_S - time.monotonic()))
            delays.append(self._change())
        time.sleep(max(0.0, began + spec.span_s - time.monotonic()))
        span_s = time.monotonic() - began
        cost = self._cost(before, self._traffic(), cpu_before, span_s)
        times = EventTimes(in_force_s=max(delays, default=None))
        note = f"{len(site_text(0))} bytes of text, {TENANTS} tenants; no workers, no tasks"
        return Sample(
            spec.form,
            spec.load,
            spec.size,
            round(span_s, 3),
            spec.repeat,
            cost,
            event=times,
            changes=changes,
            note=note,
        )

    def _restart(self, spec: SampleSpec) -> Sample:
        """Change the configuration by restarting all planners at once with changed files."""
        began = time.monotonic()
        self.changes += 1
        for child in self.real:
            self.children.end(child)
        self.real = [self._start(position, follows=False) for position in range(self.planners)]
        for child in self.real:
            self._wait_until_served(child)
        span_s = time.monotonic() - began
        cost = PlannerCost(cpu_share=fmean(self._cpu()) / span_s, memory_mb=self._memory())
        times = EventTimes(in_force_s=span_s)
        note = "every planner killed and started with the changed file"
        return Sample(
            spec.form,
            spec.load,
            spec.size,
            round(span_s, 3),
            spec.repeat,
            cost,
            event=times,
            changes=1,
            note=note,
        )

    def _change(self) -> float:
        """Publish a change; return the seconds from its commit until the last planner has it in force."""
        self.changes += 1
        self.replicas.ask("publish", text=site_text(self.changes))
        slowest: float = wait_for(self._slowest_delay, START_TIMEOUT_S, self.replicas)[0]
        return slowest

    def _slowest_delay(self) -> list[float]:
        """Return the longest delay of any planner as a list, empty until all have applied the change.

        It is a list because ``wait_for`` would take a plain delay of 0 as no value.
        """
        delay = self.replicas.ask("slowest", planners=self.planners)
        return [] if delay is None else [delay]

    # Planners

    def _start(self, position: int, follows: bool) -> Child:
        replicas = self.addresses if follows else ()
        file = grpc_files.write_planner_file(
            self.folder, position, self.planners, UNUSED_PORT, site_text(self.changes), replicas
        )
        arguments, environment = FORMS[GRPC].command(file)
        return self.children.plain(f"planner-{position}", arguments, environment)

    def _wait_until_served(self, child: Child) -> None:
        wait_for(lambda: served_at(FORMS[GRPC], child.log), START_TIMEOUT_S, child)

    # Figures

    def _cpu(self) -> list[float]:
        return [child.cpu_seconds() for child in self.real]

    def _memory(self) -> float:
        return fmean(child.memory_mb() for child in self.real)

    def _traffic(self) -> dict[int, Counts]:
        traffic = self.replicas.ask("snapshot")["traffic"]
        return {int(planner): Counts(**values) for planner, values in traffic.items()}

    def _cost(
        self, before: dict[int, Counts], after: dict[int, Counts], cpu_before: list[float], span_s: float
    ) -> PlannerCost:
        """Return the mean cost of a planner between two counts of traffic."""
        spent = [after[p].minus(before.get(p, Counts())) for p in sorted(after)]
        cpu = [b - a for a, b in zip(cpu_before, self._cpu(), strict=True)]
        return PlannerCost(
            cpu_share=fmean(cpu) / span_s,
            memory_mb=self._memory(),
            connections=fmean(counts.connection_seconds for counts in spent) / span_s,
            dials_per_s=fmean(counts.dials for counts in spent) / span_s,
            bytes_per_s=fmean(counts.bytes for counts in spent) / span_s,
            control_bytes_per_s=fmean(counts.control_bytes for counts in spent) / span_s,
            messages_per_s=fmean(counts.messages for counts in spent) / span_s,
            control_messages_per_s=fmean(counts.control_messages for counts in spent) / span_s,
            control_bytes_with_headers_per_s=fmean(map(with_headers, spent)) / span_s,
        )
