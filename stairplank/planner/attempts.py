"""What is out at nodes: offers from their bind to the node's last word, leftovers, adopted copies. No I/O
or clock.

Invariants (tests/planner/test_attempts.py, with the other rooms played by hand):

1. Each attempt is told to the module as over exactly once, by the first of: the node's last word, its
   time-out, the loss of its link, a stop before it left.
2. What the module is told as proven not to have run never ran and never will: it did not leave, the node
   turned it down, or by the node's own word it never came and is too old to come yet.
3. An attempt is in ``attempts`` until its last word, or until that has been waited for long enough; no copy
   that a node speaks of is left alone (``leftovers``).
4. Only an attempt that is not given up binds its placing, and only while the placing is open.

Tables: ``attempts``, ``at_node``.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from . import abandoned_attempts
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .events import AttemptId
from .placement import Attempt, Placement
from .transitions import AttemptState

ANSWER_TICKS = 2  # an attempt ends so long before its owner gives up: the answer has a way to go yet
SETTLE_US = 50_000  # an offer's wait is surely over at its node so long after it is over here


class Owners(Protocol):
    """What attempts need of what owners are owed."""

    def placing(self, number: int) -> Placement | None: ...
    def tell(self, placing: Placement, word: ev.ClientMessage) -> None: ...
    def place(self, placing: Placement, node: int, shot: int, latency: int) -> None: ...
    def adopt(self, spec: ev.TaskSpec, former: Placement | None) -> Placement: ...
    def task(self, placing: Placement) -> api.Task: ...
    def forget_if_over(self, placing: Placement) -> None: ...


class Links(Protocol):
    """What attempts need of the links."""

    def is_up(self, node: int) -> bool: ...
    def has_addresses(self, node: int) -> bool: ...
    def dial_now(self, node: int) -> bool: ...
    def mark_settled(self, node: int, id: AttemptId) -> None: ...
    def unknown_attempt_reported(self, node: int) -> None: ...
    def mark_unsettled(self, node: int, id: AttemptId) -> None: ...
    def request_tasks_since(self, node: int, since: int) -> int | None: ...
    def node_idle(self, node: int) -> None: ...


class Groups(Protocol):
    """What attempts of members need of their groups."""

    def tag(self, placing: Placement) -> ev.GroupTag: ...
    def allows(self, placing: Placement, node: int) -> bool: ...
    def ready(self, placing: Placement, attempt: Attempt) -> None: ...
    def runs(self, placing: Placement, attempt: Attempt) -> None: ...
    def member_over(self, placing: Placement, finished: bool, reason: api.Reason) -> None: ...


class Attempts:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.owners: Owners
        self.links: Links
        self.groups: Groups
        self.attempts: dict[AttemptId, Attempt] = {}
        self.at_node: dict[int, dict[AttemptId, Attempt]] = {}

    # Questions

    def under_way(self) -> int:
        return len(self.attempts)

    def known(self, id: AttemptId) -> Attempt | None:
        return self.attempts.get(id)

    def at(self, node: int) -> list[Attempt]:
        """What is at a node or on its way there, in the order of its coming."""
        return list(self.at_node.get(node, {}).values())

    def any_at(self, node: int) -> bool:
        return node in self.at_node

    # What the module decides

    def bind(self, action: api.Bind) -> None:
        context = self.context
        placing = self.owners.placing(action.task)
        if placing is None or placing.state is not PlacementState.OPEN:
            raise RuntimeError(f"the module bound task {action.task}, which is over")
        shot = placing.attempts_made
        placing.attempts_made += 1
        tick = context.settings.tick_us
        if placing.group is not None and context.now >= placing.expires - (ANSWER_TICKS + 2) * tick:
            # The module knows the group's deadline, not the try's end: there is no time for this offer.
            placing.becomes("failed")
            context.notify_module(api.Outcome(action.task, shot, action.node, api.Result.NOT_SENT, True))
            self.call_back(placing)
            return
        if placing.group is not None and not self.groups.allows(placing, action.node):
            context.count("wishes_closed")
            context.notify_module(api.Outcome(action.task, shot, action.node, api.Result.NOT_SENT, False))
            return
        id = AttemptId(context.incarnation, placing.number, shot)
        attempt = Attempt(context, id, placing, shot, action.node, AttemptState.WAITING)
        attempt.timeout = placing.expires - ANSWER_TICKS * tick
        if action.timeout_us:
            attempt.timeout = min(attempt.timeout, context.now + action.timeout_us)
        self._track(attempt)
        context.count("offers")
        context.call_at(attempt.timeout, self._timed_out, attempt)
        if context.now >= attempt.timeout:
            # Danger: after a pause nodes' words are taken before time passes: the task's may be over by now.
            self.over(attempt, api.Result.NOT_SENT)
        elif self.links.is_up(action.node):
            self.send(attempt)
        elif not self.links.has_addresses(action.node):
            self.over(attempt, api.Result.UNREACHABLE)
        else:
            context.call_at(context.now + context.config.dial_timeout_us, self._dial_over, attempt)
            if not self.links.dial_now(action.node):
                self.over(attempt, api.Result.UNREACHABLE)

    def stop_attempt(self, action: api.StopAttempt) -> None:
        placing = self.owners.placing(action.task)
        for attempt in placing.attempts.values() if placing else ():
            if attempt.number == action.attempt:
                if not attempt.reported and attempt is not attempt.placement.bound:
                    self._give_up(attempt, api.Result.CANCELLED)
                return

    def evict(self, action: api.Evict) -> None:
        placing = self.owners.placing(action.task)
        if placing is not None and placing.bound is not None:
            self.context.count("moved")
            self.stop(placing.bound, ev.StopReason.MIGRATED)

    def _track(self, attempt: Attempt) -> None:
        self.attempts[attempt.id] = attempt
        attempt.placement.attempts[attempt.id] = attempt
        self.at_node.setdefault(attempt.node, {})[attempt.id] = attempt

    def send(self, attempt: Attempt) -> None:
        """The link is up: the offer leaves."""
        placing = attempt.placement
        attempt.step("sent")
        wait = max(1, attempt.timeout - self.context.now)
        tag = self.groups.tag(placing) if placing.group is not None else None
        index = placing.class_index
        self.context.emit(ev.SendOffer(attempt.node, attempt.id, placing.spec, wait, index, tag))
        if placing.group is None:
            self.owners.tell(placing, ev.Offered(placing.request, attempt.node, attempt.number))

    def send_waiting(self, node: int) -> None:
        for attempt in self.at(node):
            if attempt.waiting:
                self.send(attempt)

    def drop_waiting(self, node: int) -> None:
        """Rule 3, and links that fail. Danger: an offer must not leave after the word of a drain."""
        for attempt in self.at(node):
            if attempt.waiting:
                self.over(attempt, api.Result.UNREACHABLE)

    # Ends

    def stop(self, attempt: Attempt, why: ev.StopReason) -> None:
        """Call an attempt off, now or when its link is back."""
        if self.links.is_up(attempt.node):
            self.context.emit(ev.SendStop(attempt.node, attempt.id, why))
        elif why is not ev.StopReason.ABANDONED:
            self.links.mark_unsettled(attempt.node, attempt.id)

    def stop_bound(self, placing: Placement, why: ev.StopReason) -> None:
        if placing.bound is not None:
            self.stop(placing.bound, why)

    def call_off(self, placing: Placement) -> None:
        """Its owner wants it no longer."""
        for attempt in list(placing.attempts.values()):
            if attempt.waiting:
                self.over(attempt, api.Result.NOT_SENT)
            else:
                self.stop(attempt, ev.StopReason.CANCELLED)

    def call_back(self, placing: Placement) -> None:
        """A member's try is given up."""
        groups = self.context.config.groups
        for attempt in list(placing.attempts.values()):
            if attempt.waiting:
                self.over(attempt, api.Result.NOT_SENT)
            else:
                self.stop(attempt, ev.StopReason.ABANDONED)
                # Its last word may be lost; the lease bounds how long the node can hold it.
                self.context.call_at(
                    self.context.now + groups.lease_us + groups.gather_most_us, self._released, attempt
                )
        self.owners.forget_if_over(placing)

    def after_answer(self, placing: Placement) -> None:
        """Attempts that nobody waits for any more, once the placing's outcome is told."""
        for attempt in list(placing.attempts.values()):
            if attempt.waiting:
                self.over(attempt, api.Result.NOT_SENT)
            elif attempt.reported and attempt.accepted:
                self.copy(attempt)

    def _dial_over(self, attempt: Attempt) -> None:
        if attempt.waiting and attempt.id in self.attempts:
            self.over(attempt, api.Result.UNREACHABLE)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.reported or attempt.id not in self.attempts or attempt is attempt.placement.bound:
            return
        if attempt.waiting:
            self.over(attempt, api.Result.UNREACHABLE)
        else:
            self.context.count("timeouts")
            self._give_up(attempt, api.Result.TIMEOUT)

    def _give_up(self, attempt: Attempt, result: api.Result) -> None:
        """Tell the module an outcome that proves nothing; the node may still take the offer."""
        context, placing = self.context, attempt.placement
        attempt.step("given up")
        if placing.group is not None:
            # It was never let run, and will not be: it is proven not to run, and is called back.
            self._outcome(attempt, api.Result.UNREACHABLE, api.Reason.UNTOLD)
            self.stop(attempt, ev.StopReason.ABANDONED)
            context.call_at(context.now + context.config.groups.lease_us, self._released, attempt)
            return
        placing.proven = False
        self._outcome(attempt, result, api.Reason.UNTOLD)
        if abandoned_attempts.on_giving_up(placing.effect):
            self.stop(attempt, ev.StopReason.ABANDONED)
        if attempt.accepted:
            self.copy(attempt)
        elif context.config.proofs:
            context.call_at(max(context.now, attempt.timeout + SETTLE_US), self._settle, attempt)
        context.call_at(context.now + context.config.leftover_us, self._leftover_over, attempt)

    def _settle(self, attempt: Attempt) -> None:
        """A given-up offer of which the node has said nothing, and which it cannot take any more: ask.

        Danger: a task that must not run twice waits out ``leftover_us`` for an offer that is long void.
        """
        if self.attempts.get(attempt.id) is not attempt or attempt.accepted:
            return
        again = self.links.request_tasks_since(attempt.node, attempt.timeout + SETTLE_US)
        if again is not None:
            self.context.call_at(again, self._settle, attempt)

    def _leftover_over(self, attempt: Attempt) -> None:
        """Danger: a node that hangs would hold its given-up attempts, and their tasks' names, for ever."""
        if self.attempts.get(attempt.id) is attempt and attempt is not attempt.placement.bound:
            self.over(attempt, api.Result.LOST)

    def _released(self, attempt: Attempt) -> None:
        """No last word on a member that was called back: its lease has run out by now."""
        if self.attempts.get(attempt.id) is attempt and attempt.placement.group is not None:
            self.over(attempt, api.Result.CANCELLED)

    def _outcome(self, attempt: Attempt, result: api.Result, reason: api.Reason) -> None:
        placing = attempt.placement
        closed = placing.state is not PlacementState.OPEN
        latency = self.context.now - attempt.sent
        self.context.notify_module(
            api.Outcome(placing.number, attempt.number, attempt.node, result, closed, reason, latency)
        )

    def over(self, attempt: Attempt, result: api.Result, reason: api.Reason = api.Reason.UNTOLD) -> None:
        """The last word on an attempt: it is dropped, and the module told unless it was before."""
        placing = attempt.placement
        if self.attempts.pop(attempt.id, None) is None:
            return
        placing.attempts.pop(attempt.id, None)
        here = self.at_node.get(attempt.node)
        if here is not None:
            here.pop(attempt.id, None)
            if not here:
                del self.at_node[attempt.node]
        if reason is not api.Reason.UNTOLD:
            placing.last_reason = reason
        bound = placing.bound is attempt
        if placing.group is not None:
            how = reason.name.lower().replace("_", " ") if reason else result.value
            placing.ended = "finished" if result is api.Result.FINISHED else how
            if not attempt.running and result is api.Result.LOST:
                result = api.Result.REJECTED  # it was held and never let run
        known = attempt.reported
        attempt.step("over")
        if not known:
            if result not in api.PROVES_NOT_RUN:
                placing.proven = False
            self._outcome(attempt, result, reason)
        if bound:
            self._unbound(placing, result, reason)
            if placing.group is not None:
                return
        self.owners.forget_if_over(placing)
        if not self.any_at(attempt.node):
            self.links.node_idle(attempt.node)

    def _unbound(self, placing: Placement, result: api.Result, reason: api.Reason) -> None:
        """What its owner was told to run is over."""
        placing.bound = None
        finished = result is api.Result.FINISHED
        if placing.group is not None:
            self.groups.member_over(placing, finished, reason)
            self.owners.forget_if_over(placing)
            return
        self.context.count("finished" if finished else "lost")
        self.owners.tell(placing, ev.TaskEnded(placing.request, placing.spec.key, finished, reason))

    # Copies

    def copy(self, attempt: Attempt) -> None:
        """A given-up attempt is at its node all the same."""
        placing = attempt.placement
        if placing.group is not None:
            self.stop(attempt, ev.StopReason.ABANDONED)
            return
        match abandoned_attempts.on_word(placing.effect, placing.state):
            case abandoned_attempts.Copy.STOP:
                self.context.count("copies_stopped")
                self.stop(attempt, ev.StopReason.ABANDONED)
            case abandoned_attempts.Copy.ADOPT:
                placing.attempts.pop(attempt.id, None)
                running = attempt.running
                attempt.step("adopted")
                self.adopt(attempt.node, attempt.id, placing.spec, running, placing)
                self.owners.forget_if_over(placing)
            case abandoned_attempts.Copy.WAIT:
                pass

    def adopt(
        self, node: int, id: AttemptId, spec: ev.TaskSpec, running: bool, former: Placement | None = None
    ) -> Attempt:
        """Look after a task that is at a node though nothing here waits for it; counted once, told once."""
        placing = self.owners.adopt(spec, former)
        stage = AttemptState.RUNNING if running else AttemptState.ACCEPTED
        attempt = placing.bound = Attempt(self.context, id, placing, 0, node, stage)
        self._track(attempt)
        self.context.count("adopted")
        self.context.notify_module(api.TaskAdopted(self.owners.task(placing), node))
        self.owners.tell(placing, ev.TaskRecovered(placing.request, spec.key, node))
        return attempt

    # What nodes say

    def _heard(self, node: int, id: AttemptId) -> Attempt | None:
        attempt = self.attempts.get(id)
        if attempt is None or attempt.node != node or attempt.waiting:
            return None
        self.links.mark_settled(node, id)
        return attempt

    def node_accepted(self, event: ev.NodeAccepted) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is None:
            self.links.unknown_attempt_reported(event.node)
        if attempt is None or attempt.accepted:
            return
        attempt.step("accepted")
        if attempt.reported:
            self.copy(attempt)
        elif not self.context.settings.confirms_running and attempt.placement.group is None:
            self._place(attempt)

    def node_ready(self, event: ev.NodeReady) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is None:
            self.links.unknown_attempt_reported(event.node)
            return
        placing = attempt.placement
        if not attempt.accepted:
            attempt.step("accepted")
        if placing.group is None or placing.bound is attempt:
            return
        if attempt.reported or placing.state is not PlacementState.OPEN:
            self.stop(attempt, ev.StopReason.ABANDONED)
            return
        placing.bound = attempt
        placing.becomes("placed")
        latency = self.context.now - attempt.sent
        self.context.notify_module(api.Placed(placing.number, attempt.number, attempt.node, latency))
        self.groups.ready(placing, attempt)

    def node_running(self, event: ev.NodeRunning) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is None:
            self.links.unknown_attempt_reported(event.node)
        if attempt is None or attempt.running:
            return
        fresh = not attempt.accepted
        attempt.step("running")
        placing = attempt.placement
        if attempt.reported:
            if fresh:
                self.copy(attempt)
        elif placing.group is not None:
            if attempt is placing.bound:
                self.groups.runs(placing, attempt)
        elif attempt is placing.bound:
            note = api.StatusUpdate(placing.number, attempt.number, event.node, api.StatusKind.RUNNING, 1.0)
            self.context.notify_module(note)
        else:
            self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        placing = attempt.placement
        if placing.state is not PlacementState.OPEN:
            return  # withdrawn: its stop is under way
        placing.bound = attempt
        self.owners.place(placing, attempt.node, attempt.number, self.context.now - attempt.sent)
        for other in list(placing.attempts.values()):
            if other is not attempt and other.accepted:
                self.copy(other)

    def node_refused(self, event: ev.NodeRejected) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is None:
            return
        if attempt is attempt.placement.bound:
            self.over(attempt, api.Result.LOST, event.reason)  # accepted first, and then handed back
        elif event.late:
            # It is proven not to have run, and says nothing about the node's room: the way there was slow.
            self.context.count("too_late")
            self.over(attempt, api.Result.UNREACHABLE)
        else:
            self.over(attempt, api.Result.REJECTED, event.reason)

    def node_error(self, event: ev.NodeError) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is not None:
            self.over(attempt, api.Result.ERROR)

    def node_ended(self, event: ev.NodeEnded) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is not None:
            self.over(attempt, event.result, event.reason)

    def node_usage(self, event: ev.NodeUsage) -> None:
        attempt = self._heard(event.node, event.id)
        if attempt is None or attempt.reported:
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

    def lost_with_its_life(self, node: int) -> None:
        """The node's process is another one: what was there is gone."""
        for attempt in self.at(node):
            if not attempt.waiting:
                self.over(attempt, api.Result.LOST)

    def over_unsent(self, node: int, unsent: frozenset[AttemptId]) -> list[AttemptId]:
        """A link broke: what provably never left is over; what had left is returned, for it is unsettled."""
        left = []
        for attempt in self.at(node):
            if attempt.id in unsent and not attempt.accepted:
                self.over(attempt, api.Result.UNREACHABLE)
            elif not attempt.waiting:
                left.append(attempt.id)
        return left

    def lose(self, ids: list[AttemptId]) -> None:
        """A broken link did not come back in time: what was there counts as lost from now on."""
        for id in ids:
            attempt = self.attempts.get(id)
            if attempt is not None:
                self.over(attempt, api.Result.LOST)

    def not_held(self, ids: list[AttemptId], complete: bool) -> None:
        """What was sent before a link broke, and is not at its node."""
        for id in ids:
            attempt = self.attempts.get(id)
            if attempt is None:
                continue
            if complete and not attempt.accepted:
                # Last words are kept until they are heard: neither held nor told as over, it was never seen.
                self.context.count("never_seen")
                self.over(attempt, api.Result.UNREACHABLE)
            else:
                self.over(attempt, api.Result.LOST)

    def never_taken(self, event: ev.NodeTasksReported, held: set[AttemptId]) -> None:
        """Given-up offers whose wait was over when the node was asked, and of which it holds nothing.

        They were either never seen, or turned down with a last word that was heard by now; and should they
        come yet, the fence turns them away: proven not to run.
        """
        if not self.context.config.proofs:
            return
        for attempt in self.at(event.node):
            silent = attempt.reported and not attempt.accepted
            if silent and attempt.id not in held and event.requested_at >= attempt.timeout + SETTLE_US:
                self.context.count("never_taken")
                self.over(attempt, api.Result.UNREACHABLE)
