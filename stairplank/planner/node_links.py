"""The links to nodes: which are dialled, which stand, what is unsettled since one broke, what nodes hold.
No I/O.

Invariants (tests/planner/test_node_links.py, with the other rooms played by hand):

1. One link a node, in one state of the table LINK; at most ``dials_most`` are being dialled.
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
from .dialing import DialBackoff, DialQueue
from .events import AttemptId
from .link_state import Link, LinkState
from .placement import Attempt, Placement
from .transitions import LINK

TASK_REQUEST_INTERVAL_US = (
    1_000_000  # a node is not asked more often for what it holds because of words we cannot place
)


class Attempts(Protocol):
    """What links need of the attempts."""

    def known(self, id: AttemptId) -> Attempt | None: ...
    def at(self, node: int) -> list[Attempt]: ...
    def any_at(self, node: int) -> bool: ...
    def over_unsent(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]: ...
    def send_waiting(self, node: int) -> None: ...
    def drop_waiting(self, node: int) -> None: ...
    def lost_with_its_life(self, node: int) -> None: ...
    def lose(self, ids: list[AttemptId]) -> None: ...
    def not_held(self, ids: list[AttemptId], complete: bool) -> None: ...
    def never_taken(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None: ...
    def node_accepted(self, event: ev.NodeAccepted) -> None: ...
    def node_running(self, event: ev.NodeRunning) -> None: ...
    def stop(self, attempt: Attempt, why: ev.StopReason) -> None: ...
    def copy(self, attempt: Attempt) -> None: ...
    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt: ...


class ClientRequests(Protocol):
    def named(self, owner: str, key: int) -> Placement | None: ...


class Groups(Protocol):
    def held_member(self, node: int, held: ev.NodeTask, tag: ev.GroupTag) -> None: ...
    def finished_member(self, held: ev.NodeTask, tag: ev.GroupTag) -> None: ...


class Leases(Protocol):
    def link_lost(self, node: int) -> None: ...


class NodeList(Protocol):
    def node_draining(self, node: int) -> None: ...


class NodeLinks:
    def __init__(self, context: CoreContext, rng: random.Random) -> None:
        config = context.config
        self.context = context
        self.attempts: Attempts
        self.client_requests: ClientRequests
        self.groups: Groups
        self.leases: Leases
        self.node_list: NodeList
        self.links: dict[int, Link] = {}
        self.dial_backoff = DialBackoff(config.dial_retry_us, config.dial_retry_most_us, rng)
        self.dial_queue = DialQueue(config.dials_most)
        self._unknown_class: set[int] = set()  # nodes that hold a task of a class that is not known

    def settings_changed(self) -> None:
        config = self.context.config
        self.dial_backoff.set_bounds(config.dial_retry_us, config.dial_retry_most_us)
        self._emit_dials(self.dial_queue.set_limit(config.dials_most))
        # Danger: a task of a class that was not known would never be adopted, nor its client notified.
        nodes, self._unknown_class = self._unknown_class, set()
        for node in sorted(nodes):
            self._request_tasks_later((node, self.context.now))

    def _request_tasks_later(self, node_and_time: tuple[int, int]) -> None:
        """Ask what the node holds, unless it is asked after that time anyhow, as soon as it may be asked."""
        node, time = node_and_time
        again = self.request_tasks_since(node, time + 1)
        if again is not None:
            self.context.call_at(again, self._request_tasks_later, node_and_time)

    # Questions

    def is_up(self, node: int) -> bool:
        link = self.links.get(node)
        return link is not None and link.state is LinkState.UP

    def has_addresses(self, node: int) -> bool:
        """Whether the node has addresses to be dialled at."""
        link = self.links.get(node)
        return link is not None and bool(link.addresses)

    def is_linked(self, node: int) -> bool:
        return node in self.links

    def nodes(self) -> list[int]:
        return list(self.links)

    def is_draining(self, node: int, started_unix_us: int) -> bool:
        """Whether the node's own word that it drains beats a list that knows of this life of it as ready."""
        link = self.links.get(node)
        if link is None or not link.is_draining:
            return False
        if link.started_unix_us >= started_unix_us:
            return True
        link.is_draining = False  # the list knows of a newer life
        return False

    # Dialling

    def dial_now(self, node: int) -> bool:
        """An offer waits: whether the link is being dialled, by now."""
        link = self.links[node]
        if self.dial_backoff.may_dial_now(link, self.context.now):
            self._dial(link, first=True)
        return link.state is not LinkState.DOWN

    def _dial(self, link: Link, first: bool = False) -> None:
        self._transition(link, "dial")
        self._emit_dials(self.dial_queue.request(link.node, first=first))

    def _transition(self, link: Link, event: str) -> None:
        link.state = self.context.transition(LINK, link.state, event)

    def _emit_dials(self, nodes: list[int]) -> None:
        for node in nodes:
            link = self.links.get(node)
            if link is not None:
                self.context.emit(ev.Dial(node, link.addresses))
            else:
                self._emit_dials(self.dial_queue.finished(node))

    def _redial(self, node: int) -> None:
        link = self.links.get(node)
        if link is not None and link.state is LinkState.DOWN and link.next_dial_at <= self.context.now:
            self._dial(link)

    def dial_failed(self, event: ev.DialFailed) -> None:
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            return
        self._transition(link, "failed")
        self.dial_backoff.after_failure(link, self.context.now)
        self.context.call_at(link.next_dial_at, self._redial, link.node)
        self.attempts.drop_waiting(event.node)

    # A link's life

    def link_up(self, event: ev.LinkUp) -> None:
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            self.context.emit(ev.CloseLink(event.node))
            return
        self._transition(link, "up")
        link.failed_dials, link.broken_at = 0, 0
        if link.started_unix_us not in (-1, event.started_unix_us):
            # The node's process is another one: what was there is gone, and its own 'draining' with it.
            link.is_draining = False
            link.unsettled.clear()
            self.attempts.lost_with_its_life(link.node)
        link.started_unix_us = event.started_unix_us
        # What the node holds is asked for at each new link: it settles what a cut left open, and after a
        # restart of this planner it is how its tasks come back.
        link.tasks_requested_at = self.context.now
        self.context.emit(ev.RequestNodeTasks(event.node))
        if event.draining:
            self.node_draining(ev.NodeDraining(event.node))
        if event.draining:
            self.attempts.drop_waiting(event.node)
        else:
            self.attempts.send_waiting(event.node)

    def node_draining(self, event: ev.NodeDraining) -> None:
        """The node's own word."""
        link = self.links.get(event.node)
        if link is None or link.is_draining:
            return
        link.is_draining = True
        self.attempts.drop_waiting(event.node)
        self.node_list.node_draining(event.node)

    def link_down(self, event: ev.LinkDown) -> None:
        link = self.links.get(event.node)
        if link is None:
            return
        self.leases.link_lost(event.node)
        self._transition(link, "lost")
        link.broken_at = self.context.now
        self.dial_backoff.after_loss(link, self.context.now)
        self.context.call_at(link.next_dial_at, self._redial, link.node)
        link.unsettled.update(self.attempts.over_unsent(event.node, event.unsent))
        grace = self.context.now + self.context.config.link_grace_us
        self.context.call_at(grace, self._grace_expired, (event.node, self.context.now))

    def _grace_expired(self, broke: tuple[int, int]) -> None:
        """A broken link did not come back in time: what was there counts as lost from now on."""
        node, lost_at = broke
        link = self.links.get(node)
        if link is not None and link.broken_at == lost_at and link.state is not LinkState.UP:
            self.context.log("node lost", node=node, under_way=len(link.unsettled))
            self.attempts.lose(sorted(link.unsettled))
            link.unsettled.clear()

    def mark_unsettled(self, node: int, id: AttemptId) -> None:
        """Something is to be said of this attempt when the link is back."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.add(id)

    def mark_settled(self, node: int, id: AttemptId) -> None:
        """The node has spoken of it."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.discard(id)

    # What nodes hold

    def unknown_attempt_reported(self, node: int) -> None:
        """The node has something of ours that we know nothing of any more: what it holds will tell."""
        link = self.links.get(node)
        if (
            link is not None
            and link.state is LinkState.UP
            and self.context.now >= link.tasks_requested_at + TASK_REQUEST_INTERVAL_US
        ):
            self._request_tasks(link)

    def request_tasks_since(self, node: int, since: int) -> int | None:
        """Ask what the node holds, for something that is settled by any answer to a question since then.

        None: it is asked, was asked, or the next link asks by itself; else when to come again.
        """
        link = self.links.get(node)
        if link is None or link.state is not LinkState.UP or link.tasks_requested_at >= since:
            return None
        if self.context.now < link.tasks_requested_at + TASK_REQUEST_INTERVAL_US:
            return link.tasks_requested_at + TASK_REQUEST_INTERVAL_US
        self._request_tasks(link)
        return None

    def _request_tasks(self, link: Link) -> None:
        link.tasks_requested_at = self.context.now
        self.context.emit(ev.RequestNodeTasks(link.node))

    def tasks_reported(self, event: ev.NodeTasksReported) -> None:
        link = self.links.get(event.node)
        if link is None or link.started_unix_us != event.started_unix_us:
            return
        unsettled, link.unsettled = link.unsettled, set()
        held = {task.id: task for task in event.tasks}
        self.attempts.not_held([id for id in sorted(unsettled) if id not in held], event.complete)
        if event.complete:
            self.attempts.never_taken(event, set(held))
        for done in event.finished:
            if done.group is not None:
                self.groups.finished_member(done, done.group)
        for id, task in held.items():
            attempt = self.attempts.known(id)
            spoken = attempt is not None and attempt.accepted
            if attempt is None:
                self._unknown_task_reported(event.node, task)
            elif task.running:
                self.attempts.node_running(ev.NodeRunning(event.node, id))
            else:
                self.attempts.node_accepted(ev.NodeAccepted(event.node, id))
            if attempt is None or self.attempts.known(id) is not attempt:
                continue
            placing = attempt.placement
            if placing.withdrawn or placing.state is PlacementState.WITHDRAWN:
                self.attempts.stop(attempt, ev.StopReason.CANCELLED)
            elif spoken and id in unsettled and attempt.reported and attempt is not placing.bound:
                # Danger: the stop of a given-up copy was lost with its link: said once, the copy runs on.
                self.attempts.copy(attempt)

    def _unknown_task_reported(self, node: int, held: ev.NodeTask) -> None:
        """A task of an earlier life, or one that was given up as lost."""
        index = self.context.classes.get(held.task.task_class)
        if index is None:
            self.context.log("held task of an unknown class", node=node, task_class=held.task.task_class)
            self._unknown_class.add(node)
            return
        if held.group is not None:
            self.groups.held_member(node, held, held.group)
            return
        known = self.client_requests.named(held.task.client, held.task.key)
        fate = PlacementState.UNKNOWN if known is None else known.state
        if abandoned_attempts.on_word(self.context.effect(index), fate) is abandoned_attempts.Copy.STOP:
            self.context.count("copies_stopped")
            self.context.emit(ev.SendStop(node, held.id, ev.StopReason.ABANDONED))
        else:
            self.attempts.adopt(node, held.id, held.task, held.running)

    def task_report_failed(self, event: ev.NodeTasksFailed) -> None:
        if self.is_up(event.node):
            self.context.emit(ev.CloseLink(event.node))  # without its word nothing is settled: begin anew

    # By the list's word

    def node_listed(self, node: int, addresses: tuple[str, ...]) -> bool:
        """The list names a node that is not gone: keep a link to it. False where the table is full."""
        link = self.links.get(node)
        if link is None:
            most = self.context.config.nodes_most
            if len(self.links) >= most:
                self.context.log("node not taken: the table is full", node=node, most=most)
                return False
            link = self.links[node] = Link(node, addresses)
        link.is_listed = True
        if link.addresses != addresses:
            link.addresses, link.next_dial_at = addresses, self.context.now
            if link.state is LinkState.UP:
                self.context.emit(ev.CloseLink(node))
        return True

    def dial_if_due(self, node: int) -> None:
        link = self.links[node]
        if link.state is LinkState.DOWN and link.next_dial_at <= self.context.now:
            self._dial(link)

    def node_unlisted(self, node: int) -> None:
        """The list names it no longer: the link stays while something is at the node."""
        link = self.links[node]
        link.is_listed = False
        self.attempts.drop_waiting(node)
        if not self.attempts.any_at(node):
            self._remove(link)

    def node_idle(self, node: int) -> None:
        link = self.links.get(node)
        if link is not None and not link.is_listed:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        self._unknown_class.discard(link.node)
        if self.links.pop(link.node, None) is not None and link.state is not LinkState.DOWN:
            self.context.emit(ev.CloseLink(link.node))
            self._emit_dials(self.dial_queue.finished(link.node))
