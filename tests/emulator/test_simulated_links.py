"""Links that hold messages, in simulated time: nothing stale takes effect, and everything ends."""

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
from stairplank.standin.config import client_models, node_list_model

MS = 1_000
BOTH = ("there", "back")


def monitored_simulation(**changes: object) -> tuple[Simulation, InvariantMonitor]:
    simulation = Simulation(small_day(**changes))
    return simulation, InvariantMonitor(simulation)


def assert_quiescent(simulation: Simulation, after_us: int) -> None:
    """Everything has ended, and nothing is kept of it."""
    simulation.run(simulation.now_us + after_us)
    total = counts(simulation)
    assert total["finished"] + total.get("given_up", 0) == total["wanted"]
    for core in simulation.cores.values():
        assert (
            not core.attempts.attempts
            and not core.requests.placements
            and not core.attempts.by_node
            and core.requests.open_tasks == 0
        )


@pytest.mark.parametrize("directions", [("there",), ("back",), BOTH])
def test_a_partition_that_delivers_held_messages_when_it_heals(directions: tuple[str, ...]) -> None:
    simulation, monitor = monitored_simulation()
    simulation.run(2 * SECOND)
    simulation.hold_links([0, 1], [1, 2, 3], directions, 12 * SECOND)
    assert_quiescent(simulation, 60 * SECOND)
    observed = monitor.observed
    assert (
        observed.offers > 60
        and not observed.stale_accepted
        and not observed.duplicate_runs
        and not observed.fresh_rejected
    )
    if "there" in directions:
        assert observed.stale_rejected or simulation.links.stale_messages  # something was held, and arrived


def test_without_the_fence_stale_messages_take_effect() -> None:
    """The same partition, as short as planners bear without giving their connections up."""
    found = {}
    for fenced in (True, False):
        found[fenced] = 0
        for seed in range(3, 9):
            config = small_day(seed=seed, is_fenced=fenced)
            config = replace(config, clients=tuple(replace(o, rate=o.rate * 2) for o in config.clients))
            simulation = Simulation(config)
            monitor = InvariantMonitor(simulation)
            simulation.run(2 * SECOND)
            # Said on connections that are given up meanwhile, and that no newer one replaces in time.
            simulation.hold_links([0], [1, 2, 3, 4, 5], ("there",), 9 * SECOND)
            simulation.run(40 * SECOND)
            found[fenced] += len(monitor.observed.stale_accepted)
    assert found[True] == 0 and found[False] > 0


def single_task_simulation(sort: str = "report") -> tuple[Simulation, InvariantMonitor, Any]:
    """A simulation without demand of its own, and one task requested by the test."""
    config = small_day()
    config = replace(config, clients=tuple(replace(o, demand_ends_us=0) for o in config.clients))
    simulation = Simulation(config)
    monitor = InvariantMonitor(simulation)
    simulation.run(2 * SECOND)
    received: list[Any] = []
    simulation.client_received = lambda i, planner, word: received.append((planner, word))  # type: ignore[method-assign]
    simulation.task = lambda key, planner, wait: simulation.feed(  # type: ignore[attr-defined]
        planner,
        simulation.cores[planner],
        ev.PlacementRequested(
            1,
            key * 10 + planner,
            ev.TaskSpec("owner-0", key, sort, "", 5, 0.5, 1.0, 30 * SECOND, False),
            wait,
        ),
    )
    return simulation, monitor, received


def messages_of(received: list[Any], kind: type) -> list[Any]:
    return [word for _, word in received if isinstance(word, kind)]


def nodes_running(simulation: Simulation) -> list[int]:
    return [
        n
        for n, node in simulation.nodes.items()
        if node and any(o.state.value == "running" for o in node.offers.values())
    ]


