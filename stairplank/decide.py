"""All decisions of one planner. The types it is fed and returns are in interface.py.

Read from the top: the threshold rule, what is known of a node, then Planner. Ordinary path of a task:
_asked -> _try_place -> _choose (own or compared part, by keeps_home) -> _draw -> _bind.
docs/design.md says what comes from the paper, what departs from it and when each departure acts.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from . import interface as api

PART_LEAST = 4  # nodes a part should have: fewer leave nothing to draw from
COMFORT = 0.8  # of the level at which tasks are served worse: below it fuller nodes serve as well
FADE_BORNE = 0.25  # share of its service that a task may lose to busy cores at level 1
FETCH_SLACK = 0.2  # of that level: so much fuller may a node or part be if that saves fetching the program
MEMORY_USE = 0.65  # share of the asked memory taken to be in use until tasks tell: most use far less
DRAWN = 3  # nodes drawn in a part, the roomiest is taken: two leave too much to chance in small parts
SAMPLED = 16  # nodes looked at when neither part has room: enough to find what is left
MEMORY_SHORT, MEMORY_REST_US = 0.9, 1_200_000  # share of memory in use that rests a node: it soon evicts
START_WEIGHT = 0.006  # share of a node that one start waiting there counts as, so that starts spread in time
NEW_PROGRAM = 8.0  # starts that one start from nothing is worth: the program must be fetched first
KEPT_PROGRAMS = 4  # programs a node is taken to keep after their last task: the least one may hope for
LIST_LAG_US = 1_500_000  # how late the list is taken to be until own binds have been seen in it
REPORT_LAG_US = 700_000  # age of a report on arrival: half a refresh and the way
USE_SHARE_LEAST = 0.2  # below this asked share, use over asked is mostly noise
USE_WEIGHT = 0.5  # of one report in a node's running mean of use: tasks change within seconds
USE_MEAN = 0.02  # of one report in the running mean over all nodes
PROBE_GAP_US = 300_000  # a node's report is not refreshed faster than this, so neither is it asked for
PROBE_PRICE_MOST = 0.01  # points for one probe a task up to which a probe rides with every task
LAG_WEIGHT = 0.1  # of one sighting in the running mean of the list's lag: a dozen sightings settle it
LAG_MOST_US = 15_000_000  # an own change older than this is in any list that still moves
HOLD_POLL_US = 40_000  # a task that fits nowhere is tried again so often: far under any aim, cheap in CPU
POLL_MISSES = 6  # held tasks that find no room before a poll ends: in a jam the rest would not fit either
GIVE_UP_TICKS = 3  # ticks before the deadline at which a held task is answered: two to act, one to spare
REFUSE_AFTER_US = 200_000  # advice to a refused owner; owners wait a second or more anyhow
TIMEOUT_STARTS = 5.0  # an attempt that may be repeated is given up after so many usual times to an answer ...
TIMEOUT_LEAST_US = 1_500_000  # ... but not before a start from nothing can have ended,
ACCEPT_LEAST_US = 400_000  # or, where acceptance is the answer, a queue of looks
START_US, ACCEPT_US = 1_000_000, 100_000  # usual time to a start and an acceptance until some have come
START_MEAN = 0.05  # weight of one answer in its running mean
SUSPEND_US = 700_000  # first rest of a node that failed; doubles with each further failure
SILENT_REST_US = 2_000_000  # the same of one that was silent: it is probed then and at the end of each rest
SUSPEND_QUICK_US = 1_000_000  # longest rest after a quick error: a retry costs little, idle nodes cost much
HEALED = 0.34  # of a failure that one good start makes up for: a node that fails every third start stays out
SUSPEND_MOST_US = 8_000_000  # long enough for a reboot, short enough to find a healed node again
FULL_REST_US = 150_000  # rest after "too many offers wait": about one queue of looks
SHUT_US, SHUT_MOST_US = 8_000_000, 32_000_000  # rest of one class at a node that turns it away; doubles
AGAIN_US = 250_000  # wait before the third attempt after refusals, doubling: in a race for room haste loses
NO_ROOM_US = 1_500_000  # so long a refusal for room stands against as large a task, if no later word comes
LATE_RESERVE = 0.3  # share of a node's room kept from tasks whose start can no longer be in time
COLD_SHARE_USED = 0.8  # of the surely borne offers of a cold node: jitter may push some into the next window
COLD_RAMP = 4.0  # and by the end of its warming so many times as many more: it gains pace on the way
COLD_DOUBT = 2.0  # times the list's lag: a node heard again after a silence may have restarted so long unseen
COLD_OUT_MOST = 2  # unanswered binds on a cold node: its pace is a fraction of the usual
WATCH_RETRY_US, WATCH_RETRY_MOST_US = 600_000, 3_000_000  # before the list is asked for again after a failure
HASH_1, HASH_2, MASK = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB, 0xFFFFFFFFFFFFFFFF  # of splitmix64
ANSWERS = frozenset({api.Result.FINISHED, api.Result.ERROR, api.Result.REJECTED})  # outcomes that a node gave
NEAR = 1e-4  # two amounts of cores or memory closer than this are the same


def keeps_home(exact: int, at_upper: bool, other_upper: int) -> bool:
    """Theorem 2, Case 2: whether a task stays in the own part.

    ``exact`` is the own load in steps; ``at_upper`` says that nothing was seen leaving since the shared
    count; ``other_upper`` is the larger load the other part is believed to have.
    """
    return other_upper >= exact + 1 if at_upper else other_upper >= exact


def mixed(x: int) -> int:
    """A well spread 64-bit number, the same at every planner."""
    x = (x + 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ (x >> 30)) * HASH_1) & MASK
    x = ((x ^ (x >> 27)) * HASH_2) & MASK
    return x ^ (x >> 31)


def parts_for(nodes: int, planners: int) -> int:
    """One part for each planner leaves most empty; a count in fine steps moves services as a fleet grows."""
    most = max(1, min(planners, nodes // PART_LEAST))
    return most >> (low := max(0, most.bit_length() - 2)) << low


def part_of(node: int, parts: int) -> int:
    return mixed(node) % parts


def cold_turn(slot: int, place: int, planners: int, budget: int) -> int:
    """How many of the ``budget`` offers in a time slot fall to one planner: they are dealt in turn.

    All planners together get exactly the budget, one planner all of it, and of many each now and then one.
    """
    spare = planners - 1 - place
    return ((slot + 1) * budget + spare) // planners - (slot * budget + spare) // planners


class Change(NamedTuple):
    """Own bind (amounts above 0) or release (below 0) that the list does not show yet."""

    at: int
    cores: float
    memory: float


class Attempt:
    """One offer of a task, from its send to its outcome."""

    __slots__ = ("task", "shot", "node", "group", "zone", "sent", "change", "placed", "launched", "work")

    def __init__(self, task: api.Task, shot: int, node: Node | None, node_id: int, sent: int) -> None:
        self.task, self.shot, self.node, self.sent = task, shot, node_id, sent
        self.group = node.entry.group if node else -1
        self.zone = node.entry.zone if node else -1
        self.launched = node.entry.started_us if node else 0
        self.change: Change | None = None
        self.placed = False
        self.work = 1.0  # in starts that need no fetching


class Node:
    """What this planner knows of one listed node."""

    def __init__(self, entry: api.NodeEntry, settings: api.Settings) -> None:
        self.entry = entry
        kind = settings.node_types[entry.node_type]
        self.cores, self.memory = kind.cores, kind.memory
        self.mix = mixed(entry.id)
        self.free = (entry.free_cores, entry.free_memory)  # the freshest figures, from the list or a report
        self.as_of = 0  # when they were true, as far as can be told
        self.probed_at = 0
        self.use: float | None = None  # busy share of the cores over their asked share
        self.changes: list[Change] = []
        self.sums: tuple[tuple[float, float], tuple[float, float]] | None = None  # None: to be added up anew
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.services: Counter[int] = Counter()
        self.kept: deque[int] = deque(maxlen=KEPT_PROGRAMS)
        self.cold_slot, self.cold_used = -1, 0
        self.streak = 0.0
        self.rest_until = 0
        self.blamed: dict[int, int] = {}  # tasks that ended in an error here: it rests until then
        self.silent = False  # gave no answer, and has not been heard since
        self.silent_at = self.back_at = 0  # its last silence, and its first answer after that
        self.shut: dict[tuple[int, int], tuple[int, int]] = {}  # class and tenant turned away: until, span
        self.no_room: tuple[float, float, int] | None = None  # cores and memory refused, until when
        self.leaving = False  # a task was sent away from it: it drains, whatever the list says

    def asked(self, releases: bool = True) -> tuple[float, float]:
        """Cores and memory asked for: the late list and the own later changes."""
        if self.sums is None:
            cores, memory = self.cores - self.free[0], self.memory - self.free[1]
            binds = [c for c in self.changes if c.cores > 0]
            upper = (cores + sum(c.cores for c in binds), memory + sum(c.memory for c in binds))
            exact = (cores + sum(c.cores for c in self.changes), memory + sum(c.memory for c in self.changes))
            self.sums = (upper, exact)
        return self.sums[releases]

    def learn(self, free: tuple[float, float], as_of: int) -> None:
        """Take fresher figures; own changes they must show are dropped, so that each is counted once."""
        self.free, self.as_of, self.sums = free, as_of, None
        if self.no_room and self.no_room[2] < as_of + NO_ROOM_US:
            self.no_room = None
        self.changes = [c for c in self.changes if c.at > as_of]

    def learn_use(self, busy: float) -> float | None:
        """How much of the cores that are asked for is in use there."""
        share = (self.cores - self.free[0]) / self.cores
        if share > USE_SHARE_LEAST:
            seen = busy / share
            self.use = seen if self.use is None else self.use + USE_WEIGHT * (seen - self.use)
        return self.use

    def backlog(self) -> float:
        """Own starts that wait there: slow, frozen and hung nodes show themselves by it."""
        return sum(a.work for a in self.attempts.values() if not a.placed)

    def is_warm_for(self, service: int) -> bool:
        return self.services[service] > 0 or service in self.kept

    def add(self, attempt: Attempt) -> None:
        self.attempts[attempt.task.id, attempt.shot] = attempt
        self.services[attempt.task.service] += 1

    def remove(self, attempt: Attempt, ran: bool) -> None:
        if self.attempts.pop((attempt.task.id, attempt.shot), None) is None:
            return
        service = attempt.task.service
        self.services[service] -= 1
        if self.services[service] <= 0:
            del self.services[service]
            if ran and service not in self.kept:
                self.kept.append(service)

    def restart(self, launched: int) -> None:
        """It came up anew: what ran or was bound there is gone, and so are its programs and old faults.

        Danger: the list tells late; what was bound to the new life by then would run there uncounted.
        """
        self.attempts = {k: a for k, a in self.attempts.items() if a.sent >= launched}
        self.changes = [c for c in self.changes if c.at >= launched]
        self.services = Counter(a.task.service for a in self.attempts.values())
        for known in (self.kept, self.shut, self.blamed):
            known.clear()
        self.sums = self.use = None
        self.cold_slot, self.cold_used = -1, 0
        self.streak, self.rest_until, self.silent, self.leaving = 0.0, 0, False, False
        self.silent_at = self.back_at = 0

    def failed(self, now: int, first: int, most: int) -> None:
        """Rest it, longer each time. Danger: a node that fails fast looks roomy and draws tasks."""
        if now >= self.rest_until or self.streak == 0:
            self.streak += 1
        rest = int(first * 2 ** min(self.streak - 1, 8))
        self.rest_until = max(self.rest_until, now + min(rest, most))

    def erred(self, task_id: int, now: int) -> None:
        """Rest it, unless the error turns out to be the task's own."""
        self.blamed = {t: until for t, until in self.blamed.items() if until > now}
        if not self.blamed or self.streak == 0:
            self.streak += 1
        rest = int(SUSPEND_US * 2 ** min(self.streak - 1, 8))
        self.blamed[task_id] = now + min(rest, SUSPEND_QUICK_US)

    def cleared(self, task_id: int) -> None:
        if self.blamed.pop(task_id, None) is not None and not self.blamed:
            self.streak = max(0.0, self.streak - 1)

    def rests(self, now: int) -> bool:
        return now < self.rest_until or bool(self.blamed) and any(now < t for t in self.blamed.values())

    def turned_away(self, task: api.Task, now: int) -> None:
        """Danger: a node may turn away one class or tenant alone, slowly; the others' use of it stands."""
        key = (task.class_index, task.tenant)
        until, span = self.shut.get(key, (0, SHUT_US // 2))
        span = span if now < until else min(2 * span, SHUT_MOST_US)
        self.shut[key] = (now + span, span)

    def answered(self, now: int) -> None:
        self.back_at = self.back_at or now

    def served(self) -> None:
        self.streak, self.silent = max(0.0, self.streak - HEALED), False


class Open:
    """A task that is owed an answer."""

    __slots__ = ("task", "sort", "shots", "out", "tried", "wait_until", "risk_node", "erred")

    def __init__(self, task: api.Task, sort: api.TaskClass) -> None:
        self.task, self.sort = task, sort
        self.shots = 0
        self.out: Attempt | None = None
        self.tried: set[int] = set()
        self.wait_until = 0
        self.risk_node: Attempt | None = None  # the first attempt that may have run
        self.erred: Node | None = None  # the first node at which it ended in an error

    def last_call(self, tick: int) -> int:
        """From here on the task is answered where no attempt is out."""
        return self.task.expires_us - GIVE_UP_TICKS * tick

    def may_repeat(self, now: int, tick: int) -> bool:
        """Rule 2: whether a further attempt may go anywhere once an earlier one may have run."""
        first = self.risk_node
        if first is None or self.sort.effect is api.Effect.IDEMPOTENT:
            return True
        return (
            self.sort.effect is api.Effect.IDEMPOTENT_BY_KEY
            and now + 2 * tick < first.sent + self.sort.dedup_window_us
        )

    def may_go_to(self, node: Node) -> bool:
        """Rule 2: where a further attempt may go once an earlier one may have run."""
        first, scope = self.risk_node, self.sort.dedup_scope
        if first is None or self.sort.effect is api.Effect.IDEMPOTENT or scope is api.Scope.ALL:
            return True
        if scope is api.Scope.ZONE:
            return node.entry.zone == first.zone
        return scope is api.Scope.GROUP and node.entry.group == first.group

    def may_refuse(self) -> bool:
        """Rule 2: a refusal promises that a retry does no harm."""
        if self.risk_node is None or self.sort.effect is api.Effect.IDEMPOTENT:
            return True
        return self.sort.effect is api.Effect.IDEMPOTENT_BY_KEY and self.sort.dedup_scope is api.Scope.ALL


class Planner:
    """One planner: ``handle`` takes the time and an event and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.now = 0
        self.born = -1
        self.nodes: dict[int, Node] = {}
        self.unlisted: dict[int, Node] = {}  # cold nodes that have left the list, until they would be warm
        self.ready: list[Node] = []  # those listed as ready, in the order of the list
        self.parts: list[list[Node]] | None = None  # the same, cut into parts; None: to be cut anew
        self.open: dict[int, Open] = {}
        self.held: dict[int, None] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, Callable[[], None]] = {}
        self.next_token = 0
        self.polling = False
        self.watch_fails = 0
        self.lag = float(LIST_LAG_US)
        self.memory_use = MEMORY_USE
        self.use: float | None = None  # running mean of use over asked, over all nodes
        self.start_us = float(START_US if settings.confirms_running else ACCEPT_US)  # running mean
        self.spread: Counter[tuple[int, api.Scope, int]] = Counter()
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now = now
        self.actions = []
        match event:
            case api.Started():
                self.born = now
                self._watch()
            case api.NodeList():
                self._list(event)
            case api.TaskRequested(task):
                self._asked(task)
            case api.TaskAdopted(task, node):
                self._adopted(task, node)
            case api.Placed():
                self._placed(event)
            case api.Outcome():
                self._outcome(event)
            case api.TaskCancelled(task_id):
                self._close(task_id)
            case api.TimerFired(token):
                self.timers.pop(token, lambda: None)()
            case api.HealthChecked():
                self._probed(event)
            case api.StatusUpdate():
                self._note(event)
        return self.actions

    def _timer(self, at: int, call: Callable[[], None]) -> None:
        self.next_token = (self.next_token + 1) & 0xFFFFFFFF
        self.timers[self.next_token] = call
        self.actions.append(api.SetTimer(max(at, self.now), self.next_token))

    # The node list

    def _watch(self) -> None:
        if self.s.polls_node_list:
            self.actions.append(api.WatchNodeList())

    def _list(self, event: api.NodeList) -> None:
        if event.kind is api.ListKind.FAILED:
            # Danger: without a subscription drains and restarts go unheard; keep asking, slower each time.
            self.watch_fails += 1
            wait = min(WATCH_RETRY_US << min(self.watch_fails - 1, 4), WATCH_RETRY_MOST_US)
            self._timer(self.now + wait, self._watch)
            return
        if event.kind is not api.ListKind.CACHED:
            self.watch_fails = 0
        if event.kind is not api.ListKind.CHANGES:
            listed = {entry.id for entry in event.nodes}
            for missing in [n for n in self.nodes if n not in listed]:
                self._unlist(missing)
            self.parts = None
        for entry in event.nodes:
            self._entry(entry)
        self.unlisted = {n: node for n, node in self.unlisted.items() if self._cold_since(node)}

    def _entry(self, entry: api.NodeEntry) -> None:
        if entry.status is api.NodeStatus.GONE or not 0 <= entry.node_type < len(self.s.node_types):
            self._unlist(entry.id)
            return
        node = self.nodes.get(entry.id)
        if node is None or node.entry.status is not entry.status:
            self.parts = None
        if node is None:
            node = self.nodes[entry.id] = Node(entry, self.s)
            before = self.unlisted.pop(entry.id, None)
            if before is not None:
                node.cold_slot, node.cold_used = before.cold_slot, before.cold_used
            return
        old, node.entry = node.entry, entry
        if entry.started_us > old.started_us:
            node.restart(entry.started_us)
            as_of = max(entry.started_us, self.now - int(self.lag))
            node.learn((entry.free_cores, entry.free_memory), as_of)
        elif self.s.lists_free_capacity:
            self._shown(node, old, entry)

    def _unlist(self, node_id: int) -> None:
        """Danger: a cold node that leaves the list and comes back would get a slot's turn anew each time."""
        node = self.nodes.pop(node_id, None)
        if node is not None:
            self.parts = None
            self.unlisted[node_id] = node

    def _cold_since(self, node: Node) -> int:
        """When a node that is cold, or may be, came up; 0 for a warm one."""
        launched = node.entry.started_us
        if launched and self.now < launched + self.s.slow_start_us:
            return launched
        # Danger: a node that was silent may have restarted, and until the list shows it all planners would
        # send it what a warm one bears. Does harm where it was only cut off: it is served slowly meanwhile.
        doubt = COLD_DOUBT * self.lag if node.back_at else LAG_MOST_US
        until = (node.back_at or node.silent_at) + min(doubt, self.s.slow_start_us)
        return node.silent_at if self.now < until else 0

    def _shown(self, node: Node, old: api.NodeEntry, new: api.NodeEntry) -> None:
        """Take the list's figures; own binds found in it date it. Danger: one counted twice or never."""
        cores, memory = old.free_cores - new.free_cores, old.free_memory - new.free_memory
        if abs(cores) < NEAR and abs(memory) < NEAR:
            return
        as_of = self.now - int(self.lag)
        for change in node.changes:  # mostly none: a planner has few own binds under way at a node
            cores -= change.cores
            memory -= change.memory
            if abs(cores) < NEAR and abs(memory) < NEAR:
                as_of = change.at
                self.lag += LAG_WEIGHT * (min(self.now - change.at, LAG_MOST_US) - self.lag)
                break
        if as_of >= node.as_of:
            node.learn((new.free_cores, new.free_memory), as_of)

    def _report(self, node_id: int, report: tuple[float, ...]) -> None:
        """A node's own word is a later view than the list's, above all when the list is stale or silent."""
        node = self.nodes.get(node_id)
        values = dict(zip(self.s.report_fields, report, strict=False))
        if node is None or "free_cores" not in values or "free_memory" not in values:
            return
        as_of = self.now - REPORT_LAG_US
        if as_of > node.as_of:
            node.learn((values["free_cores"], values["free_memory"]), as_of)
            use = node.learn_use(values["util"]) if "util" in values else None
            if use is not None:
                self.use = use if self.use is None else self.use + USE_MEAN * (use - self.use)

    def _probed(self, event: api.HealthChecked) -> None:
        """A silent node is judged by its probes. Danger: an answer that went missing is no dead node."""
        node = self.nodes.get(event.node)
        if node is None:
            return
        self._report(event.node, event.report)
        if event.ok:
            node.answered(self.now)
        if event.ok and node.silent:
            node.silent, node.rest_until = False, self.now
        elif node.silent:
            node.failed(self.now, SILENT_REST_US, SUSPEND_MOST_US)
            self._timer(node.rest_until, lambda: self._look(event.node))

    def _look(self, node_id: int) -> None:
        """Probe a silent node rather than try a task on it."""
        node = self.nodes.get(node_id)
        if node is not None and node.silent and node.entry.status is api.NodeStatus.READY:
            self.actions.append(api.HealthCheck(node_id))

    def _was_silent(self, node: Node) -> None:
        node.failed(self.now, SILENT_REST_US, SUSPEND_MOST_US)
        node.silent_at, node.back_at = self.now, 0
        if self.s.may_check_health and not node.silent:
            node.silent = True
            self._look(node.entry.id)

    def _probe_one(self) -> None:
        """Each task asked buys one probe, of the home part's node least recently heard of."""
        if not self.s.may_check_health or self.s.price_health_check > PROBE_PRICE_MOST:
            return
        parts = self._cut()
        home = parts[self.s.position % len(parts)]
        node = min(home, key=lambda n: (max(n.as_of, n.probed_at), n.entry.id), default=None)
        if node is not None and max(node.as_of, node.probed_at) < self.now - PROBE_GAP_US:
            node.probed_at = self.now
            self.actions.append(api.HealthCheck(node.entry.id))

    # The ordinary path

    def _asked(self, task: api.Task) -> None:
        if task.id in self.open or not 0 <= task.class_index < len(self.s.classes):
            return
        job = self.open[task.id] = Open(task, self.s.classes[task.class_index])
        self._timer(job.last_call(self.s.tick_us), lambda: self._deadline(task.id))
        self._probe_one()
        self._try_place(job)

    def _try_place(self, job: Open) -> None:
        """Bind the task, hold it until something fits, or answer where no further attempt is allowed."""
        self.held.pop(job.task.id, None)
        if job.shots >= self.s.max_attempts or not job.may_repeat(self.now, self.s.tick_us):
            self._give_up(job)
            return
        node = self._choose(job) if self.now >= job.wait_until else None
        if node is not None:
            self._bind(job, node)
        else:
            self._hold(job)

    def _hold(self, job: Open) -> None:
        self.held[job.task.id] = None
        if not self.polling:
            self.polling = True
            self._timer(self.now + HOLD_POLL_US, self._poll)

    def _cut(self) -> list[list[Node]]:
        """The ready nodes by part. Cut anew when a node comes, goes or drains; beliefs stay."""
        if self.parts is None:
            self.ready = [n for n in self.nodes.values() if n.entry.status is api.NodeStatus.READY]
            count = parts_for(len(self.ready), self.s.planners)
            self.parts = [[] for _ in range(count)]
            for node in self.ready:
                self.parts[node.mix % count].append(node)
        return self.parts

    def _choose(self, job: Open) -> Node | None:
        """Own or compared part by the threshold rule, then the other of the two, then any node."""
        parts = self._cut()
        home = self.s.position % len(parts)
        known = other = mixed(job.task.service) % len(parts)
        if other == home and len(parts) > 1:
            other = (home + 1 + self.rng.randrange(len(parts) - 1)) % len(parts)
        stays = self._stays(job.sort, parts[home], parts[other], known == home)
        for part in (home, other) if stays else (other, home):
            node = self._draw(job, [n for n in parts[part] if self._fits(job, n)])
            if node is not None:
                return node
        some = self.rng.sample(self.ready, min(SAMPLED, len(self.ready)))
        return self._draw(job, [n for n in some if self._fits(job, n)])

    def _in_use(self, node: Node) -> bool:
        """It holds tasks, or has come up lately, so was wanted: successors of drained nodes must not idle."""
        return bool(node.attempts) or node.asked()[0] > NEAR or node.entry.started_us > 0

    def _stays(self, sort: api.TaskClass, home: list[Node], other: list[Node], known_at_home: bool) -> bool:
        if other is home:
            return True
        if not home or not other:  # an empty part counts as full
            return bool(home)
        step = self.s.mean_cores / sum(n.cores for n in home)
        fetch = int(FETCH_SLACK / step)
        exact, upper = self._load(sort, home, True) / step, self._load(sort, home, False) / step
        believed = self._load(sort, other, False) / step
        if known_at_home:
            believed += fetch
        else:
            exact, upper = exact + fetch, upper + fetch
        return keeps_home(round(exact), round(exact) >= round(upper), round(believed))

    def _load(self, sort: api.TaskClass, part: list[Node], releases: bool) -> float:
        """Mean level of a part's nodes, weighted by size; below comfort all count as equal."""
        size = sum(n.cores for n in part)
        return max(COMFORT, sum(self._level(sort, n, n.asked(releases)) * n.cores for n in part) / size)

    def _level_with(self, job: Open, node: Node) -> float:
        """A node's level with the task on it and the own starts that wait there."""
        cores, memory = node.asked()
        level = self._level(job.sort, node, (cores + job.task.cores, memory + job.task.memory))
        return level + START_WEIGHT * node.backlog()

    def _level(self, sort: api.TaskClass, node: Node, asked: tuple[float, float]) -> float:
        """How full a node is; from 1 on its tasks are served worse."""
        cores, memory = asked
        use = node.use if node.use is not None else self.use if self.use is not None else 1.0
        busy = (
            cores / node.cores * use / (sort.full_service_utilization + FADE_BORNE * sort.service_loss_range)
        )
        return max(busy, memory / node.memory * self.memory_use / MEMORY_SHORT)

    def _fits(self, job: Open, node: Node) -> bool:
        """Kind, drains, health, room, cold budget and spread."""
        task, sort = job.task, job.sort
        if node.entry.status is not api.NodeStatus.READY or node.leaving or node.silent:
            return False
        if node.rests(self.now) or self.now < node.shut.get((task.class_index, task.tenant), (0, 0))[0]:
            return False
        if sort.node_type is not None and node.entry.node_type != sort.node_type:
            return False
        if node.entry.id in job.tried or node.entry.id in task.excluded_nodes or not job.may_go_to(node):
            return False
        return self._has_room(job, node) and self._cold_allows(node) and self._spread_allows(task, sort, node)

    def _has_room(self, job: Open, node: Node) -> bool:
        """Danger: all planners race for each release; a refusal counts for more than belief."""
        task, refused = job.task, node.no_room
        if refused and task.cores >= refused[0] and task.memory >= refused[1] and self.now < refused[2]:
            return False
        late = (
            task.resubmitted
            or self.now > task.expires_us - job.sort.deadline_us + job.sort.latency_objective_us
        )
        spare = LATE_RESERVE if late else 0.0  # else they take the room of those that can start in time
        cores, memory = node.asked()
        if cores + task.cores > (self.s.cores_limit - spare) * node.cores + NEAR:
            return False
        return memory + task.memory <= (self.s.memory_limit - spare) * node.memory + NEAR

    def _cold_allows(self, node: Node) -> bool:
        """Rule 4. Danger: all planners find a fresh node roomiest; they take turns, slot by slot."""
        start = self._cold_since(node)
        if not start:
            return True
        since, width = max(0, self.now - start), max(1, self.s.overload_window_us)
        slot = since // width
        begins = start + slot * width
        if begins <= self.born:
            return False  # what an earlier life of this planner sent in the slot is not known
        if begins > node.cold_slot + width // 2:  # the same start is read a little differently each time
            node.cold_slot, node.cold_used = begins, 0
        budget = int(COLD_SHARE_USED * self.s.slow_start_offers / 2)  # a window may lie across two slots
        turn = cold_turn(slot, (self.s.position + node.mix) % self.s.planners, self.s.planners, budget)
        out = sum(1 for a in node.attempts.values() if not a.placed)
        return node.cold_used < turn and out < COLD_OUT_MOST * (1 + COLD_RAMP * since / self.s.slow_start_us)

    def _place(self, scope: api.Scope, node: int, group: int, zone: int) -> int:
        if scope is api.Scope.NODE:
            return node
        return group if scope is api.Scope.GROUP else zone if scope is api.Scope.ZONE else 0

    def _spread_allows(self, task: api.Task, sort: api.TaskClass, node: Node) -> bool:
        """Rule 5: pending, placed and adopted tasks of the service in the place all count."""
        if sort.spread is api.Scope.NONE:
            return True
        place = self._place(sort.spread, node.entry.id, node.entry.group, node.entry.zone)
        return self.spread[task.service, sort.spread, place] < sort.max_per_place

    def _draw(self, job: Open, fitting: list[Node]) -> Node | None:
        """The roomiest of a few nodes. Which ones is drawn by the service, the same way at every planner.

        Danger: a planner sees few tasks of a service, so it cannot know where its program has been fetched;
        drawn by chance, nearly every start would be one from nothing.
        """
        if not fitting:
            return None
        room = {n.entry.id: max(COMFORT, self._level_with(job, n)) for n in fitting}
        used = [n for n in fitting if self._in_use(n)]
        if used and self.s.price_fleet and min(room[n.entry.id] for n in used) <= 1:
            fitting = used  # each node in use beyond need is priced
        least = min(room[n.entry.id] for n in fitting)
        near = [n for n in fitting if room[n.entry.id] <= least + FETCH_SLACK]
        pool = [n for n in near if n.is_warm_for(job.task.service)] or near
        drawn = sorted(pool, key=lambda n: mixed(job.task.service ^ n.mix))[:DRAWN]
        ranked = [(room[n.entry.id] + FETCH_SLACK * i, i, n) for i, n in enumerate(drawn)]
        return min(ranked)[2]

    def _bind(self, job: Open, node: Node) -> None:
        attempt = Attempt(job.task, job.shots, node, node.entry.id, self.now)
        attempt.work = 1.0 if node.is_warm_for(job.task.service) else NEW_PROGRAM
        attempt.change = Change(self.now, job.task.cores, job.task.memory)
        node.changes.append(attempt.change)
        node.sums = None
        node.cold_used += 1  # counts only while it is cold
        job.shots += 1
        job.out = attempt
        job.tried.add(node.entry.id)
        self._count(attempt, node)
        self.actions.append(api.Bind(job.task.id, node.entry.id, self._timeout(job)))

    def _count(self, attempt: Attempt, node: Node | None) -> None:
        self.attempts[attempt.task.id, attempt.shot] = attempt
        if node is not None:
            node.add(attempt)
        self._spread_count(attempt, 1)

    def _spread_count(self, attempt: Attempt, by: int) -> None:
        sort = self.s.classes[attempt.task.class_index]
        if sort.spread is not api.Scope.NONE:
            place = self._place(sort.spread, attempt.node, attempt.group, attempt.zone)
            key = (attempt.task.service, sort.spread, place)
            self.spread[key] += by
            if self.spread[key] <= 0:
                del self.spread[key]

    def _timeout(self, job: Open) -> int:
        """A short time-out pays only where a further attempt may go anywhere; else it loses the task."""
        left, again = job.task.expires_us - self.now, job.sort.effect is api.Effect.IDEMPOTENT
        again |= job.sort.effect is api.Effect.IDEMPOTENT_BY_KEY and job.sort.dedup_scope is api.Scope.ALL
        least = TIMEOUT_LEAST_US if self.s.confirms_running else ACCEPT_LEAST_US
        wait = max(least, int(TIMEOUT_STARTS * self.start_us))
        if not again or job.shots >= self.s.max_attempts or wait * 1.3 > left:
            return 0
        return wait

    # What comes back

    def _adopted(self, task: api.Task, node_id: int) -> None:
        if (task.id, 0) in self.attempts or not 0 <= task.class_index < len(self.s.classes):
            return
        node = self.nodes.get(node_id)
        attempt = Attempt(task, 0, node, node_id, self.now)
        attempt.placed = True
        self._count(attempt, node)  # the list shows it already: no change is pending

    def _placed(self, event: api.Placed) -> None:
        attempt = self.attempts.get((event.task, event.attempt))
        if attempt is None:
            return
        attempt.placed = True
        self.start_us += START_MEAN * (event.latency_us - self.start_us)
        node = self._node_of(attempt)
        if node is not None:
            node.answered(self.now)
            if self.s.confirms_running:
                node.served()
        self._close(event.task)

    def _note(self, event: api.StatusUpdate) -> None:
        attempt = self.attempts.get((event.task, event.attempt))
        node = self._node_of(attempt) if attempt else None
        if node is not None and event.kind is api.StatusKind.NODE_MEMORY_SHARE and event.level > MEMORY_SHORT:
            node.rest_until = max(node.rest_until, self.now + MEMORY_REST_US)  # next it would evict
        if attempt is not None and event.kind is api.StatusKind.MEMORY_USED:
            self.memory_use += USE_MEAN * (event.level / max(attempt.task.memory, NEAR) - self.memory_use)
        if node is not None and event.kind is api.StatusKind.RUNNING:
            node.served()  # an acceptance alone proves nothing: the start may still fail

    def _node_of(self, attempt: Attempt) -> Node | None:
        """The node of an attempt, unless it has started anew since."""
        node = self.nodes.get(attempt.node)
        same = node is not None and node.entry.started_us <= max(attempt.launched, attempt.sent)
        return node if same else None

    def _outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.task, event.attempt), None)
        if attempt is None:
            return
        self._spread_count(attempt, -1)
        self._report(event.node, event.report)
        node = self._node_of(attempt)
        proved = event.result in api.PROVES_NOT_RUN
        if node is not None:
            node.remove(attempt, attempt.placed)
            self._release(node, attempt, proved)
            self._judge(node, attempt, event)
            if event.result in ANSWERS:
                node.answered(self.now)
        job = self.open.get(event.task)
        if job is None or event.is_final:
            self._close(event.task)
            return
        if job.out is attempt:
            job.out = None
        if not proved and job.risk_node is None:
            job.risk_node = attempt
        if event.result is api.Result.REJECTED and job.shots > 1:
            job.wait_until = self.now + (AGAIN_US << (job.shots - 2))
        if job.out is None and self.now >= job.last_call(self.s.tick_us):
            self._give_up(job)
        elif job.out is None:
            self._try_place(job)

    def _release(self, node: Node, attempt: Attempt, proved: bool) -> None:
        """Count a release once: take back an unseen bind, set off a seen one until the list shows it."""
        change = attempt.change
        node.sums = None
        if proved:
            if change in node.changes:
                node.changes.remove(change)
        elif attempt.placed:
            node.no_room = None
            node.changes.append(Change(self.now, -attempt.task.cores, -attempt.task.memory))

    def _judge(self, node: Node, attempt: Attempt, event: api.Outcome) -> None:
        """Health by symptom: errors, silence and lost tasks rest a node, whatever lies behind them."""
        reason = event.reason
        if event.result is api.Result.REJECTED:
            if reason is api.Reason.QUEUE_FULL:
                node.rest_until = max(node.rest_until, self.now + FULL_REST_US)
            elif reason in (api.Reason.NO_CORES, api.Reason.NO_MEMORY):
                node.no_room = (attempt.task.cores, attempt.task.memory, self.now + NO_ROOM_US)
            elif reason is api.Reason.UNTOLD:
                node.turned_away(attempt.task, self.now)
        elif event.result is api.Result.ERROR:
            self._erred(node, event.task)
        elif event.result in (api.Result.UNREACHABLE, api.Result.TIMEOUT):
            self._was_silent(node)
        elif event.result is api.Result.LOST:
            if reason is api.Reason.SENT_AWAY:
                node.leaving = True
            elif reason is api.Reason.UNTOLD:
                self._was_silent(node)

    def _erred(self, node: Node, task_id: int) -> None:
        """Danger: a task that no node can start would rest every node it is tried on. Its second error, at
        another node, is taken for its own fault, and clears the first node."""
        job = self.open.get(task_id)
        if job is not None and job.erred is not None and job.erred is not node:
            job.erred.cleared(task_id)
            return
        node.erred(task_id, self.now)
        if job is not None:
            job.erred = node

    # Answers and waiting

    def _poll(self) -> None:
        self.polling = False
        waiting = [self.open[t] for t in self.held if t in self.open]
        self.rng.shuffle(waiting)  # else the same few that never fit would end each poll
        self.held.clear()
        misses = 0
        for job in sorted(waiting, key=lambda j: -j.sort.priority_weight):
            if misses < POLL_MISSES and self.now >= job.wait_until:
                self._try_place(job)
                misses += job.task.id in self.held
            else:
                self._hold(job)

    def _deadline(self, task_id: int) -> None:
        """Rule 1. Danger: an attempt is still out, or its time-out comes late; an answer is owed."""
        job = self.open.get(task_id)
        if job is None:
            return
        late = job.task.expires_us + self.s.answer_slack_us // 2
        if job.out is not None and self.now < late - self.s.tick_us:
            self._timer(late, lambda: self._deadline(task_id))
        else:
            self._give_up(job)

    def _give_up(self, job: Open) -> None:
        safe = job.out is None and job.may_refuse()
        after = min(REFUSE_AFTER_US, self.s.max_retry_after_us)
        self.actions.append(api.Shed(job.task.id, after) if safe else api.Fail(job.task.id))
        self._close(job.task.id)

    def _close(self, task_id: int) -> None:
        self.open.pop(task_id, None)
        self.held.pop(task_id, None)
