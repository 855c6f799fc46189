"""What is out at nodes: offers from their bind to the node's last word, leftovers, adopted copies. No I/O
or clock.

Invariants (tests/planner/test_attempts.py, with the other rooms played by hand):

1. Each attempt is told to the module as over exactly once, by the first of: the node's last word, its
   time-out, the loss of its link, a stop before it left.
2. What the module is told as proven not to have run never ran and never will: it did not leave, the node
   turned it down, or by the node's own word it never came and is too old to come yet.
3. An attempt is in ``attempts`` until its last word, or until that has been waited for long enough; no copy
   that a node speaks of is left alone (``leftovers``).
4. Only an attempt that is not given up binds its placement, and only while the placement is open.

Tables: ``attempts``, ``at_node``.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from . import abandoned_attempts
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .errors import ConcludedTaskError
from .events import AttemptId
from .placement import Attempt, Placement
from .transitions import AttemptEvent, AttemptState, PlacementEvent

REPLY_RESERVE_TICKS = 2  # an attempt ends so long before its owner gives up: the answer has a way to go yet
OFFER_EXPIRY_SLACK_US = 50_000  # an offer's wait is surely over at its node so long after it is over here


class ClientRequests(Protocol):
    """What attempts need of what owners are owed."""

    def find(self, number: int) -> Placement | None: ...
    def notify(self, placement: Placement, word: ev.ClientMessage) -> None: ...
    def task_placed(self, placement: Placement, node: int, number: int, latency: int) -> None: ...
    def adopt(self, spec: ev.TaskSpec, former: Placement | None) -> Placement: ...
    def module_task(self, placement: Placement) -> api.Task: ...
    def forget_if_done(self, placement: Placement) -> None: ...


class Links(Protocol):
    """What attempts need of the links."""

    def up(self, node: int) -> bool: ...
    def reach(self, node: int) -> bool: ...
    def dial_now(self, node: int) -> bool: ...
    def heard(self, node: int, id: AttemptId) -> None: ...
    def unplaced_word(self, node: int) -> None: ...
    def unsettled(self, node: int, id: AttemptId) -> None: ...
    def question(self, node: int, since: int) -> int | None: ...
    def nothing_at(self, node: int) -> None: ...


class Groups(Protocol):
    """What attempts of members need of their groups."""

    def tag(self, placement: Placement) -> ev.GroupTag: ...
    def allows(self, placement: Placement, node: int) -> bool: ...
    def ready(self, placement: Placement, attempt: Attempt) -> None: ...
    def runs(self, placement: Placement, attempt: Attempt) -> None: ...
    def member_over(self, placement: Placement, finished: bool, reason: api.Reason) -> None: ...


class Attempts:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.requests: ClientRequests
        self.links: Links
        self.groups: Groups
        self.attempts: dict[AttemptId, Attempt] = {}
        self.by_node: dict[int, dict[AttemptId, Attempt]] = {}

    # Questions

    def in_flight(self) -> int:
        return len(self.attempts)

    def find(self, id: AttemptId) -> Attempt | None:
        return self.attempts.get(id)

    def at_node(self, node: int) -> list[Attempt]:
        """What is at a node or on its way there, in the order of its coming."""
        return list(self.by_node.get(node, {}).values())

    def any_at_node(self, node: int) -> bool:
        return node in self.by_node

    # What the module decides

    def bind(self, action: api.Bind) -> None:
        context = self.context
        placement = self.requests.find(action.task)
        if placement is None or placement.state is not PlacementState.OPEN:
            raise ConcludedTaskError(f"the decision module placed task {action.task}, which is over")
        number = placement.attempts_made
        placement.attempts_made += 1
        tick = context.settings.tick_us
        if (
            placement.group is not None
            and context.now >= placement.deadline - (REPLY_RESERVE_TICKS + 2) * tick
        ):
            # The module knows the group's deadline, not the try's end: there is no time for this offer.
            placement.transition(PlacementEvent.FAILED)
            context.notify_module(api.Outcome(action.task, number, action.node, api.Result.NOT_SENT, True))
            self.abandon_member(placement)
            return
        if placement.group is not None and not self.groups.allows(placement, action.node):
            context.count("wishes_closed")
            context.notify_module(api.Outcome(action.task, number, action.node, api.Result.NOT_SENT, False))
            return
        id = AttemptId(context.incarnation, placement.number, number)
        attempt = Attempt(context, id, placement, number, action.node, AttemptState.WAITING)
        attempt.deadline = placement.deadline - REPLY_RESERVE_TICKS * tick
        if action.timeout_us:
            attempt.deadline = min(attempt.deadline, context.now + action.timeout_us)
        self._track(attempt)
        context.count("offers")
        context.call_at(attempt.deadline, self._timed_out, attempt)
        if context.now >= attempt.deadline:
            # Danger: after a pause nodes' words are taken before time passes: the task's may be over by now.
            self.end(attempt, api.Result.NOT_SENT)
        elif self.links.up(action.node):
            self.send_offer(attempt)
        elif not self.links.reach(action.node):
            self.end(attempt, api.Result.UNREACHABLE)
        else:
            context.call_at(context.now + context.config.dial_timeout_us, self._dial_timed_out, attempt)
            if not self.links.dial_now(action.node):
                self.end(attempt, api.Result.UNREACHABLE)

    def stop_attempt(self, action: api.StopAttempt) -> None:
        placement = self.requests.find(action.task)
        for attempt in placement.attempts.values() if placement else ():
            if attempt.number == action.attempt:
                if not attempt.outcome_reported and attempt is not attempt.placement.bound_attempt:
                    self._abandon(attempt, api.Result.CANCELLED)
                return

    def evict(self, action: api.Evict) -> None:
        placement = self.requests.find(action.task)
        if placement is not None and placement.bound_attempt is not None:
            self.context.count("moved")
            self.stop(placement.bound_attempt, ev.StopReason.MIGRATED)

    def _track(self, attempt: Attempt) -> None:
        self.attempts[attempt.id] = attempt
        attempt.placement.attempts[attempt.id] = attempt
        self.by_node.setdefault(attempt.node, {})[attempt.id] = attempt

    def send_offer(self, attempt: Attempt) -> None:
        """The link is up: the offer leaves."""
        placement = attempt.placement
        attempt.transition(AttemptEvent.SENT)
        wait = max(1, attempt.deadline - self.context.now)
        tag = self.groups.tag(placement) if placement.group is not None else None
        index = placement.class_index
        self.context.emit(ev.SendOffer(attempt.node, attempt.id, placement.task, wait, index, tag))
        if placement.group is None:
            self.requests.notify(placement, ev.Offered(placement.request, attempt.node, attempt.number))

    def send_waiting_offers(self, node: int) -> None:
        for attempt in self.at_node(node):
            if attempt.waiting:
                self.send_offer(attempt)

    def fail_waiting_offers(self, node: int) -> None:
        """Rule 3, and links that fail. Danger: an offer must not leave after the word of a drain."""
        for attempt in self.at_node(node):
            if attempt.waiting:
                self.end(attempt, api.Result.UNREACHABLE)

    # Ends

    def stop(self, attempt: Attempt, why: ev.StopReason) -> None:
        """Call an attempt off, now or when its link is back."""
        if self.links.up(attempt.node):
            self.context.emit(ev.SendStop(attempt.node, attempt.id, why))
        elif why is not ev.StopReason.ABANDONED:
            self.links.unsettled(attempt.node, attempt.id)

    def stop_bound(self, placement: Placement, why: ev.StopReason) -> None:
        if placement.bound_attempt is not None:
            self.stop(placement.bound_attempt, why)

    def cancel(self, placement: Placement) -> None:
        """Its owner wants it no longer."""
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
            else:
                self.stop(attempt, ev.StopReason.CANCELLED)

    def abandon_member(self, placement: Placement) -> None:
        """A member's try is given up."""
        groups = self.context.config.groups
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
            else:
                self.stop(attempt, ev.StopReason.ABANDONED)
                # Its last word may be lost; the lease bounds how long the node can hold it.
                self.context.call_at(
                    self.context.now + groups.lease_us + groups.gather_most_us,
                    self._member_lease_expired,
                    attempt,
                )
        self.requests.forget_if_done(placement)

    def placement_concluded(self, placement: Placement) -> None:
        """Attempts that nobody waits for any more, once the placement's outcome is told."""
        for attempt in list(placement.attempts.values()):
            if attempt.waiting:
                self.end(attempt, api.Result.NOT_SENT)
            elif attempt.outcome_reported and attempt.accepted:
                self.handle_duplicate(attempt)

    def _dial_timed_out(self, attempt: Attempt) -> None:
        if attempt.waiting and attempt.id in self.attempts:
            self.end(attempt, api.Result.UNREACHABLE)

    def _timed_out(self, attempt: Attempt) -> None:
        if (
            attempt.outcome_reported
            or attempt.id not in self.attempts
            or attempt is attempt.placement.bound_attempt
        ):
            return
        if attempt.waiting:
            self.end(attempt, api.Result.UNREACHABLE)
        else:
            self.context.count("timeouts")
            self._abandon(attempt, api.Result.TIMEOUT)

    def _abandon(self, attempt: Attempt, result: api.Result) -> None:
        """Tell the module an outcome that proves nothing; the node may still take the offer."""
        context, placement = self.context, attempt.placement
        attempt.transition(AttemptEvent.ABANDONED)
        if placement.group is not None:
            # It was never let run, and will not be: it is proven not to run, and is called back.
            self._report_outcome(attempt, api.Result.UNREACHABLE, api.Reason.UNTOLD)
            self.stop(attempt, ev.StopReason.ABANDONED)
            context.call_at(context.now + context.config.groups.lease_us, self._member_lease_expired, attempt)
            return
        placement.known_not_run = False
        self._report_outcome(attempt, result, api.Reason.UNTOLD)
        if abandoned_attempts.stops_when_abandoned(placement.effect):
            self.stop(attempt, ev.StopReason.ABANDONED)
        if attempt.accepted:
            self.handle_duplicate(attempt)
        elif context.config.settles_abandoned_offers:
            context.call_at(
                max(context.now, attempt.deadline + OFFER_EXPIRY_SLACK_US), self._request_settlement, attempt
            )
        context.call_at(context.now + context.config.abandoned_attempt_us, self._abandoned_timed_out, attempt)

    def _request_settlement(self, attempt: Attempt) -> None:
        """A given-up offer of which the node has said nothing, and which it cannot take any more: ask.

        Danger: a task that must not run twice waits ``abandoned_attempt_us`` for an offer long void.
        """
        if self.attempts.get(attempt.id) is not attempt or attempt.accepted:
            return
        again = self.links.question(attempt.node, attempt.deadline + OFFER_EXPIRY_SLACK_US)
        if again is not None:
            self.context.call_at(again, self._request_settlement, attempt)

    def _abandoned_timed_out(self, attempt: Attempt) -> None:
        """Danger: a node that hangs would hold its given-up attempts, and their tasks' names, for ever."""
        if self.attempts.get(attempt.id) is attempt and attempt is not attempt.placement.bound_attempt:
            self.end(attempt, api.Result.LOST)

    def _member_lease_expired(self, attempt: Attempt) -> None:
        """No last word on a member that was called back: its lease has run out by now."""
        if self.attempts.get(attempt.id) is attempt and attempt.placement.group is not None:
            self.end(attempt, api.Result.CANCELLED)

    def _report_outcome(self, attempt: Attempt, result: api.Result, reason: api.Reason) -> None:
        placement = attempt.placement
        closed = placement.state is not PlacementState.OPEN
        latency = self.context.now - attempt.created_at
        self.context.notify_module(
            api.Outcome(placement.number, attempt.number, attempt.node, result, closed, reason, latency)
        )

    def end(self, attempt: Attempt, result: api.Result, reason: api.Reason = api.Reason.UNTOLD) -> None:
        """The last word on an attempt: it is dropped, and the module told unless it was before."""
        placement = attempt.placement
        if self.attempts.pop(attempt.id, None) is None:
            return
        placement.attempts.pop(attempt.id, None)
        here = self.by_node.get(attempt.node)
        if here is not None:
            here.pop(attempt.id, None)
            if not here:
                del self.by_node[attempt.node]
        if reason is not api.Reason.UNTOLD:
            placement.last_reason = reason
        bound = placement.bound_attempt is attempt
        if placement.group is not None:
            how = reason.name.lower().replace("_", " ") if reason else result.value
            placement.end_reason = "finished" if result is api.Result.FINISHED else how
            if not attempt.running and result is api.Result.LOST:
                result = api.Result.REJECTED  # it was held and never let run
        known = attempt.outcome_reported
        attempt.transition(AttemptEvent.ENDED)
        if not known:
            if result not in api.PROVES_NOT_RUN:
                placement.known_not_run = False
            self._report_outcome(attempt, result, reason)
        if bound:
            self._bound_ended(placement, result, reason)
            if placement.group is not None:
                return
        self.requests.forget_if_done(placement)
        if not self.any_at_node(attempt.node):
            self.links.nothing_at(attempt.node)

    def _bound_ended(self, placement: Placement, result: api.Result, reason: api.Reason) -> None:
        """What its owner was told to run is over."""
        placement.bound_attempt = None
        finished = result is api.Result.FINISHED
        if placement.group is not None:
            self.groups.member_over(placement, finished, reason)
            self.requests.forget_if_done(placement)
            return
        self.context.count("finished" if finished else "lost")
        self.requests.notify(placement, ev.TaskEnded(placement.request, placement.task.key, finished, reason))

    # Copies

    def handle_duplicate(self, attempt: Attempt) -> None:
        """A given-up attempt is at its node all the same."""
        placement = attempt.placement
        if placement.group is not None:
            self.stop(attempt, ev.StopReason.ABANDONED)
            return
        match abandoned_attempts.duplicate_action(placement.effect, placement.state):
            case abandoned_attempts.DuplicateAction.STOP:
                self.context.count("copies_stopped")
                self.stop(attempt, ev.StopReason.ABANDONED)
            case abandoned_attempts.DuplicateAction.ADOPT:
                placement.attempts.pop(attempt.id, None)
                running = attempt.running
                attempt.transition(AttemptEvent.ADOPTED)
                self.adopt(attempt.node, attempt.id, placement.task, running, placement)
                self.requests.forget_if_done(placement)
            case abandoned_attempts.DuplicateAction.WAIT:
                pass

    def adopt(
        self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool, former: Placement | None = None
    ) -> Attempt:
        """Look after a task that is at a node though nothing here waits for it; counted once, told once."""
        placement = self.requests.adopt(spec, former)
        stage = AttemptState.RUNNING if running else AttemptState.ACCEPTED
        attempt = placement.bound_attempt = Attempt(self.context, id, placement, 0, node, stage)
        self._track(attempt)
        self.context.count("adopted")
        self.context.notify_module(api.TaskAdopted(self.requests.module_task(placement), node))
        self.requests.notify(placement, ev.TaskRecovered(placement.request, spec.key, node))
        return attempt

    # What nodes say

    def _receive(self, node: int, id: AttemptId) -> Attempt | None:
        attempt = self.attempts.get(id)
        if attempt is None or attempt.node != node or attempt.waiting:
            return None
        self.links.heard(node, id)
        return attempt

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            self.links.unplaced_word(event.node)
        if attempt is None or attempt.accepted:
            return
        attempt.transition(AttemptEvent.ACCEPTED)
        if attempt.outcome_reported:
            self.handle_duplicate(attempt)
        elif not self.context.settings.confirms_running and attempt.placement.group is None:
            self._place(attempt)

    def node_ready(self, event: ev.NodeReady) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            self.links.unplaced_word(event.node)
            return
        placement = attempt.placement
        if not attempt.accepted:
            attempt.transition(AttemptEvent.ACCEPTED)
        if placement.group is None or placement.bound_attempt is attempt:
            return
        if attempt.outcome_reported or placement.state is not PlacementState.OPEN:
            self.stop(attempt, ev.StopReason.ABANDONED)
            return
        placement.bound_attempt = attempt
        placement.transition(PlacementEvent.PLACED)
        latency = self.context.now - attempt.created_at
        self.context.notify_module(api.Placed(placement.number, attempt.number, attempt.node, latency))
        self.groups.ready(placement, attempt)

    def node_running(self, event: ev.NodeRunning) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            self.links.unplaced_word(event.node)
        if attempt is None or attempt.running:
            return
        fresh = not attempt.accepted
        attempt.transition(AttemptEvent.RUNNING)
        placement = attempt.placement
        if attempt.outcome_reported:
            if fresh:
                self.handle_duplicate(attempt)
        elif placement.group is not None:
            if attempt is placement.bound_attempt:
                self.groups.runs(placement, attempt)
        elif attempt is placement.bound_attempt:
            note = api.StatusUpdate(placement.number, attempt.number, event.node, api.StatusKind.RUNNING, 1.0)
            self.context.notify_module(note)
        else:
            self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        placement = attempt.placement
        if placement.state is not PlacementState.OPEN:
            return  # withdrawn: its stop is under way
        placement.bound_attempt = attempt
        self.requests.task_placed(
            placement, attempt.node, attempt.number, self.context.now - attempt.created_at
        )
        for other in list(placement.attempts.values()):
            if other is not attempt and other.accepted:
                self.handle_duplicate(other)

    def node_rejected(self, event: ev.NodeRejected) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is None:
            return
        if attempt is attempt.placement.bound_attempt:
            self.end(attempt, api.Result.LOST, event.reason)  # accepted first, and then handed back
        elif event.late:
            # It is proven not to have run, and says nothing about the node's room: the way there was slow.
            self.context.count("too_late")
            self.end(attempt, api.Result.UNREACHABLE)
        else:
            self.end(attempt, api.Result.REJECTED, event.reason)

    def node_error(self, event: ev.NodeError) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.end(attempt, api.Result.ERROR)

    def node_ended(self, event: ev.NodeEnded) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is not None:
            self.end(attempt, event.result, event.reason)

    def node_usage(self, event: ev.NodeUsage) -> None:
        attempt = self._receive(event.node, event.id)
        if attempt is None or attempt.outcome_reported:
            return
        for kind, level in (
            (api.StatusKind.CORES_USED, event.cores),
            (api.StatusKind.MEMORY_USED, event.memory),
            (api.StatusKind.SERVED_SHARE, event.served_share),
            (api.StatusKind.NODE_MEMORY_SHARE, event.node_memory_share),
        ):
            if level > 0:
                self.context.notify_module(
                    api.StatusUpdate(attempt.placement.number, attempt.number, event.node, kind, level)
                )

    # Proofs

    def node_restarted(self, node: int) -> None:
        """The node's process is another one: what was there is gone."""
        for attempt in self.at_node(node):
            if not attempt.waiting:
                self.end(attempt, api.Result.LOST)

    def link_lost(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """A link broke: what provably never left is over; what had left is returned, for it is unsettled."""
        left = []
        for attempt in self.at_node(node):
            if attempt.id in unsent and not attempt.accepted:
                self.end(attempt, api.Result.UNREACHABLE)
            elif not attempt.waiting:
                left.append(attempt.id)
        return left

    def link_expired(self, ids: list[AttemptId]) -> None:
        """A broken link did not come back in time: what was there counts as lost from now on."""
        for id in ids:
            attempt = self.attempts.get(id)
            if attempt is not None:
                self.end(attempt, api.Result.LOST)

    def not_at_node(self, ids: list[AttemptId], complete: bool) -> None:
        """What was sent before a link broke, and is not at its node."""
        for id in ids:
            attempt = self.attempts.get(id)
            if attempt is None:
                continue
            if complete and not attempt.accepted:
                # Last words are kept until they are heard: neither held nor told as over, it was never seen.
                self.context.count("never_seen")
                self.end(attempt, api.Result.UNREACHABLE)
            else:
                self.end(attempt, api.Result.LOST)

    def settle_never_received(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None:
        """Given-up offers whose wait was over when the node was asked, and of which it holds nothing.

        They were either never seen, or turned down with a last word that was heard by now; and should they
        come yet, the fence turns them away: proven not to run.
        """
        if not self.context.config.settles_abandoned_offers:
            return
        for attempt in self.at_node(event.node):
            silent = attempt.outcome_reported and not attempt.accepted
            if (
                silent
                and attempt.id not in held
                and event.requested_at >= attempt.deadline + OFFER_EXPIRY_SLACK_US
            ):
                self.context.count("never_taken")
                self.end(attempt, api.Result.UNREACHABLE)
