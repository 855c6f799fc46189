"""Client sessions, their placement requests and the one outcome of each request. No I/O or clock.

Invariants (tests/planner/test_client_requests.py, with stubs of the other components):

1. A task is admitted or rejected, never both; an admitted task has one outcome, sent once, to the session
   that requested it.
2. ``by_client_key`` has at most one placement for a client's key. While that placement is open, or its task
   may still run and a second run does harm, no other task with that key is admitted.
3. ``open_tasks`` is the number of admitted single tasks without an outcome; each session's ``open_tasks`` is
   the number of those that it requested.
4. When a client disconnects, its open requests are cancelled, and messages on its running tasks go to another
   session of the client, or to its next one.
5. A placement is removed once it has an outcome and no attempt of it is at a node.

Tables: ``sessions``, ``by_client``, ``placements``, ``by_client_key``.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from . import admission
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .placement import Placement
from .request_table import RequestTable
from .transitions import PlacementEvent


class Attempts(Protocol):
    """The methods of attempts that clients' requests use."""

    def in_flight(self) -> int:
        """Return the number of attempts that have not ended."""

    def cancel(self, placement: Placement) -> None:
        """Stop every attempt of a placement."""

    def stop_bound(self, placement: Placement, reason: ev.StopReason) -> None:
        """Stop the attempt that runs the task, if one does."""

    def placement_concluded(self, placement: Placement) -> None:
        """End or stop the remaining attempts of a placement that has its outcome."""


