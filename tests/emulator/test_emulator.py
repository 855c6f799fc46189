"""The emulator: the same cores in simulated time, repeatable; the experiment's rows mean what they say."""

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
SMALL = """
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


def small_day(**changes: object) -> SimulationConfig:
    """The tests' short day, as it runs on real processes."""
    scenario = load_scenario(ROOT / "tests" / "rehearsal" / "small-day")
    owners = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    config = SimulationConfig(
        scenario.cluster,
        tuple(n.model for n in scenario.nodes if not n.absent),
        tuple(replace(o, demand_ends_us=5 * SECOND) for o in owners),
        scenario.planners,
        seed=3,
        node_list=node_list_model(scenario.section),
    )
    return replace(config, **changes)  # type: ignore[arg-type]


def counts(simulation: Simulation) -> dict[str, int]:
    total: dict[str, int] = {}
    for owner in simulation.clients:
        for what, n in owner.statistics.counts.items():
            total[what] = total.get(what, 0) + n
    return total


def test_a_day_in_simulated_time() -> None:
    simulation = Simulation(small_day())
    simulation.run(20 * SECOND)
    total = counts(simulation)
    assert total["wanted"] > 40 and total["finished"] == total["wanted"]
    assert all(
        not core.attempts.attempts and not core.requests.placements for core in simulation.cores.values()
    )


def test_one_seed_gives_one_day() -> None:
    days = []
    for seed in (3, 3, 4):
        simulation = Simulation(small_day(seed=seed))
        simulation.run(15 * SECOND)
        days.append((simulation.events_played, counts(simulation)))
    assert days[0] == days[1] != days[2]


def test_faults_leave_nothing_behind() -> None:
    simulation = Simulation(small_day())
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
    assert group.wasted_core_us == 9 * SECOND  # what ran in a whole group was of use


def test_an_experiment_is_a_grid(tmp_path: Path) -> None:
    file = tmp_path / "grid"
    file.write_text(SMALL)
    grid = grid_cells(str(file))
    assert len(grid) == 4 and grid[0] == Cell(str(file), "groups", 0.5, 1, 3, 1)
    rows = [run_cell(cell) for cell in grid]
    assert all(set(row) == set(COLUMNS) and row["groups"] > 2 for row in rows)
    by = {(r["policy"], r["planners"]): r for r in rows}
    assert by["groups", 1]["partly_running_most_s"] <= 0.05 < by["singles", 1]["partly_running_most_s"]
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
    file.write_text(SMALL.replace(old, new))
    with pytest.raises(SettingsError):
        grid_cells(str(file))


def one_group(size: int, seed: int) -> Simulation:
    """One owner that wants one group, two planners, five nodes."""
    config = small_day(seed=seed)
    demand = replace(
        config.clients[0].demands[0], group=True, batch=(size, size), share=1.0, duration_us=(SECOND, SECOND)
    )
    owner = replace(
        config.clients[0],
        demands=(demand,),
        max_tasks=size,
        demand_ends_us=5 * SECOND,
        patience_us=60 * SECOND,
    )
    return Simulation(replace(config, clients=(owner,), planners=2))


@pytest.mark.parametrize("what", ["planner", "node"])
def test_a_crash_after_every_event_of_a_group(what: str) -> None:
    """Enumerated, not sampled: the planner, or a node, dies after each event from the ask to the end."""
    plain = one_group(4, seed=5)
    plain.run(SECOND)
    first = plain.events_played
    while not plain.clients[0].idle or plain.clients[0].groups:
        plain.step()
    last = plain.events_played
    assert last - first > 60
    tried = 0
    for k in range(first, last):
        simulation = one_group(4, seed=5)
        while simulation.events_played < k:
            simulation.step()
        planner = next((g.planner for g in simulation.clients[0].groups.values()), 0)
        if what == "planner":
            simulation.kill_planner(max(planner, 0), 700_000 if k % 2 else 30 * SECOND)
        else:
            simulation.kill_node(1 + k % 5, 3 * SECOND)
        simulation.run(120 * SECOND)
        (group,) = simulation.meter.groups
        assert group.max_partial_us <= 2 * SECOND and not group.partial_since_us, (what, k, group)
        assert group.complete_us or not simulation.clients[0].statistics.counts["groups_asked"], (what, k)
        assert not simulation.clients[0].groups and not any(n.offers for n in simulation.nodes.values() if n)
        assert not any(core.attempts.attempts for core in simulation.cores.values()), (what, k)
        tried += 1
    assert tried == last - first


def test_mirror_image_groups_on_a_fleet_with_room_for_one() -> None:
    """Each planner's group needs most of the fleet: they must not hold half each for ever."""
    config = small_day()
    first = config.clients[0]
    demand = replace(
        first.demands[0], group=True, batch=(8, 8), share=1.0, sizes=((8.0, 20.0),), services=1000,
        max_tasks_per_service=99, duration_us=(SECOND, SECOND),
    )  # fmt: skip
    owners = tuple(
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
    nodes = config.nodes[:3]  # room for 15 such tasks: not for two groups of eight
    room = replace(
        config.cluster, classes=tuple(replace(c, spread=api.Scope.NONE) for c in config.cluster.classes)
    )
    simulation = Simulation(replace(config, cluster=room, clients=owners, nodes=nodes, planners=2))
    simulation.run(110 * SECOND)
    assert [bool(g.complete_us) for g in simulation.meter.groups] == [True, True]
    assert all(g.max_partial_us <= 2 * SECOND for g in simulation.meter.groups)
