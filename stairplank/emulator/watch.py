"""Watches a simulated room for what no planner may bring about: stale messages that take effect, copies.

It reads what passes between the cores and the nodes' models, and nothing of how they decide.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from .. import interface as api
from ..planner import events as ev
from ..planner.events import AttemptId
from ..standin.node_events import Reported
from .world import World

FRESH_US = 50_000  # an offer that came with less of its wait left than this is no loss


@dataclass
class Watched:
    """What was seen; times in microseconds."""

    stale_taken: list[tuple[int, int, AttemptId]] = field(default_factory=list)  # when, node, attempt
    copies: list[tuple[int, str, int]] = field(default_factory=list)  # of one placing: when, owner, key
    copies_asked: list[tuple[int, str, int]] = field(
        default_factory=list
    )  # of one task, by its owner's asking
    offers: int = 0
    stale_refused: int = 0
    partly_us: list[int] = field(default_factory=list)  # groups that ran partly, and for how long
    fresh_refused: int = 0  # as too late, with ``FRESH_US`` of their wait left


class Watch:
    """Put around a world before it runs."""

    def __init__(self, world: World) -> None:
        self.seen = Watched()
        self._world = world
        self._until: dict[AttemptId, int] = {}
        self._task: dict[AttemptId, ev.TaskSpec] = {}
        self._running: dict[tuple[str, int], dict[tuple[int, AttemptId], int]] = defaultdict(dict)
        self._node_of: dict[AttemptId, int] = {}
        self._tag: dict[AttemptId, ev.GroupTag] = {}
        self._members: dict[tuple[int, int], set[AttemptId]] = defaultdict(set)  # running, by group
        self._finished: dict[tuple[int, int], int] = defaultdict(int)
        self._partly: dict[tuple[int, int], int] = {}
        self._strict = {c.name for c in world.config.cluster.classes if c.effect is not api.Effect.IDEMPOTENT}
        world.on_offer = self._offered
        world.on_word = self._said
        world.on_death = self.node_died

    def task_of(self, id: AttemptId) -> ev.TaskSpec | None:
        """The task that was offered under this name."""
        return self._task.get(id)

    def _offered(self, offer: ev.SendOffer) -> None:
        self.seen.offers += 1
        self._until[offer.id] = self._world.now + offer.wait_us
        self._task[offer.id] = offer.task
        if offer.group is not None:
            self._tag[offer.id] = offer.group
            self._node_of[offer.id] = offer.node

    def _said(self, node: int, word: Reported) -> None:
        now, seen, id = self._world.now, self.seen, word.id
        if word.kind == "accepted" and now > self._until[id]:
            seen.stale_taken.append((now, node, id))
        elif word.kind == "refused" and word.is_late:
            seen.stale_refused += 1
            seen.fresh_refused += now < self._until[id] - FRESH_US
        elif word.kind == "running" and self._task[id].task_class in self._strict:
            task = self._task[id]
            others = self._running[task.client, task.key]
            if any(
                other.incarnation == id.incarnation and other.placement == id.placement for _, other in others
            ):
                seen.copies.append((now, task.client, task.key))
            elif others:
                seen.copies_asked.append((now, task.client, task.key))
            others[node, id] = now
        if id in self._tag:
            self._member(word)
        if word.kind in ("refused", "error", "ended"):
            task = self._task[id]
            self._running[task.client, task.key].pop((node, id), None)

    def node_died(self, node: int) -> None:
        for others in self._running.values():
            for key in [k for k in others if k[0] == node]:
                del others[key]
        for group, ids in self._members.items():
            for id in [i for i in ids if self._node_of[i] == node]:
                ids.discard(id)
                self._weigh(group, self._tag[id].size)

    def _member(self, word: Reported) -> None:
        tag = self._tag[word.id]
        key = (tag.incarnation, tag.group)
        if word.kind == "running":
            self._members[key].add(word.id)
        elif word.kind in ("refused", "error", "ended"):
            self._finished[key] += word.result is api.Result.FINISHED
            self._members[key].discard(word.id)
        self._weigh(key, tag.size)

    def _weigh(self, key: tuple[int, int], size: int) -> None:
        """Partly: some run, and fewer than make it whole run or have run to their end."""
        running = len(self._members[key])
        partly = running > 0 and running + self._finished[key] < size
        if partly:
            self._partly.setdefault(key, self._world.now)
        elif key in self._partly:
            self.seen.partly_us.append(self._world.now - self._partly.pop(key))
