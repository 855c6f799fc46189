"""What owners are owed: their streams, what they asked for, and the one outcome of each ask. No I/O or clock.

Invariants (tests/planner/test_client_requests.py, with the other rooms played by hand):

1. A task is taken or rejected, never both; what is taken has one outcome, told once, on the stream that
   asked.
2. ``by_name`` has at most one placing of a name; while one is open, or may still run where a second run does
   harm, the name is not taken again.
3. ``open_tasks`` is the number of single tasks taken and without outcome, and so is each session's ``open``.
4. An owner that leaves leaves nothing open: its asks are withdrawn, what runs is told to its other streams,
   or to the next one.
5. A placing is forgotten once it has an outcome and nothing of it is at a node.

Tables: ``sessions``, ``by_owner``, ``placings``, ``by_name``.
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

REPEATABLE = api.Effect.IDEMPOTENT


@dataclass(slots=True)
class Session:
    """An owner's stream."""

    owner: str
    asks: dict[int, Placement] = field(default_factory=dict)
    groups: dict[int, int] = field(default_factory=dict)  # ask: number
    open: int = 0


class Attempts(Protocol):
    """What owners' matters need done at nodes."""

    def under_way(self) -> int: ...
    def call_off(self, placing: Placement) -> None: ...
    def stop_bound(self, placing: Placement, why: ev.StopReason) -> None: ...
    def after_answer(self, placing: Placement) -> None: ...


class Groups(Protocol):
    """What owners' matters need to know of groups, and have done to them."""

    def client_connected(self, owner: str, session: int, live: Callable[[int], bool]) -> None: ...
    def client_disconnected(self, number: int, other: int) -> None: ...
    def cancel(self, number: int) -> None: ...
    def member_unplaced(self, placing: Placement) -> None: ...
    def member_gone(self, placing: Placement) -> None: ...