class ClientRequests(RequestTable):
    """Admits requests, and decides and sends the one outcome of each."""

    def __init__(self, context: CoreContext) -> None:
        """Create empty tables; the core sets the other components before the first event."""
        super().__init__(context)
        self.attempts: Attempts
        self.open_tasks = 0
        self.draining = False

    # Sessions

    def client_connected(self, event: ev.ClientConnected) -> None:
        """Open a session, and report on it the client's running tasks that have no other open session."""
        self._open_session(event.session, event.client)
        self.groups.client_connected(event.client, event.session, self.is_connected)
        for placement in list(self.by_client_key.values()):
            bound = placement.bound_attempt
            orphaned = placement.session not in self.sessions
            if placement.task.client == event.client and bound is not None and orphaned:
                self._move(placement, event.session, 0)
                self.notify(placement, ev.TaskRecovered(0, placement.task.key, bound.node))

    def client_disconnected(self, event: ev.ClientDisconnected) -> None:
        """Close a session, cancel its open requests and move its running tasks to the client's other session.

        Otherwise a client that disconnects at an arbitrary moment would leave open tasks and attempts behind.
        """
        session = self._close_session(event.session)
        if session is None:
            return
        other = self.newest_session(session.client)
        for placement in list(session.placements.values()):
            if placement.state is PlacementState.OPEN:
                self._cancel_open(placement)
            elif other:
                self._move(placement, other, 0)
        for number in list(session.groups.values()):
            self.groups.client_disconnected(number, other)

    def _move(self, placement: Placement, session: int, request: int) -> None:
        """Send further messages on a placement to another session or for another request number."""
        placement.session = session
        placement.request = request

    # Admission

    def placement_requested(self, event: ev.PlacementRequested) -> None:
        """Admit a request or reject it; a task that already runs is reported as recovered."""
        rejection = self._rejection(event)
        if rejection is not None:
            self.reject(event.session, event.request, rejection)
            return
        known = self.find_by_key(event.task.client, event.task.key)
        if known is not None and known.bound_attempt is not None:
            self._recover(known, event, known.bound_attempt.node)
        else:
            self._admit(event)

    def _recover(self, placement: Placement, event: ev.PlacementRequested, node: int) -> None:
        """Assign a task that already runs to a new request; if it were placed again, it would run twice."""
        former = self.sessions.get(placement.session)
        if former is not None:
            former.placements.pop(placement.request, None)
        self._move(placement, event.session, event.request)
        self.sessions[event.session].placements[event.request] = placement
        self.notify(placement, ev.TaskRecovered(event.request, event.task.key, node))

    def _admit(self, event: ev.PlacementRequested) -> None:
        session = self.sessions[event.session]
        placement = Placement(self.context, event.session, event.request, event.task)
        placement.deadline = self.context.now + event.wait_us - event.age_us
        self.register(placement)
        session.placements[event.request] = placement
        session.open_tasks += 1
        self.open_tasks += 1
        self.context.count("taken")
        self.notify(placement, ev.Admitted(event.request, placement.number))
        self.context.notify_module(api.TaskRequested(self.module_task(placement)))

    def reject(self, session: int, request: int, rejection: ev.Rejection) -> None:
        """Send a rejection of a request for a task or a group."""
        self.context.count("rejected")
        self.context.emit(ev.SendToClient(session, ev.Rejected(request, rejection)))

    def request_error(self, session: int, request: int) -> ev.Rejection | None:
        """Return why a request for a task or a group is rejected before its tasks are checked, or None."""
        known = self.sessions[session]
        if self.draining:
            message = "this planner is shutting down"
            return ev.Rejection("UNAVAILABLE", "", message, admission.DRAINING_RETRY_US)
        if request <= 0 or request in known.placements or request in known.groups:
            message = "must be a number above 0 that no open request of this session has"
            return ev.Rejection("INVALID_ARGUMENT", "ask", message)
        return None

    def task_error(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None:
        """Return why a task is rejected, or None."""
        config = self.context.config
        return admission.task_error(task, wait_us, config.bounds, self.context.settings, config.tenants)

    def capacity_error(self, session: int) -> ev.Rejection | None:
        """Return a rejection if the open tasks, the session's or the attempts are at their bound, or None."""
        open_here = self.sessions[session].open_tasks
        bounds = self.context.config.bounds
        return admission.capacity_error(self.open_tasks, open_here, self.attempts.in_flight(), bounds)

    def _rejection(self, event: ev.PlacementRequested) -> ev.Rejection | None:
        return (
            self.request_error(event.session, event.request)
            or self.task_error(event.task, event.wait_us)
            or admission.deadline_error(event.wait_us, event.age_us)
            or self._duplicate_error(event.task)
            or self.capacity_error(event.session)
        )

    def _duplicate_error(self, task: ev.TaskSpec) -> ev.Rejection | None:
        """Return why a task is rejected whose key is in use, or None.

        A key is in use while its task is open, or may still run where a second run does harm.
        """
        known = self.find_by_key(task.client, task.key)
        if known is None:
            return None
        if known.state is PlacementState.OPEN:
            return ev.Rejection("ALREADY_EXISTS", "task.key", "this task is already open")
        effect = self.context.effect(self.context.classes[task.task_class])
        if known.bound_attempt is None and effect is not api.Effect.IDEMPOTENT:
            # An abandoned attempt may still run; if the task were placed again now, it could run twice.
            message = "an earlier attempt of this task may still run"
            return ev.Rejection("ABORTED", "task.key", message, admission.UNSETTLED_RETRY_US)
        return None

    # Cancellation

    def placement_cancelled(self, event: ev.PlacementCancelled) -> None:
        """Cancel a task or a group at its client's request."""
        session = self.sessions[event.session]
        if event.request in session.groups:
            self.context.count("groups_withdrawn")
            self.groups.cancel(session.groups[event.request])
            return
        by_key = self.find_by_key(session.client, event.key)
        placement = session.placements.get(event.request) if event.request else by_key
        if placement is None:
            return  # the task ended before the cancellation arrived
        if placement.state is PlacementState.OPEN:
            self._cancel_open(placement)
        elif placement.bound_attempt is not None and not placement.cancelled:
            placement.cancelled = True
            self.attempts.stop_bound(placement, ev.StopReason.CANCELLED)

    def _cancel_open(self, placement: Placement) -> None:
        """Cancel an open placement: stop its attempts in flight, and send no outcome."""
        self.context.count("withdrawn")
        self.conclude(placement, PlacementEvent.CANCELLED)
        self.context.notify_module(api.TaskCancelled(placement.number))
        self.attempts.cancel(placement)
        self.forget_if_done(placement)

    # Outcomes

    def conclude(self, placement: Placement, event: PlacementEvent) -> None:
        """Set the placement's one outcome, and subtract a single task from the open ones."""
        placement.transition(event)
        if placement.group is not None:
            return
        self.open_tasks -= 1
        session = self.sessions.get(placement.session)
        if session is not None:
            session.open_tasks -= 1

    def shed(self, action: api.Shed) -> None:
        """Report a task as shed: the decision module gives it up, and a retry does no harm."""
        placement = self._open_single(action.task)
        if placement is None:
            return
        self.context.count("refused")
        self.conclude(placement, PlacementEvent.SHED)
        self.notify(placement, ev.TaskShed(placement.request, action.retry_after_us, placement.last_reason))
        self._remove_request(placement)

    def fail(self, action: api.Fail) -> None:
        """Report a task as failed: the decision module gives it up, and it may run nevertheless."""
        placement = self._open_single(action.task)
        if placement is None:
            return
        self.context.count("failed")
        may_run = bool(placement.attempts) or not placement.known_not_run
        self.conclude(placement, PlacementEvent.FAILED)
        self.notify(placement, ev.TaskFailed(placement.request, may_run))
        self._remove_request(placement)

    def _open_single(self, number: int) -> Placement | None:
        """Return the placement if it is open and of a single task; pass a member's placement to its group."""
        placement = self.placements.get(number)
        if placement is None or placement.state is not PlacementState.OPEN:
            return None
        if placement.group is not None:
            self.groups.member_unplaced(placement)
            return None
        return placement

    def _remove_request(self, placement: Placement) -> None:
        """Remove a concluded request from its session, and end or stop the placement's remaining attempts."""
        session = self.sessions.get(placement.session)
        if session is not None:
            session.placements.pop(placement.request, None)
        self.attempts.placement_concluded(placement)
        self.forget_if_done(placement)

    def task_placed(self, placement: Placement, node: int, number: int, latency_us: int) -> None:
        """Report a task as placed by attempt ``number``, ``latency_us`` after that attempt was created."""
        self.context.count("placed")
        self.conclude(placement, PlacementEvent.PLACED)
        self.context.notify_module(api.Placed(placement.number, number, node, latency_us))
        self.notify(placement, ev.TaskPlaced(placement.request, node, number, latency_us))

    def adopt(self, task: ev.TaskSpec, former: Placement | None) -> Placement:
        """Return a new placement for a task found at a node.

        Messages on it go to the session and request of ``former``, the task's earlier placement, if that
        session is open, and else to the client's newest session.
        """
        placement = Placement(self.context, 0, 0, task, PlacementState.PLACED)
        if former is not None and former.session in self.sessions:
            self._move(placement, former.session, former.request)
            self.sessions[former.session].placements[former.request] = placement
        else:
            placement.session = self.newest_session(task.client)
        self.register(placement)
        return placement

    # Graceful shutdown

    def conclude_all(self) -> None:
        """Decide every open single task now: it is shed if a retry is proven harmless, and else failed."""
        open_tasks = [
            placement
            for placement in self.all_placements()
            if placement.state is PlacementState.OPEN and placement.group is None
        ]
        for placement in open_tasks:
            in_flight = any(not attempt.waiting for attempt in placement.attempts.values())
            proven = placement.known_not_run and not in_flight
            self.context.notify_module(api.TaskCancelled(placement.number))
            if placement.effect is api.Effect.IDEMPOTENT or proven:
                self.shed(api.Shed(placement.number, admission.DRAINING_RETRY_US))
            else:
                self.fail(api.Fail(placement.number))
