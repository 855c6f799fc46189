"""Tests of the emulator: repeatable simulations, faults, the group meter and grids of experiments."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from stairplank import interface as api
from stairplank.emulator.experiment import COLUMNS, Cell, grid_cells, run_cell, write_results
from stairplank.emulator.group_meter import GroupMeter
from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.rehearsal.scenario import load_scenario
from stairplank.settings import SettingsError
from stairplank.standin.config import client_models, node_list_model

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000
EXPERIMENT_FILE = """
policy groups singles
load 0.5
planners 1 2
group-size 3
seeds 1
lasts 4s
single-class worker
group-class worker
group-share 40%
size 1 2
life 1s..2s
class worker
    effect repeatable
    aim 2s
    deadline 5s
end
kind std cores 8 memory 16
zone hall
mean-cores 1
mean-memory 2
fleet std nodes 6 racks 2
"""


def small_config(**changes: object) -> SimulationConfig:
    """Return the simulation parameters of the scenario that the rehearsal tests run on real processes."""
    scenario = load_scenario(ROOT / "tests" / "rehearsal" / "small-day")
    clients = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    config = SimulationConfig(
        scenario.cluster,
        tuple(n.model for n in scenario.nodes if not n.absent),
        tuple(replace(c, demand_ends_us=5 * SECOND) for c in clients),
        scenario.planners,
        seed=3,
        node_list=node_list_model(scenario.section),
    )
    return replace(config, **changes)  # type: ignore[arg-type]


def counts(simulation: Simulation) -> dict[str, int]:
    total: dict[str, int] = {}
    for client in simulation.clients:
        for outcome, n in client.statistics.counts.items():
            total[outcome] = total.get(outcome, 0) + n
    return total


def test_every_task_finishes_without_faults() -> None:
    simulation = Simulation(small_config())
    simulation.run(20 * SECOND)
    total = counts(simulation)
    assert total["wanted"] > 40 and total["finished"] == total["wanted"]
    assert all(
        not core.attempts.attempts and not core.requests.placements for core in simulation.cores.values()
    )


def test_a_seed_determines_the_simulation() -> None:
    results = []
    for seed in (3, 3, 4):
        simulation = Simulation(small_config(seed=seed))
        simulation.run(15 * SECOND)
        results.append((simulation.events_played, counts(simulation)))
    assert results[0] == results[1] != results[2]


def test_every_task_ends_and_leaves_no_state_after_faults() -> None:
    simulation = Simulation(small_config())
    simulation.run(2 * SECOND)
    simulation.kill_planner(1, SECOND)
    simulation.kill_node(2, 2 * SECOND)
    simulation.drain_node(3)
    simulation.run(40 * SECOND)
    total = counts(simulation)
    assert total["lost"] > 0
    assert total["finished"] + total.get("given_up", 0) == total["wanted"]
    assert all(not core.attempts.attempts for core in simulation.cores.values())


def test_group_meter() -> None:
    meter = GroupMeter()
    a, b = ("o", 1), ("o", 2)
    meter.group_requested([a, b], 0)
    meter.task_accepted(a, 2.0, 1 * SECOND)
    meter.task_running(a, 2 * SECOND)
    meter.task_accepted(b, 1.0, 4 * SECOND)
    meter.task_running(b, 5 * SECOND)
    (group,) = meter.groups
    assert group.complete_us == 5 * SECOND and group.max_partial_us == 3 * SECOND
    assert group.wasted_core_us == (4 * 2.0 + 1 * 1.0) * SECOND
    meter.task_over(a, True, 9 * SECOND)
    meter.task_over(b, False, 10 * SECOND)
    assert group.wasted_core_us == 9 * SECOND  # cores that run a complete group are not wasted


def test_an_experiment_runs_every_cell_of_its_grid(tmp_path: Path) -> None:
    file = tmp_path / "grid"
    file.write_text(EXPERIMENT_FILE)
    grid = grid_cells(str(file))
    assert len(grid) == 4 and grid[0] == Cell(str(file), "groups", 0.5, 1, 3, 1)
    rows = [run_cell(cell) for cell in grid]
    assert all(set(row) == set(COLUMNS) and row["groups"] > 2 for row in rows)
    row_by_cell = {(r["policy"], r["planners"]): r for r in rows}
    assert (
        row_by_cell["groups", 1]["partly_running_most_s"]
        <= 0.05
        < row_by_cell["singles", 1]["partly_running_most_s"]
    )
    assert all(r["whole_ever"] > 0.9 for r in rows)
    write_results(rows, str(file), tmp_path / "out")
    assert (tmp_path / "out" / "results.csv").read_text().count("\n") == 6
    assert (tmp_path / "out" / "chart.png").stat().st_size > 5000
    assert "| 2 | 3 | 0.5 | singles |" in (tmp_path / "out" / "table.md").read_text()


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("policy groups singles", "policy greed"),
        ("group-class worker", "group-class tea"),
        ("fleet std", "fleet odd"),
    ],
)
def test_invalid_grids_are_rejected(tmp_path: Path, old: str, new: str) -> None:
    file = tmp_path / "grid"
    file.write_text(EXPERIMENT_FILE.replace(old, new))
    with pytest.raises(SettingsError):
        grid_cells(str(file))


def single_group_simulation(size: int, seed: int) -> Simulation:
    """Return a simulation of two planners and five nodes whose only client requests one group."""
    config = small_config(seed=seed)
    demand = replace(
        config.clients[0].demands[0], group=True, batch=(size, size), share=1.0, duration_us=(SECOND, SECOND)
    )
    client = replace(
        config.clients[0],
        demands=(demand,),
        max_tasks=size,
        demand_ends_us=5 * SECOND,
        patience_us=60 * SECOND,
    )
    return Simulation(replace(config, clients=(client,), planners=2))


@pytest.mark.parametrize("crashed_process", ["planner", "node"])
def test_a_crash_after_every_event_of_a_group(crashed_process: str) -> None:
    """A crash of the planner or of a node leaves no partial group, whichever event precedes it.

    One simulation is run for each event between the request for the group and its end.
    """
    faultless = single_group_simulation(4, seed=5)
    faultless.run(SECOND)
    first = faultless.events_played
    while not faultless.clients[0].idle or faultless.clients[0].groups:
        faultless.step()
    last = faultless.events_played
    assert last - first > 60
    tried = 0
    for k in range(first, last):
        simulation = single_group_simulation(4, seed=5)
        while simulation.events_played < k:
            simulation.step()
        planner = next((g.planner for g in simulation.clients[0].groups.values()), 0)
        if crashed_process == "planner":
            simulation.kill_planner(max(planner, 0), 700_000 if k % 2 else 30 * SECOND)
        else:
            simulation.kill_node(1 + k % 5, 3 * SECOND)
        simulation.run(120 * SECOND)
        (group,) = simulation.meter.groups
        assert group.max_partial_us <= 2 * SECOND and not group.partial_since_us, (crashed_process, k, group)
        assert group.complete_us or not simulation.clients[0].statistics.counts["groups_asked"], (
            crashed_process,
            k,
        )
        assert not simulation.clients[0].groups and not any(n.offers for n in simulation.nodes.values() if n)
        assert not any(core.attempts.attempts for core in simulation.cores.values()), (crashed_process, k)
        tried += 1
    assert tried == last - first


def test_two_groups_on_nodes_that_fit_only_one() -> None:
    """Two planners' groups that each need most of the nodes must not block each other for ever.

    Neither group could start if each planner kept half of the nodes reserved.
    """
    config = small_config()
    first = config.clients[0]
    demand = replace(
        first.demands[0], group=True, batch=(8, 8), share=1.0, sizes=((8.0, 20.0),), services=1000,
        max_tasks_per_service=99, duration_us=(SECOND, SECOND),
    )  # fmt: skip
    clients = tuple(
        replace(
            config.clients[0],
            name=f"o{i}",
            demands=(demand,),
            max_tasks=8,
            demand_ends_us=SECOND,
            patience_us=90 * SECOND,
        )
        for i in range(2)
    )
    nodes = config.nodes[:3]  # three nodes fit 15 such tasks, so not two groups of eight
    cluster = replace(
        config.cluster, classes=tuple(replace(c, spread=api.Scope.NONE) for c in config.cluster.classes)
    )
    simulation = Simulation(replace(config, cluster=cluster, clients=clients, nodes=nodes, planners=2))
    simulation.run(110 * SECOND)
    assert [bool(g.complete_us) for g in simulation.meter.groups] == [True, True]
    assert all(g.max_partial_us <= 2 * SECOND for g in simulation.meter.groups)
