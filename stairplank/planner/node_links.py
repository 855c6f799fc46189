"""The links to nodes: their states, and the attempts that are unsettled after a break. No I/O or clock.

Invariants (tests/planner/test_node_links.py, with stubs for the other components):

1. Each node has one link, in one state of the table LINK; at most ``max_dials`` dials are in progress.
2. When a link breaks, every attempt that had been sent is unsettled until the node sends a message about it,
   until the node reports its tasks, or until the grace period is over; then it is settled, once.
3. The tasks of a node are requested at each new link, and otherwise at most once a second.
4. A node that reports that it is draining counts as draining for this incarnation, whatever the node list
   says; a new incarnation is not draining at first.
5. A link is kept while the node list names its node or an attempt is at the node.

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
from .link_state import UNKNOWN_START, Link, LinkState
from .placement import Attempt, Placement
from .transitions import LINK

TASK_REQUEST_INTERVAL_US = 1_000_000  # the shortest time to a further request for a node's tasks on one link


class Attempts(Protocol):
    """The operations on attempts that the links use."""

    def find(self, id: AttemptId) -> Attempt | None:
        """Return the attempt with this id, or None."""

    def at_node(self, node: int) -> list[Attempt]:
        """Return the attempts at a node."""

    def any_at_node(self, node: int) -> bool:
        """Return whether an attempt is at the node."""

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """End the unsent attempts of a broken link. Returns the ids of the attempts that were sent."""

    def send_waiting_offers(self, node: int) -> None:
        """Send the offers that wait for the node's link."""

    def fail_waiting_offers(self, node: int) -> None:
        """End the attempts whose offers wait for the node's link."""

    def node_restarted(self, node: int) -> None:
        """End all attempts at the node as lost, because the node has restarted."""

    def link_expired(self, ids: list[AttemptId]) -> None:
        """End these attempts as lost, because their link did not come back in time."""

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """Settle attempts missing from a node's report; ``complete`` if it holds all that the node knows."""

    def settle_never_received(self, event: ev.NodeTasksReported, reported: set[AttemptId]) -> None:
        """Settle the abandoned attempts that a complete report proves were never accepted."""

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """Record that the node has accepted an attempt."""

    def node_running(self, event: ev.NodeRunning) -> None:
        """Record that the node runs an attempt."""

    def stop(self, attempt: Attempt, reason: ev.StopReason) -> None:
        """Stop an attempt at its node."""

    def handle_duplicate(self, attempt: Attempt) -> None:
        """Stop, adopt or keep an abandoned attempt that its node has accepted or runs."""

    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt:
        """Adopt a task that a node reports and this planner does not know. Returns its new attempt."""


class ClientRequests(Protocol):
    """The operation on the clients' requests that the links use."""

    def find_by_key(self, owner: str, key: int) -> Placement | None:
        """Return the newest placement of a client's task, or None."""


class Groups(Protocol):
    """The operations on groups that the links use."""

    def member_reported(self, node: int, task: ev.NodeTask, tag: ev.GroupTag) -> None:
        """Handle an unknown task that a node reports and that is a member of a group."""

    def finished_member_reported(self, task: ev.NodeTask, tag: ev.GroupTag) -> None:
        """Handle a group member that a node reports as finished."""


class Leases(Protocol):
    """The operation on leases that the links use."""

    def link_lost(self, node: int) -> None:
        """Count the renewals in flight to the node as lost."""


class NodeList(Protocol):
    """The operation on the node list that the links use."""

    def node_draining(self, node: int) -> None:
        """Record that the node has reported that it is draining."""