def test_an_offer_held_for_twelve_seconds_after_its_task_ran_elsewhere() -> None:
    simulation, monitor, received = single_task_simulation()
    nodes = list(simulation.nodes)
    simulation.hold_links([0], nodes, ("there",), 12 * SECOND)
    simulation.task(1, 0, 4 * SECOND)
    simulation.run(simulation.now_us + 5 * SECOND)
    assert messages_of(received, ev.TaskFailed)
    simulation.task(1, 1, 4 * SECOND)  # its client has waited, and asks another planner
    simulation.run(simulation.now_us + 3 * SECOND)
    assert messages_of(received, ev.TaskPlaced) and len(nodes_running(simulation)) == 1
    simulation.run(simulation.now_us + 8 * SECOND)
    assert (
        len(nodes_running(simulation)) == 1
        and not monitor.observed.duplicate_runs_of_retries
        and not monitor.observed.stale_accepted
    )


def test_a_report_held_past_the_attempt_timeout_is_recovered_and_counted_once() -> None:
    simulation, monitor, received = single_task_simulation()
    simulation.hold_links([0], list(simulation.nodes), ("back",), 1500 * MS)
    simulation.task(1, 0, 800 * MS)
    simulation.run(simulation.now_us + SECOND)
    assert messages_of(received, ev.TaskFailed) and len(nodes_running(simulation)) == 1
    simulation.run(simulation.now_us + 3 * SECOND)
    assert len(messages_of(received, ev.TaskRecovered)) == 1 and len(nodes_running(simulation)) == 1
    simulation.run(simulation.now_us + 40 * SECOND)
    assert [w.finished for w in messages_of(received, ev.TaskEnded)] == [True]
    assert not monitor.observed.duplicate_runs and not simulation.cores[0].attempts.attempts


def test_an_abandoned_idempotent_attempt_is_stopped_once_its_report_arrives() -> None:
    simulation, _, received = single_task_simulation("worker")
    simulation.hold_links([0], list(simulation.nodes), ("back",), 1500 * MS)
    simulation.task(1, 0, 800 * MS)
    simulation.run(simulation.now_us + SECOND)
    assert messages_of(received, ev.TaskFailed) or messages_of(received, ev.TaskShed)
    simulation.run(simulation.now_us + 5 * SECOND)
    assert not nodes_running(simulation) and not simulation.cores[0].attempts.attempts


def test_a_stop_held_while_a_new_connection_is_open() -> None:
    """The stop is on the old connection, which is not looked at any more; what the node holds tells of it."""
    simulation, _, received = single_task_simulation()
    simulation.task(1, 0, 4 * SECOND)
    simulation.run(simulation.now_us + SECOND)
    (node,) = nodes_running(simulation)
    simulation.hold_links([0], [node], ("there",), 4 * SECOND)
    simulation.feed(0, simulation.cores[0], ev.PlacementCancelled(1, 10))
    simulation.run(simulation.now_us + 3500 * MS)
    assert nodes_running(simulation) == [node]
    simulation.run(simulation.now_us + 4 * SECOND)
    assert not nodes_running(simulation) and not simulation.cores[0].attempts.attempts
    assert received


def test_one_direction_cut_for_longer_than_the_grace() -> None:
    for direction in BOTH:
        simulation, monitor, received = single_task_simulation("ingest")
        simulation.task(1, 0, 4 * SECOND)
        simulation.run(simulation.now_us + SECOND)
        (node,) = nodes_running(simulation)
        simulation.hold_links([0], [node], (direction,), 8 * SECOND)
        simulation.run(simulation.now_us + 7 * SECOND)
        assert [w.finished for w in messages_of(received, ev.TaskEnded)] == [
            False
        ]  # lost, as far as is known
        simulation.run(simulation.now_us + 5 * SECOND)
        assert len(messages_of(received, ev.TaskRecovered)) == 1 and nodes_running(simulation) == [node]
        assert not monitor.observed.duplicate_runs


