"""How often the wishes of groups are met, with steering and as it was before. Table in docs/results/wishes.

    python benchmarks/wishes.py [--seeds 3] [--jobs 4]

Simulated rooms: twenty nodes in five racks, load by single tasks up to the share that is stated, groups of a
kind of wish and a size asked for one after the other. Only groups of which a search at the time of asking
says that the wish can be met (a matching for places apart, packing into one rack) count.
"""

from __future__ import annotations

import argparse
import csv
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.groups.capacity import NodeCapacity
from stairplank.groups.config import GroupConfig
from stairplank.groups.constraints import infeasible_constraint
from stairplank.groups.spec import GroupSpec
from stairplank.planner import events as ev
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import client_models, node_list_model

ROOT = Path(__file__).resolve().parents[1]
OUT = ROOT / "docs" / "results" / "wishes"
SECOND = 1_000_000
WISHES = ("distinct_nodes", "distinct_racks", "same_rack")
SIZES = {"distinct_nodes": (2, 4, 8, 16), "distinct_racks": (2, 3, 5), "same_rack": (2, 4, 8, 16, 32)}
LOADS = (0.2, 0.4, 0.6, 0.8, 1.0)
ROOM = """
seed 1
lasts 60s
settles 5s
planners 3
owners 1
class worker
    effect repeatable
    aim 2s
    deadline 6s
end
class reduction
    effect repeatable
    aim 4s
    deadline 9s
end
kind std cores 16 memory 48
zone hall
mean-cores 1
mean-memory 2
cores-limit 1.5
memory-limit 1.5
confirms running
fleet all
    kind std
    zone hall
    racks 5
    nodes 20
end
start-time 40ms
from-nothing 3
starts-at-once 8
look-time 2ms..5ms
waiting-most 40
list-notice 200ms
list-silent 2s
list-period 200ms
rate {rate}
demand worker
    share 100%
    size 0.5 1
    size 1 2
    size 2 4
    life 4s..8s
end
"""


def places(world: Simulation) -> list[NodeCapacity]:
    """The room as it is, not as the list says."""
    out = []
    for node, here in world.nodes.items():
        if here is not None:
            free = here.free()
            model = here.model
            cores, memory = model.cores * model.cores_limit, model.memory * model.memory_limit
            out.append(
                NodeCapacity(
                    node, model.rack, 0, cores, memory,
                    cores - model.cores + free[0], memory - model.memory + free[1],
                )
            )  # fmt: skip
    return out


def can(spec: GroupSpec, world: Simulation) -> bool:
    """Whether the wish can be met in what is free now."""
    now = [replace(p, cores=p.free_cores, memory=p.free_memory) for p in places(world)]
    return infeasible_constraint(spec, now, world.config.cluster.settings(3, 0, 0)) is None


def run(wish: str, size: int, load: float, seed: int, steer: bool) -> dict[str, Any]:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "room"
        # Cores that nodes accept, over a task's mean cores and life.
        rate = load * 20 * 16 * 1.5 / (7 / 6 * 6)
        file.write_text(ROOM.format(rate=f"{rate:.2f}"))
        scenario = load_scenario(file)
    owners = client_models(scenario.section, scenario.cluster, ["crowd"], 3)
    config = SimulationConfig(
        scenario.cluster,
        tuple(n.model for n in scenario.nodes),
        (replace(owners[0], demand_ends_us=55 * SECOND), replace(owners[0], name="groups", demand_ends_us=0)),
        3,
        seed,
        node_list=node_list_model(scenario.section),
        groups=GroupConfig(enforce_constraints=steer),
    )
    world = Simulation(config)
    words: dict[int, list[tuple[int, Any]]] = {}
    told = world.client_received

    def heard(i: int, planner: int, word: Any) -> None:
        if i == 1:
            words.setdefault(word.request, []).append((world.now_us, word))
        else:
            told(i, planner, word)

    world.client_received = heard  # type: ignore[method-assign]
    world.run(15 * SECOND)
    asked: dict[int, int] = {}
    number = 0
    while world.now_us < 50 * SECOND:
        number += 1
        members = tuple(
            ev.TaskSpec(
                "groups", number * 100 + i, "reduction", "", 900 + number, 1.0, 2.0, 3 * SECOND, False
            )
            for i in range(size)
        )
        spec = GroupSpec("groups", members, size, **{wish: True})
        if can(spec, world):
            asked[number] = world.now_us
            planner = number % 3
            ask = ev.GroupRequested(2, number, members, 9 * SECOND, **{wish: True})
            world.feed(planner, world.cores[planner], ask)
        world.run(world.now_us + 1_500_000)
    world.run(65 * SECOND)
    placed = {
        n: w for n, said in words.items() for _, w in said if isinstance(w, ev.GroupPlaced) and n in asked
    }
    return {
        "wish": wish, "size": size, "load": load, "seed": seed, "steered": steer, "asked": len(asked),
        "placed": len(placed), "met": sum(w.constraints_met for w in placed.values()),
        "first": sum(w.constraints_met and w.attempts == 1 for w in placed.values()),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    OUT.mkdir(parents=True, exist_ok=True)
    cells = [
        (wish, size, load, seed, steer)
        for wish in WISHES
        for size in SIZES[wish]
        for load in LOADS
        for seed in range(1, given.seeds + 1)
        for steer in (False, True)
    ]
    rows = []
    with ProcessPoolExecutor(given.jobs) as pool:
        for row in pool.map(run, *zip(*cells, strict=True)):
            rows.append(row)
            if len(rows) % 20 == 0:
                print(f"{len(rows)} of {len(cells)}", flush=True)
    with (OUT / "results.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    lines = [
        "| wish | load | groups | placed, before | met, before | placed | met | met at the first try |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for wish in WISHES:
        for load in LOADS:
            here = [r for r in rows if r["wish"] == wish and r["load"] == load]
            old, new = ([r for r in here if r["steered"] is steer] for steer in (False, True))

            def share(part: list[dict[str, Any]], what: str) -> str:
                total = sum(r["asked"] for r in part)
                return f"{100 * sum(r[what] for r in part) / total:.0f}%" if total else "-"

            lines.append(
                f"| {wish} | {load:g} | {sum(r['asked'] for r in new)} | {share(old, 'placed')} |"
                f" {share(old, 'met')} | {share(new, 'placed')} | {share(new, 'met')} |"
                f" {share(new, 'first')} |"
            )
    (OUT / "table.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