class NodeLinks:
    """The planner's links to nodes, by node."""

    def __init__(self, context: CoreContext, rng: random.Random) -> None:
        """Start without links; ``rng`` adds jitter to the waits between dials."""
        config = context.config
        self.context = context
        self.attempts: Attempts
        self.client_requests: ClientRequests
        self.groups: Groups
        self.leases: Leases
        self.node_list: NodeList
        self.links: dict[int, Link] = {}
        self.dial_backoff = DialBackoff(config.dial_retry_us, config.max_dial_retry_us, rng)
        self.dial_queue = DialQueue(config.max_dials)
        self._unknown_class: set[int] = set()  # nodes that reported a task of an unknown class

    def settings_changed(self) -> None:
        """Apply the bounds and classes of the settings in force."""
        config = self.context.config
        self.dial_backoff.set_bounds(config.dial_retry_us, config.max_dial_retry_us)
        self._emit_dials(self.dial_queue.set_limit(config.max_dials))
        # A class may have become known: without a new report, its tasks at nodes would never be adopted and
        # their clients never notified.
        nodes = self._unknown_class
        self._unknown_class = set()
        for node in sorted(nodes):
            self._request_tasks_later((node, self.context.now))

    def _request_tasks_later(self, node_and_time: tuple[int, int]) -> None:
        """Request the node's tasks once the interval allows, unless requested after the given time."""
        node, after = node_and_time
        retry_at = self.request_tasks_since(node, after + 1)
        if retry_at is not None:
            self.context.call_at(retry_at, self._request_tasks_later, node_and_time)

    # Queries

    def is_up(self, node: int) -> bool:
        """Return whether messages can be sent to the node."""
        link = self.links.get(node)
        return link is not None and link.state is LinkState.UP

    def has_addresses(self, node: int) -> bool:
        """Return whether an address of the node is known."""
        link = self.links.get(node)
        return link is not None and bool(link.addresses)

    def is_linked(self, node: int) -> bool:
        """Return whether there is a link to the node, in any state."""
        return node in self.links

    def nodes(self) -> list[int]:
        """Return the nodes that have a link."""
        return list(self.links)

    def is_draining(self, node: int, started_unix_us: int) -> bool:
        """Return whether the node has reported that it is draining, in the listed incarnation or a later one.

        ``started_unix_us`` is the start of the listed incarnation.
        """
        link = self.links.get(node)
        if link is None or not link.is_draining:
            return False
        if link.started_unix_us >= started_unix_us:
            return True
        link.is_draining = False  # the node list names a newer incarnation
        return False

    # Dialling

    def dial_now(self, node: int) -> bool:
        """Dial a node that an offer waits for, if the backoff allows. Returns False if it does not."""
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
        """Handle a failed dial: end the attempts that wait for the link and schedule the next dial."""
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            return
        self._transition(link, "failed")
        self.dial_backoff.after_failure(link, self.context.now)
        self.context.call_at(link.next_dial_at, self._redial, link.node)
        self.attempts.fail_waiting_offers(event.node)

    # Changes of a link's state

    def link_up(self, event: ev.LinkUp) -> None:
        """Handle a new link: request the node's tasks and send the waiting offers."""
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            self.context.emit(ev.CloseLink(event.node))
            return
        self._transition(link, "up")
        link.failed_dials = 0
        link.broken_at = 0
        if link.started_unix_us not in (UNKNOWN_START, event.started_unix_us):
            # The node has restarted: its former tasks are lost, and it is no longer draining.
            link.is_draining = False
            link.unsettled.clear()
            self.attempts.node_restarted(link.node)
        link.started_unix_us = event.started_unix_us
        # The node's tasks are requested at each new link: the report settles the attempts that a broken link
        # left unsettled, and after a restart of this planner it lists the running tasks to adopt.
        self._request_tasks(link)
        if event.draining:
            self.node_draining(ev.NodeDraining(event.node))
        if event.draining:
            self.attempts.fail_waiting_offers(event.node)
        else:
            self.attempts.send_waiting_offers(event.node)

    def node_draining(self, event: ev.NodeDraining) -> None:
        """Handle a node's report that it is draining."""
        link = self.links.get(event.node)
        if link is None or link.is_draining:
            return
        link.is_draining = True
        self.attempts.fail_waiting_offers(event.node)
        self.node_list.node_draining(event.node)

    def link_down(self, event: ev.LinkDown) -> None:
        """Handle a broken link: sent attempts stay unsettled for the grace period, unsent ones end."""
        link = self.links.get(event.node)
        if link is None:
            return
        self.leases.link_lost(event.node)
        self._transition(link, "lost")
        link.broken_at = self.context.now
        self.dial_backoff.after_loss(link, self.context.now)
        self.context.call_at(link.next_dial_at, self._redial, link.node)
        link.unsettled.update(self.attempts.link_lost(event.node, event.unsent))
        grace_end = self.context.now + self.context.config.link_grace_us
        self.context.call_at(grace_end, self._grace_expired, (event.node, self.context.now))

    def _grace_expired(self, node_and_time: tuple[int, int]) -> None:
        """End the unsettled attempts of a broken link as lost if the link did not come back in time."""
        node, broken_at = node_and_time
        link = self.links.get(node)
        if link is not None and link.broken_at == broken_at and link.state is not LinkState.UP:
            self.context.log("node lost", node=node, under_way=len(link.unsettled))
            self.attempts.link_expired(sorted(link.unsettled))
            link.unsettled.clear()

    def mark_unsettled(self, node: int, id: AttemptId) -> None:
        """Record that the state of this attempt has to be learnt from the node when the link is up again."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.add(id)

    def mark_settled(self, node: int, id: AttemptId) -> None:
        """Record that the node has sent a message about this attempt."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.discard(id)

    # Reports of nodes' tasks

    def unknown_attempt_reported(self, node: int) -> None:
        """Request a node's tasks after its message about an unknown attempt, at most once per interval."""
        link = self.links.get(node)
        if (
            link is not None
            and link.state is LinkState.UP
            and self.context.now >= link.tasks_requested_at + TASK_REQUEST_INTERVAL_US
        ):
            self._request_tasks(link)

    def request_tasks_since(self, node: int, since: int) -> int | None:
        """Request the node's tasks, unless they were requested at ``since`` or later.

        Returns when to call again if the last request is too recent. Returns None if a report is expected or
        the link is not up: the next link requests one.
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
        """Handle a node's report of its tasks: settle unsettled attempts and adopt unknown tasks."""
        link = self.links.get(event.node)
        if link is None or link.started_unix_us != event.started_unix_us:
            return
        unsettled = link.unsettled
        link.unsettled = set()
        tasks = {task.id: task for task in event.tasks}
        self.attempts.not_at_node([id for id in sorted(unsettled) if id not in tasks], event.complete)
        if event.complete:
            self.attempts.settle_never_received(event, set(tasks))
        for finished in event.finished:
            if finished.group is not None:
                self.groups.finished_member_reported(finished, finished.group)
        for id, task in tasks.items():
            attempt = self.attempts.find(id)
            if attempt is None:
                self._unknown_task_reported(event.node, task)
            else:
                self._known_task_reported(event.node, attempt, task, was_unsettled=id in unsettled)

    def _known_task_reported(
        self, node: int, attempt: Attempt, task: ev.NodeTask, *, was_unsettled: bool
    ) -> None:
        was_accepted = attempt.accepted
        if task.running:
            self.attempts.node_running(ev.NodeRunning(node, task.id))
        else:
            self.attempts.node_accepted(ev.NodeAccepted(node, task.id))
        if self.attempts.find(task.id) is not attempt:
            return
        placement = attempt.placement
        if placement.cancelled or placement.state is PlacementState.CANCELLED:
            self.attempts.stop(attempt, ev.StopReason.CANCELLED)
        elif attempt.stop_reason is ev.StopReason.MIGRATED:
            self.attempts.stop(attempt, ev.StopReason.MIGRATED)
        elif (
            was_accepted
            and was_unsettled
            and attempt.outcome_reported
            and attempt is not placement.bound_attempt
        ):
            # The stop of an abandoned duplicate may have been lost with the link. If it were not sent again,
            # the duplicate would keep running.
            self.attempts.handle_duplicate(attempt)

    def _unknown_task_reported(self, node: int, task: ev.NodeTask) -> None:
        """Adopt or stop a reported task that this planner has lost, or placed before its last restart."""
        index = self.context.classes.get(task.task.task_class)
        if index is None:
            self.context.log("held task of an unknown class", node=node, task_class=task.task.task_class)
            self._unknown_class.add(node)
            return
        if task.group is not None:
            self.groups.member_reported(node, task, task.group)
            return
        known = self.client_requests.find_by_key(task.task.client, task.task.key)
        state = PlacementState.UNKNOWN if known is None else known.state
        if (
            abandoned_attempts.duplicate_action(self.context.effect(index), state)
            is abandoned_attempts.DuplicateAction.STOP
        ):
            self.context.count("copies_stopped")
            self.context.emit(ev.SendStop(node, task.id, ev.StopReason.ABANDONED))
        else:
            self.attempts.adopt(node, task.id, task.task, task.running)

    def task_report_failed(self, event: ev.NodeTasksFailed) -> None:
        """Close the link of a node that did not report its tasks: no attempt is settled without a report."""
        if self.is_up(event.node):
            self.context.emit(ev.CloseLink(event.node))

    # Changes of the node list

    def node_listed(self, node: int, addresses: tuple[str, ...]) -> bool:
        """Keep a link to a node that the list names. Returns False if the table of links is full."""
        link = self.links.get(node)
        if link is None:
            max_nodes = self.context.config.max_nodes
            if len(self.links) >= max_nodes:
                self.context.log("node not taken: the table is full", node=node, most=max_nodes)
                return False
            link = self.links[node] = Link(node, addresses)
        link.is_listed = True
        if link.addresses != addresses:
            link.addresses = addresses
            link.next_dial_at = self.context.now
            if link.state is LinkState.UP:
                self.context.emit(ev.CloseLink(node))
        return True

    def dial_if_due(self, node: int) -> None:
        """Dial the node if its link is down and the backoff is over."""
        link = self.links[node]
        if link.state is LinkState.DOWN and link.next_dial_at <= self.context.now:
            self._dial(link)

    def node_unlisted(self, node: int) -> None:
        """Handle a node that the list no longer names: its link is kept while an attempt is at the node."""
        link = self.links[node]
        link.is_listed = False
        self.attempts.fail_waiting_offers(node)
        if not self.attempts.any_at_node(node):
            self._remove(link)

    def node_idle(self, node: int) -> None:
        """Remove the link of a node without attempts, if the node list no longer names the node."""
        link = self.links.get(node)
        if link is not None and not link.is_listed:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        self._unknown_class.discard(link.node)
        if self.links.pop(link.node, None) is not None and link.state is not LinkState.DOWN:
            self.context.emit(ev.CloseLink(link.node))
            self._emit_dials(self.dial_queue.finished(link.node))
