"""Client sessions, their placement requests and the one outcome of each request. No I/O or clock.

Invariants (tests/planner/test_client_requests.py, with the other components played by stand-ins):

1. A task is admitted or rejected, never both; an admitted task has one outcome, sent once, to the session
   that requested it.
2. ``by_client_key`` has at most one placement of a client's key. While it is open, or may still run where a
   second run does harm, no other task with that key is admitted.
3. ``open_tasks`` is the number of single tasks admitted and without outcome; so is each session's
   ``open_tasks``.
4. A client that disconnects leaves nothing open: its requests are cancelled, and what runs is reported to
   another session of the client, or to its next one.
5. A placement is forgotten once it has an outcome and nothing of it is at a node.

Tables: ``sessions``, ``by_client``, ``placements``, ``by_client_key``.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from .. import interface as api
from . import admission
from . import events as ev
from .abandoned_attempts import PlacementState
from .context import CoreContext
from .placement import Placement
from .transitions import PlacementEvent

REPEATABLE = api.Effect.IDEMPOTENT


@dataclass(slots=True)
class Session:
    """An owner's stream."""

    client: str
    placements: dict[int, Placement] = field(default_factory=dict)
    groups: dict[int, int] = field(default_factory=dict)  # ask: number
    open_tasks: int = 0


class Attempts(Protocol):
    """What owners' matters need done at nodes."""

    def in_flight(self) -> int: ...
    def cancel(self, placement: Placement) -> None: ...
    def stop_bound(self, placement: Placement, why: ev.StopReason) -> None: ...
    def placement_concluded(self, placement: Placement) -> None: ...


class Groups(Protocol):
    """What owners' matters need to know of groups, and have done to them."""

    def owner_came(self, owner: str, session: int, live: Callable[[int], bool]) -> None: ...
    def owner_left(self, number: int, other: int) -> None: ...
    def withdrawn(self, number: int) -> None: ...
    def member_unplaced(self, placement: Placement) -> None: ...
    def member_gone(self, placement: Placement) -> None: ...


