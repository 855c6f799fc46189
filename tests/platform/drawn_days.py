"""Days in drawn order for the platform's core, and a checker of rules 1 to 3 on what the core says.

The checker keeps its own books from the messages alone; it knows nothing of the core's tables.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from desk import SECOND, Desk, name, row

from stairplank import interface as api
from stairplank.platform import events as ev
from stairplank.platform.messages import Cause, Kind, Message

STEP = 10_000
SORTS = ("repeat", "keyed", "once", "keyed-all")
DIALS = 0.08  # of those under way come up within a step, and a tenth as many fail
LATE = 100_000  # an answer so long after its time is late


@dataclass
class Copy:
    """A set-up that went to a machine: out until an end is written or it is given up."""

    machine: int
    link: int
    at: int
    out: bool = True
    may_have_run: bool = True
    stands: bool = False


@dataclass
class Asked:
    sort: str
    conn: int
    due: int
    copies: list[Copy] = field(default_factory=list)
    answer: str = ""
    waived: bool = False  # its owner has gone or given it up


class Checker:
    def __init__(self, classes: tuple[api.TaskClass, ...]) -> None:
        self.classes = {c.name: c for c in classes}
        self.asked: dict[str, Asked] = {}
        self.draining: set[int] = set()
        self.faults: list[str] = []

    def sends(self, id: str, machine: int, link: int, now: int) -> None:
        task = self.asked[id]
        sort = self.classes[task.sort]
        if machine in self.draining:
            self.faults.append(f"drain: {id} to {machine}")
        if any(c.out for c in task.copies) or any(c.stands for c in task.copies):
            self.faults.append(f"copy: {id} beside one that is out")
        risky = [c for c in task.copies if c.may_have_run]
        if risky and sort.effect is api.Effect.AT_MOST_ONCE:
            self.faults.append(f"again: {id} may have run")
        if risky and sort.effect is api.Effect.IDEMPOTENT_BY_KEY:
            first = risky[0]
            if now > first.at + sort.dedup_window_us:
                self.faults.append(f"window: {id}")
            if sort.dedup_scope is api.Scope.NODE and machine != first.machine:
                self.faults.append(f"machine: {id}")
            if sort.dedup_scope is api.Scope.GROUP and machine // 3 != first.machine // 3:
                self.faults.append(f"group: {id}")
        if task.waived or task.answer:
            self.faults.append(f"unasked: {id}")
        task.copies.append(Copy(machine, link, now))

    def ends(self, id: str, link: int, proof: bool = False) -> None:
        """The machine's word, its connection's end, or the planner's giving up."""
        for copy in self.asked[id].copies if id in self.asked else ():
            if copy.link == link and copy.out:
                copy.out = False
                copy.may_have_run = not proof

    def breaks(self, link: int, unsent: frozenset[str] = frozenset()) -> None:
        for id in self.asked:
            self.ends(id, link, id in unsent)

    def says(self, id: str, message: Message, now: int) -> None:
        task = self.asked.get(id)
        if task is None or message.kind not in (Kind.ANSWER, Kind.RELEASE):
            return
        if message.kind is Kind.RELEASE and task.answer in ("stands", "over"):
            task.answer = "over"  # and again, where the connection broke on which it was said
            return
        if task.answer:
            self.faults.append(f"second answer: {id}")
        if now > task.due + LATE:
            self.faults.append(f"late: {id}")
        task.answer = "stands" if message.kind is Kind.ANSWER else "refused"
        effect, scope = self.classes[task.sort].effect, self.classes[task.sort].dedup_scope
        harmless = effect is api.Effect.IDEMPOTENT or (
            effect is api.Effect.IDEMPOTENT_BY_KEY and scope is api.Scope.ALL
        )
        if message.cause == Cause.BUSY and not harmless and any(c.may_have_run for c in task.copies):
            self.faults.append(f"refused: {id} may have run")

    def finish(self, now: int) -> None:
        for id, task in self.asked.items():
            if not task.answer and not task.waived and now > task.due + LATE:
                self.faults.append(f"lost: {id}")


def another(rng: random.Random) -> dict[str, Any]:
    """Another customer's settings: other classes, tenants, limits, times and places."""
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


