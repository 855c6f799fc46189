"""Links that hold what is said, in simulated time: nothing stale takes effect, and everything ends."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_emulator import ROOT, SECOND, counts, small_day

from stairplank.emulator.invariant_monitor import InvariantMonitor
from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.planner import events as ev
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import directory_model, owner_models

MS = 1_000
BOTH = ("there", "back")


def room(**changes: object) -> tuple[Simulation, InvariantMonitor]:
    world = Simulation(small_day(**changes))
    return world, InvariantMonitor(world)


def quiet(world: Simulation, after_us: int) -> None:
    """Everything has ended, and nothing is kept of it."""
    world.run(world.now_us + after_us)
    total = counts(world)
    assert total["finished"] + total.get("given_up", 0) == total["wanted"]
    for core in world.cores.values():
        assert (
            not core.attempts.attempts
            and not core.owners.placings
            and not core.attempts.at_node
            and core.owners.open_tasks == 0
        )


@pytest.mark.parametrize("directions", [("there",), ("back",), BOTH])
def test_a_partition_that_delivers_what_it_kept(directions: tuple[str, ...]) -> None:
    world, watch = room()
    world.run(2 * SECOND)
    world.hold_links([0, 1], [1, 2, 3], directions, 12 * SECOND)
    quiet(world, 60 * SECOND)
    seen = watch.observed
    assert (
        seen.offers > 60 and not seen.stale_accepted and not seen.duplicate_runs and not seen.fresh_rejected
    )
    if "there" in directions:
        assert seen.stale_rejected or world.links.stale_messages  # something was kept, and came


def test_without_the_fence_what_was_kept_is_taken() -> None:
    """The same partition, as short as planners bear without giving their connections up."""
    found = {}
    for fenced in (True, False):
        found[fenced] = 0
        for seed in range(3, 9):
            config = small_day(seed=seed, is_fenced=fenced)
            config = replace(config, clients=tuple(replace(o, rate=o.rate * 2) for o in config.clients))
            world = Simulation(config)
            watch = InvariantMonitor(world)
            world.run(2 * SECOND)
            # Said on connections that are given up meanwhile, and that no newer one replaces in time.
            world.hold_links([0], [1, 2, 3, 4, 5], ("there",), 9 * SECOND)
            world.run(40 * SECOND)
            found[fenced] += len(watch.observed.stale_accepted)
    assert found[True] == 0 and found[False] > 0


def one_task(sort: str = "report") -> tuple[Simulation, InvariantMonitor, Any]:
    """A room without owners' demand, and one task asked for by hand."""
    config = small_day()
    config = replace(config, clients=tuple(replace(o, ends_us=0) for o in config.clients))
    world = Simulation(config)
    watch = InvariantMonitor(world)
    world.run(2 * SECOND)
    heard: list[Any] = []
    world.client_received = lambda i, planner, word: heard.append((planner, word))  # type: ignore[method-assign]
    world.task = lambda key, planner, wait: world.feed(  # type: ignore[attr-defined]
        planner,
        world.cores[planner],
        ev.PlacementRequested(
            1,
            key * 10 + planner,
            ev.TaskSpec("owner-0", key, sort, "", 5, 0.5, 1.0, 30 * SECOND, False),
            wait,
        ),
    )
    return world, watch, heard


def of(heard: list[Any], kind: type) -> list[Any]:
    return [word for _, word in heard if isinstance(word, kind)]


def running(world: Simulation) -> list[int]:
    return [
        n
        for n, node in world.nodes.items()
        if node and any(o.stage.value == "running" for o in node.held.values())
    ]


def test_an_offer_kept_for_twelve_seconds_after_its_task_went_elsewhere() -> None:
    world, watch, heard = one_task()
    nodes = list(world.nodes)
    world.hold_links([0], nodes, ("there",), 12 * SECOND)
    world.task(1, 0, 4 * SECOND)
    world.run(world.now_us + 5 * SECOND)
    assert of(heard, ev.TaskFailed)
    world.task(1, 1, 4 * SECOND)  # its owner has waited, and asks another planner
    world.run(world.now_us + 3 * SECOND)
    assert of(heard, ev.TaskPlaced) and len(running(world)) == 1
    world.run(world.now_us + 8 * SECOND)
    assert (
        len(running(world)) == 1
        and not watch.observed.duplicate_runs_of_retries
        and not watch.observed.stale_accepted
    )


def test_an_answer_kept_until_the_planner_gave_up_is_adopted_and_counted_once() -> None:
    world, watch, heard = one_task()
    world.hold_links([0], list(world.nodes), ("back",), 1500 * MS)
    world.task(1, 0, 800 * MS)
    world.run(world.now_us + SECOND)
    assert of(heard, ev.TaskFailed) and len(running(world)) == 1
    world.run(world.now_us + 3 * SECOND)
    assert len(of(heard, ev.TaskRecovered)) == 1 and len(running(world)) == 1
    world.run(world.now_us + 40 * SECOND)
    assert [w.finished for w in of(heard, ev.TaskEnded)] == [True]
    assert not watch.observed.duplicate_runs and not world.cores[0].attempts.attempts


def test_a_copy_that_may_be_repeated_is_stopped_once_its_answer_comes() -> None:
    world, _, heard = one_task("worker")
    world.hold_links([0], list(world.nodes), ("back",), 1500 * MS)
    world.task(1, 0, 800 * MS)
    world.run(world.now_us + SECOND)
    assert of(heard, ev.TaskFailed) or of(heard, ev.TaskShed)
    world.run(world.now_us + 5 * SECOND)
    assert not running(world) and not world.cores[0].attempts.attempts


