"""A planner's core with simulated nodes, node list and clients for tests, without sockets or a clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.admission import Bounds
from stairplank.planner.core import Core, CoreConfig
from stairplank.planner.events import AttemptId
from stairplank.planner.link_state import LinkState

MS, SECOND = 1_000, 1_000_000
CLASSES = (
    api.TaskClass("worker", api.Effect.IDEMPOTENT, api.Scope.ALL, 0, SECOND, 6 * SECOND),
    api.TaskClass("ingest", api.Effect.IDEMPOTENT_BY_KEY, api.Scope.GROUP, 8 * SECOND, SECOND, 6 * SECOND),
    api.TaskClass("report", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 6 * SECOND),
    api.TaskClass(
        "apart",
        api.Effect.IDEMPOTENT,
        api.Scope.ALL,
        0,
        SECOND,
        6 * SECOND,
        spread=api.Scope.NODE,
        max_per_place=1,
    ),
)
SETTINGS = api.Settings(
    planners=1,
    position=0,
    zone=0,
    classes=CLASSES,
    node_types=(api.NodeType("std", 16.0, 32.0),),
    mean_cores=1.0,
    mean_memory=2.0,
    cores_limit=1.0,
    memory_limit=1.0,
    confirms_running=True,
    preempts=False,
    max_attempts=3,
    answer_slack_us=50 * MS,
    drain_grace_us=250 * MS,
    slow_start_share=0.2,
    slow_start_us=10 * SECOND,
    overload_multiple=2.0,
    overload_window_us=1500 * MS,
    slow_start_offers=40.0,
    polls_node_list=True,
    poll_within_us=10 * SECOND,
    tick_us=10 * MS,
    may_check_health=True,
    may_cancel=True,
    max_retry_after_us=3 * SECOND,
    price_health_check=1.0,  # disables the health check per task, because tests list every expected action
    report_fields=("free_cores", "free_memory", "util"),
)
BOUNDS = Bounds(open_tasks=100, open_tasks_per_client=60, attempts=200, max_wait_us=60 * SECOND)


class CoreHarness:
    """Passes events to a planner's core, records the returned actions and fires its timers when due."""

    def __init__(
        self,
        nodes: int = 3,
        incarnation: int = 7,
        confirms_running: bool = True,
        bounds: Bounds = BOUNDS,
        **config: Any,
    ) -> None:
        settings = replace(SETTINGS, confirms_running=confirms_running)
        core_config = CoreConfig(bounds, ("t1", "t2"), ("z1", "z2"), **config)
        self.core = Core(settings, core_config, incarnation, seed=5)
        self.now = 1000 * SECOND
        self.actions: list[ev.Action] = list(self.core.start(self.now))
        self.send_node_list(*range(1, nodes + 1))
        for node in range(1, nodes + 1):
            self.connect_node(node)
        self.feed(ev.ClientConnected(1, "o"))
        self.actions.clear()

    def feed(self, event: ev.Event) -> list[ev.Action]:
        actions = self.core.handle(self.now, event)
        self.actions += actions
        return actions

    def advance_time(self, us: int) -> list[ev.Action]:
        """Advance the time by ``us`` microseconds and fire each timer when it is due; return the actions."""
        until = self.now + us
        actions: list[ev.Action] = []
        while (due := self.core.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            actions += self.feed(ev.TimerDue())
        self.now = until
        return actions

    def node_entry(
        self, node: int, status: api.NodeStatus = api.NodeStatus.READY, started: int = 0
    ) -> ev.ListedNode:
        rack = f"r{(node - 1) // 2}"
        return ev.ListedNode(
            node, f"n{node}", (f"127.0.0.1:{node}",), "z1", rack, "std", status, 16.0, 32.0, started
        )

    def send_node_list(
        self, *nodes: int, full: bool = True, revision: int = 1, **changes: Any
    ) -> list[ev.Action]:
        entries = tuple(self.node_entry(n, **changes) for n in nodes)
        return self.feed(ev.NodeListReceived(revision, revision - 1, full, entries, 10**15))

    def connect_link(self, node: int, started: int = 0, draining: bool = False) -> list[ev.Action]:
        """Wait until the core dials the node, then report the link as up."""
        link = self.core.links.links.get(node)
        while link is not None and link.state is LinkState.DOWN:
            self.advance_time(10_000)
        return self.feed(ev.LinkUp(node, started, draining))

    def connect_node(
        self, node: int, started: int = 0, draining: bool = False, reported_tasks: Any = ()
    ) -> list[ev.Action]:
        """Bring the link up if it is down, then send the node's report on its tasks."""
        is_up = self.core.links.is_up(node)
        actions = [] if is_up else self.connect_link(node, started, draining)
        return actions + self.feed(ev.NodeTasksReported(node, started, tuple(reported_tasks)))

    def task_spec(self, key: int, task_class: str = "worker", **changes: Any) -> ev.TaskSpec:
        return replace(ev.TaskSpec("o", key, task_class, "", 5, 1.0, 2.0, 0, False), **changes)

    def request(
        self,
        number: int,
        task_class: str = "worker",
        session: int = 1,
        wait_us: int = 6 * SECOND,
        key: int = 0,
        **spec: Any,
    ) -> list[ev.Action]:
        return self.feed(
            ev.PlacementRequested(session, number, self.task_spec(key or number, task_class, **spec), wait_us)
        )

    def request_offer(self, number: int, task_class: str = "worker", **options: Any) -> ev.SendOffer:
        (offer,) = [a for a in self.request(number, task_class, **options) if isinstance(a, ev.SendOffer)]
        return offer

    def request_and_run(self, number: int, task_class: str = "worker", **options: Any) -> ev.SendOffer:
        offer = self.request_offer(number, task_class, **options)
        self.feed(ev.NodeRunning(offer.node, offer.id))
        return offer

    def client_messages(self, message_type: type | None = None, session: int = 1) -> list[Any]:
        """Return the messages of a type sent on a session; by default all but Admitted and Offered."""
        messages = [
            a.message for a in self.actions if isinstance(a, ev.SendToClient) and a.session == session
        ]
        if message_type is None:
            return [m for m in messages if not isinstance(m, (ev.Admitted, ev.Offered))]
        return [m for m in messages if isinstance(m, message_type)]

    def actions_of_type(self, action_type: type) -> list[Any]:
        return [a for a in self.actions if isinstance(a, action_type)]

    def has_no_tasks(self) -> bool:
        """Return whether the core has no record of any task."""
        core = self.core
        sessions = [s for s in core.requests.sessions.values() if s.placements or s.open_tasks]
        tables = (
            core.requests.placements,
            core.requests.by_client_key,
            core.attempts.attempts,
            core.attempts.by_node,
            sessions,
        )
        return not any(tables) and core.requests.open_tasks == 0


def node_task(
    harness: CoreHarness,
    key: int,
    task_class: str = "worker",
    incarnation: int = 3,
    running: bool = True,
    client: str = "o",
) -> Any:
    """Return a task as a node reports it, placed by an earlier incarnation of the planner."""
    return ev.NodeTask(
        AttemptId(incarnation, key, 0), harness.task_spec(key, task_class, client=client), running
    )
