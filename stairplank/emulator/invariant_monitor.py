"""Watches a simulation for what no planner may bring about: stale messages that take effect, duplicate runs.

It reads what passes between the cores and the models of nodes, and nothing of how they decide.
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

FRESH_WAIT_US = 50_000  # an offer that came with less of its wait left than this is no loss

GroupKey = tuple[int, int]  # incarnation of the planner and group


class StaleAcceptance(NamedTuple):
    """An offer that a node accepted after the end of its wait."""

    time_us: int
    node: int
    attempt: AttemptId


class DuplicateRun(NamedTuple):
    """A second run of a task that may not be repeated."""

    time_us: int
    client: str
    key: int


@dataclass
class Observations:
    """What was observed; times in microseconds."""

    stale_accepted: list[StaleAcceptance] = field(default_factory=list)
    duplicate_runs: list[DuplicateRun] = field(default_factory=list)  # of one placement
    duplicate_runs_of_retries: list[DuplicateRun] = field(default_factory=list)  # the client had asked again
    offers: int = 0
    stale_rejected: int = 0
    fresh_rejected: int = 0  # as too late, with ``FRESH_WAIT_US`` of their wait left
    partial_group_us: list[int] = field(default_factory=list)  # how long groups ran partly


class InvariantMonitor:
    """Attached to a simulation before it runs.

    Attributes:
        observed: what was seen so far.
        running_members: by group, the attempts of members that run now.
        node_of: the node of each attempt of a group's member.
    """

    def __init__(self, simulation: Simulation) -> None:
        """Take over the simulation's observer callbacks."""
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
        """The task that was offered under this id."""
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
        is_same_placement = any(
            other.incarnation == attempt.incarnation and other.placement == attempt.placement
            for _, other in others
        )
        if is_same_placement:
            self.observed.duplicate_runs.append(DuplicateRun(now_us, task.client, task.key))
        elif others:
            self.observed.duplicate_runs_of_retries.append(DuplicateRun(now_us, task.client, task.key))
        others[node, attempt] = now_us

    def node_died(self, node: int) -> None:
        """Nothing runs at a node any more."""
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
        """Partial: some members run, and fewer than all run or have run to their end."""
        running = len(self.running_members[group])
        is_partial = running > 0 and running + self._finished_members[group] < size
        if is_partial:
            self._partial_since_us.setdefault(group, self._simulation.now_us)
        elif group in self._partial_since_us:
            duration_us = self._simulation.now_us - self._partial_since_us.pop(group)
            self.observed.partial_group_us.append(duration_us)
