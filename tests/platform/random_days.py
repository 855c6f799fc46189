"""Random sequences of events for the platform's core, and a checker of rules 1 to 3 on the core's messages.

The checker keeps its own records from the messages alone and does not use the core's tables.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from core_harness import SECOND, CoreHarness, machine_row, task_id

from stairplank import interface as api
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

STEP_US = 10_000
TASK_CLASSES = ("repeat", "keyed", "once", "keyed-all")
DIAL_SUCCESS_PROBABILITY = 0.08  # of each open dial in each step; a failure is a tenth as likely
MAX_LATENESS_US = 100_000  # an answer later than this after its deadline is a fault


@dataclass
class SentRequest:
    """A placement request sent to a machine; in flight until a reply or until the planner gives it up."""

    machine: int
    link: int
    at: int
    in_flight: bool = True
    may_have_run: bool = True
    is_running: bool = False


@dataclass
class ClientRequest:
    task_class: str
    conn: int
    deadline: int
    attempts: list[SentRequest] = field(default_factory=list)
    answer: str = ""
    is_cancelled: bool = False  # its client has cancelled it and expects no answer


class Checker:
    """Records what clients requested and the core sent; lists each breach of a rule in ``faults``."""

    def __init__(self, classes: tuple[api.TaskClass, ...]) -> None:
        self.classes = {c.name: c for c in classes}
        self.requests: dict[str, ClientRequest] = {}
        self.draining: set[int] = set()
        self.faults: list[str] = []

    def sent_to_machine(self, id: str, machine: int, link: int, now: int) -> None:
        request = self.requests[id]
        task_class = self.classes[request.task_class]
        if machine in self.draining:
            self.faults.append(f"drain: {id} to {machine}")
        if any(a.in_flight for a in request.attempts) or any(a.is_running for a in request.attempts):
            self.faults.append(f"copy: {id} while another attempt is in flight or runs")
        unproven = [a for a in request.attempts if a.may_have_run]
        if unproven and task_class.effect is api.Effect.AT_MOST_ONCE:
            self.faults.append(f"again: {id} may have run")
        if unproven and task_class.effect is api.Effect.IDEMPOTENT_BY_KEY:
            first = unproven[0]
            if now > first.at + task_class.dedup_window_us:
                self.faults.append(f"window: {id}")
            if task_class.dedup_scope is api.Scope.NODE and machine != first.machine:
                self.faults.append(f"machine: {id}")
            if task_class.dedup_scope is api.Scope.GROUP and machine // 3 != first.machine // 3:
                self.faults.append(f"group: {id}")
        if request.is_cancelled or request.answer:
            self.faults.append(f"unrequested: {id}")
        request.attempts.append(SentRequest(machine, link, now))

    def attempt_ended(self, id: str, link: int, is_proven_not_run: bool = False) -> None:
        """Record that the machine replied, its connection ended or the planner gave the attempt up."""
        for attempt in self.requests[id].attempts if id in self.requests else ():
            if attempt.link == link and attempt.in_flight:
                attempt.in_flight = False
                attempt.may_have_run = not is_proven_not_run

    def link_closed(self, link: int, unsent: frozenset[str] = frozenset()) -> None:
        for id in self.requests:
            self.attempt_ended(id, link, id in unsent)

    def sent_to_client(self, id: str, message: Message, now: int) -> None:
        request = self.requests.get(id)
        if request is None or message.kind not in (Kind.ANSWER, Kind.RELEASE):
            return
        if message.kind is Kind.RELEASE and request.answer in ("running", "ended"):
            request.answer = "ended"  # the release is sent again if its connection broke
            return
        if request.answer:
            self.faults.append(f"second answer: {id}")
        if now > request.deadline + MAX_LATENESS_US:
            self.faults.append(f"late: {id}")
        request.answer = "running" if message.kind is Kind.ANSWER else "rejected"
        effect, scope = (
            self.classes[request.task_class].effect,
            self.classes[request.task_class].dedup_scope,
        )
        is_retry_harmless = effect is api.Effect.IDEMPOTENT or (
            effect is api.Effect.IDEMPOTENT_BY_KEY and scope is api.Scope.ALL
        )
        if (
            message.cause == Cause.BUSY
            and not is_retry_harmless
            and any(a.may_have_run for a in request.attempts)
        ):
            self.faults.append(f"rejected: {id} may have run")

    def finish(self, now: int) -> None:
        for id, request in self.requests.items():
            if not request.answer and not request.is_cancelled and now > request.deadline + MAX_LATENESS_US:
                self.faults.append(f"lost: {id}")


def random_settings(rng: random.Random) -> dict[str, Any]:
    """Return random settings: classes, tenants, limits, times and spread limits."""
    effects, scopes = list(api.Effect), [s for s in api.Scope if s is not api.Scope.NONE]
    classes = []
    for number in range(rng.randint(1, 4)):
        effect = rng.choice(effects)
        deadline = rng.choice((100_000, 900_000, 3 * SECOND, 20 * SECOND, 60 * SECOND))
        classes.append(
            api.TaskClass(
                f"{'keyed ' if effect is api.Effect.IDEMPOTENT_BY_KEY else ''}Klasse {number}, ä",
                effect,
                rng.choice(scopes),
                rng.choice((300_000, 2 * SECOND, 60 * SECOND)),
                deadline // rng.choice((1, 2, 8)),
                deadline,
                priority_weight=rng.choice((0.1, 1.0, 9.0)),
                spread=rng.choice(list(api.Scope)),
                max_per_place=rng.choice((0, 1, 4)),
                priority=rng.randrange(3),
            )
        )
    tenants = tuple(f"Mandant {n}" for n in range(rng.choice((0, 0, 1, 2, 9))))
    return {
        "classes": tuple(classes),
        "tenants": tenants,
        "tenant_share": tuple(1 / len(tenants) for _ in tenants),
        "tenant_quota_cores": tuple(rng.choice((0.5, 40.0)) for _ in tenants),
        "node_types": (api.NodeType("std", rng.choice((2.0, 64.0)), rng.choice((4.0, 500.0))),),
        "max_attempts": rng.choice((1, 2, 3, 9)),
        "drain_grace_us": rng.choice((0, 250_000, 2 * SECOND)),
        "slow_start_us": rng.choice((0, 10 * SECOND, 60 * SECOND)),
        "slow_start_offers": rng.choice((0.0, 3.0, 130.0)),
        "confirms_running": rng.random() < 0.5,
        "preempts": rng.random() < 0.5,
        "lists_free_capacity": rng.random() < 0.7,
        "probes": rng.random() < 0.5,
        "max_retry_after_us": rng.choice((0, 3 * SECOND)),
        "tick_us": rng.choice((1, 1000, 10_000)),
        "dial_timeout_us": rng.choice((20_000, 250_000, 2 * SECOND)),
        "idle_us": rng.choice((0, SECOND, 30 * SECOND)),
        "price_migration": rng.choice((0.0, 0.05)),
        "price_waste": rng.choice((0.0, 0.3)),
    }


class RandomDay(CoreHarness):
    """A random sequence of events for a core; with ``uses_random_settings``, its settings are random too."""

    def __init__(self, seed: int, machines: int = 9, uses_random_settings: bool = False) -> None:
        self.rng = random.Random(seed)
        self.checker: Checker | None = None
        self.task_classes: tuple[str, ...] = TASK_CLASSES
        changes = random_settings(self.rng) if uses_random_settings else {}
        super().__init__(machines=machines, sockets=240, **changes)
        if uses_random_settings:
            self.task_classes = tuple(c.name for c in self.settings.classes)
        self.checker = Checker(self.settings.classes)
        self.machines = dict.fromkeys(range(1, machines + 1), "SERVING")
        # Messages that machines will send: time, link, task id.
        self.pending_replies: list[tuple[int, int, str]] = []
        self.number = 0
        self.next_machine = machines + 1
        self.conns = [self.add_client() for _ in range(3)]

    def _record_actions(self, actions: list[ev.Action]) -> None:
        super()._record_actions(actions)
        checker = self.checker
        if checker is None:
            return
        for action in actions:
            match action:
                case ev.SendToMachine(link, Message(kind=Kind.PLACE) as message):
                    checker.sent_to_machine(message.id, self.machine_of(link), link, self.now)
                    self.pending_replies.append((self.now + self.rng.randrange(1_500_000), link, message.id))
                case ev.SendToMachine(link, Message(kind=Kind.RELEASE) as message):
                    checker.attempt_ended(message.id, link)
                case ev.CloseLink(link):
                    checker.link_closed(link)
                case ev.SendToClient(_, message):
                    checker.sent_to_client(message.id, message, self.now)

    # The events that may happen

    def client_requests_placement(self) -> None:
        assert self.checker is not None
        self.number += 1
        task_class, conn = self.rng.choice(self.task_classes), self.rng.choice(self.conns)
        longest = max(c.deadline_us // 1000 for c in self.settings.classes if c.name == task_class)
        waits = (900, 3000, 6000) if self.task_classes is TASK_CLASSES else (900, 3000, 6000, longest)
        wait_ms = min(longest, self.rng.choice(waits))
        self.checker.requests[task_id(self.number)] = ClientRequest(
            task_class, conn, self.now + wait_ms * 1000
        )
        self.request_placement(
            conn, self.number, task_class, left=str(wait_ms), extras=self.extras_of(task_id(self.number))
        )

    def client_reconnects(self) -> None:
        """A client disconnects and sends its open requests again on a new connection, with the same ids."""
        assert self.checker is not None
        conn = self.rng.choice(self.conns)
        self.conns.remove(conn)
        open_requests = {i: r for i, r in self.checker.requests.items() if r.conn == conn}
        open_requests = {i: r for i, r in open_requests.items() if not r.answer and not r.is_cancelled}
        disconnects_first = self.rng.random() < 0.5
        if disconnects_first:
            self.feed(ev.ClientDisconnected(conn))
        self.conns.append(self.add_client())
        for id, request in open_requests.items():
            request.conn = self.conns[-1]
            wait_ms = max(1, (request.deadline - self.now) // 1000)
            self.request_placement(
                self.conns[-1],
                int(id, 16),
                request.task_class,
                left=str(wait_ms),
                extras=self.extras_of(id),
            )
        if not disconnects_first:
            self.feed(ev.ClientDisconnected(conn))

    def extras_of(self, id: str) -> str:
        return f"cores:1;memory:2;service:{int(id, 16) % 9:016x}"

    def client_cancels(self) -> None:
        assert self.checker is not None
        for id, request in self.checker.requests.items():
            if not request.answer and not request.is_cancelled:
                request.is_cancelled = True
                self.feed(ev.ClientMessage(request.conn, Message(Kind.RELEASE, id, cause=int(Cause.ENDED))))
                return

    def machine_drains(self) -> None:
        serving = [n for n, state in self.machines.items() if state == "SERVING"]
        if len(serving) > 4:
            machine = self.rng.choice(serving)
            state = self.rng.choice(("DRAINING", "DELETED"))
            self.machines[machine] = state
            self.list_update(machine_row(machine, state))
            assert self.checker is not None
            self.checker.draining.add(machine)

    def machine_joins(self) -> None:
        machine, self.next_machine = self.next_machine, self.next_machine + 1
        self.machines[machine] = "SERVING"
        self.list_update(machine_row(machine))

    def machine_restarts(self) -> None:
        serving = [n for n, state in self.machines.items() if state == "SERVING"]
        self.list_update(machine_row(self.rng.choice(serving), born_ms=1_000_000 + self.now // 1000))

    def link_breaks(self) -> None:
        if not self.links_up:
            return
        assert self.checker is not None
        link = self.rng.choice(list(self.links_up))
        in_flight = [
            id
            for id, request in self.checker.requests.items()
            if any(a.link == link and a.in_flight for a in request.attempts)
        ]
        unsent = frozenset(in_flight[-1:]) if self.rng.random() < 0.3 else frozenset()
        self.links_up.pop(link)
        self.checker.link_closed(link, unsent)
        self.feed(ev.LinkLost(link, unsent))

    def machines_reply(self) -> None:
        """Machines answer, reject or fail the requests whose reply is due, or do not reply."""
        assert self.checker is not None
        due = [r for r in self.pending_replies if r[0] <= self.now]
        self.pending_replies = [r for r in self.pending_replies if r[0] > self.now]
        for _, link, id in due:
            if link not in self.links_up:
                continue
            reply = self.rng.choice(
                ("answer", "answer", "full", "moot", "error", "reset", "ended", "nothing")
            )
            attempt = next(a for a in self.checker.requests[id].attempts if a.link == link)
            if reply == "answer":
                if attempt.in_flight:
                    attempt.in_flight, attempt.is_running = False, True
                self.receive_from_machine(link, Message(Kind.ANSWER, id, body="stands"))
                self.pending_replies.append((self.now + self.rng.randrange(3 * SECOND), link, id))
            elif reply != "nothing":
                cause = {"full": 34, "moot": 102, "error": 47, "reset": 41, "ended": 16}[reply]
                is_proven_not_run = reply in ("full", "moot") and not attempt.is_running
                if attempt.is_running:
                    attempt.is_running = False
                else:
                    self.checker.attempt_ended(id, link, is_proven_not_run)
                self.receive_from_machine(link, Message(Kind.RELEASE, id, cause=cause))

    def play(self, steps: int = 1500) -> list[str]:
        """Run the sequence; return the faults that the checker found."""
        assert self.checker is not None
        rare_events = (
            self.client_reconnects,
            self.client_cancels,
            self.machine_drains,
            self.machine_joins,
            self.machine_restarts,
            self.link_breaks,
        )
        for _ in range(steps):
            self.feed(after=STEP_US)
            for link in list(self.dials):
                chance = self.rng.random()
                if chance < DIAL_SUCCESS_PROBABILITY:
                    self.links_up[link] = self.dials.pop(link)
                    self.feed(ev.LinkUp(link))
                elif chance < 1.1 * DIAL_SUCCESS_PROBABILITY:
                    del self.dials[link]
                    self.feed(ev.LinkFailed(link, self.rng.random() < 0.5))
            self.machines_reply()
            if self.rng.random() < 0.25:
                self.client_requests_placement()
            if self.rng.random() < 0.06:
                self.rng.choice(rare_events)()
        end = max(r.deadline for r in self.checker.requests.values()) + SECOND
        while self.now < end:
            self.feed(after=50_000)
            self.bring_links_up()
            self.machines_reply()
        self.checker.finish(self.now)
        return self.checker.faults