class ClientRequests:
    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.attempts: Attempts
        self.groups: Groups
        self.sessions: dict[int, Session] = {}
        self.by_owner: dict[str, list[int]] = {}
        self.placings: dict[int, Placement] = {}
        self.by_name: dict[tuple[str, int], Placement] = {}
        self.open_tasks = 0
        self.leaving = False

    # Questions

    def live(self, session: int) -> bool:
        """Whether a stream is there to be told on."""
        return session in self.sessions

    def named(self, owner: str, key: int) -> Placement | None:
        return self.by_name.get((owner, key))

    def placing(self, number: int) -> Placement | None:
        return self.placings.get(number)

    def all(self) -> list[Placement]:
        return list(self.placings.values())

    def owner_of(self, session: int) -> str:
        return self.sessions[session].owner

    def newest(self, owner: str) -> int:
        """The owner's newest stream, or 0."""
        return (self.by_owner.get(owner) or [0])[-1]

    # Streams

    def came(self, event: ev.ClientConnected) -> None:
        self.sessions[event.session] = Session(event.client)
        self.by_owner.setdefault(event.client, []).append(event.session)
        self.groups.client_connected(event.client, event.session, self.live)
        for placing in list(self.by_name.values()):
            # What runs for this owner and has no stream to be told on is this stream's from now on.
            if placing.spec.client == event.client and placing.bound and placing.session not in self.sessions:
                placing.session, placing.request = event.session, 0
                self.tell(placing, ev.TaskRecovered(0, placing.spec.key, placing.bound.node))

    def left(self, event: ev.ClientDisconnected) -> None:
        """Danger: an owner gone in the middle must leave neither open tasks nor attempts behind."""
        session = self.sessions.pop(event.session, None)
        if session is None:
            return
        others = self.by_owner.get(session.owner, [])
        if event.session in others:
            others.remove(event.session)
        if not others:
            self.by_owner.pop(session.owner, None)
        for placing in list(session.asks.values()):
            if placing.state is PlacementState.OPEN:
                self._withdraw_open(placing)
            elif others:
                placing.session, placing.request = others[-1], 0
        for number in list(session.groups.values()):
            self.groups.client_disconnected(number, others[-1] if others else 0)

    # Asks

    def asked(self, event: ev.PlacementRequested) -> None:
        session = self.sessions[event.session]
        rejection = self._rejection(session, event)
        if rejection is not None:
            self.reject(event.session, event.request, rejection)
            return
        known = self.named(event.task.client, event.task.key)
        if known is not None and known.bound is not None:
            # It runs already. Danger: placed anew it would run twice.
            old = self.sessions.get(known.session)
            if old is not None:
                old.asks.pop(known.request, None)
            known.session, known.request = event.session, event.request
            session.asks[event.request] = known
            self.tell(known, ev.TaskRecovered(event.request, event.task.key, known.bound.node))
            return
        placing = Placement(self.context, event.session, event.request, event.task)
        placing.expires = self.context.now + event.wait_us - event.age_us
        self.keep(placing)
        session.asks[event.request] = placing
        session.open += 1
        self.open_tasks += 1
        self.context.count("taken")
        self.tell(placing, ev.Admitted(event.request, placing.number))
        self.context.notify_module(api.TaskRequested(self.task(placing)))

    def reject(self, session: int, ask: int, rejection: ev.Rejection) -> None:
        self.context.count("rejected")
        self.context.emit(ev.SendToClient(session, ev.Rejected(ask, rejection)))

    def bad_ask(self, session: int, ask: int) -> ev.Rejection | None:
        """What is wrong with an ask of either kind before its tasks are looked at."""
        if self.leaving:
            return ev.Rejection("UNAVAILABLE", "", "this planner is leaving", admission.LEAVING_RETRY_US)
        known = self.sessions[session]
        if ask <= 0 or ask in known.asks or ask in known.groups:
            message = "a number above 0 that no live ask of this stream has is needed"
            return ev.Rejection("INVALID_ARGUMENT", "ask", message)
        return None

    def bad_task(self, task: ev.TaskSpec, wait_us: int) -> ev.Rejection | None:
        context = self.context
        return admission.invalid(
            task, wait_us, context.config.bounds, context.settings, context.config.tenants
        )

    def no_room(self, session: int) -> ev.Rejection | None:
        """Bounds of tables: how many tasks are open, an owner's, and attempts at nodes."""
        open_here = self.sessions[session].open
        return admission.no_room(
            self.open_tasks, open_here, self.attempts.under_way(), self.context.config.bounds
        )

    def _rejection(self, session: Session, event: ev.PlacementRequested) -> ev.Rejection | None:
        wrong = self.bad_ask(event.session, event.request) or self.bad_task(event.task, event.wait_us)
        if wrong is None:
            wrong = admission.too_late(event.wait_us, event.age_us)
        if wrong is not None:
            return wrong
        known = self.named(event.task.client, event.task.key)
        if known is not None and known.state is PlacementState.OPEN:
            return ev.Rejection("ALREADY_EXISTS", "task.key", "this task waits for its outcome already")
        effect = self.context.effect(self.context.classes[event.task.task_class])
        if known is not None and known.bound is None and effect is not REPEATABLE:
            # Danger: an attempt that was given up may still run; asked again too soon it would run twice.
            message = "an earlier attempt of this task may still run"
            return ev.Rejection("ABORTED", "task.key", message, admission.UNSETTLED_RETRY_US)
        return self.no_room(event.session)

    def keep(self, placing: Placement) -> None:
        """Know a placing by number and name from now on."""
        self.placings[placing.number] = self.by_name[placing.name] = placing

    def task(self, placing: Placement) -> api.Task:
        """As the module is told of it."""
        spec = placing.spec
        return api.Task(
            placing.number,
            placing.class_index,
            self.context.tenants.get(spec.tenant, 0),
            spec.key,
            placing.expires,
            spec.service,
            spec.cores,
            spec.memory,
            spec.expected_duration_us or None,
            spec.resubmitted,
        )

    def withdrawn(self, event: ev.PlacementCancelled) -> None:
        session = self.sessions[event.session]
        if event.request in session.groups:
            self.context.count("groups_withdrawn")
            self.groups.cancel(session.groups[event.request])
            return
        by_key = self.named(session.owner, event.key)
        placing = session.asks.get(event.request) if event.request else by_key
        if placing is None:
            return  # it is over: the words have crossed
        if placing.state is PlacementState.OPEN:
            self._withdraw_open(placing)
        elif placing.bound is not None and not placing.withdrawn:
            placing.withdrawn = True
            self.attempts.stop_bound(placing, ev.StopReason.CANCELLED)

    def _withdraw_open(self, placing: Placement) -> None:
        """Nothing is owed any more; attempts that are out are called back."""
        self.context.count("withdrawn")
        self.answered(placing, "withdrawn")
        self.context.notify_module(api.TaskCancelled(placing.number))
        self.attempts.call_off(placing)
        self.forget_if_over(placing)

    # Groups of this stream, by the groups' room's numbers

    def group_asked(self, session: int, ask: int, number: int) -> None:
        self.sessions[session].groups[ask] = number

    def group_over(self, session: int, ask: int) -> None:
        if session in self.sessions:
            self.sessions[session].groups.pop(ask, None)

    # Outcomes

    def tell(self, placing: Placement, word: ev.ClientMessage) -> None:
        self.tell_on(placing.session, word)

    def tell_on(self, session: int, word: ev.ClientMessage) -> None:
        if session in self.sessions:
            self.context.emit(ev.SendToClient(session, word))

    def answered(self, placing: Placement, event: str) -> None:
        """The placing's one outcome is decided."""
        placing.becomes(event)
        if placing.group is not None:
            return
        self.open_tasks -= 1
        session = self.sessions.get(placing.session)
        if session is not None:
            session.open -= 1

    def refuse(self, action: api.Shed) -> None:
        placing = self.placings.get(action.task)
        if placing is None or placing.state is not PlacementState.OPEN:
            return
        if placing.group is not None:
            self.groups.member_unplaced(placing)
            return
        self.context.count("refused")
        self.answered(placing, "refused")
        self.tell(placing, ev.TaskShed(placing.request, action.retry_after_us, placing.last_reason))
        self._after_answer(placing)

    def fail(self, action: api.Fail) -> None:
        placing = self.placings.get(action.task)
        if placing is None or placing.state is not PlacementState.OPEN:
            return
        if placing.group is not None:
            self.groups.member_unplaced(placing)
            return
        self.context.count("failed")
        may_run = bool(placing.attempts) or not placing.proven
        self.answered(placing, "failed")
        self.tell(placing, ev.TaskFailed(placing.request, may_run))
        self._after_answer(placing)

    def _after_answer(self, placing: Placement) -> None:
        """The ask is done with; copies that nodes have spoken of meanwhile are not."""
        session = self.sessions.get(placing.session)
        if session is not None:
            session.asks.pop(placing.request, None)
        self.attempts.after_answer(placing)
        self.forget_if_over(placing)

    def place(self, placing: Placement, node: int, shot: int, latency: int) -> None:
        """It is bound; ``latency`` since the offer."""
        self.context.count("placed")
        self.answered(placing, "placed")
        self.context.notify_module(api.Placed(placing.number, shot, node, latency))
        self.tell(placing, ev.TaskPlaced(placing.request, node, shot, latency))

    def adopt(self, spec: ev.TaskSpec, former: Placement | None) -> Placement:
        """A task that is at a node though nothing here waits for it: it is told on its owner's stream."""
        placing = Placement(self.context, 0, 0, spec, PlacementState.PLACED)
        if former is not None and former.session in self.sessions:
            placing.session, placing.request = former.session, former.request
            self.sessions[former.session].asks[former.request] = placing
        else:
            placing.session = self.newest(spec.client)
        self.keep(placing)
        return placing

    def forget_if_over(self, placing: Placement) -> None:
        """Drop a placing of which nothing is left."""
        if placing.state is PlacementState.OPEN or placing.attempts:
            return
        if self.placings.pop(placing.number, None) is not None and placing.group is not None:
            self.groups.member_gone(placing)
        if self.by_name.get(placing.name) is placing:
            del self.by_name[placing.name]
        session = self.sessions.get(placing.session)
        if session is not None and session.asks.get(placing.request) is placing:
            del session.asks[placing.request]

    # Leaving

    def answer_all(self) -> None:
        """What is still owed is answered now: refused where a retry is proven harmless, else failed."""
        owed: Iterable[Placement] = [
            p for p in self.all() if p.state is PlacementState.OPEN and p.group is None
        ]
        for placing in owed:
            out = any(not a.waiting for a in placing.attempts.values())
            harmless = placing.effect is REPEATABLE or (placing.proven and not out)
            self.context.notify_module(api.TaskCancelled(placing.number))
            if harmless:
                self.refuse(api.Shed(placing.number, admission.LEAVING_RETRY_US))
            else:
                self.fail(api.Fail(placing.number))