class ClientRequests:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.attempts: Attempts
        self.groups: Groups
        self.sessions: dict[int, Session] = {}
        self.by_client: dict[str, list[int]] = {}
        self.placements: dict[int, Placement] = {}
        self.by_client_key: dict[tuple[str, int], Placement] = {}
        self.open_tasks = 0
        self.draining = False

    # Questions

    def is_connected(self, session: int) -> bool:
        """Whether a stream is there to be told on."""
        return session in self.sessions

    def find_by_key(self, owner: str, key: int) -> Placement | None:
        return self.by_client_key.get((owner, key))

    def find(self, number: int) -> Placement | None:
        return self.placements.get(number)

    def all_placements(self) -> list[Placement]:
        return list(self.placements.values())

    def client_of(self, session: int) -> str:
        return self.sessions[session].client

    def newest_session(self, owner: str) -> int:
        """The owner's newest stream, or 0."""
        return (self.by_client.get(owner) or [0])[-1]

    # Streams

    def client_connected(self, event: ev.ClientConnected) -> None:
        self.sessions[event.session] = Session(event.client)
        self.by_client.setdefault(event.client, []).append(event.session)
        self.groups.owner_came(event.client, event.session, self.is_connected)
        for placement in list(self.by_client_key.values()):
            # What runs for this owner and has no stream to be told on is this stream's from now on.
            if (
                placement.task.client == event.client
                and placement.bound_attempt
                and placement.session not in self.sessions
            ):
                placement.session, placement.request = event.session, 0
                self.notify(placement, ev.TaskRecovered(0, placement.task.key, placement.bound_attempt.node))

    def client_disconnected(self, event: ev.ClientDisconnected) -> None:
        """Danger: an owner gone in the middle must leave neither open tasks nor attempts behind."""
        session = self.sessions.pop(event.session, None)
        if session is None:
            return
        others = self.by_client.get(session.client, [])
        if event.session in others:
            others.remove(event.session)
        if not others:
            self.by_client.pop(session.client, None)
        for placement in list(session.placements.values()):
            if placement.state is PlacementState.OPEN:
                self._cancel_open(placement)
            elif others:
                placement.session, placement.request = others[-1], 0
        for number in list(session.groups.values()):
            self.groups.owner_left(number, others[-1] if others else 0)

    # Asks

    def placement_requested(self, event: ev.PlacementRequested) -> None:
        session = self.sessions[event.session]
        rejection = self._rejection(session, event)
        if rejection is not None:
            self.reject(event.session, event.request, rejection)
            return
        known = self.find_by_key(event.task.client, event.task.key)
        if known is not None and known.bound_attempt is not None:
            # It runs already. Danger: placed anew it would run twice.
            old = self.sessions.get(known.session)
            if old is not None:
                old.placements.pop(known.request, None)
            known.session, known.request = event.session, event.request
            session.placements[event.request] = known
            self.notify(known, ev.TaskRecovered(event.request, event.task.key, known.bound_attempt.node))
            return
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
        self.context.count("rejected")
        self.context.emit(ev.SendToClient(session, ev.Rejected(request, rejection)))

    def request_error(self, session: int, ask: int) -> ev.Rejection | None:
        """What is wrong with an ask of either kind before its tasks are looked at."""
        if self.draining:
            return ev.Rejection("UNAVAILABLE", "", "this planner is leaving", admission.DRAINING_RETRY_US)
        known = self.sessions[session]
        if ask <= 0 or ask in known.placements or ask in known.groups:
            message = "a number above 0 that no live ask of this stream has is needed"
            return ev.Rejection("INVALID_ARGUMENT", "ask", message)
        return None

    def task_error(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None:
        context = self.context
        return admission.task_error(
            task, wait_us, context.config.bounds, context.settings, context.config.tenants
        )

    def capacity_error(self, session: int) -> ev.Rejection | None:
        """Bounds of tables: how many tasks are open, an owner's, and attempts at nodes."""
        open_here = self.sessions[session].open_tasks
        return admission.capacity_error(
            self.open_tasks, open_here, self.attempts.in_flight(), self.context.config.bounds
        )

    def _rejection(self, session: Session, event: ev.PlacementRequested) -> ev.Rejection | None:
        wrong = self.request_error(event.session, event.request) or self.task_error(event.task, event.wait_us)
        if wrong is None:
            wrong = admission.deadline_error(event.wait_us, event.age_us)
        if wrong is not None:
            return wrong
        known = self.find_by_key(event.task.client, event.task.key)
        if known is not None and known.state is PlacementState.OPEN:
            return ev.Rejection("ALREADY_EXISTS", "task.key", "this task waits for its outcome already")
        effect = self.context.effect(self.context.classes[event.task.task_class])
        if known is not None and known.bound_attempt is None and effect is not REPEATABLE:
            # Danger: an attempt that was given up may still run; asked again too soon it would run twice.
            message = "an earlier attempt of this task may still run"
            return ev.Rejection("ABORTED", "task.key", message, admission.UNSETTLED_RETRY_US)
        return self.capacity_error(event.session)

    def register(self, placement: Placement) -> None:
        """Know a placement by number and name from now on."""
        self.placements[placement.number] = self.by_client_key[placement.client_key] = placement

    def module_task(self, placement: Placement) -> api.Task:
        """As the module is told of it."""
        spec = placement.task
        return api.Task(
            placement.number,
            placement.class_index,
            self.context.tenants.get(spec.tenant, 0),
            spec.key,
            placement.deadline,
            spec.service,
            spec.cores,
            spec.memory,
            spec.expected_duration_us or None,
            spec.resubmitted,
        )

    def placement_cancelled(self, event: ev.PlacementCancelled) -> None:
        session = self.sessions[event.session]
        if event.request in session.groups:
            self.context.count("groups_withdrawn")
            self.groups.withdrawn(session.groups[event.request])
            return
        by_key = self.find_by_key(session.client, event.key)
        placement = session.placements.get(event.request) if event.request else by_key
        if placement is None:
            return  # it is over: the words have crossed
        if placement.state is PlacementState.OPEN:
            self._cancel_open(placement)
        elif placement.bound_attempt is not None and not placement.cancelled:
            placement.cancelled = True
            self.attempts.stop_bound(placement, ev.StopReason.CANCELLED)

    def _cancel_open(self, placement: Placement) -> None:
        """Nothing is owed any more; attempts that are out are called back."""
        self.context.count(PlacementEvent.CANCELLED)
        self.conclude(placement, PlacementEvent.CANCELLED)
        self.context.notify_module(api.TaskCancelled(placement.number))
        self.attempts.cancel(placement)
        self.forget_if_done(placement)

    # Groups of this stream, by the groups' room's numbers

    def register_group(self, session: int, ask: int, number: int) -> None:
        self.sessions[session].groups[ask] = number

    def forget_group(self, session: int, ask: int) -> None:
        if session in self.sessions:
            self.sessions[session].groups.pop(ask, None)

    # Outcomes

    def notify(self, placement: Placement, word: ev.ClientMessage) -> None:
        self.notify_session(placement.session, word)

    def notify_session(self, session: int, word: ev.ClientMessage) -> None:
        if session in self.sessions:
            self.context.emit(ev.SendToClient(session, word))

    def conclude(self, placement: Placement, event: PlacementEvent) -> None:
        """The placement's one outcome is decided."""
        placement.transition(event)
        if placement.group is not None:
            return
        self.open_tasks -= 1
        session = self.sessions.get(placement.session)
        if session is not None:
            session.open_tasks -= 1

    def shed(self, action: api.Shed) -> None:
        placement = self.placements.get(action.task)
        if placement is None or placement.state is not PlacementState.OPEN:
            return
        if placement.group is not None:
            self.groups.member_unplaced(placement)
            return
        self.context.count("refused")
        self.conclude(placement, PlacementEvent.SHED)
        self.notify(placement, ev.TaskShed(placement.request, action.retry_after_us, placement.last_reason))
        self._release(placement)

    def fail(self, action: api.Fail) -> None:
        placement = self.placements.get(action.task)
        if placement is None or placement.state is not PlacementState.OPEN:
            return
        if placement.group is not None:
            self.groups.member_unplaced(placement)
            return
        self.context.count("failed")
        may_run = bool(placement.attempts) or not placement.known_not_run
        self.conclude(placement, PlacementEvent.FAILED)
        self.notify(placement, ev.TaskFailed(placement.request, may_run))
        self._release(placement)

    def _release(self, placement: Placement) -> None:
        """The ask is done with; copies that nodes have spoken of meanwhile are not."""
        session = self.sessions.get(placement.session)
        if session is not None:
            session.placements.pop(placement.request, None)
        self.attempts.placement_concluded(placement)
        self.forget_if_done(placement)

    def task_placed(self, placement: Placement, node: int, number: int, latency: int) -> None:
        """It is bound; ``latency`` since the offer."""
        self.context.count("placed")
        self.conclude(placement, PlacementEvent.PLACED)
        self.context.notify_module(api.Placed(placement.number, number, node, latency))
        self.notify(placement, ev.TaskPlaced(placement.request, node, number, latency))

    def adopt(self, spec: ev.TaskSpec, former: Placement | None) -> Placement:
        """A task that is at a node though nothing here waits for it: it is told on its owner's stream."""
        placement = Placement(self.context, 0, 0, spec, PlacementState.PLACED)
        if former is not None and former.session in self.sessions:
            placement.session, placement.request = former.session, former.request
            self.sessions[former.session].placements[former.request] = placement
        else:
            placement.session = self.newest_session(spec.client)
        self.register(placement)
        return placement

    def forget_if_done(self, placement: Placement) -> None:
        """Drop a placement of which nothing is left."""
        if placement.state is PlacementState.OPEN or placement.attempts:
            return
        if self.placements.pop(placement.number, None) is not None and placement.group is not None:
            self.groups.member_gone(placement)
        if self.by_client_key.get(placement.client_key) is placement:
            del self.by_client_key[placement.client_key]
        session = self.sessions.get(placement.session)
        if session is not None and session.placements.get(placement.request) is placement:
            del session.placements[placement.request]

    # Leaving

    def conclude_all(self) -> None:
        """What is still owed is answered now: refused where a retry is proven harmless, else failed."""
        owed: Iterable[Placement] = [
            p for p in self.all_placements() if p.state is PlacementState.OPEN and p.group is None
        ]
        for placement in owed:
            out = any(not a.waiting for a in placement.attempts.values())
            harmless = placement.effect is REPEATABLE or (placement.known_not_run and not out)
            self.context.notify_module(api.TaskCancelled(placement.number))
            if harmless:
                self.shed(api.Shed(placement.number, admission.DRAINING_RETRY_US))
            else:
                self.fail(api.Fail(placement.number))
