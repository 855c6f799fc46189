"""Simulates a cluster: the real cores of the planners, with models of nodes, clients and the node list.

The cores and the models make every decision; this module adds message delays, faults and the event queue.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

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
from .event_queue import EventQueue
from .group_meter import GroupMeter, TaskName
from .node_reports import event_from_report, is_last_report
from .simulated_links import DIAL_TIMEOUT_US, KEEPALIVE_TIMEOUT_US, SimulatedConnection, SimulatedLinks
from .single_placement_client import SinglePlacementClient

CLOCK_UNIX_US = 1_700_000_000_000_000  # Unix time of the simulated clock when simulated time is 0
START_US = 1_000_000
FIRST_TASKS_AFTER_US = 500_000
NODE_LIST_STEP_US = 100_000
NEVER_US = 10**12
LINK_SEED_MASK = 0x3157
BOUNDS = Bounds(100_000, 100_000, 1_000_000, 3_600_000_000)

# The effect of a message on a node. The second argument is the earliest time at which the message can have
# been sent, or None if its age is unknown.
NodeOperation = Callable[[Node, int | None], list[NodeEvent]]


@dataclass(frozen=True)
class SimulationConfig:
    """The parameters of a simulation.

    Attributes:
        cluster: the settings of the cluster.
        nodes: the models of its nodes.
        clients: the models of its clients.
        planners: the number of planners.
        seed: the seed of all random draws.
        node_list: the model of the node list service.
        link_delay_us: the least and the greatest one-way delay of a message, in microseconds.
        groups: the settings of groups.
        places_members_singly: True is a baseline in which clients request each group member as a single task.
        is_fenced: False is a baseline in which nodes treat every message as sent at the time of its arrival.
        checks_void_offers: False is a baseline in which planners do not query nodes about expired offers.
    """

    cluster: Cluster
    nodes: tuple[NodeModel, ...]
    clients: tuple[ClientModel, ...]
    planners: int
    seed: int = 1
    node_list: NodeListModel = NodeListModel()
    link_delay_us: tuple[int, int] = (150, 400)
    groups: GroupConfig = GroupConfig()
    places_members_singly: bool = False
    is_fenced: bool = True
    checks_void_offers: bool = True


@dataclass(frozen=True, slots=True)
class _HealthCheck:
    """A health check that was sent to a node and that the node has not answered yet."""

    planner: int
    core: Core
    sent_us: int


class Simulation:
    """A simulated cluster of planners, nodes, node list and clients; ``run`` advances it up to a time.

    Attributes:
        cores: the cores of the planners that are up, by the planner's index.
        nodes: the nodes by id; None while a node's process is down.
        on_node_report: an observer that is called with the node's id and its report, for each report.
        on_offer: an observer that is called with each offer that a planner sends.
        on_node_death: an observer that is called with the id of each node that crashes.
    """

    def __init__(self, config: SimulationConfig) -> None:
        """Start nodes, node list, clients and planners.

        The order is fixed because it determines which random draws each part gets.
        """
        self.config = config
        self.rng = random.Random(config.seed)
        self.queue = EventQueue(START_US)
        self.meter = GroupMeter()
        self.links = SimulatedLinks(
            random.Random(config.seed ^ LINK_SEED_MASK), self._delay_us, self.schedule
        )
        self.links.is_fenced = config.is_fenced
        self.links.now_us = self.now_us
        self.on_node_report: Callable[[int, Reported], None] | None = None
        self.on_offer: Callable[[ev.SendOffer], None] | None = None
        self.on_node_death: Callable[[int], None] | None = None
        self._task_of: dict[ev.AttemptId, ev.TaskSpec] = {}
        self._health_checks: dict[int, _HealthCheck] = {}
        self._last_health_check = 0

        self.models = {model.id: model for model in config.nodes}
        self.deduplication = DedupMemories(config.cluster.classes)
        self.nodes: dict[int, Node | None] = {}
        self.node_started_us: dict[int, int] = {}
        for model in config.nodes:
            self._start_node(model, is_cold=False)
        self.node_list = NodeListState(config.node_list, revision=1)
        for node in self.nodes:
            self._announce(node)
        self.node_list.advance(self.now_us + config.node_list.update_delay_us + config.node_list.period_us)

        self.cores: dict[int, Core] = {}
        self.watched_revisions: dict[int, int] = {}
        self.incarnations_started = 0
        self.clients = self._make_clients()
        for planner in range(config.planners):
            self.start_planner(planner)
        self.schedule(NODE_LIST_STEP_US, self._node_list_step)
        for index in range(len(self.clients)):
            self._schedule_client(index)

    def _make_clients(self) -> list[Client]:
        client_type = SinglePlacementClient if self.config.places_members_singly else Client
        return [
            client_type(model, self.config.seed * 7919 + index, self.now_us + FIRST_TASKS_AFTER_US)
            for index, model in enumerate(self.config.clients)
        ]

    # Time

    @property
    def now_us(self) -> int:
        """The simulated time in microseconds."""
        return self.queue.now_us

    @property
    def events_played(self) -> int:
        """The number of events processed so far."""
        return self.queue.events_played

    def schedule(self, delay_us: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call after a delay in simulated time."""
        self.queue.schedule(delay_us, call, *args)

    def _delay_us(self) -> int:
        return self.rng.randint(*self.config.link_delay_us)

    def run(self, until_us: int) -> None:
        """Process all events up to a simulated time."""
        while self.queue.has_due(until_us):
            self.step()
        self.queue.advance(until_us)

    def step(self) -> None:
        """Process the next event."""
        call = self.queue.pop()
        self.links.now_us = self.now_us
        call()

    # Planners

    def start_planner(self, planner: int) -> None:
        """Start a new incarnation of a planner and connect all clients to it."""
        cluster = self.config.cluster
        self.incarnations_started += 1
        config = CoreConfig(
            bounds=BOUNDS,
            tenants=tuple(tenant for tenant, _ in cluster.tenants),
            zones=cluster.zones,
            groups=self.config.groups,
            settles_abandoned_offers=self.config.checks_void_offers,
        )
        settings = cluster.settings(self.config.planners, planner, planner % len(cluster.zones))
        seed = self.config.seed * 1_000_003 + self.incarnations_started
        core = Core(settings, config, self.incarnations_started, seed)
        self.cores[planner] = core
        self.perform(planner, core, core.start(self.now_us))
        for index in range(len(self.clients)):
            self.schedule(self._delay_us(), self._client_connected, planner, core, index)

    def _client_connected(self, planner: int, core: Core, index: int) -> None:
        if self.cores.get(planner) is core:
            client = self.clients[index]
            self.feed(planner, core, ev.ClientConnected(index + 1, client.model.name))
            self._perform_for_client(index, client.connected(self.now_us, planner))

    def kill_planner(self, planner: int, downtime_us: int) -> None:
        """Kill a planner, which closes its links; a new incarnation starts after ``downtime_us``."""
        self.cores.pop(planner, None)
        for node in self.nodes:
            self.links.close(planner, node)
        self.watched_revisions.pop(planner, None)
        for index, client in enumerate(self.clients):
            self._perform_for_client(index, client.disconnected(self.now_us, planner))
        self.schedule(downtime_us, self.start_planner, planner)

    def feed(self, planner: int, core: Core, event: ev.Event) -> None:
        """Pass an event to a core and perform its actions; does nothing if the incarnation has ended."""
        if self.cores.get(planner) is core:
            self.perform(planner, core, core.handle(self.now_us, event))

    def _feed_later(self, planner: int, core: Core, event: ev.Event) -> None:
        self.schedule(self._delay_us(), self.feed, planner, core, event)

    def _feeder(self, planner: int, core: Core) -> Callable[[ev.Event], None]:
        return lambda event: self.feed(planner, core, event)

    def perform(self, planner: int, core: Core, actions: list[ev.Action]) -> None:
        """Perform the actions that a core has returned, and schedule the core's next timer."""
        for action in actions:
            self._perform_action(planner, core, action)
        self.queue.schedule_wakeup(core, core.next_due(), self.feed, planner, core, ev.TimerDue())

    def _perform_action(self, planner: int, core: Core, action: ev.Action) -> None:
        match action:
            case ev.SendToClient(session, message):
                self.schedule(self._delay_us(), self.client_received, session - 1, planner, message)
            case ev.Dial(node):
                self.schedule(self._delay_us() * 2, self._dialled, planner, core, node)
            case ev.CloseLink(node):
                if self.links.close(planner, node) is not None:
                    self._feed_later(planner, core, ev.LinkDown(node))
            case ev.WatchNodeList(active, revision):
                if active:
                    self.schedule(self._delay_us(), self._watch, planner, core, revision)
                else:
                    self.watched_revisions.pop(planner, None)
            case ev.FetchNodeList():
                self.schedule(self._delay_us(), self._watch, planner, core, 0)
            case _:
                self._perform_node_action(planner, core, action)

    def _perform_node_action(self, planner: int, core: Core, action: ev.Action) -> None:
        match action:
            case ev.SendOffer():
                self._send_offer(planner, action)
            case ev.SendStop(node, id):
                self._send_to_node(planner, node, self._stop(id))
            case ev.SendCommit(node, ids, lease):
                self._send_to_node(planner, node, self._commit(ids, lease))
            case ev.SendLeaseRenewal():
                self._send_to_node(planner, action.node, self._renew(planner, core, action))
            case ev.RequestNodeTasks(node):
                self._request_tasks(planner, core, node)
            case ev.CheckHealth(node):
                self._check_health(planner, core, node)

    # Nodes

    def _start_node(self, model: NodeModel, is_cold: bool) -> None:
        seed = self.rng.randrange(2**62)
        self.nodes[model.id] = Node(model, self.deduplication, seed, self.now_us, is_cold)
        self.node_started_us[model.id] = CLOCK_UNIX_US + self.now_us if is_cold else 0

    def kill_node(self, node: int, downtime_us: int) -> None:
        """Crash a node with all its tasks; it restarts as a cold node after ``downtime_us``."""
        model = self.nodes.get(node)
        if model is None:
            return
        for offer in model.offers.values():
            self.meter.task_over((offer.task.client, offer.task.key), False, self.now_us)
        model.die()
        self.nodes[node] = None
        if self.on_node_death is not None:
            self.on_node_death(node)
        connected = self.links.remove_node(node)
        self.node_list.announcement_lost(self.now_us, node)
        for planner, core in list(self.cores.items()):
            if planner in connected:
                self._feed_later(planner, core, ev.LinkDown(node))
        self.schedule(downtime_us, self._restart_node, node)

    def _restart_node(self, node: int) -> None:
        self._start_node(self.models[node], is_cold=True)
        self._announce(node)

    def drain_node(self, node: int) -> None:
        """Start draining a node, which then accepts no new tasks."""
        model = self.nodes.get(node)
        if model is not None:
            self._handle_reports(node, model.drain(self.now_us))

    def _dialled(self, planner: int, core: Core, node: int) -> None:
        model = self.nodes.get(node)
        if self.cores.get(planner) is not core:
            return
        if model is None or model.crashed:
            self.feed(planner, core, ev.DialFailed(node))
        elif not self.links.path(planner, node).is_passing:
            self.schedule(DIAL_TIMEOUT_US, self.feed, planner, core, ev.DialFailed(node))
        else:
            started_us = self.node_started_us[node]
            connection = self.links.open(planner, core.incarnation, node, started_us)
            self.feed(planner, core, ev.LinkUp(node, started_us, model.draining))
            self.links.resend_unacknowledged(connection, self._feeder(planner, core))

    def _send_to_node(self, planner: int, node: int, operation: NodeOperation) -> None:
        connection = self.links.connection(planner, node)
        if connection is None:
            return  # a separate LinkDown event informs the planner of the closed link
        stamp = self.links.stamp(connection)

        def deliver(session: PlannerSession) -> None:
            model = self.nodes.get(node)
            if model is not None:
                sent_us = self.links.earliest_send_us(session, stamp)
                self._handle_reports(node, operation(model, sent_us))

        self.links.send_to_node(connection, deliver)

    def _stop(self, id: ev.AttemptId) -> NodeOperation:
        return lambda model, _: model.stop(self.now_us, id)

    def _commit(self, ids: tuple[ev.AttemptId, ...], lease_us: int) -> NodeOperation:
        return lambda model, sent_us: model.commit(self.now_us, list(ids), lease_us, said_at=sent_us)

    def _renew(self, planner: int, core: Core, renewal: ev.SendLeaseRenewal) -> NodeOperation:
        def operation(model: Node, sent_us: int | None) -> list[NodeEvent]:
            reports = model.keep(self.now_us, list(renewal.ids), renewal.lease_us, said_at=sent_us)
            if renewal.renewal and sent_us is not None:
                event = ev.LeasesRenewed(renewal.node, renewal.renewal)
                self._report(planner, core, renewal.node, event)
            return reports

        return operation

    def _send_offer(self, planner: int, offer: ev.SendOffer) -> None:
        task_class = self.config.cluster.classes[offer.class_index]
        if self.on_offer is not None:
            self.on_offer(offer)

        def operation(model: Node, sent_us: int | None) -> list[NodeEvent]:
            return model.offer(
                self.now_us, planner, offer.id, offer.task, offer.wait_us, task_class.priority,
                task_class.dedup_window_us, offer.group, said_at=sent_us,
            )  # fmt: skip

        self._send_to_node(planner, offer.node, operation)

    # Faults of links

    def hold_links(
        self,
        planners: list[int],
        nodes: list[int],
        directions: tuple[str, ...],
        duration_us: int,
        answers_pings: bool = False,
    ) -> None:
        """Hold messages between the given planners and nodes; they arrive after ``duration_us``.

        Messages to nodes arrive even if their connection has been closed since. ``answers_pings`` simulates a
        process that is stalled but whose transport answers keepalive pings, so that no connection is closed.
        """
        for planner in planners:
            for node in nodes:
                self.links.hold(planner, node, *directions)
                if not answers_pings:
                    connection = self.links.connection(planner, node)
                    self.schedule(KEEPALIVE_TIMEOUT_US, self._keepalive_expired, planner, node, connection)
                self.schedule(duration_us, self.links.release, planner, node, *directions)

    def cut_links(self, planners: list[int], nodes: list[int]) -> None:
        """Reset the connections between the given planners and nodes; messages in flight are lost."""
        for planner in planners:
            for node in nodes:
                self._link_broken(planner, node, self.links.reset(planner, node))

    def _keepalive_expired(self, planner: int, node: int, connection: SimulatedConnection | None) -> None:
        is_current = connection is not None and self.links.connection(planner, node) is connection
        if is_current and not self.links.path(planner, node).is_passing:
            self._link_broken(planner, node, self.links.close(planner, node))

    def _link_broken(self, planner: int, node: int, connection: SimulatedConnection | None) -> None:
        core = self.cores.get(planner)
        if connection is not None and core is not None:
            self.feed(planner, core, ev.LinkDown(node))

    # Reports of nodes

    def _handle_reports(self, node: int, reports: list[NodeEvent]) -> None:
        model = self.nodes[node]
        for report in reports:
            match report:
                case Reported():
                    self._handle_task_report(node, report)
                case DrainingReported():
                    self._announce(node)
                    for planner, core in list(self.cores.items()):
                        self._report(planner, core, node, ev.NodeDraining(node))
                case HealthChecked():
                    self._health_checked(node, report)
                case Crashed():
                    self.kill_node(node, NEVER_US)
                    return
        if model is not None:
            self.queue.schedule_wakeup((node, id(model)), model.next_due(), self._node_due, node, model)

    def _node_due(self, node: int, model: Node) -> None:
        if self.nodes.get(node) is model:
            self._handle_reports(node, model.advance(self.now_us))

    def _report(self, planner: int, core: Core, node: int, event: ev.Event, is_last: bool = False) -> None:
        self.links.report(planner, node, event, is_last, self._feeder(planner, core))

    def _handle_task_report(self, node: int, report: Reported) -> None:
        if self.on_node_report is not None:
            self.on_node_report(node, report)
        self._measure(node, report)
        core = self.cores.get(report.planner)
        event = event_from_report(node, report)
        is_last = is_last_report(report)
        if core is not None:
            self._report(report.planner, core, node, event, is_last)
        elif is_last:
            self.links.session(report.planner, node).outbox.add(event)

    def _measure(self, node: int, report: Reported) -> None:
        task = self._task_of.get(report.id)
        name: TaskName = (task.client, task.key) if task is not None else ("", 0)
        if report.kind == "accepted":
            model = self.nodes[node]
            assert model is not None
            task = model.offers[report.id].task
            self._task_of[report.id] = task
            self.meter.task_accepted((task.client, task.key), task.cores, self.now_us)
        elif report.kind == "running":
            self.meter.task_running(name, self.now_us)
        elif is_last_report(report):
            self.meter.task_over(name, report.result is api.Result.FINISHED, self.now_us)
            self._task_of.pop(report.id, None)

    def _request_tasks(self, planner: int, core: Core, node: int) -> None:
        connection = self.links.connection(planner, node)
        requested_us = self.now_us
        if connection is None:
            return

        def deliver(session: PlannerSession) -> None:
            model = self.nodes.get(node)
            if model is None:
                return
            tasks = tuple(
                ev.NodeTask(offer.id, offer.task, offer.state.value == "running", offer.group)
                for offer in model.offers_of(planner)
            )
            finished = tuple(
                ev.NodeTask(offer.id, offer.task, False, offer.group)
                for offer in model.finished_of(planner, self.now_us)
            )
            is_complete = session.is_complete_for(core.incarnation)
            started_us = self.node_started_us[node]
            event = ev.NodeTasksReported(node, started_us, tasks, is_complete, requested_us, finished)
            self.links.send_to_planner(connection, event, self._feeder(planner, core))

        self.links.send_to_node(connection, deliver)

    def _check_health(self, planner: int, core: Core, node: int) -> None:
        connection = self.links.connection(planner, node)
        if connection is None:
            self._feed_later(planner, core, ev.HealthCheckCompleted(node, False, 0))
            return
        check = _HealthCheck(planner, core, self.now_us)

        def deliver(_: PlannerSession) -> None:
            model = self.nodes.get(node)
            if model is not None and not model.crashed:
                self._last_health_check += 1
                self._health_checks[self._last_health_check] = check
                self._handle_reports(node, model.probe(self.now_us, self._last_health_check))

        self.links.send_to_node(connection, deliver)

    def _health_checked(self, node: int, report: HealthChecked) -> None:
        check = self._health_checks.pop(report.token)
        load = (report.free_cores, report.free_memory, report.utilization)
        event = ev.HealthCheckCompleted(node, True, self.now_us - check.sent_us, load)
        self._report(check.planner, check.core, node, event)

    # The node list

    def _announce(self, node: int) -> None:
        model = self.nodes[node]
        if model is None:
            return
        model.changed = False
        node_model = self.models[node]
        free_cores, free_memory = model.free()
        entry = ev.ListedNode(
            node,
            node_model.name,
            (f"127.0.0.1:{node}",),
            node_model.zone,
            node_model.rack,
            node_model.node_type,
            api.NodeStatus.DRAINING if model.draining else api.NodeStatus.READY,
            free_cores,
            free_memory,
            self.node_started_us[node],
        )
        self.node_list.announced(self.now_us, entry)

    def _node_list_step(self) -> None:
        for node, model in self.nodes.items():
            if model is not None and model.changed:
                self._announce(node)
        if self.node_list.advance(self.now_us):
            for planner, revision in list(self.watched_revisions.items()):
                core = self.cores.get(planner)
                if core is not None:
                    self._send_node_list(planner, core, revision)
        self.schedule(NODE_LIST_STEP_US, self._node_list_step)

    def _watch(self, planner: int, core: Core, revision: int) -> None:
        if self.cores.get(planner) is core:
            self._send_node_list(planner, core, revision)

    def _send_node_list(self, planner: int, core: Core, since_revision: int) -> None:
        """Send the node list's changes since a revision to a planner.

        Sends the complete list if the changes are not available or ``since_revision`` is 0.
        """
        changes = self.node_list.changes_since(since_revision) if since_revision else None
        is_complete = changes is None
        nodes = self.node_list.all_nodes() if changes is None else changes
        revision = self.node_list.revision
        event = ev.NodeListReceived(revision, since_revision, is_complete, nodes, CLOCK_UNIX_US + self.now_us)
        self.watched_revisions[planner] = revision
        self._feed_later(planner, core, event)

    # Clients

    def client_received(self, index: int, planner: int, message: ev.ClientMessage) -> None:
        """Deliver a planner's message to a client; a message to an unknown client is dropped."""
        if 0 <= index < len(self.clients):
            self._perform_for_client(index, self.clients[index].received(self.now_us, planner, message))

    def _schedule_client(self, index: int) -> None:
        client = self.clients[index]
        self.queue.schedule_wakeup(client, client.next_due(), self._client_due, index)

    def _client_due(self, index: int) -> None:
        self._perform_for_client(index, self.clients[index].advance(self.now_us))

    def _perform_for_client(self, index: int, actions: list[ClientAction]) -> None:
        client = self.clients[index]
        if isinstance(client, SinglePlacementClient):
            for keys in client.group_keys:
                self.meter.group_requested([(client.model.name, key) for key in keys], self.now_us)
            client.group_keys.clear()
        for action in actions:
            core = self.cores.get(action.planner)
            if core is not None:
                self._feed_later(action.planner, core, self._event_of(index, action))
        self._schedule_client(index)

    def _event_of(self, index: int, action: ClientAction) -> ev.Event:
        """Return the event for a client's action; the group meter also records each request for a group."""
        session = index + 1
        if isinstance(action, SubmitTask):
            return ev.PlacementRequested(session, action.request, action.task, action.wait_us)
        if isinstance(action, SubmitGroup):
            client = self.clients[index].model.name
            names = [(client, task.key) for task in action.tasks]
            origin = (client, action.origin)
            self.meter.group_requested(names, self.now_us, origin if origin in self.meter.group_of else None)
            return ev.GroupRequested(session, action.request, action.tasks, action.wait_us)
        return ev.PlacementCancelled(session, action.request, action.key)
