"""Tests of links that hold, delay or lose messages: no stale message takes effect, and every task ends."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_emulator import ROOT, SECOND, counts, small_config

from stairplank.emulator.invariant_monitor import InvariantMonitor
from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.planner import events as ev
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import client_models, node_list_model

MS = 1_000
BOTH = ("there", "back")


def monitored_simulation(**changes: object) -> tuple[Simulation, InvariantMonitor]:
    simulation = Simulation(small_config(**changes))
    return simulation, InvariantMonitor(simulation)


def assert_quiescent(simulation: Simulation, after_us: int) -> None:
    """Run for ``after_us``; then all tasks must have ended and the planners must keep no state of them."""
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
        assert observed.stale_rejected or simulation.links.stale_messages  # held messages arrived late


def test_without_the_fence_stale_messages_take_effect() -> None:
    """Nodes accept expired offers if the fence is off, and none if it is on.

    Offers are held on their way to five nodes for longer than they are valid.
    """
    stale_accepted = {}
    for fenced in (True, False):
        stale_accepted[fenced] = 0
        for seed in range(3, 9):
            config = small_config(seed=seed, is_fenced=fenced)
            config = replace(config, clients=tuple(replace(c, rate=c.rate * 2) for c in config.clients))
            simulation = Simulation(config)
            monitor = InvariantMonitor(simulation)
            simulation.run(2 * SECOND)
            # The offers are sent on connections that the planner then closes. No newer connection replaces
            # these before the offers arrive, so that the nodes still read them.
            simulation.hold_links([0], [1, 2, 3, 4, 5], ("there",), 9 * SECOND)
            simulation.run(40 * SECOND)
            stale_accepted[fenced] += len(monitor.observed.stale_accepted)
    assert stale_accepted[True] == 0 and stale_accepted[False] > 0


def single_task_simulation(task_class: str = "report") -> tuple[Simulation, InvariantMonitor, Any]:
    """Return a simulation whose clients request nothing, its monitor and the messages to clients.

    The test requests its task by calling ``simulation.task(key, planner, wait)``.
    """
    config = small_config()
    config = replace(config, clients=tuple(replace(c, demand_ends_us=0) for c in config.clients))
    simulation = Simulation(config)
    monitor = InvariantMonitor(simulation)
    simulation.run(2 * SECOND)
    received: list[Any] = []
    simulation.client_received = lambda i, planner, message: received.append((planner, message))  # type: ignore[method-assign]
    simulation.task = lambda key, planner, wait: simulation.feed(  # type: ignore[attr-defined]
        planner,
        simulation.cores[planner],
        ev.PlacementRequested(
            1,
            key * 10 + planner,
            ev.TaskSpec("owner-0", key, task_class, "", 5, 0.5, 1.0, 30 * SECOND, False),
            wait,
        ),
    )
    return simulation, monitor, received


def messages_of(received: list[Any], kind: type) -> list[Any]:
    return [message for _, message in received if isinstance(message, kind)]


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
    simulation.task(1, 1, 4 * SECOND)  # after its wait the client sends the task to the other planner
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
    assert [message.finished for message in messages_of(received, ev.TaskEnded)] == [True]
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
    """A task is stopped although its stop was sent on a connection that the node no longer serves.

    On the new connection the planner requests the node's tasks, finds the cancelled one and stops it.
    """
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


def test_one_direction_held_until_the_task_counts_as_lost() -> None:
    for direction in BOTH:
        simulation, monitor, received = single_task_simulation("ingest")
        simulation.task(1, 0, 4 * SECOND)
        simulation.run(simulation.now_us + SECOND)
        (node,) = nodes_running(simulation)
        simulation.hold_links([0], [node], (direction,), 8 * SECOND)
        simulation.run(simulation.now_us + 7 * SECOND)
        # The planner has reported the task as lost, since it cannot see that the task still runs.
        assert [message.finished for message in messages_of(received, ev.TaskEnded)] == [False]
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
        st.integers(1_000, 9_000),  # time of the fault in milliseconds
        st.sampled_from(["hold there", "hold back", "hold both", "cut", "planner", "node", "drain", "slow"]),
        st.integers(0, 1),  # planner
        st.integers(1, 5),  # node
        st.integers(100, 12_000),  # duration in milliseconds
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
    for time_ms, fault, planner, node, duration_ms in sorted(faults):
        simulation.run(time_ms * MS)
        if fault.startswith("hold"):
            directions = BOTH if fault.endswith("both") else (fault.split()[1],)
            simulation.hold_links([planner], [node, 1 + node % 5], directions, duration_ms * MS)
        elif fault == "cut":
            simulation.cut_links([planner], [node])
        elif fault == "planner" and planner in simulation.cores:
            simulation.kill_planner(planner, duration_ms * MS)
        elif fault == "node":
            simulation.kill_node(node, duration_ms * MS)
        elif fault == "slow":
            simulation.links.path(planner, node).extra_delay_us["there"] = duration_ms * MS // 10
        elif fault == "drain" and len(drained) < 2:
            drained.add(node)
            simulation.drain_node(node)
    assert_quiescent(simulation, 90 * SECOND)
    observed = monitor.observed
    assert not observed.stale_accepted and not observed.duplicate_runs


def grouped_simulation(seed: int) -> tuple[Simulation, InvariantMonitor]:
    """Return a simulation of the drawn-room scenario, whose clients request groups too, for ten seconds."""
    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / "drawn-room")
    clients = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = SimulationConfig(
        scenario.cluster,
        nodes,
        tuple(replace(c, demand_ends_us=10 * SECOND) for c in clients),
        scenario.planners,
        seed,
        node_list=node_list_model(scenario.section),
    )
    simulation = Simulation(config)
    return simulation, InvariantMonitor(simulation)


@pytest.mark.parametrize("directions", [("there",), ("back",), BOTH])
def test_groups_over_held_links(directions: tuple[str, ...]) -> None:
    """A member that its planner cannot reach ends with its lease, and the others are released by then."""
    partial_us: list[int] = []
    groups_run = 0
    for seed in range(1, 9):
        simulation, monitor = grouped_simulation(seed)
        simulation.run(4 * SECOND)
        simulation.hold_links([0, 1, 2], [2, 4, 5, 8], directions, 7 * SECOND)
        simulation.run(60 * SECOND)
        observed = monitor.observed
        assert not observed.stale_accepted and not observed.duplicate_runs
        partial_us += observed.partial_group_us
        groups_run += len(monitor.running_members)
        assert all(
            not core.attempts.attempts and not core.groups.records for core in simulation.cores.values()
        )
    assert groups_run > 10
    assert all(duration_us <= 2 * SECOND for duration_us in partial_us), partial_us


def test_a_group_whose_lease_renewals_are_held_is_released_completely() -> None:
    """A member that gets no lease renewal ends with its lease, and the planner then releases the others.

    Messages are held in both directions while pings are answered, so the connection stays open.
    """
    simulation, monitor = grouped_simulation(1)
    for client in simulation.clients:
        client.model = replace(client.model, demand_ends_us=0)
    simulation.run(2 * SECOND)
    members = tuple(
        ev.TaskSpec("owner-0", 900 + i, "reduction", "", 70 + i, 0.5, 1.0, 30 * SECOND, False) for i in (0, 1)
    )
    request = ev.GroupRequested(1, 7, members, 6 * SECOND, distinct_nodes=True)
    simulation.feed(0, simulation.cores[0], request)
    simulation.run(simulation.now_us + 2 * SECOND)
    (key,) = monitor.running_members
    assert len(monitor.running_members[key]) == 2
    node = monitor.node_of[sorted(monitor.running_members[key])[0]]
    simulation.hold_links([0], [node], BOTH, 12 * SECOND, answers_pings=True)
    simulation.run(simulation.now_us + 25 * SECOND)
    assert not monitor.running_members[key] and not simulation.cores[0].attempts.attempts
    assert max(monitor.observed.partial_group_us) <= 2 * SECOND
    assert simulation.cores[0].counts["leases_over"] >= 1