class DrawnDay(Desk):
    """One day: what happens next, and where, is drawn from the seed."""

    def __init__(self, seed: int, machines: int = 9, strange: bool = False) -> None:
        self.rng = random.Random(seed)
        self.checker: Checker | None = None
        self.sorts: tuple[str, ...] = SORTS
        changes = another(self.rng) if strange else {}
        super().__init__(machines=machines, sockets=240, **changes)
        if strange:
            self.sorts = tuple(c.name for c in self.settings.classes)
        self.checker = Checker(self.settings.classes)
        self.machines = dict.fromkeys(range(1, machines + 1), "SERVING")
        self.todo: list[tuple[int, int, str]] = []  # when a machine speaks of a set-up: at, link, id
        self.number = 0
        self.next_machine = machines + 1
        self.conns = [self.owner() for _ in range(3)]

    def _take(self, actions: list[ev.Action]) -> None:
        super()._take(actions)
        check = self.checker
        if check is None:
            return
        for action in actions:
            match action:
                case ev.SendToMachine(link, Message(kind=Kind.PLACE) as message):
                    check.sends(message.id, self.machine_of(link), link, self.now)
                    self.todo.append((self.now + self.rng.randrange(1_500_000), link, message.id))
                case ev.SendToMachine(link, Message(kind=Kind.RELEASE) as message):
                    check.ends(message.id, link)
                case ev.CloseLink(link):
                    check.breaks(link)
                case ev.SendToClient(_, message):
                    check.says(message.id, message, self.now)

    # What may happen

    def asks(self) -> None:
        assert self.checker is not None
        self.number += 1
        sort, conn = self.rng.choice(self.sorts), self.rng.choice(self.conns)
        longest = max(c.deadline_us // 1000 for c in self.settings.classes if c.name == sort)
        waits = (900, 3000, 6000) if self.sorts is SORTS else (900, 3000, 6000, longest)
        left = min(longest, self.rng.choice(waits))
        self.checker.asked[name(self.number)] = Asked(sort, conn, self.now + left * 1000)
        self.ask(conn, self.number, sort, left=str(left), extras=self.extras_of(name(self.number)))

    def owner_leaves(self) -> None:
        """And sends again, under the same ids, what it had open."""
        assert self.checker is not None
        conn = self.rng.choice(self.conns)
        self.conns.remove(conn)
        mine = {i: t for i, t in self.checker.asked.items() if t.conn == conn}
        mine = {i: t for i, t in mine.items() if not t.answer and not t.waived}
        first = self.rng.random() < 0.5
        if first:
            self.feed(ev.ClientDisconnected(conn))
        self.conns.append(self.owner())
        for id, task in mine.items():
            task.conn = self.conns[-1]
            left = max(1, (task.due - self.now) // 1000)
            self.ask(self.conns[-1], int(id, 16), task.sort, left=str(left), extras=self.extras_of(id))
        if not first:
            self.feed(ev.ClientDisconnected(conn))

    def extras_of(self, id: str) -> str:
        return f"cores:1;memory:2;service:{int(id, 16) % 9:016x}"

    def gives_up(self) -> None:
        assert self.checker is not None
        for id, task in self.checker.asked.items():
            if not task.answer and not task.waived:
                task.waived = True
                self.feed(ev.ClientMessage(task.conn, Message(Kind.RELEASE, id, cause=int(Cause.ENDED))))
                return

    def drains(self) -> None:
        serving = [n for n, state in self.machines.items() if state == "SERVING"]
        if len(serving) > 4:
            machine = self.rng.choice(serving)
            state = self.rng.choice(("DRAINING", "DELETED"))
            self.machines[machine] = state
            self.list_update(row(machine, state))
            assert self.checker is not None
            self.checker.draining.add(machine)

    def comes(self) -> None:
        machine, self.next_machine = self.next_machine, self.next_machine + 1
        self.machines[machine] = "SERVING"
        self.list_update(row(machine))

    def restarts(self) -> None:
        serving = [n for n, state in self.machines.items() if state == "SERVING"]
        self.list_update(row(self.rng.choice(serving), born_ms=1_000_000 + self.now // 1000))

    def breaks(self) -> None:
        if not self.up:
            return
        assert self.checker is not None
        link = self.rng.choice(list(self.up))
        out = [i for i, t in self.checker.asked.items() if any(c.link == link and c.out for c in t.copies)]
        unsent = frozenset(out[-1:]) if self.rng.random() < 0.3 else frozenset()
        self.up.pop(link)
        self.checker.breaks(link, unsent)
        self.feed(ev.LinkLost(link, unsent))

    def speaks(self) -> None:
        """Machines answer, refuse, fail or say nothing to what is due."""
        assert self.checker is not None
        due = [t for t in self.todo if t[0] <= self.now]
        self.todo = [t for t in self.todo if t[0] > self.now]
        for _, link, id in due:
            if link not in self.up:
                continue
            word = self.rng.choice(("answer", "answer", "full", "moot", "error", "reset", "ended", "nothing"))
            copy = next(c for c in self.checker.asked[id].copies if c.link == link)
            if word == "answer":
                if copy.out:
                    copy.out, copy.stands = False, True
                self.machine(link, Message(Kind.ANSWER, id, body="stands"))
                self.todo.append((self.now + self.rng.randrange(3 * SECOND), link, id))
            elif word != "nothing":
                cause = {"full": 34, "moot": 102, "error": 47, "reset": 41, "ended": 16}[word]
                proof = word in ("full", "moot") and not copy.stands
                if copy.stands:
                    copy.stands = False
                else:
                    self.checker.ends(id, link, proof)
                self.machine(link, Message(Kind.RELEASE, id, cause=cause))

    def play(self, steps: int = 1500) -> list[str]:
        """The faults of the day."""
        assert self.checker is not None
        rare = (self.owner_leaves, self.gives_up, self.drains, self.comes, self.restarts, self.breaks)
        for _ in range(steps):
            self.feed(after=STEP)
            for link in list(self.dials):
                drawn = self.rng.random()
                if drawn < DIALS:
                    self.up[link] = self.dials.pop(link)
                    self.feed(ev.LinkUp(link))
                elif drawn < 1.1 * DIALS:
                    del self.dials[link]
                    self.feed(ev.LinkFailed(link, self.rng.random() < 0.5))
            self.speaks()
            if self.rng.random() < 0.25:
                self.asks()
            if self.rng.random() < 0.06:
                self.rng.choice(rare)()
        end = max(t.due for t in self.checker.asked.values()) + SECOND
        while self.now < end:
            self.feed(after=50_000)
            self.connect()
            self.speaks()
        self.checker.finish(self.now)
        return self.checker.faults
