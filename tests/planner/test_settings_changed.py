"""Changed settings come into force at one turn of the core; what is in flight keeps its terms."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from world import MS, SECOND, SETTINGS, World, held

from stairplank import interface as api
from stairplank.planner import events as ev
from stairplank.planner.core import Core, CoreConfig
from stairplank.planner.node_links import TASK_REQUEST_INTERVAL_US
from stairplank.planner.node_list import REFETCH_INTERVAL_US

HUGE = api.NodeType("huge", 64.0, 128.0)
FRESH = api.TaskClass("fresh", api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0, SECOND, 6 * SECOND)


def change(world: World, settings: dict[str, Any] | None = None, **config: Any) -> list[ev.Action]:
    """Feed a core settings that differ from its own in these fields."""
    return world.feed(changed(world.core, settings, **config))


def changed(core: Core, settings: dict[str, Any] | None = None, **config: Any) -> ev.SettingsChanged:
    context = core.context
    new = replace(context.settings, **(settings or {}))
    return ev.SettingsChanged(new, replace(context.config, **config))


def with_class(settings: api.Settings, name: str, **fields: Any) -> tuple[api.TaskClass, ...]:
    return tuple(replace(c, **fields) if c.name == name else c for c in settings.classes)


def with_bounds(world: World, **bounds: int) -> dict[str, Any]:
    return {"bounds": replace(world.core.context.config.bounds, **bounds)}


def of_kind(world: World, node: int, kind: str, zone: str = "z1") -> ev.ListedNode:
    return replace(world.node_entry(node), node_type=kind, zone=zone)


def tell_list(world: World, revision: int, *nodes: ev.ListedNode) -> list[ev.Action]:
    return world.feed(ev.NodeListReceived(revision, 0, True, nodes, 10**15))


def offers(actions: list[ev.Action]) -> list[ev.SendOffer]:
    return [a for a in actions if isinstance(a, ev.SendOffer)]


def rejections(world: World) -> list[str]:
    return [word.rejection.code for word in world.client_messages(ev.Rejected)]


def watches(actions: list[ev.Action]) -> list[ev.WatchNodeList]:
    return [a for a in actions if isinstance(a, ev.WatchNodeList)]


# Tasks


def test_a_task_in_flight_keeps_the_terms_it_was_taken_with() -> None:
    """A deadline that grows makes a task of six seconds one that comes too late to start in time."""
    w = World()
    large = 12.0  # more than a node has left once the reserve for tasks in time is kept
    (first,) = offers(w.request(1, cores=large))
    change(w, {"classes": with_class(SETTINGS, "worker", deadline_us=60 * SECOND)})
    (second,) = offers(w.feed(ev.NodeRejected(first.node, first.id, api.Reason.QUEUE_FULL)))
    assert second.node != first.node
    assert offers(w.request(2, cores=large)) == []


def test_a_task_in_flight_is_answered_at_the_end_of_its_own_wait() -> None:
    w = World()
    offer = w.request_offer(1, "report")
    asked = w.now
    change(w, {"classes": with_class(SETTINGS, "report", deadline_us=SECOND, latency_objective_us=SECOND)})
    w.wait(5 * SECOND)
    assert w.client_messages() == []
    w.wait(SECOND)
    assert w.client_messages() == [ev.TaskFailed(1, True)]
    assert w.now == asked + 6 * SECOND
    assert offer.wait_us > 5 * SECOND


@pytest.mark.parametrize("tick", [MS, 100 * MS])
def test_a_task_in_flight_has_one_answer_in_time_whatever_the_tick_becomes(tick: int) -> None:
    w = World()
    w.request_offer(1, "report")
    change(w, {"tick_us": tick})
    w.wait(6 * SECOND + SETTINGS.answer_slack_us)
    assert w.client_messages() == [ev.TaskFailed(1, True)]


def test_a_class_is_used_in_the_turn_after_its_coming() -> None:
    w = World()
    w.request(1, "fresh")
    assert rejections(w) == ["INVALID_ARGUMENT"]
    change(w, {"classes": (*SETTINGS.classes, FRESH)})
    offer = w.request_offer(2, "fresh")
    assert offer.class_index == len(SETTINGS.classes)
    w.wait(6 * SECOND)
    assert w.client_messages(ev.TaskFailed) == [ev.TaskFailed(2, True)]  # its effect is known: it may run


def test_a_tenant_is_used_in_the_turn_after_its_coming() -> None:
    w = World()
    w.request(1, tenant="t3")
    assert rejections(w) == ["INVALID_ARGUMENT"]
    change(w, tenants=("t1", "t2", "t3"))
    offer = w.request_offer(2, tenant="t3")
    pending = w.core.module.pending[offer.id.placement]
    assert pending.task.tenant == 2


def test_a_group_of_a_class_is_taken_in_the_turn_after_its_coming() -> None:
    w = World()
    change(w, {"classes": (*SETTINGS.classes, FRESH)})
    members = tuple(w.task_spec(100 + i, "fresh") for i in range(2))
    w.feed(ev.GroupRequested(1, 1, members, 9 * SECOND))
    assert len(w.actions_of(ev.SendOffer)) == 2


def test_a_lower_bound_stops_new_tasks_only() -> None:
    w = World()
    first, second = w.request_offer(1), w.request_offer(2)
    change(w, **with_bounds(w, open_tasks=1))
    assert w.client_messages() == []
    w.request(3)
    assert rejections(w) == ["RESOURCE_EXHAUSTED"]
    w.feed(ev.NodeRunning(first.node, first.id))
    w.feed(ev.NodeRunning(second.node, second.id))
    assert len(w.client_messages(ev.TaskPlaced)) == 2
    assert offers(w.request(4))


def test_a_higher_bound_lets_new_tasks_in_at_once() -> None:
    w = World(bounds=replace(World().core.context.config.bounds, open_tasks_per_client=1))
    w.request_offer(1)
    w.request(2)
    assert rejections(w) == ["RESOURCE_EXHAUSTED"]
    change(w, **with_bounds(w, open_tasks_per_client=2))
    assert offers(w.request(3))


def test_a_held_task_finds_the_room_that_a_higher_limit_gives() -> None:
    w = World(nodes=1)
    w.request_running(1, cores=10.0)
    assert offers(w.request(2, cores=10.0)) == []
    change(w, {"cores_limit": 2.0})
    assert offers(w.wait(SECOND))


def test_fewer_attempts_hold_for_tasks_in_flight_too() -> None:
    w = World()
    first = w.request_offer(1)
    change(w, {"max_attempts": 1})
    w.feed(ev.NodeRejected(first.node, first.id, api.Reason.QUEUE_FULL))
    assert len(w.client_messages(ev.TaskShed)) == 1


# Groups


def test_groups_count_with_the_new_limits() -> None:
    """The places of nodes are kept between lists."""
    w = World(nodes=2)
    apart = {"distinct_nodes": True}
    large = tuple(w.task_spec(100 + i, cores=20.0) for i in range(2))
    w.core.node_list.ready_nodes()
    change(w, {"cores_limit": 2.0})
    assert [p.cores for p in w.core.node_list.ready_nodes()] == [32.0, 32.0]
    w.feed(ev.GroupRequested(1, 1, large, 9 * SECOND, **apart))
    assert w.client_messages(ev.GroupAttempted) == []
    assert len(w.actions_of(ev.SendOffer)) >= 1


# The node list


def test_nodes_of_a_kind_that_comes_later_are_taken_with_it() -> None:
    w = World(nodes=1)
    tell_list(w, 2, of_kind(w, 1, "std"), of_kind(w, 2, "huge"))
    assert sorted(w.core.module.table.nodes) == [1]
    (watch,) = watches(change(w, {"node_types": (*SETTINGS.node_types, HUGE)}))
    assert watch == ev.WatchNodeList(True, 0)
    tell_list(w, 2, of_kind(w, 1, "std"), of_kind(w, 2, "huge"))
    assert w.core.module.table.nodes[2].cores == HUGE.cores


@pytest.mark.parametrize("list_first", [True, False])
@pytest.mark.parametrize("after_a_stall", [True, False])
def test_a_kind_and_a_list_that_names_it_come_together(list_first: bool, after_a_stall: bool) -> None:
    w = World(nodes=1)
    whole = ev.NodeListReceived(2, 0, True, (of_kind(w, 1, "std"), of_kind(w, 2, "huge")), 10**15)
    both: list[ev.Event] = [whole, changed(w.core, {"node_types": (*SETTINGS.node_types, HUGE)})]
    events = both if list_first else both[::-1]
    actions = (
        w.core.handle_after_stall(w.now, events) if after_a_stall else [a for e in events for a in w.feed(e)]
    )
    if watches(actions):
        w.feed(whole)
    assert sorted(w.core.module.table.nodes) == [1, 2]
    w.feed(ev.NodeListReceived(3, 2, False, (of_kind(w, 3, "huge"),), 10**15))
    assert sorted(w.core.module.table.nodes) == [1, 2, 3]


def test_a_list_change_that_is_on_its_way_while_the_whole_is_fetched_does_no_harm() -> None:
    w = World(nodes=1)
    tell_list(w, 2, of_kind(w, 1, "std"), of_kind(w, 2, "huge"))
    change(w, {"node_types": (*SETTINGS.node_types, HUGE)})
    late = w.feed(ev.NodeListReceived(3, 2, False, (of_kind(w, 3, "std"),), 10**15))
    assert watches(late) == []  # it is being fetched
    tell_list(w, 3, of_kind(w, 1, "std"), of_kind(w, 2, "huge"), of_kind(w, 3, "std"))
    assert sorted(w.core.module.table.nodes) == [1, 2, 3]


def test_a_fetch_of_the_whole_that_fails_is_asked_for_again_from_the_beginning() -> None:
    w = World(nodes=1)
    tell_list(w, 2, of_kind(w, 1, "std"), of_kind(w, 2, "huge"))
    change(w, {"node_types": (*SETTINGS.node_types, HUGE)})
    w.feed(ev.NodeListFailed())
    assert watches(w.wait(5 * SECOND)) == [ev.WatchNodeList(True, 0)]


def test_nodes_above_a_table_that_grows_are_taken() -> None:
    w = World(nodes=1, max_nodes=1)
    tell_list(w, 2, w.node_entry(1), w.node_entry(2))
    assert w.core.links.nodes() == [1]
    assert watches(change(w, max_nodes=2)) == [ev.WatchNodeList(True, 0)]
    tell_list(w, 2, w.node_entry(1), w.node_entry(2))
    assert w.core.links.nodes() == [1, 2]


@pytest.mark.parametrize(
    "more", [{"settings": {"node_types": (*SETTINGS.node_types, HUGE)}}, {"max_nodes": 3}]
)
def test_the_whole_list_is_fetched_once_for_what_is_left_out(more: dict[str, Any]) -> None:
    w = World(nodes=1, max_nodes=2)
    tell_list(w, 2, w.node_entry(1), of_kind(w, 2, "huge"), w.node_entry(3))
    assert len(watches(change(w, **more))) == 1
    w.wait(2 * REFETCH_INTERVAL_US)
    assert watches(change(w, {"max_attempts": 5})) == []  # it is on its way


def test_a_node_that_has_left_is_not_fetched_for_its_kind() -> None:
    w = World(nodes=1)
    tell_list(w, 2, w.node_entry(1), of_kind(w, 2, "huge"))
    tell_list(w, 3, w.node_entry(1))
    assert watches(change(w, {"node_types": (*SETTINGS.node_types, HUGE)})) == []


def test_a_smaller_table_keeps_the_nodes_it_has() -> None:
    w = World(nodes=3)
    assert watches(change(w, max_nodes=1)) == []
    w.feed(ev.NodeListReceived(2, 1, False, (w.node_entry(4),), 10**15))
    assert sorted(w.core.links.nodes()) == [1, 2, 3]


def test_a_zone_that_nodes_named_before_keeps_its_number() -> None:
    """Danger: counts of tasks in a zone are kept by its number."""
    w = World(nodes=1)
    tell_list(w, 2, of_kind(w, 1, "std"), of_kind(w, 2, "std", zone="z9"))
    before = w.core.module.table.nodes[2].entry.zone
    change(w, zones=("z1", "z2", "z3", "z9"))
    tell_list(w, 3, of_kind(w, 1, "std"), of_kind(w, 2, "std", zone="z9"), of_kind(w, 3, "std", zone="z3"))
    zones = {n: node.entry.zone for n, node in w.core.module.table.nodes.items()}
    assert zones[2] == before
    assert len(set(zones.values())) == 3


# Links


def test_more_dials_begin_at_once() -> None:
    w = World(nodes=0, max_dials=1)
    listed = w.send_node_list(1, 2, 3)
    assert [a.node for a in listed if isinstance(a, ev.Dial)] == [1]
    dials = [a.node for a in change(w, max_dials=2) if isinstance(a, ev.Dial)]
    assert dials == [2]


def test_waits_between_dials_follow_the_settings() -> None:
    w = World(nodes=1)
    w.feed(ev.LinkDown(1))
    w.wait(SECOND)
    change(w, dial_retry_us=20 * SECOND, max_dial_retry_us=20 * SECOND)
    failed = w.now
    w.feed(ev.DialFailed(1))
    assert w.core.links.links[1].next_dial_at >= failed + 10 * SECOND


def test_tasks_of_a_class_that_comes_later_are_adopted() -> None:
    w = World(nodes=1)
    task = held(w, 9)
    task = replace(task, task=replace(task.task, task_class="fresh"))
    w.feed(ev.NodeTasksReported(1, 0, (task,)))
    assert w.client_messages(ev.TaskRecovered) == []
    change(w, {"classes": (*SETTINGS.classes, FRESH)})
    assert w.actions_of(ev.RequestNodeTasks) == []  # it was asked a moment ago
    w.wait(TASK_REQUEST_INTERVAL_US)
    assert w.actions_of(ev.RequestNodeTasks) == [ev.RequestNodeTasks(1)]
    w.feed(ev.NodeTasksReported(1, 0, (task,)))
    assert w.client_messages(ev.TaskRecovered) == [ev.TaskRecovered(0, 9, 1)]
    w.actions.clear()
    change(w, {"max_attempts": 5})
    w.wait(2 * TASK_REQUEST_INTERVAL_US)
    assert w.actions_of(ev.RequestNodeTasks) == []


def test_a_node_whose_link_is_broken_is_not_asked() -> None:
    w = World(nodes=1)
    task = held(w, 9)
    w.feed(ev.NodeTasksReported(1, 0, (replace(task, task=replace(task.task, task_class="fresh")),)))
    w.wait(2 * TASK_REQUEST_INTERVAL_US)
    w.feed(ev.LinkDown(1))
    assert change(w, {"classes": (*SETTINGS.classes, FRESH)}) == []


def test_a_node_that_has_left_is_not_remembered_for_its_tasks() -> None:
    w = World(nodes=1)
    task = held(w, 9)
    w.feed(ev.NodeTasksReported(1, 0, (replace(task, task=replace(task.task, task_class="fresh")),)))
    assert w.core.links._unknown_class == {1}
    w.send_node_list(2, revision=2)
    assert w.core.links._unknown_class == set()


# Many changes


def test_hundreds_of_changes_in_a_row_leave_nothing_behind() -> None:
    """A node of a kind that never comes, a full table and a held task of an unknown class stand by."""
    w = World(nodes=2, max_nodes=3)
    task = held(w, 9)
    unknown = replace(task, task=replace(task.task, task_class="never"))
    w.feed(ev.NodeTasksReported(1, 0, (unknown,)))
    tell_list(w, 2, w.node_entry(1), w.node_entry(2), of_kind(w, 3, "never"), w.node_entry(4))
    w.request_offer(1, wait_us=60 * SECOND)
    before = len(w.core.context._timers)
    actions: list[ev.Action] = []
    classes = SETTINGS.classes
    for n in range(400):
        classes = (*classes, replace(FRESH, name=f"fresh-{n}")) if n % 100 == 0 else classes
        settings = {"classes": classes, "max_attempts": 2 + n % 5, "cores_limit": 1.0 + n % 3}
        actions += change(w, settings, max_nodes=3 - n % 2, max_dials=1 + n % 4)
    assert watches(actions) == []
    assert len([a for a in actions if isinstance(a, ev.RequestNodeTasks)]) <= 1
    assert len(w.core.context._timers) <= before + 2
    assert len(w.core.context.classes) == len(SETTINGS.classes) + 4
    assert len(w.core.node_list.zones) == 2
    assert w.core.counts["settings_changed"] == 400


def test_tables_that_grow_again_and_again_fetch_the_list_at_a_bounded_pace() -> None:
    w = World(nodes=1, max_nodes=1)
    nodes = [w.node_entry(n) for n in range(1, 50)]
    tell_list(w, 2, *nodes)
    fetches = 0
    began = w.now
    for n in range(2, 40):
        found = watches(change(w, max_nodes=n)) + watches(w.wait(50 * MS))
        fetches += len(found)
        if found:
            tell_list(w, 2, *nodes)
    assert 1 <= fetches <= 2 + (w.now - began) // REFETCH_INTERVAL_US
    timers = len(w.core.context._timers)
    for _ in range(100):
        change(w, max_nodes=39)
        change(w, max_nodes=1)
    assert len(w.core.context._timers) <= timers + 1
    change(w, max_nodes=39)
    for _ in range(3):
        if watches(w.wait(REFETCH_INTERVAL_US)):
            tell_list(w, 2, *nodes)
    assert len(w.core.links.nodes()) == 39


# The same as a core that was started so


def drawn_life(core: Core, now: int, seed: int) -> list[Any]:
    """What a core does over a hundred drawn events; nodes answer as drawn."""
    rng = random.Random(seed)
    out: list[Any] = []
    open_offers: list[ev.SendOffer] = []
    ask = 0

    def feed(event: ev.Event) -> None:
        actions = core.handle(now, event)
        out.extend(actions)
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
            refused = ev.NodeRejected(offer.node, offer.id, rng.choice(list(api.Reason)))
            feed(refused if rng.random() < 0.4 else ev.NodeRunning(offer.node, offer.id))
        else:
            ask += 1
            sort = rng.choice(["worker", "ingest", "report", "apart", "fresh"])
            spec = ev.TaskSpec(
                "o", ask, sort, rng.choice(["", "t1", "t3"]), 1 + rng.randrange(5),
                1.0 + rng.random() * 20, 2.0, 0, False,
            )  # fmt: skip
            feed(ev.PlacementRequested(1, ask, spec, 3 * SECOND))
    return out


@pytest.mark.parametrize("seed", range(5))
def test_a_changed_core_decides_as_one_that_was_started_so(seed: int) -> None:
    start = 1000 * SECOND
    old_config = CoreConfig(World().core.context.config.bounds, ("t1", "t2"), ("z1", "z2"))
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
    started = Core(new, new_config, 7, seed)
    started.start(start)
    taken = Core(SETTINGS, old_config, 7, seed)
    taken.start(start)
    assert taken.handle(start, ev.SettingsChanged(new, new_config)) == []
    lives = [drawn_life(core, start, seed) for core in (started, taken)]
    assert lives[0] == lives[1]
    assert len(offers(lives[0])) > 20
    unchanged = Core(SETTINGS, old_config, 7, seed)
    unchanged.start(start)
    assert drawn_life(unchanged, start, seed) != lives[0]