def test_a_stop_kept_while_a_new_connection_stands() -> None:
    """The stop is on the old connection, which is not looked at any more; what the node holds tells of it."""
    world, _, heard = one_task()
    world.task(1, 0, 4 * SECOND)
    world.run(world.now_us + SECOND)
    (node,) = running(world)
    world.hold_links([0], [node], ("there",), 4 * SECOND)
    world.feed(0, world.cores[0], ev.PlacementCancelled(1, 10))
    world.run(world.now_us + 3500 * MS)
    assert running(world) == [node]
    world.run(world.now_us + 4 * SECOND)
    assert not running(world) and not world.cores[0].attempts.attempts
    assert heard


def test_one_direction_cut_for_longer_than_the_grace() -> None:
    for direction in BOTH:
        world, watch, heard = one_task("ingest")
        world.task(1, 0, 4 * SECOND)
        world.run(world.now_us + SECOND)
        (node,) = running(world)
        world.hold_links([0], [node], (direction,), 8 * SECOND)
        world.run(world.now_us + 7 * SECOND)
        assert [w.finished for w in of(heard, ev.TaskEnded)] == [False]  # lost, as far as is known
        world.run(world.now_us + 5 * SECOND)
        assert len(of(heard, ev.TaskRecovered)) == 1 and running(world) == [node]
        assert not watch.observed.duplicate_runs


def test_a_cut_loses_what_is_on_the_way_and_last_words_come_again() -> None:
    world, watch = room()
    for second in range(2, 8):
        world.run(second * SECOND)
        world.cut_links([0, 1], list(world.nodes))
    quiet(world, 60 * SECOND)
    assert not watch.observed.stale_accepted and not watch.observed.duplicate_runs


FAULTS = st.lists(
    st.tuples(
        st.integers(1_000, 9_000),  # when, in milliseconds
        st.sampled_from(["hold there", "hold back", "hold both", "cut", "planner", "node", "drain", "slow"]),
        st.integers(0, 1),  # planner
        st.integers(1, 5),  # node
        st.integers(100, 12_000),  # for so long
    ),
    min_size=1,
    max_size=10,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(1, 1000), faults=FAULTS)
def test_any_order_of_holds_cuts_and_deaths(seed: int, faults: list[tuple[int, str, int, int, int]]) -> None:
    world, watch = room(seed=seed)
    drained: set[int] = set()
    for at, what, planner, node, span in sorted(faults):
        world.run(at * MS)
        if what.startswith("hold"):
            directions = BOTH if what.endswith("both") else (what.split()[1],)
            world.hold_links([planner], [node, 1 + node % 5], directions, span * MS)
        elif what == "cut":
            world.cut_links([planner], [node])
        elif what == "planner" and planner in world.cores:
            world.kill_planner(planner, span * MS)
        elif what == "node":
            world.kill_node(node, span * MS)
        elif what == "slow":
            world.links.path(planner, node).extra_delay_us["there"] = span * MS // 10
        elif what == "drain" and len(drained) < 2:
            drained.add(node)
            world.drain_node(node)
    quiet(world, 90 * SECOND)
    seen = watch.observed
    assert not seen.stale_accepted and not seen.duplicate_runs


def grouped(seed: int) -> tuple[Simulation, InvariantMonitor]:
    """The room of drawn scenarios, groups among its tasks, for ten seconds of asking."""
    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / "drawn-room")
    owners = owner_models(scenario.section, scenario.room, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = SimulationConfig(
        scenario.room, nodes, tuple(replace(o, ends_us=10 * SECOND) for o in owners), scenario.planners, seed,
        node_list=directory_model(scenario.section),
    )  # fmt: skip
    world = Simulation(config)
    return world, InvariantMonitor(world)


@pytest.mark.parametrize("directions", [("there",), ("back",), BOTH])
def test_groups_over_links_that_hold(directions: tuple[str, ...]) -> None:
    """A member that its planner cannot reach ends with its lease; the rest is released by then."""
    spans: list[int] = []
    tried = 0
    for seed in range(1, 9):
        world, watch = grouped(seed)
        world.run(4 * SECOND)
        world.hold_links([0, 1, 2], [2, 4, 5, 8], directions, 7 * SECOND)
        world.run(60 * SECOND)
        seen = watch.observed
        assert not seen.stale_accepted and not seen.duplicate_runs
        spans += seen.partial_group_us
        tried += len(watch.running_members)
        assert all(not core.attempts.attempts and not core.groups.records for core in world.cores.values())
    assert tried > 10
    assert all(span <= 2 * SECOND for span in spans), spans


def test_a_group_whose_keeps_are_held_unnoticed_is_released_as_a_whole() -> None:
    """Words stand still both ways, pings are answered: its members end with their lease, the others then."""
    world, watch = grouped(1)
    for owner in world.clients:
        owner.model = replace(owner.model, ends_us=0)
    world.run(2 * SECOND)
    members = tuple(
        ev.TaskSpec("owner-0", 900 + i, "reduction", "", 70 + i, 0.5, 1.0, 30 * SECOND, False) for i in (0, 1)
    )
    ask = ev.GroupRequested(1, 7, members, 6 * SECOND, distinct_nodes=True)
    world.feed(0, world.cores[0], ask)
    world.run(world.now_us + 2 * SECOND)
    (key,) = watch.running_members
    assert len(watch.running_members[key]) == 2
    node = watch.node_of[sorted(watch.running_members[key])[0]]
    world.hold_links([0], [node], BOTH, 12 * SECOND, answers_pings=True)
    world.run(world.now_us + 25 * SECOND)
    assert not watch.running_members[key] and not world.cores[0].attempts.attempts
    assert max(watch.observed.partial_group_us) <= 2 * SECOND
    assert world.cores[0].counts["leases_over"] >= 1
