"""Changed settings come into force at one turn of the core; requests in flight keep their deadlines."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from grpc_core_harness import MS, SECOND, SETTINGS, CoreHarness, node_task

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.core import Core, CoreConfig
from stairplank.planner.node_links import TASK_REQUEST_INTERVAL_US
from stairplank.planner.node_list import REFETCH_INTERVAL_US

HUGE = api.NodeType("huge", 64.0, 128.0)
FRESH = api.TaskClass("fresh", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 6 * SECOND)


def apply_change(
    harness: CoreHarness, settings: dict[str, Any] | None = None, **config: Any
) -> list[ev.Action]:
    """Have the core apply settings that differ from its own in these fields. Returns its actions."""
    return harness.feed(settings_change(harness.core, settings, **config))


def settings_change(core: Core, settings: dict[str, Any] | None = None, **config: Any) -> ev.SettingsChanged:
    context = core.context
    new = replace(context.settings, **(settings or {}))
    return ev.SettingsChanged(new, replace(context.config, **config))


def with_class(settings: api.Settings, name: str, **fields: Any) -> tuple[api.TaskClass, ...]:
    return tuple(replace(c, **fields) if c.name == name else c for c in settings.classes)


def with_bounds(harness: CoreHarness, **bounds: int) -> dict[str, Any]:
    return {"bounds": replace(harness.core.context.config.bounds, **bounds)}


def node_of_type(harness: CoreHarness, node: int, node_type: str, zone: str = "z1") -> ev.ListedNode:
    return replace(harness.node_entry(node), node_type=node_type, zone=zone)


def send_full_list(harness: CoreHarness, revision: int, *nodes: ev.ListedNode) -> list[ev.Action]:
    return harness.feed(ev.NodeListReceived(revision, 0, True, nodes, 10**15))


def offers(actions: list[ev.Action]) -> list[ev.SendOffer]:
    return [a for a in actions if isinstance(a, ev.SendOffer)]


def rejections(harness: CoreHarness) -> list[str]:
    return [message.rejection.code for message in harness.client_messages(ev.Rejected)]


def watches(actions: list[ev.Action]) -> list[ev.WatchNodeList]:
    return [a for a in actions if isinstance(a, ev.WatchNodeList)]


# Tasks


def test_a_task_in_flight_keeps_the_deadline_it_was_admitted_with() -> None:
    """With the longer class deadline, a request that waits six seconds is too late to start in time."""
    harness = CoreHarness()
    large = 12.0  # more cores than a late task may use: nodes keep a reserve for tasks in time
    (first,) = offers(harness.request(1, cores=large))
    apply_change(harness, {"classes": with_class(SETTINGS, "worker", deadline_us=60 * SECOND)})
    (second,) = offers(harness.feed(ev.NodeRejected(first.node, first.id, api.Reason.QUEUE_FULL)))
    assert second.node != first.node
    assert offers(harness.request(2, cores=large)) == []


def test_a_task_in_flight_is_answered_at_the_end_of_its_own_wait() -> None:
    harness = CoreHarness()
    offer = harness.request_offer(1, "report")
    requested_at = harness.now
    apply_change(
        harness, {"classes": with_class(SETTINGS, "report", deadline_us=SECOND, latency_objective_us=SECOND)}
    )
    harness.advance_time(5 * SECOND)
    assert harness.client_messages() == []
    harness.advance_time(SECOND)
    assert harness.client_messages() == [ev.TaskFailed(1, True)]
    assert harness.now == requested_at + 6 * SECOND
    assert offer.wait_us > 5 * SECOND


@pytest.mark.parametrize("tick", [MS, 100 * MS])
def test_a_task_in_flight_has_one_answer_in_time_after_a_change_of_the_tick(tick: int) -> None:
    harness = CoreHarness()
    harness.request_offer(1, "report")
    apply_change(harness, {"tick_us": tick})
    harness.advance_time(6 * SECOND + SETTINGS.answer_slack_us)
    assert harness.client_messages() == [ev.TaskFailed(1, True)]


def test_a_new_class_is_used_from_the_next_turn_on() -> None:
    harness = CoreHarness()
    harness.request(1, "fresh")
    assert rejections(harness) == ["INVALID_ARGUMENT"]
    apply_change(harness, {"classes": (*SETTINGS.classes, FRESH)})
    offer = harness.request_offer(2, "fresh")
    assert offer.class_index == len(SETTINGS.classes)
    harness.advance_time(6 * SECOND)
    # The new class is at most once, so the client learns that the task may run.
    assert harness.client_messages(ev.TaskFailed) == [ev.TaskFailed(2, True)]


def test_a_new_tenant_is_used_from_the_next_turn_on() -> None:
    harness = CoreHarness()
    harness.request(1, tenant="t3")
    assert rejections(harness) == ["INVALID_ARGUMENT"]
    apply_change(harness, tenants=("t1", "t2", "t3"))
    offer = harness.request_offer(2, tenant="t3")
    pending = harness.core.module.pending[offer.id.placement]
    assert pending.task.tenant == 2


def test_a_group_of_a_new_class_is_admitted_from_the_next_turn_on() -> None:
    harness = CoreHarness()
    apply_change(harness, {"classes": (*SETTINGS.classes, FRESH)})
    members = tuple(harness.task_spec(100 + i, "fresh") for i in range(2))
    harness.feed(ev.GroupRequested(1, 1, members, 9 * SECOND))
    assert len(harness.actions_of_type(ev.SendOffer)) == 2


def test_a_lower_bound_rejects_only_new_tasks() -> None:
    harness = CoreHarness()
    first, second = harness.request_offer(1), harness.request_offer(2)
    apply_change(harness, **with_bounds(harness, open_tasks=1))
    assert harness.client_messages() == []
    harness.request(3)
    assert rejections(harness) == ["RESOURCE_EXHAUSTED"]
    harness.feed(ev.NodeRunning(first.node, first.id))
    harness.feed(ev.NodeRunning(second.node, second.id))
    assert len(harness.client_messages(ev.TaskPlaced)) == 2
    assert offers(harness.request(4))


def test_a_higher_bound_admits_new_tasks_at_once() -> None:
    harness = CoreHarness(bounds=replace(CoreHarness().core.context.config.bounds, open_tasks_per_client=1))
    harness.request_offer(1)
    harness.request(2)
    assert rejections(harness) == ["RESOURCE_EXHAUSTED"]
    apply_change(harness, **with_bounds(harness, open_tasks_per_client=2))
    assert offers(harness.request(3))


def test_a_queued_task_is_offered_when_a_higher_limit_leaves_capacity() -> None:
    harness = CoreHarness(nodes=1)
    harness.request_and_run(1, cores=10.0)
    assert offers(harness.request(2, cores=10.0)) == []
    apply_change(harness, {"cores_limit": 2.0})
    assert offers(harness.advance_time(SECOND))


def test_a_lower_attempt_limit_applies_to_tasks_in_flight_too() -> None:
    harness = CoreHarness()
    first = harness.request_offer(1)
    apply_change(harness, {"max_attempts": 1})
    harness.feed(ev.NodeRejected(first.node, first.id, api.Reason.QUEUE_FULL))
    assert len(harness.client_messages(ev.TaskShed)) == 1


# Groups


def test_groups_are_placed_by_the_new_limits() -> None:
    """The core caches the capacity of nodes between lists, and a change of limits has to update it."""
    harness = CoreHarness(nodes=2)
    on_distinct_nodes = {"distinct_nodes": True}
    large = tuple(harness.task_spec(100 + i, cores=20.0) for i in range(2))
    harness.core.node_list.ready_nodes()
    apply_change(harness, {"cores_limit": 2.0})
    assert [p.cores for p in harness.core.node_list.ready_nodes()] == [32.0, 32.0]
    harness.feed(ev.GroupRequested(1, 1, large, 9 * SECOND, **on_distinct_nodes))
    assert harness.client_messages(ev.GroupAttempted) == []
    assert len(harness.actions_of_type(ev.SendOffer)) >= 1


# The node list


def test_nodes_of_a_type_that_is_added_later_are_used() -> None:
    harness = CoreHarness(nodes=1)
    send_full_list(harness, 2, node_of_type(harness, 1, "std"), node_of_type(harness, 2, "huge"))
    assert sorted(harness.core.module.table.nodes) == [1]
    (watch,) = watches(apply_change(harness, {"node_types": (*SETTINGS.node_types, HUGE)}))
    assert watch == ev.WatchNodeList(True, 0)
    send_full_list(harness, 2, node_of_type(harness, 1, "std"), node_of_type(harness, 2, "huge"))
    assert harness.core.module.table.nodes[2].cores == HUGE.cores


@pytest.mark.parametrize("list_first", [True, False])
@pytest.mark.parametrize("after_a_stall", [True, False])
def test_a_type_and_a_list_that_names_it_arrive_together(list_first: bool, after_a_stall: bool) -> None:
    harness = CoreHarness(nodes=1)
    full_list = ev.NodeListReceived(
        2, 0, True, (node_of_type(harness, 1, "std"), node_of_type(harness, 2, "huge")), 10**15
    )
    both: list[ev.Event] = [
        full_list,
        settings_change(harness.core, {"node_types": (*SETTINGS.node_types, HUGE)}),
    ]
    events = both if list_first else both[::-1]
    actions = (
        harness.core.handle_after_stall(harness.now, events)
        if after_a_stall
        else [a for e in events for a in harness.feed(e)]
    )
    if watches(actions):
        harness.feed(full_list)
    assert sorted(harness.core.module.table.nodes) == [1, 2]
    harness.feed(ev.NodeListReceived(3, 2, False, (node_of_type(harness, 3, "huge"),), 10**15))
    assert sorted(harness.core.module.table.nodes) == [1, 2, 3]


def test_a_list_change_in_transit_while_the_whole_list_is_fetched_does_no_harm() -> None:
    harness = CoreHarness(nodes=1)
    send_full_list(harness, 2, node_of_type(harness, 1, "std"), node_of_type(harness, 2, "huge"))
    apply_change(harness, {"node_types": (*SETTINGS.node_types, HUGE)})
    late_actions = harness.feed(ev.NodeListReceived(3, 2, False, (node_of_type(harness, 3, "std"),), 10**15))
    assert watches(late_actions) == []  # the whole list is being fetched already
    send_full_list(
        harness,
        3,
        node_of_type(harness, 1, "std"),
        node_of_type(harness, 2, "huge"),
        node_of_type(harness, 3, "std"),
    )
    assert sorted(harness.core.module.table.nodes) == [1, 2, 3]


def test_the_whole_list_is_requested_again_after_a_failed_fetch() -> None:
    harness = CoreHarness(nodes=1)
    send_full_list(harness, 2, node_of_type(harness, 1, "std"), node_of_type(harness, 2, "huge"))
    apply_change(harness, {"node_types": (*SETTINGS.node_types, HUGE)})
    harness.feed(ev.NodeListFailed())
    assert watches(harness.advance_time(5 * SECOND)) == [ev.WatchNodeList(True, 0)]


def test_nodes_left_out_by_a_full_table_are_used_when_it_grows() -> None:
    harness = CoreHarness(nodes=1, max_nodes=1)
    send_full_list(harness, 2, harness.node_entry(1), harness.node_entry(2))
    assert harness.core.links.nodes() == [1]
    assert watches(apply_change(harness, max_nodes=2)) == [ev.WatchNodeList(True, 0)]
    send_full_list(harness, 2, harness.node_entry(1), harness.node_entry(2))
    assert harness.core.links.nodes() == [1, 2]


@pytest.mark.parametrize(
    "changes", [{"settings": {"node_types": (*SETTINGS.node_types, HUGE)}}, {"max_nodes": 3}]
)
def test_the_whole_list_is_fetched_once_for_nodes_that_were_left_out(changes: dict[str, Any]) -> None:
    harness = CoreHarness(nodes=1, max_nodes=2)
    send_full_list(harness, 2, harness.node_entry(1), node_of_type(harness, 2, "huge"), harness.node_entry(3))
    assert len(watches(apply_change(harness, **changes))) == 1
    harness.advance_time(2 * REFETCH_INTERVAL_US)
    assert watches(apply_change(harness, {"max_attempts": 5})) == []  # the whole list was requested already


def test_the_list_is_not_fetched_for_the_type_of_an_unlisted_node() -> None:
    harness = CoreHarness(nodes=1)
    send_full_list(harness, 2, harness.node_entry(1), node_of_type(harness, 2, "huge"))
    send_full_list(harness, 3, harness.node_entry(1))
    assert watches(apply_change(harness, {"node_types": (*SETTINGS.node_types, HUGE)})) == []


def test_a_smaller_table_keeps_its_nodes() -> None:
    harness = CoreHarness(nodes=3)
    assert watches(apply_change(harness, max_nodes=1)) == []
    harness.feed(ev.NodeListReceived(2, 1, False, (harness.node_entry(4),), 10**15))
    assert sorted(harness.core.links.nodes()) == [1, 2, 3]


def test_a_zone_that_nodes_have_named_keeps_its_number() -> None:
    """The tasks in a zone are counted by zone number, so a new number would make the counts wrong."""
    harness = CoreHarness(nodes=1)
    send_full_list(harness, 2, node_of_type(harness, 1, "std"), node_of_type(harness, 2, "std", zone="z9"))
    before = harness.core.module.table.nodes[2].entry.zone
    apply_change(harness, zones=("z1", "z2", "z3", "z9"))
    send_full_list(
        harness,
        3,
        node_of_type(harness, 1, "std"),
        node_of_type(harness, 2, "std", zone="z9"),
        node_of_type(harness, 3, "std", zone="z3"),
    )
    zones = {n: node.entry.zone for n, node in harness.core.module.table.nodes.items()}
    assert zones[2] == before
    assert len(set(zones.values())) == 3


# Links


def test_a_higher_dial_limit_starts_dials_at_once() -> None:
    harness = CoreHarness(nodes=0, max_dials=1)
    listed = harness.send_node_list(1, 2, 3)
    assert [a.node for a in listed if isinstance(a, ev.Dial)] == [1]
    dials = [a.node for a in apply_change(harness, max_dials=2) if isinstance(a, ev.Dial)]
    assert dials == [2]


def test_waits_between_dials_follow_the_settings() -> None:
    harness = CoreHarness(nodes=1)
    harness.feed(ev.LinkDown(1))
    harness.advance_time(SECOND)
    apply_change(harness, dial_retry_us=20 * SECOND, max_dial_retry_us=20 * SECOND)
    failed_at = harness.now
    harness.feed(ev.DialFailed(1))
    assert harness.core.links.links[1].next_dial_at >= failed_at + 10 * SECOND


def test_tasks_of_a_class_that_is_added_later_are_adopted() -> None:
    harness = CoreHarness(nodes=1)
    task = node_task(harness, 9)
    task = replace(task, task=replace(task.task, task_class="fresh"))
    harness.feed(ev.NodeTasksReported(1, 0, (task,)))
    assert harness.client_messages(ev.TaskRecovered) == []
    apply_change(harness, {"classes": (*SETTINGS.classes, FRESH)})
    assert (
        harness.actions_of_type(ev.RequestNodeTasks) == []
    )  # the last request is less than the interval ago
    harness.advance_time(TASK_REQUEST_INTERVAL_US)
    assert harness.actions_of_type(ev.RequestNodeTasks) == [ev.RequestNodeTasks(1)]
    harness.feed(ev.NodeTasksReported(1, 0, (task,)))
    assert harness.client_messages(ev.TaskRecovered) == [ev.TaskRecovered(0, 9, 1)]
    harness.actions.clear()
    apply_change(harness, {"max_attempts": 5})
    harness.advance_time(2 * TASK_REQUEST_INTERVAL_US)
    assert harness.actions_of_type(ev.RequestNodeTasks) == []


def test_no_tasks_are_requested_over_a_broken_link() -> None:
    harness = CoreHarness(nodes=1)
    task = node_task(harness, 9)
    harness.feed(ev.NodeTasksReported(1, 0, (replace(task, task=replace(task.task, task_class="fresh")),)))
    harness.advance_time(2 * TASK_REQUEST_INTERVAL_US)
    harness.feed(ev.LinkDown(1))
    assert apply_change(harness, {"classes": (*SETTINGS.classes, FRESH)}) == []


def test_an_unlisted_node_is_forgotten_as_one_with_tasks_of_unknown_classes() -> None:
    harness = CoreHarness(nodes=1)
    task = node_task(harness, 9)
    harness.feed(ev.NodeTasksReported(1, 0, (replace(task, task=replace(task.task, task_class="fresh")),)))
    assert harness.core.links._unknown_class == {1}
    harness.send_node_list(2, revision=2)
    assert harness.core.links._unknown_class == set()


# Many changes in a row


def test_hundreds_of_changes_in_a_row_leak_no_timers_or_requests() -> None:
    """Run with a node of an unknown type, a full table of links and a reported task of an unknown class."""
    harness = CoreHarness(nodes=2, max_nodes=3)
    task = node_task(harness, 9)
    unknown = replace(task, task=replace(task.task, task_class="never"))
    harness.feed(ev.NodeTasksReported(1, 0, (unknown,)))
    send_full_list(
        harness,
        2,
        harness.node_entry(1),
        harness.node_entry(2),
        node_of_type(harness, 3, "never"),
        harness.node_entry(4),
    )
    harness.request_offer(1, wait_us=60 * SECOND)
    before = len(harness.core.context._timers)
    actions: list[ev.Action] = []
    classes = SETTINGS.classes
    for n in range(400):
        classes = (*classes, replace(FRESH, name=f"fresh-{n}")) if n % 100 == 0 else classes
        settings = {"classes": classes, "max_attempts": 2 + n % 5, "cores_limit": 1.0 + n % 3}
        actions += apply_change(harness, settings, max_nodes=3 - n % 2, max_dials=1 + n % 4)
    assert watches(actions) == []
    assert len([a for a in actions if isinstance(a, ev.RequestNodeTasks)]) <= 1
    assert len(harness.core.context._timers) <= before + 2
    assert len(harness.core.context.classes) == len(SETTINGS.classes) + 4
    assert len(harness.core.node_list.zones) == 2
    assert harness.core.counts["settings_changed"] == 400


def test_a_table_that_grows_repeatedly_fetches_the_list_at_a_bounded_rate() -> None:
    harness = CoreHarness(nodes=1, max_nodes=1)
    nodes = [harness.node_entry(n) for n in range(1, 50)]
    send_full_list(harness, 2, *nodes)
    fetches = 0
    started_at = harness.now
    for n in range(2, 40):
        new_watches = watches(apply_change(harness, max_nodes=n)) + watches(harness.advance_time(50 * MS))
        fetches += len(new_watches)
        if new_watches:
            send_full_list(harness, 2, *nodes)
    assert 1 <= fetches <= 2 + (harness.now - started_at) // REFETCH_INTERVAL_US
    timers = len(harness.core.context._timers)
    for _ in range(100):
        apply_change(harness, max_nodes=39)
        apply_change(harness, max_nodes=1)
    assert len(harness.core.context._timers) <= timers + 1
    apply_change(harness, max_nodes=39)
    for _ in range(3):
        if watches(harness.advance_time(REFETCH_INTERVAL_US)):
            send_full_list(harness, 2, *nodes)
    assert len(harness.core.links.nodes()) == 39


# Comparison with a core that was started with the new settings


def run_random_events(core: Core, now: int, seed: int) -> list[Any]:
    """Run a core over a hundred random events, with random answers of nodes. Returns all its actions."""
    rng = random.Random(seed)
    all_actions: list[Any] = []
    open_offers: list[ev.SendOffer] = []
    request_number = 0

    def feed(event: ev.Event) -> None:
        actions = core.handle(now, event)
        all_actions.extend(actions)
        open_offers.extend(offers(actions))

    feed(ev.ClientConnected(1, "o"))
    entries = [
        ev.ListedNode(
            n, f"n{n}", (f"127.0.0.1:{n}",), f"z{n % 3}", f"r{n % 4}", "huge" if n % 3 else "std",
            api.NodeStatus.READY, 16.0, 32.0, 0,
        )
        for n in range(1, 13)
    ]  # fmt: skip
    feed(ev.NodeListReceived(1, 0, True, tuple(entries), 10**15))
    for entry in entries:
        feed(ev.LinkUp(entry.id, 0, False))
    for _ in range(100):
        now += rng.randrange(200 * MS)
        while (due := core.next_due()) is not None and due <= now:
            feed(ev.TimerDue())
        if open_offers and rng.random() < 0.5:
            offer = open_offers.pop(rng.randrange(len(open_offers)))
            rejected = ev.NodeRejected(offer.node, offer.id, rng.choice(list(api.Reason)))
            feed(rejected if rng.random() < 0.4 else ev.NodeRunning(offer.node, offer.id))
        else:
            request_number += 1
            task_class = rng.choice(["worker", "ingest", "report", "apart", "fresh"])
            spec = ev.TaskSpec(
                "o", request_number, task_class, rng.choice(["", "t1", "t3"]), 1 + rng.randrange(5),
                1.0 + rng.random() * 20, 2.0, 0, False,
            )  # fmt: skip
            feed(ev.PlacementRequested(1, request_number, spec, 3 * SECOND))
    return all_actions


@pytest.mark.parametrize("seed", range(5))
def test_a_changed_core_decides_like_one_started_with_the_new_settings(seed: int) -> None:
    start = 1000 * SECOND
    old_config = CoreConfig(CoreHarness().core.context.config.bounds, ("t1", "t2"), ("z1", "z2"))
    new_config = replace(old_config, tenants=("t1", "t2", "t3"), zones=("z1", "z2", "z0"), max_dials=3)
    new = replace(
        SETTINGS,
        classes=(
            *with_class(SETTINGS, "worker", latency_objective_us=300 * MS, deadline_us=2 * SECOND),
            FRESH,
        ),
        node_types=(*SETTINGS.node_types, HUGE),
        max_attempts=2,
        cores_limit=1.5,
        tick_us=20 * MS,
        answer_slack_us=90 * MS,
        price_health_check=0.0,
    )
    started_core = Core(new, new_config, 7, seed)
    started_core.start(start)
    changed_core = Core(SETTINGS, old_config, 7, seed)
    changed_core.start(start)
    assert changed_core.handle(start, ev.SettingsChanged(new, new_config)) == []
    action_logs = [run_random_events(core, start, seed) for core in (started_core, changed_core)]
    assert action_logs[0] == action_logs[1]
    assert len(offers(action_logs[0])) > 20
    unchanged_core = Core(SETTINGS, old_config, 7, seed)
    unchanged_core.start(start)
    assert run_random_events(unchanged_core, start, seed) != action_logs[0]
