"""The links to nodes: which are dialled, which are up, what is unsettled since one broke. No I/O or clock.

Invariants (tests/planner/test_node_links.py, with the other components played by hand):

1. One link for each node, in one state of the table LINK; at most ``max_dials`` dials are in progress.
2. When a link breaks, every attempt that had been sent is unsettled until the node's next message on it,
   until the node reports its tasks, or until the grace period is over; then each is settled, once.
3. A node is asked for its tasks at each new link, and at most once a second besides.
4. A node that says itself that it drains is draining for this incarnation, whatever the node list says; a new
   incarnation begins without it.
5. A link is kept while the list names its node or an attempt is at it.

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

TASK_REQUEST_INTERVAL_US = 1_000_000  # between requests for the tasks of a node, those at a new link aside


class Attempts(Protocol):
    """What links need of the attempts."""

    def find(self, id: AttemptId) -> Attempt | None:
        """The attempt of that id, or None."""

    def at_node(self, node: int) -> list[Attempt]:
        """The attempts at a node."""

    def any_at_node(self, node: int) -> bool:
        """Whether an attempt is at the node."""

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """End the unsent attempts of a broken link; the ids of those that were sent."""

    def send_waiting_offers(self, node: int) -> None:
        """Send the offers that wait for the node's link."""

    def fail_waiting_offers(self, node: int) -> None:
        """End the attempts whose offers wait for the node's link."""

    def node_restarted(self, node: int) -> None:
        """The node's former incarnation is gone, and with it all attempts there."""

    def link_expired(self, ids: list[AttemptId]) -> None:
        """These attempts count as lost."""

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """The node did not report these; ``complete`` where it reported all that it knows."""

    def settle_never_received(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None:
        """Settle the abandoned attempts that a complete report proves were never accepted."""

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        """The node has accepted an attempt."""

    def node_running(self, event: ev.NodeRunning) -> None:
        """The node runs an attempt."""

    def stop(self, attempt: Attempt, why: ev.StopReason) -> None:
        """Have the node stop an attempt."""

    def handle_duplicate(self, attempt: Attempt) -> None:
        """Decide about a duplicate of a task that is reported elsewhere."""

    def adopt(self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool) -> Attempt:
        """Take over a task that a node reports and this planner does not know."""


class ClientRequests(Protocol):
    """What links need of the clients' requests."""

    def find_by_key(self, owner: str, key: int) -> Placement | None:
        """The newest placement of a client's task, or None."""


class Groups(Protocol):
    """What links need of the groups."""

    def member_reported(self, node: int, held: ev.NodeTask, tag: ev.GroupTag) -> None:
        """A node reports an unknown task that is a member of a group."""

    def finished_member_reported(self, held: ev.NodeTask, tag: ev.GroupTag) -> None:
        """A node reports a member that has finished."""


class Leases(Protocol):
    """What links need of the leases."""

    def link_lost(self, node: int) -> None:
        """Renewals on their way to the node are lost."""


class NodeList(Protocol):
    """What links need of the node list."""

    def node_draining(self, node: int) -> None:
        """The node says itself that it drains."""


class NodeLinks:
    """The planner's links to nodes, by node."""

    def __init__(self, context: CoreContext, rng: random.Random) -> None:
        """``rng`` spreads the waits between dials."""
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
        self._unknown_class: set[int] = set()  # nodes that hold a task of a class that is not known

    def settings_changed(self) -> None:
        """Take the bounds and classes of the settings in force."""
        config = self.context.config
        self.dial_backoff.set_bounds(config.dial_retry_us, config.max_dial_retry_us)
        self._emit_dials(self.dial_queue.set_limit(config.max_dials))
        # Danger: a task of a class that was not known would never be adopted, nor its client notified.
        nodes = self._unknown_class
        self._unknown_class = set()
        for node in sorted(nodes):
            self._request_tasks_later((node, self.context.now))

    def _request_tasks_later(self, node_and_time: tuple[int, int]) -> None:
        """Ask for the node's tasks as soon as it may be asked, unless it is asked after that time anyway."""
        node, time = node_and_time
        again = self.request_tasks_since(node, time + 1)
        if again is not None:
            self.context.call_at(again, self._request_tasks_later, node_and_time)

    # Questions

    def is_up(self, node: int) -> bool:
        """Whether messages can be sent to the node."""
        link = self.links.get(node)
        return link is not None and link.state is LinkState.UP

    def has_addresses(self, node: int) -> bool:
        """Whether the node has addresses to be dialled at."""
        link = self.links.get(node)
        return link is not None and bool(link.addresses)

    def is_linked(self, node: int) -> bool:
        """Whether there is a link to the node, in whatever state."""
        return node in self.links

    def nodes(self) -> list[int]:
        """The nodes that there are links to."""
        return list(self.links)

    def is_draining(self, node: int, started_unix_us: int) -> bool:
        """Whether the node said itself that it drains, in the list's incarnation of it or a later one."""
        link = self.links.get(node)
        if link is None or not link.is_draining:
            return False
        if link.started_unix_us >= started_unix_us:
            return True
        link.is_draining = False  # the list names a newer incarnation
        return False

    # Dialling

    def dial_now(self, node: int) -> bool:
        """An offer waits: dial the node if the backoff allows; whether the link is being dialled or up."""
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
        """No address answered: offers that wait are dropped, the next dial is due after the backoff."""
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            return
        self._transition(link, "failed")
        self.dial_backoff.after_failure(link, self.context.now)
        self.context.call_at(link.next_dial_at, self._redial, link.node)
        self.attempts.fail_waiting_offers(event.node)

    # A link's life

    def link_up(self, event: ev.LinkUp) -> None:
        """A link is up: ask for the node's tasks, send the offers that wait."""
        self._emit_dials(self.dial_queue.finished(event.node))
        link = self.links.get(event.node)
        if link is None:
            self.context.emit(ev.CloseLink(event.node))
            return
        self._transition(link, "up")
        link.failed_dials = 0
        link.broken_at = 0
        if link.started_unix_us not in (UNKNOWN_START, event.started_unix_us):
            # Another incarnation of the node: its tasks are gone, and that it drained is over.
            link.is_draining = False
            link.unsettled.clear()
            self.attempts.node_restarted(link.node)
        link.started_unix_us = event.started_unix_us
        # The node's tasks are requested at each new link: the report settles what a cut left open, and after
        # a restart of this planner it is how its tasks come back.
        self._request_tasks(link)
        if event.draining:
            self.node_draining(ev.NodeDraining(event.node))
        if event.draining:
            self.attempts.fail_waiting_offers(event.node)
        else:
            self.attempts.send_waiting_offers(event.node)

    def node_draining(self, event: ev.NodeDraining) -> None:
        """The node says itself that it drains."""
        link = self.links.get(event.node)
        if link is None or link.is_draining:
            return
        link.is_draining = True
        self.attempts.fail_waiting_offers(event.node)
        self.node_list.node_draining(event.node)

    def link_down(self, event: ev.LinkDown) -> None:
        """A link broke: sent attempts are unsettled for the grace period, unsent ones are over."""
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
        """A broken link did not come back in time: its unsettled attempts count as lost from now on."""
        node, broken_at = node_and_time
        link = self.links.get(node)
        if link is not None and link.broken_at == broken_at and link.state is not LinkState.UP:
            self.context.log("node lost", node=node, under_way=len(link.unsettled))
            self.attempts.link_expired(sorted(link.unsettled))
            link.unsettled.clear()

    def mark_unsettled(self, node: int, id: AttemptId) -> None:
        """The fate of this attempt is to be learnt when the link is back."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.add(id)

    def mark_settled(self, node: int, id: AttemptId) -> None:
        """The node has sent a message about this attempt."""
        link = self.links.get(node)
        if link is not None:
            link.unsettled.discard(id)

    # Reports of nodes' tasks

    def unknown_attempt_reported(self, node: int) -> None:
        """The node sent a message about an attempt that is not known: its report will tell what it has."""
        link = self.links.get(node)
        if (
            link is not None
            and link.state is LinkState.UP
            and self.context.now >= link.tasks_requested_at + TASK_REQUEST_INTERVAL_US
        ):
            self._request_tasks(link)

    def request_tasks_since(self, node: int, since: int) -> int | None:
        """Request the node's tasks, unless they were requested since then.

        None: a report is on its way, or the next link requests one by itself; else when to call again.
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
        """A node reports its tasks: settle what was unsettled, take over what is unknown."""
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
        elif (
            was_accepted
            and was_unsettled
            and attempt.outcome_reported
            and attempt is not placement.bound_attempt
        ):
            # Danger: the stop of an abandoned duplicate was lost with its link: sent once, it would run on.
            self.attempts.handle_duplicate(attempt)

    def _unknown_task_reported(self, node: int, task: ev.NodeTask) -> None:
        """A task of an earlier incarnation of this planner, or one that counted as lost."""
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
        """The node did not report its tasks: close the link, for without them nothing is settled."""
        if self.is_up(event.node):
            self.context.emit(ev.CloseLink(event.node))

    # Changes of the node list

    def node_listed(self, node: int, addresses: tuple[str, ...]) -> bool:
        """The list names a node that is not gone: keep a link to it. False where the table is full."""
        link = self.links.get(node)
        if link is None:
            most = self.context.config.max_nodes
            if len(self.links) >= most:
                self.context.log("node not taken: the table is full", node=node, most=most)
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
        """The list no longer names the node: the link stays while an attempt is at it."""
        link = self.links[node]
        link.is_listed = False
        self.attempts.fail_waiting_offers(node)
        if not self.attempts.any_at_node(node):
            self._remove(link)

    def node_idle(self, node: int) -> None:
        """No attempt is at the node any more: remove a link that is kept only for that."""
        link = self.links.get(node)
        if link is not None and not link.is_listed:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        self._unknown_class.discard(link.node)
        if self.links.pop(link.node, None) is not None and link.state is not LinkState.DOWN:
            self.context.emit(ev.CloseLink(link.node))
            self._emit_dials(self.dial_queue.finished(link.node))
