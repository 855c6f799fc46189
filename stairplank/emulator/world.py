"""A room in simulated time. Every decision is the cores' own; here are only delays and a queue of events."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import interface as api
from ..groups.config import GroupConfig
from ..planner import events as ev
from ..planner.admission import Bounds
from ..planner.core import Core, CoreConfig
from ..settings.cluster import Cluster
from ..standin.client import Client, ClientAction, ClientModel, SubmitGroup, SubmitTask
from ..standin.dedup_memory import DedupMemories
from ..standin.node import Node
from ..standin.node_events import Crashed, DrainingReported, HealthChecked, NodeEvent, Reported
from ..standin.node_list_state import NodeListModel, NodeListState
from ..standin.node_model import NodeModel
from ..standin.planner_session import PlannerSession
from .meter import Meter
from .wires import DIAL_US, KEEPALIVE_US, Wire, Wires

CLOCK_UNIX_US = 1_700_000_000_000_000  # of the simulated list's clock, when simulated time is 0
DIRECTORY_STEP_US = 100_000
# What a message does; when it was said at the earliest.
Reached = Callable[[Node, int | None], list[NodeEvent]]


@dataclass(frozen=True)
class WorldConfig:
    """Times in microseconds; delays are one way."""

    cluster: Cluster
    nodes: tuple[NodeModel, ...]
    owners: tuple[ClientModel, ...]
    planners: int
    seed: int = 1
    directory: NodeListModel = NodeListModel()
    link_us: tuple[int, int] = (150, 400)
    groups: GroupConfig = GroupConfig()
    singles: bool = False  # baseline: members of groups are asked for on their own
    fenced: bool = True  # baseline: nodes take messages for as old as their arrival
    proofs: bool = True  # baseline: planners do not ask nodes about offers that are void by now


class SingleOwner(Client):
    """Asks for each member of a group by itself."""

    def __init__(self, model: ClientModel, seed: int, start: int) -> None:
        super().__init__(model, seed, start)
        self.batches: list[list[int]] = []

    def _create_group(
        self, index: int, service: int, size: tuple[float, float], count: int, now: int
    ) -> None:
        demand = self.model.demands[index]
        tasks = [
            self._create_task(index, service, size, self.rng.randint(*demand.duration_us), now)
            for _ in range(count)
        ]
        self.batches.append([t.key for t in tasks])
        for task in tasks:
            self._submit(task, now)


class World:
    """Planners, nodes, list and owners; ``run`` plays them up to a time."""

    def __init__(self, config: WorldConfig) -> None:
        self.config = config
        self.rng = random.Random(config.seed)
        self.now = 1_000_000
        self.meter = Meter()
        self.events = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self._wakes: dict[object, int] = {}
        self.wires = Wires(random.Random(config.seed ^ 0x3157), self._delay, self._after)
        self.wires.fenced = config.fenced
        self.wires.now = self.now
        # For a watcher of the room: what nodes say, offers as they are sent, deaths of nodes.
        self.on_word: Callable[[int, Reported], None] | None = None
        self.on_offer: Callable[[ev.SendOffer], None] | None = None
        self.on_death: Callable[[int], None] | None = None
        self._task_of: dict[ev.AttemptId, ev.TaskSpec] = {}
        self._probes: dict[int, tuple[int, Core, int]] = {}
        self.models = {m.id: m for m in config.nodes}
        cluster = config.cluster
        self.copies = DedupMemories(cluster.classes)
        self.nodes: dict[int, Node | None] = {}
        self.started: dict[int, int] = {}
        for model in config.nodes:
            self._start_node(model, cold=False)
        self.directory = NodeListState(config.directory, revision=1)
        for node in self.nodes:
            self._announce(node)
        self.directory.advance(self.now + config.directory.update_delay_us + config.directory.period_us)
        self.cores: dict[int, Core] = {}
        self.watching: dict[int, int] = {}
        self.lives = 0
        self.owners: list[Client] = []
        for i, demand in enumerate(config.owners):
            kind = SingleOwner if config.singles else Client
            self.owners.append(kind(demand, config.seed * 7919 + i, self.now + 500_000))
        for planner in range(config.planners):
            self.start_planner(planner)
        self._after(DIRECTORY_STEP_US, self._directory_step)
        self.tenants = tuple(t for t, _ in cluster.tenants)
        for i in range(len(self.owners)):
            self._wake_owner(i)

    # The queue

    def _after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + max(0, delay), self._order, call, args))

    def _delay(self) -> int:
        return self.rng.randint(*self.config.link_us)

    def run(self, until: int) -> None:
        """Play up to a simulated time (microseconds)."""
        while self._queue and self._queue[0][0] <= until:
            self.step()
        self.now = max(self.now, until)

    def step(self) -> None:
        """Play the next event."""
        at, _, call, args = heapq.heappop(self._queue)
        self.now = self.wires.now = max(self.now, at)
        self.events += 1
        call(*args)

    def _wake(self, who: object, at: int | None, call: Callable[..., None], *args: Any) -> None:
        """One pending wake-up a thing: an earlier one takes the place of a later one."""
        if at is None:
            return
        pending = self._wakes.get(who)
        if pending is not None and self.now < pending <= at:
            return
        self._wakes[who] = at
        self._after(at - self.now, self._woken, who, at, call, args)

    def _woken(self, who: object, at: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self._wakes.get(who) == at:
            del self._wakes[who]
            call(*args)

    # Planners

    def start_planner(self, planner: int) -> None:
        cluster = self.config.cluster
        self.lives += 1
        config = CoreConfig(
            bounds=Bounds(100_000, 100_000, 1_000_000, 3_600_000_000),
            tenants=tuple(t for t, _ in cluster.tenants),
            zones=cluster.zones,
            groups=self.config.groups,
            settles_abandoned_offers=self.config.proofs,
        )
        settings = cluster.settings(self.config.planners, planner, planner % len(cluster.zones))
        core = Core(settings, config, self.lives, self.config.seed * 1_000_003 + self.lives)
        self.cores[planner] = core
        self._carry_out(planner, core, core.start(self.now))
        for i in range(len(self.owners)):
            self._after(self._delay(), self._owner_came, planner, core, i)

    def _owner_came(self, planner: int, core: Core, i: int) -> None:
        if self.cores.get(planner) is core:
            self._feed(planner, core, ev.ClientConnected(i + 1, self.owners[i].model.name))
            self._do(i, self.owners[i].connected(self.now, planner))

    def kill_planner(self, planner: int, away_us: int) -> None:
        """It is gone at once; its links break; a new life begins later."""
        self.cores.pop(planner, None)
        for node in self.nodes:
            self.wires.give_up(planner, node)
        self.watching.pop(planner, None)
        for i, owner in enumerate(self.owners):
            self._do(i, owner.disconnected(self.now, planner))
        self._after(away_us, self.start_planner, planner)

    def _feed(self, planner: int, core: Core, event: ev.Event) -> None:
        if self.cores.get(planner) is not core:
            return  # said to a life that is over
        self._carry_out(planner, core, core.handle(self.now, event))

    def _later(self, planner: int, core: Core, event: ev.Event, times: int = 1) -> None:
        self._after(self._delay() * times, self._feed, planner, core, event)

    def _carry_out(self, planner: int, core: Core, actions: list[ev.Action]) -> None:
        for action in actions:
            match action:
                case ev.SendToClient(session, word):
                    self._after(self._delay(), self._told, session - 1, planner, word)
                case ev.SendOffer():
                    self._offer(planner, action)
                case ev.SendStop(node, id):
                    self._to_node(planner, node, self._stop(id))
                case ev.SendCommit(node, ids, lease):
                    self._to_node(planner, node, self._commit(ids, lease))
                case ev.SendLeaseRenewal():
                    self._to_node(planner, action.node, self._keep(planner, core, action))
                case ev.Dial(node):
                    self._after(self._delay() * 2, self._dialled, planner, core, node)
                case ev.CloseLink(node):
                    if self.wires.give_up(planner, node) is not None:
                        self._later(planner, core, ev.LinkDown(node))
                case ev.RequestNodeTasks(node):
                    self._ask_held(planner, core, node)
                case ev.CheckHealth(node):
                    self._ask_probe(planner, core, node)
                case ev.WatchNodeList(active, revision):
                    if active:
                        self._after(self._delay(), self._watch, planner, core, revision)
                    else:
                        self.watching.pop(planner, None)
                case ev.FetchNodeList():
                    self._after(self._delay(), self._watch, planner, core, 0)
                case _:
                    pass
        self._wake(core, core.next_due(), self._feed, planner, core, ev.TimerDue())

    # Nodes

    def _start_node(self, model: NodeModel, cold: bool) -> None:
        self.nodes[model.id] = Node(model, self.copies, self.rng.randrange(2**62), self.now, cold)
        self.started[model.id] = CLOCK_UNIX_US + self.now if cold else 0

    def kill_node(self, node: int, away_us: int) -> None:
        """Its process dies with all it holds and comes back cold."""
        dead = self.nodes.get(node)
        if dead is None:
            return
        for offer in dead.offers.values():
            self.meter.over((offer.task.client, offer.task.key), False, self.now)
        dead.die()
        self.nodes[node] = None
        if self.on_death is not None:
            self.on_death(node)
        linked = self.wires.node_gone(node)
        self.directory.announcement_lost(self.now, node)
        for planner, core in list(self.cores.items()):
            if planner in linked:
                self._later(planner, core, ev.LinkDown(node))
        self._after(away_us, self._revive, node)

    def _revive(self, node: int) -> None:
        self._start_node(self.models[node], cold=True)
        self._announce(node)

    def drain_node(self, node: int) -> None:
        here = self.nodes.get(node)
        if here is not None:
            self._say(node, here.drain(self.now))

    def _dialled(self, planner: int, core: Core, node: int) -> None:
        here = self.nodes.get(node)
        if self.cores.get(planner) is not core:
            return
        if here is None or here.crashed:
            self._feed(planner, core, ev.DialFailed(node))
        elif not self.wires.path(planner, node).passing:
            self._after(DIAL_US, self._feed, planner, core, ev.DialFailed(node))
        else:
            wire = self.wires.open(planner, core.incarnation, node, self.started[node])
            self._feed(planner, core, ev.LinkUp(node, self.started[node], here.draining))
            self.wires.replay(wire, self._feeder(planner, core))

    def _feeder(self, planner: int, core: Core) -> Callable[[ev.Event], None]:
        return lambda event: self._feed(planner, core, event)

    def _to_node(self, planner: int, node: int, call: Reached) -> None:
        """Say something to a node; ``call`` is given when it can have been said at the earliest."""
        wire = self.wires.wire(planner, node)
        if wire is None:
            return  # the planner hears of the broken link
        stamp = self.wires.stamp(wire)

        def reached(door: PlannerSession) -> None:
            here = self.nodes.get(node)
            if here is not None:
                self._say(node, call(here, self.wires.said_at(door, stamp)))

        self.wires.there(wire, reached)

    def _stop(self, id: ev.AttemptId) -> Reached:
        return lambda node, at: node.stop(self.now, id)

    def _commit(self, ids: tuple[ev.AttemptId, ...], lease: int) -> Reached:
        return lambda node, at: node.commit(self.now, list(ids), lease, said_at=at)

    def _keep(self, planner: int, core: Core, keep: ev.SendLeaseRenewal) -> Reached:
        def reached(node: Node, at: int | None) -> list[NodeEvent]:
            words = node.keep(self.now, list(keep.ids), keep.lease_us, said_at=at)
            if keep.renewal and at is not None:
                self._word(planner, core, keep.node, ev.LeasesRenewed(keep.node, keep.renewal))
            return words

        return reached

    def _offer(self, planner: int, offer: ev.SendOffer) -> None:
        sort = self.config.cluster.classes[offer.class_index]
        if self.on_offer is not None:
            self.on_offer(offer)

        def reached(here: Node, at: int | None) -> list[NodeEvent]:
            return here.offer(
                self.now, planner, offer.id, offer.task, offer.wait_us, sort.priority, sort.dedup_window_us,
                offer.group, said_at=at,
            )  # fmt: skip

        self._to_node(planner, offer.node, reached)

    # Faults of links

    def hold_links(
        self,
        planners: list[int],
        nodes: list[int],
        directions: tuple[str, ...],
        for_us: int,
        pings: bool = False,
    ) -> None:
        """Nothing passes between these for a time; then what waited does, connections given up or not.

        ``pings``: they are answered all the same, as by a process whose work stands still, and no connection
        is given up for it.
        """
        for planner in planners:
            for node in nodes:
                self.wires.hold(planner, node, *directions)
                if not pings:
                    self._after(KEEPALIVE_US, self._notice, planner, node, self.wires.wire(planner, node))
                self._after(for_us, self.wires.release, planner, node, *directions)

    def cut_links(self, planners: list[int], nodes: list[int]) -> None:
        """Connections break, and what is on the way is lost."""
        for planner in planners:
            for node in nodes:
                self._broken(planner, node, self.wires.reset(planner, node))

    def _notice(self, planner: int, node: int, wire: Wire | None) -> None:
        """Pings were not answered for as long as a planner waits for them."""
        same = wire is not None and self.wires.wire(planner, node) is wire
        if same and not self.wires.path(planner, node).passing:
            self._broken(planner, node, self.wires.give_up(planner, node))

    def _broken(self, planner: int, node: int, wire: Wire | None) -> None:
        core = self.cores.get(planner)
        if wire is not None and core is not None:
            self._feed(planner, core, ev.LinkDown(node))

    def _say(self, node: int, words: list[NodeEvent]) -> None:
        here = self.nodes[node]
        for word in words:
            match word:
                case Reported():
                    self._said(node, word)
                case DrainingReported():
                    self._announce(node)
                    for planner, core in list(self.cores.items()):
                        self._word(planner, core, node, ev.NodeDraining(node))
                case HealthChecked(token):
                    planner, core, began = self._probes.pop(token)
                    report = (word.free_cores, word.free_memory, word.utilization)
                    self._word(
                        planner, core, node, ev.HealthCheckCompleted(node, True, self.now - began, report)
                    )
                case Crashed():
                    self.kill_node(node, 10**12)
                    return
        if here is not None:
            self._wake((node, id(here)), here.next_due(), self._node_due, node, here)

    def _node_due(self, node: int, here: Node) -> None:
        if self.nodes.get(node) is here:
            self._say(node, here.advance(self.now))

    def _word(self, planner: int, core: Core, node: int, event: ev.Event, last: bool = False) -> None:
        self.wires.say(planner, node, event, last, self._feeder(planner, core))

    def _said(self, node: int, word: Reported) -> None:
        if self.on_word is not None:
            self.on_word(node, word)
        task = self._task_of.get(word.id)
        name = (task.client, task.key) if task is not None else ("", 0)
        if word.kind == "accepted":
            here = self.nodes[node]
            assert here is not None
            task = here.offers[word.id].task
            self._task_of[word.id] = task
            self.meter.accepted((task.client, task.key), task.cores, self.now)
        elif word.kind == "running":
            self.meter.runs(name, self.now)
        elif word.kind in ("refused", "error", "ended"):
            self.meter.over(name, word.result is api.Result.FINISHED, self.now)
            self._task_of.pop(word.id, None)
        core = self.cores.get(word.planner)
        if core is not None:
            last = word.kind in ("refused", "error", "ended")
            self._word(word.planner, core, node, _event(node, word), last)
        elif word.kind in ("refused", "error", "ended"):
            self.wires.door(word.planner, node).outbox.add(_event(node, word))

    def _ask_held(self, planner: int, core: Core, node: int) -> None:
        wire, asked_at = self.wires.wire(planner, node), self.now
        if wire is None:
            return

        def reached(door: PlannerSession) -> None:
            here = self.nodes.get(node)
            if here is None:
                return
            tasks = tuple(
                ev.NodeTask(o.id, o.task, o.state.value == "running", o.group)
                for o in here.offers_of(planner)
            )
            finished = tuple(
                ev.NodeTask(o.id, o.task, False, o.group) for o in here.finished_of(planner, self.now)
            )
            complete = door.is_complete_for(core.incarnation)
            told = ev.NodeTasksReported(node, self.started[node], tasks, complete, asked_at, finished)
            self.wires.back(wire, told, self._feeder(planner, core))

        self.wires.there(wire, reached)

    def _ask_probe(self, planner: int, core: Core, node: int) -> None:
        wire = self.wires.wire(planner, node)
        if wire is None:
            self._later(planner, core, ev.HealthCheckCompleted(node, False, 0))
            return
        began = self.now

        def reached(door: PlannerSession) -> None:
            here = self.nodes.get(node)
            if here is not None and not here.crashed:
                self._order += 1
                self._probes[self._order] = (planner, core, began)
                self._say(node, here.probe(self.now, self._order))

        self.wires.there(wire, reached)

    # The list

    def _announce(self, node: int) -> None:
        here, model = self.nodes[node], self.models[node]
        if here is None:
            return
        here.changed = False
        free = here.free()
        status = api.NodeStatus.DRAINING if here.draining else api.NodeStatus.READY
        entry = ev.ListedNode(
            node, model.name, (f"127.0.0.1:{node}",), model.zone, model.rack, model.node_type, status,
            free[0], free[1], self.started[node],
        )  # fmt: skip
        self.directory.announced(self.now, entry)

    def _directory_step(self) -> None:
        for node, here in self.nodes.items():
            if here is not None and here.changed:
                self._announce(node)
        if self.directory.advance(self.now):
            for planner, have in list(self.watching.items()):
                core = self.cores.get(planner)
                if core is not None:
                    self._list_told(planner, core, have)
        self._after(DIRECTORY_STEP_US, self._directory_step)

    def _watch(self, planner: int, core: Core, revision: int) -> None:
        if self.cores.get(planner) is core:
            self._list_told(planner, core, revision)

    def _list_told(self, planner: int, core: Core, have: int) -> None:
        changes = self.directory.changes_since(have) if have else None
        full = changes is None
        nodes = self.directory.all_nodes() if changes is None else changes
        told = ev.NodeListReceived(self.directory.revision, have, full, nodes, CLOCK_UNIX_US + self.now)
        self.watching[planner] = self.directory.revision
        self._later(planner, core, told)

    # Owners

    def _told(self, i: int, planner: int, word: ev.ClientMessage) -> None:
        if 0 <= i < len(self.owners):
            self._do(i, self.owners[i].received(self.now, planner, word))

    def _wake_owner(self, i: int) -> None:
        owner = self.owners[i]
        self._wake(owner, owner.next_due(), self._owner_due, i)

    def _owner_due(self, i: int) -> None:
        self._do(i, self.owners[i].advance(self.now))

    def _do(self, i: int, does: list[ClientAction]) -> None:
        owner = self.owners[i]
        name = owner.model.name
        if isinstance(owner, SingleOwner):
            for keys in owner.batches:
                self.meter.asked([(name, k) for k in keys], self.now)
            owner.batches.clear()
        for do in does:
            core = self.cores.get(do.planner)
            if core is None:
                continue
            if isinstance(do, SubmitTask):
                self._later(do.planner, core, ev.PlacementRequested(i + 1, do.request, do.task, do.wait_us))
            elif isinstance(do, SubmitGroup):
                names = [(name, t.key) for t in do.tasks]
                origin = (name, do.origin)
                self.meter.asked(names, self.now, origin if origin in self.meter.group_of else None)
                self._later(do.planner, core, ev.GroupRequested(i + 1, do.request, do.tasks, do.wait_us))
            else:
                self._later(do.planner, core, ev.PlacementCancelled(i + 1, do.request, do.key))
        self._wake_owner(i)


def _event(node: int, word: Reported) -> ev.Event:
    match word.kind:
        case "accepted":
            return ev.NodeAccepted(node, word.id)
        case "ready":
            return ev.NodeReady(node, word.id)
        case "running":
            return ev.NodeRunning(node, word.id)
        case "refused":
            return ev.NodeRejected(node, word.id, word.reason, word.is_late)
        case "error":
            return ev.NodeError(node, word.id)
        case "usage":
            return ev.NodeUsage(node, word.id, word.cores, word.memory, 0.0, 0.0)
    assert word.result is not None
    return ev.NodeEnded(node, word.id, word.result, word.reason)