def test_a_reset_loses_messages_in_flight_and_last_reports_are_resent() -> None:
    simulation, monitor = monitored_simulation()
    for second in range(2, 8):
        simulation.run(second * SECOND)
        simulation.cut_links([0, 1], list(simulation.nodes))
    assert_quiescent(simulation, 60 * SECOND)
    assert not monitor.observed.stale_accepted and not monitor.observed.duplicate_runs


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
def test_any_order_of_holds_resets_and_crashes(
    seed: int, faults: list[tuple[int, str, int, int, int]]
) -> None:
    simulation, monitor = monitored_simulation(seed=seed)
    drained: set[int] = set()
    for at, what, planner, node, span in sorted(faults):
        simulation.run(at * MS)
        if what.startswith("hold"):
            directions = BOTH if what.endswith("both") else (what.split()[1],)
            simulation.hold_links([planner], [node, 1 + node % 5], directions, span * MS)
        elif what == "cut":
            simulation.cut_links([planner], [node])
        elif what == "planner" and planner in simulation.cores:
            simulation.kill_planner(planner, span * MS)
        elif what == "node":
            simulation.kill_node(node, span * MS)
        elif what == "slow":
            simulation.links.path(planner, node).extra_delay_us["there"] = span * MS // 10
        elif what == "drain" and len(drained) < 2:
            drained.add(node)
            simulation.drain_node(node)
    assert_quiescent(simulation, 90 * SECOND)
    observed = monitor.observed
    assert not observed.stale_accepted and not observed.duplicate_runs


def grouped(seed: int) -> tuple[Simulation, InvariantMonitor]:
    """The cluster of drawn scenarios, groups among its tasks, for ten seconds of requests."""
    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / "drawn-room")
    owners = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = SimulationConfig(
        scenario.cluster,
        nodes,
        tuple(replace(o, demand_ends_us=10 * SECOND) for o in owners),
        scenario.planners,
        seed,
        node_list=node_list_model(scenario.section),
    )
    simulation = Simulation(config)
    return simulation, InvariantMonitor(simulation)


@pytest.mark.parametrize("directions", [("there",), ("back",), BOTH])
def test_groups_over_links_that_hold(directions: tuple[str, ...]) -> None:
    """A member that its planner cannot reach ends with its lease; the rest is released by then."""
    spans: list[int] = []
    tried = 0
    for seed in range(1, 9):
        simulation, monitor = grouped(seed)
        simulation.run(4 * SECOND)
        simulation.hold_links([0, 1, 2], [2, 4, 5, 8], directions, 7 * SECOND)
        simulation.run(60 * SECOND)
        observed = monitor.observed
        assert not observed.stale_accepted and not observed.duplicate_runs
        spans += observed.partial_group_us
        tried += len(monitor.running_members)
        assert all(
            not core.attempts.attempts and not core.groups.records for core in simulation.cores.values()
        )
    assert tried > 10
    assert all(span <= 2 * SECOND for span in spans), spans


def test_a_group_whose_lease_renewals_are_held_is_released_completely() -> None:
    """Words stand still both ways, pings are answered: its members end with their lease, the others then."""
    simulation, monitor = grouped(1)
    for owner in simulation.clients:
        owner.model = replace(owner.model, demand_ends_us=0)
    simulation.run(2 * SECOND)
    members = tuple(
        ev.TaskSpec("owner-0", 900 + i, "reduction", "", 70 + i, 0.5, 1.0, 30 * SECOND, False) for i in (0, 1)
    )
    ask = ev.GroupRequested(1, 7, members, 6 * SECOND, distinct_nodes=True)
    simulation.feed(0, simulation.cores[0], ask)
    simulation.run(simulation.now_us + 2 * SECOND)
    (key,) = monitor.running_members
    assert len(monitor.running_members[key]) == 2
    node = monitor.node_of[sorted(monitor.running_members[key])[0]]
    simulation.hold_links([0], [node], BOTH, 12 * SECOND, answers_pings=True)
    simulation.run(simulation.now_us + 25 * SECOND)
    assert not monitor.running_members[key] and not simulation.cores[0].attempts.attempts
    assert max(monitor.observed.partial_group_us) <= 2 * SECOND
    assert simulation.cores[0].counts["leases_over"] >= 1
