"""Detects violations of the planners' guarantees in a simulation: stale offers accepted and duplicate runs.

The monitor reads only the offers of the planners' cores and the reports of the simulated nodes, so it does
not depend on how either of them decides.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import interface as api
from ..planner import events as ev
from ..planner.events import AttemptId
from ..standin.node_events import Reported
from .group_meter import TaskName
from .node_reports import is_last_report
from .simulation import Simulation

FRESH_WAIT_US = 50_000  # rejecting an offer as too late does no harm if it expires within this time

GroupKey = tuple[int, int]  # incarnation of the planner, id of the group


class StaleAcceptance(NamedTuple):
    """An offer that a node accepted after the offer had expired."""

    time_us: int
    node: int
    attempt: AttemptId


class DuplicateRun(NamedTuple):
    """A second start of a running task whose class does not allow repeated runs."""

    time_us: int
    client: str
    key: int


@dataclass
class Observations:
    """Counts and violations that the monitor has recorded; times in microseconds."""

    stale_accepted: list[StaleAcceptance] = field(default_factory=list)
    duplicate_runs: list[DuplicateRun] = field(default_factory=list)  # a second run of the same placement
    duplicate_runs_of_retries: list[DuplicateRun] = field(default_factory=list)  # runs due to a retry
    offers: int = 0
    stale_rejected: int = 0
    fresh_rejected: int = 0  # rejected as too late though valid for more than ``FRESH_WAIT_US`` longer
    partial_group_us: list[int] = field(default_factory=list)  # times in which a group ran only partly


class InvariantMonitor:
    """Records offers and reports of one simulation; to be created before the simulation runs.

    Attributes:
        observed: what the monitor has recorded so far.
        running_members: for each group, the attempts of the members that are running.
        node_of: the node to which each attempt of a group member was offered.
    """

    def __init__(self, simulation: Simulation) -> None:
        """Register the monitor as the observer of the simulation's offers, reports and node failures."""
        self.observed = Observations()
        self._simulation = simulation
        self._valid_until_us: dict[AttemptId, int] = {}
        self._tasks: dict[AttemptId, ev.TaskSpec] = {}
        self._running: dict[TaskName, dict[tuple[int, AttemptId], int]] = defaultdict(dict)
        self.node_of: dict[AttemptId, int] = {}
        self._group_tags: dict[AttemptId, ev.GroupTag] = {}
        self.running_members: dict[GroupKey, set[AttemptId]] = defaultdict(set)
        self._finished_members: dict[GroupKey, int] = defaultdict(int)
        self._partial_since_us: dict[GroupKey, int] = {}
        classes = simulation.config.cluster.classes
        self._run_once = {each.name for each in classes if each.effect is not api.Effect.IDEMPOTENT}
        simulation.on_offer = self._offer_sent
        simulation.on_node_report = self._node_reported
        simulation.on_node_death = self.node_died

    def task_of(self, attempt: AttemptId) -> ev.TaskSpec | None:
        """Return the task that was offered in this attempt, or None for an unknown attempt."""
        return self._tasks.get(attempt)

    def _offer_sent(self, offer: ev.SendOffer) -> None:
        self.observed.offers += 1
        self._valid_until_us[offer.id] = self._simulation.now_us + offer.wait_us
        self._tasks[offer.id] = offer.task
        if offer.group is not None:
            self._group_tags[offer.id] = offer.group
            self.node_of[offer.id] = offer.node

    def _node_reported(self, node: int, report: Reported) -> None:
        now_us = self._simulation.now_us
        if report.kind == "accepted" and now_us > self._valid_until_us[report.id]:
            self.observed.stale_accepted.append(StaleAcceptance(now_us, node, report.id))
        elif report.kind == "refused" and report.is_late:
            self.observed.stale_rejected += 1
            self.observed.fresh_rejected += now_us < self._valid_until_us[report.id] - FRESH_WAIT_US
        elif report.kind == "running" and self._tasks[report.id].task_class in self._run_once:
            self._check_duplicate(node, report.id)
        if report.id in self._group_tags:
            self._member_reported(report)
        if is_last_report(report):
            task = self._tasks[report.id]
            self._running[task.client, task.key].pop((node, report.id), None)

    def _check_duplicate(self, node: int, attempt: AttemptId) -> None:
        now_us = self._simulation.now_us
        task = self._tasks[attempt]
        others = self._running[task.client, task.key]
        has_same_placement = any(
            other.incarnation == attempt.incarnation and other.placement == attempt.placement
            for _, other in others
        )
        if has_same_placement:
            self.observed.duplicate_runs.append(DuplicateRun(now_us, task.client, task.key))
        elif others:
            self.observed.duplicate_runs_of_retries.append(DuplicateRun(now_us, task.client, task.key))
        others[node, attempt] = now_us

    def node_died(self, node: int) -> None:
        """Record that a node has failed, which ended all tasks that ran on it."""
        for runs in self._running.values():
            for key in [key for key in runs if key[0] == node]:
                del runs[key]
        for group, members in self.running_members.items():
            for attempt in [member for member in members if self.node_of[member] == node]:
                members.discard(attempt)
                self._update_partial(group, self._group_tags[attempt].size)

    def _member_reported(self, report: Reported) -> None:
        tag = self._group_tags[report.id]
        group = (tag.incarnation, tag.group)
        if report.kind == "running":
            self.running_members[group].add(report.id)
        elif is_last_report(report):
            self._finished_members[group] += report.result is api.Result.FINISHED
            self.running_members[group].discard(report.id)
        self._update_partial(group, tag.size)

    def _update_partial(self, group: GroupKey, size: int) -> None:
        """Track for how long a group is partial: some members run, but not all run or have finished."""
        running = len(self.running_members[group])
        is_partial = running > 0 and running + self._finished_members[group] < size
        if is_partial:
            self._partial_since_us.setdefault(group, self._simulation.now_us)
        elif group in self._partial_since_us:
            duration_us = self._simulation.now_us - self._partial_since_us.pop(group)
            self.observed.partial_group_us.append(duration_us)
