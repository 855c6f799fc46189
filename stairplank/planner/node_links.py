"""The links to nodes: which are dialled, which stand, what is unsettled since one broke, what nodes hold.
No I/O.

Invariants (tests/planner/test_node_links.py, with the other rooms played by hand):

1. One link a node, in one state of the table LINK; at most ``max_dials`` are being dialled.
2. Of a link that broke, every attempt that had left is unsettled until the node's next word on it, until what
   the node holds is told, or until the grace is over; then each is settled, once.
3. A node is asked what it holds at each new link, and not oftener than once a second besides.
4. A node's own word that it drains holds for its life, whatever the list says; a new life begins without it.
5. A link is kept while the list names its node or something is at it.

Table: ``links``.
"""

from __future__ import annotations

import random
from typing import Protocol

from . import abandoned_attempts
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .link_state import Dials, Link, Redial, State
from .placement import Attempt, Placement
from .transitions import LINK

HELD_GAP_US = 1_000_000  # a node is not asked more often for what it holds because of words we cannot place


class Attempts(Protocol):
    """What links need of the attempts."""

    def find(self, id: AttemptId) -> Attempt | None: ...
    def at_node(self, node: int) -> list[Attempt]: ...
    def any_at_node(self, node: int) -> bool: ...
    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]: ...
    def send_waiting_offers(self, node: int) -> None: ...
    def fail_waiting_offers(self, node: int) -> None: ...
    def node_restarted(self, node: int) -> None: ...
    def link_expired(self, ids: list[AttemptId]) -> None: ...
    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None: ...
    def settle_never_received(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None: ...
    def node_accepted(self, event: ev.NodeAccepted) -> None: ...
    def node_running(self, event: ev.NodeRunning) -> None: ...
    def stop(self, attempt: Attempt, why: ev.StopReason) -> None: ...
    def handle_duplicate(self, attempt: Attempt) -> None: ...
    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt: ...


class ClientRequests(Protocol):
    def find_by_key(self, owner: str, key: int) -> Placement | None: ...


class Groups(Protocol):
    def member_reported(self, node: int, held: ev.NodeTask, tag: ev.GroupTag) -> None: ...
    def finished_member_reported(self, held: ev.NodeTask, tag: ev.GroupTag) -> None: ...


class Leases(Protocol):
    def link_lost(self, node: int) -> None: ...


class NodeList(Protocol):
    def drains(self, node: int) -> None: ...


class Links:
    def __init__(self, context: CoreContext, rng: random.Random) -> None:
        config = context.config
        self.context = context
        self.attempts: Attempts
        self.requests: ClientRequests
        self.groups: Groups
        self.leases: Leases
        self.list: NodeList
        self.links: dict[int, Link] = {}
        self.redial = Redial(config.dial_retry_us, config.max_dial_retry_us, rng)
        self.dials = Dials(config.max_dials)
        self._unknown_class: set[int] = set()  # nodes that hold a task of a class that is not known

    def settings_changed(self) -> None:
        config = self.context.config
        self.redial.set_waits(config.dial_retry_us, config.max_dial_retry_us)
        self._dial_these(self.dials.set_most(config.max_dials))
        # Danger: a task of a class that was not known would never be adopted, nor its client notified.
        nodes, self._unknown_class = self._unknown_class, set()
        for node in sorted(nodes):
            self._ask_later_than((node, self.context.now))

    def _ask_later_than(self, node_and_time: tuple[int, int]) -> None:
        """Ask what the node holds, unless it is asked after that time anyhow, as soon as it may be asked."""
        node, time = node_and_time
        again = self.question(node, time + 1)
        if again is not None:
            self.context.call_at(again, self._ask_later_than, node_and_time)

    # Questions

    def up(self, node: int) -> bool:
        link = self.links.get(node)
        return link is not None and link.state is State.UP

    def reach(self, node: int) -> bool:
        """Whether the node has addresses to be dialled at."""
        link = self.links.get(node)
        return link is not None and bool(link.addresses)

    def is_linked(self, node: int) -> bool:
        return node in self.links

    def nodes(self) -> list[int]:
        return list(self.links)

    def drains(self, node: int, started_unix_us: int) -> bool:
        """Whether the node's own word that it drains beats a list that knows of this life of it as ready."""
        link = self.links.get(node)
        if link is None or not link.draining:
            return False
        if link.started_unix_us >= started_unix_us:
            return True
        link.draining = False  # the list knows of a newer life
        return False

    # Dialling

    def dial_now(self, node: int) -> bool:
        """An offer waits: whether the link is being dialled, by now."""
        link = self.links[node]
        if self.redial.wanted_now(link, self.context.now):
            self._dial(link, first=True)
        return link.state is not State.DOWN

    def _dial(self, link: Link, first: bool = False) -> None:
        self._step(link, "dial")
        self._dial_these(self.dials.want(link.node, first=first))

    def _step(self, link: Link, event: str) -> None:
        link.state = self.context.transition(LINK, link.state, event)

    def _dial_these(self, nodes: list[int]) -> None:
        for node in nodes:
            link = self.links.get(node)
            if link is not None:
                self.context.emit(ev.Dial(node, link.addresses))
            else:
                self._dial_these(self.dials.over(node))

    def _redial(self, node: int) -> None:
        link = self.links.get(node)
        if link is not None and link.state is State.DOWN and link.dial_at <= self.context.now:
            self._dial(link)

    def failed(self, event: ev.DialFailed) -> None:
        self._dial_these(self.dials.over(event.node))
        link = self.links.get(event.node)
        if link is None:
            return
        self._step(link, "failed")
        self.redial.after_failure(link, self.context.now)
        self.context.call_at(link.dial_at, self._redial, link.node)
        self.attempts.fail_waiting_offers(event.node)

    # A link's life

    def came_up(self, event: ev.LinkUp) -> None:
        self._dial_these(self.dials.over(event.node))
        link = self.links.get(event.node)
        if link is None:
            self.context.emit(ev.CloseLink(event.node))
            return
        self._step(link, "up")
        link.fails, link.lost_at = 0, 0
        if link.started_unix_us not in (-1, event.started_unix_us):
            # The node's process is another one: what was there is gone, and its own 'draining' with it.
            link.draining = False
            link.unsettled.clear()
            self.attempts.node_restarted(link.node)
        link.started_unix_us = event.started_unix_us
        # What the node holds is asked for at each new link: it settles what a cut left open, and after a
        # restart of this planner it is how its tasks come back.
        link.held_at = self.context.now
        self.context.emit(ev.RequestNodeTasks(event.node))
        if event.draining:
            self.drained(ev.NodeDraining(event.node))
        if event.draining:
            self.attempts.fail_waiting_offers(event.node)
        else:
            self.attempts.send_waiting_offers(event.node)

    def drained(self, event: ev.NodeDraining) -> None:
        """The node's own word."""
        link = self.links.get(event.node)
        if link is None or link.draining:
            return
        link.draining = True
        self.attempts.fail_waiting_offers(event.node)
        self.list.drains(event.node)

    def lost(self, event: ev.LinkDown) -> None:
        link = self.links.get(event.node)
        if link is None:
            return
        self.leases.link_lost(event.node)
        self._step(link, "lost")
        link.lost_at = self.context.now
        self.redial.after_loss(link, self.context.now)
        self.context.call_at(link.dial_at, self._redial, link.node)
        link.unsettled.update(self.attempts.link_lost(event.node, event.unsent))
        grace = self.context.now + self.context.config.link_grace_us
        self.context.call_at(grace, self._grace_over, (event.node, self.context.now))

    def _grace_over(self, broke: tuple[int, int]) -> None:
        """A broken link did not come back in time: what was there counts as lost from now on."""
        node, lost_at = broke
        link = self.links.get(node)
        if link is not None and link.lost_at == lost_at and link.state is not State.UP:
            self.context.log("node lost", node=node, under_way=len(link.unsettled))
            self.attempts.link_expired(sorted(link.unsettled))
            link.unsettled.clear()

    def unsettled(self, node: int, id: AttemptId) -> None:
        """Something is to be said of this attempt when the link is back."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.add(id)

    def heard(self, node: int, id: AttemptId) -> None:
        """The node has spoken of it."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.discard(id)

    # What nodes hold

    def unplaced_word(self, node: int) -> None:
        """The node has something of ours that we know nothing of any more: what it holds will tell."""
        link = self.links.get(node)
        if link is not None and link.state is State.UP and self.context.now >= link.held_at + HELD_GAP_US:
            self._ask_held(link)

    def question(self, node: int, since: int) -> int | None:
        """Ask what the node holds, for something that is settled by any answer to a question since then.

        None: it is asked, was asked, or the next link asks by itself; else when to come again.
        """
        link = self.links.get(node)
        if link is None or link.state is not State.UP or link.held_at >= since:
            return None
        if self.context.now < link.held_at + HELD_GAP_US:
            return link.held_at + HELD_GAP_US
        self._ask_held(link)
        return None

    def _ask_held(self, link: Link) -> None:
        link.held_at = self.context.now
        self.context.emit(ev.RequestNodeTasks(link.node))

    def held_told(self, event: ev.NodeTasksReported) -> None:
        link = self.links.get(event.node)
        if link is None or link.started_unix_us != event.started_unix_us:
            return
        unsettled, link.unsettled = link.unsettled, set()
        held = {task.id: task for task in event.tasks}
        self.attempts.not_at_node([id for id in sorted(unsettled) if id not in held], event.complete)
        if event.complete:
            self.attempts.settle_never_received(event, set(held))
        for done in event.finished:
            if done.group is not None:
                self.groups.finished_member_reported(done, done.group)
        for id, task in held.items():
            attempt = self.attempts.find(id)
            spoken = attempt is not None and attempt.accepted
            if attempt is None:
                self._held_unknown(event.node, task)
            elif task.running:
                self.attempts.node_running(ev.NodeRunning(event.node, id))
            else:
                self.attempts.node_accepted(ev.NodeAccepted(event.node, id))
            if attempt is None or self.attempts.find(id) is not attempt:
                continue
            placing = attempt.placement
            if placing.cancelled or placing.state is PlacementState.CANCELLED:
                self.attempts.stop(attempt, ev.StopReason.CANCELLED)
            elif (
                spoken
                and id in unsettled
                and attempt.outcome_reported
                and attempt is not placing.bound_attempt
            ):
                # Danger: the stop of a given-up copy was lost with its link: said once, the copy runs on.
                self.attempts.handle_duplicate(attempt)

    def _held_unknown(self, node: int, held: ev.NodeTask) -> None:
        """A task of an earlier life, or one that was given up as lost."""
        index = self.context.classes.get(held.task.task_class)
        if index is None:
            self.context.log("held task of an unknown class", node=node, task_class=held.task.task_class)
            self._unknown_class.add(node)
            return
        if held.group is not None:
            self.groups.member_reported(node, held, held.group)
            return
        known = self.requests.find_by_key(held.task.client, held.task.key)
        fate = PlacementState.UNKNOWN if known is None else known.state
        if (
            abandoned_attempts.duplicate_action(self.context.effect(index), fate)
            is abandoned_attempts.DuplicateAction.STOP
        ):
            self.context.count("copies_stopped")
            self.context.emit(ev.SendStop(node, held.id, ev.StopReason.ABANDONED))
        else:
            self.attempts.adopt(node, held.id, held.task, held.running)

    def held_failed(self, event: ev.NodeTasksFailed) -> None:
        if self.up(event.node):
            self.context.emit(ev.CloseLink(event.node))  # without its word nothing is settled: begin anew

    # By the list's word

    def listed(self, node: int, addresses: tuple[str, ...]) -> bool:
        """The list names a node that is not gone: keep a link to it. False where the table is full."""
        link = self.links.get(node)
        if link is None:
            most = self.context.config.max_nodes
            if len(self.links) >= most:
                self.context.log("node not taken: the table is full", node=node, most=most)
                return False
            link = self.links[node] = Link(node, addresses)
        link.listed = True
        if link.addresses != addresses:
            link.addresses, link.dial_at = addresses, self.context.now
            if link.state is State.UP:
                self.context.emit(ev.CloseLink(node))
        return True

    def dial_if_due(self, node: int) -> None:
        link = self.links[node]
        if link.state is State.DOWN and link.dial_at <= self.context.now:
            self._dial(link)

    def unlisted(self, node: int) -> None:
        """The list names it no longer: the link stays while something is at the node."""
        link = self.links[node]
        link.listed = False
        self.attempts.fail_waiting_offers(node)
        if not self.attempts.any_at_node(node):
            self._drop(link)

    def nothing_at(self, node: int) -> None:
        link = self.links.get(node)
        if link is not None and not link.listed:
            self._drop(link)

    def _drop(self, link: Link) -> None:
        self._unknown_class.discard(link.node)
        if self.links.pop(link.node, None) is not None and link.state is not State.DOWN:
            self.context.emit(ev.CloseLink(link.node))
            self._dial_these(self.dials.over(link.node))
