"""A grid of simulated rooms over several processes: what groups gain and cost against two baselines.

A file in the manner of the settings names the room, what varies and how often; each cell of the grid is a
world of its own seed. Results are a CSV file, one row a run, and charts; the head names version and file, so
that a run can be repeated.
"""

from __future__ import annotations

import csv
import itertools
import multiprocessing
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..groups.coordinator import GroupConfig
from ..settings import values as v
from ..settings.cluster import CLUSTER, cluster_from
from ..settings.lines import Problem, SettingsError
from ..settings.schema import Block, Key, Section, load
from ..standin.config import LIST, MODEL, directory_model, model_from
from ..standin.node_model import NodeModel
from ..standin.owner import Demand, OwnerModel
from .simulation import Simulation, SimulationConfig

POLICIES = ("groups", "singles", "blocking")
EXPERIMENT: tuple[Key | Block, ...] = (
    *CLUSTER,
    *MODEL,
    *LIST,
    Key("about", (v.text,)),
    Key("fleet", (v.name, v.whole(1, 10_000), v.whole(1, 10_000)), True, True, words=("", "nodes", "racks")),
    Key("load", (), True, rest=v.number(above=True), least_rest=1),
    Key("planners", (), True, rest=v.whole(1, 1000), least_rest=1),
    Key("group-size", (), True, rest=v.whole(1, 64), least_rest=1),
    Key("policy", (), True, rest=v.choice(*POLICIES), least_rest=1),
    Key("seeds", (), True, rest=v.whole(0), least_rest=1),
    Key("lasts", (v.positive_duration,), True),
    Key("single-class", (v.name,), True),
    Key("group-class", (v.name,), True),
    Key("group-share", (v.share,), True),
    Key("size", (v.number(above=True), v.number(above=True)), True),
    Key("life", (v.span(v.positive_duration),), True),
)
COLUMNS = (
    "policy", "load", "planners", "group_size", "seed", "groups", "whole_in_time", "whole_ever",
    "wasted_core_s_per_group", "partly_running_most_s", "singles", "single_p50_ms", "single_p95_ms",
    "single_in_time", "events", "real_s",
)  # fmt: skip


@dataclass(frozen=True)
class Cell:
    path: str
    policy: str
    load: float
    planners: int
    group_size: int
    seed: int


def grid_cells(path: str) -> list[Cell]:
    """The grid of a file. Raises SettingsError."""
    section = load(path, EXPERIMENT)
    room = cluster_from(section)
    names = [c.name for c in room.classes]
    for key in ("single-class", "group-class"):
        if section.one(key) not in names:
            text = f"no class {section.one(key)}; known: {', '.join(names)}"
            raise SettingsError([Problem(section.place(key), key, text)])
    for values in section.all("fleet"):
        if values[0] not in [k.name for k in room.node_types]:
            raise SettingsError([Problem(section.place("fleet"), "fleet", f"no kind {values[0]}")])

    def many(key: str) -> tuple[Any, ...]:
        return section.all(key)[0]

    grid = itertools.product(
        many("policy"), many("load"), many("planners"), many("group-size"), many("seeds")
    )
    return [Cell(path, *values) for values in grid]


def simulation_of(cell: Cell, section: Section) -> tuple[Simulation, int]:
    """The world of a cell, and until when new tasks come."""
    room = cluster_from(section)
    one = section.one
    nodes: list[NodeModel] = []
    for kind, count, racks in section.all("fleet"):
        for i in range(count):
            id = len(nodes) + 1
            nodes.append(model_from(room, section, id, f"n{id}", kind, room.zones[0], f"{kind}-{i % racks}"))
    cores, memory = one("size")
    life = one("life")
    mean_life = (life[0] + life[1]) / 2e6
    room_for = min(
        sum(n.cores * n.cores_limit for n in nodes) / cores,
        sum(n.memory * n.memory_limit for n in nodes) / memory,
    )
    rate = cell.load * room_for / mean_life  # tasks a second that fill so much of what nodes accept
    share, size = one("group-share"), cell.group_size
    batches = share / size
    total = batches + (1 - share)
    demands = (
        Demand(one("single-class"), (1 - share) / total, ((cores, memory),), life, (1, 1), 200, 10_000),
        Demand(
            one("group-class"), batches / total, ((cores, memory),), life, (size, size), 200, 10_000, True
        ),
    )
    ends = one("lasts")
    owner = OwnerModel("owner", rate, demands, room.classes, cell.planners, ends_us=ends, wanted_us=ends)
    owner = replace(owner, owner_wait_us=room.client_wait_us)
    config = SimulationConfig(
        room,
        tuple(nodes),
        (owner,),
        cell.planners,
        cell.seed,
        directory_model(section),
        groups=GroupConfig(blocking=cell.policy == "blocking"),
        places_members_singly=cell.policy == "singles",
    )
    return Simulation(config), ends


def run_cell(cell: Cell) -> dict[str, Any]:
    """One row."""
    section = load(cell.path, EXPERIMENT)
    began = time.perf_counter()
    world, ends = simulation_of(cell, section)
    first = world.now_us
    world.run(first + ends + 12_000_000)
    sort = next(c for c in cluster_from(section).classes if c.name == section.one("group-class"))
    single = section.one("single-class")
    groups = world.meter.groups
    owner = world.clients[0]
    counts: Any = owner.tally.by_class.get(single, {})
    took = sorted(owner.tally.latencies.get(single, []))
    if cell.policy == "singles" and single == section.one("group-class"):
        took = []
    in_time = sum(
        1 for g in groups if g.complete_us and g.complete_us - g.requested_us <= sort.latency_objective_us
    )

    def at(share: float) -> float:
        return took[min(len(took) - 1, int(share * len(took)))] / 1e3 if took else 0.0

    return {
        "policy": cell.policy,
        "load": cell.load,
        "planners": cell.planners,
        "group_size": cell.group_size,
        "seed": cell.seed,
        "groups": len(groups),
        "whole_in_time": round(in_time / max(1, len(groups)), 4),
        "whole_ever": round(sum(1 for g in groups if g.complete_us) / max(1, len(groups)), 4),
        "wasted_core_s_per_group": round(
            sum(g.wasted_core_us for g in groups) / 1e6 / max(1, len(groups)), 3
        ),
        "partly_running_most_s": round(max((g.max_partial_us for g in groups), default=0) / 1e6, 3),
        "singles": counts.get("wanted", 0),
        "single_p50_ms": at(0.5),
        "single_p95_ms": at(0.95),
        "single_in_time": round(counts.get("in_time", 0) / max(1, counts.get("wanted", 0)), 4),
        "events": world.events_played,
        "real_s": round(time.perf_counter() - began, 2),
    }


def run_experiment(path: str, processes: int, progress: Callable[[int, int], None]) -> list[dict[str, Any]]:
    """All cells; rows in the order of the grid."""
    grid = grid_cells(path)
    rows: dict[int, dict[str, Any]] = {}
    # The largest cells first, so that the last ones do not wait for one.
    order = sorted(range(len(grid)), key=lambda i: -grid[i].planners * grid[i].load)
    context = multiprocessing.get_context("spawn")
    with context.Pool(processes) as pool:
        for i, row in pool.imap_unordered(_numbered, [(i, grid[i]) for i in order]):
            rows[i] = row
            progress(len(rows), len(grid))
    return [rows[i] for i in range(len(grid))]


def _numbered(work: tuple[int, Cell]) -> tuple[int, dict[str, Any]]:
    return work[0], run_cell(work[1])


def write_results(rows: list[dict[str, Any]], path: str, folder: Path) -> None:
    """results.csv, table.md and chart.png."""
    folder.mkdir(parents=True, exist_ok=True)
    from importlib.metadata import version

    with (folder / "results.csv").open("w", newline="") as file:
        file.write(f"# stairplank {version('stairplank')}, {Path(path).name}\n")
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    (folder / "table.md").write_text(markdown_table(rows))
    draw_chart(rows, folder / "chart.png")


def mean_figures(rows: list[dict[str, Any]], *by: str) -> Iterator[tuple[tuple[Any, ...], dict[str, float]]]:
    """Mean of the figures over the rows that agree in ``by``."""
    keys = sorted({tuple(r[b] for b in by) for r in rows}, key=str)
    figures = (
        "whole_in_time",
        "wasted_core_s_per_group",
        "partly_running_most_s",
        "single_p95_ms",
        "single_in_time",
    )
    for key in keys:
        here = [r for r in rows if tuple(r[b] for b in by) == key]
        yield key, {f: statistics.fmean(r[f] for r in here) for f in figures}


def markdown_table(rows: list[dict[str, Any]]) -> str:
    head = (
        "| planners | group size | load | policy | whole in time | wasted core-s a group"
        " | longest partly running s | singles in time | single p95 ms |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    )
    lines = []
    for key, f in mean_figures(rows, "planners", "group_size", "load", "policy"):
        planners, size, load_, policy = key
        lines.append(
            (planners, size, load_, POLICIES.index(policy)),
        )
        text = (
            f"| {planners} | {size} | {load_} | {policy} | {f['whole_in_time']:.1%}"
            f" | {f['wasted_core_s_per_group']:.2f} | {f['partly_running_most_s']:.2f}"
            f" | {f['single_in_time']:.1%} | {f['single_p95_ms']:.0f} |\n"
        )
        lines[-1] = (*lines[-1], text)  # type: ignore[assignment]
    return head + "".join(line[-1] for line in sorted(lines))  # type: ignore[misc]


def draw_chart(rows: list[dict[str, Any]], path: Path) -> None:
    """Groups whole in time, waste and single tasks against load, a column for each number of planners."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    planners = sorted({r["planners"] for r in rows})
    panels = (
        ("whole_in_time", "groups whole in time"),
        ("wasted_core_s_per_group", "wasted core-s a group"),
        ("single_in_time", "single tasks in time"),
    )
    figure, axes = pyplot.subplots(
        len(panels), len(planners), figsize=(4 * len(planners), 8), layout="constrained", squeeze=False
    )
    for column, count in enumerate(planners):
        for line, (figure_name, label) in enumerate(panels):
            axis = axes[line][column]
            for policy in POLICIES:
                points = [
                    (key[0], f[figure_name])
                    for key, f in mean_figures(
                        [r for r in rows if r["planners"] == count and r["policy"] == policy], "load"
                    )
                ]
                if points:
                    axis.plot(*zip(*sorted(points), strict=True), marker="o", label=policy)
            axis.set(xlabel="load", ylabel=label if column == 0 else "")
            if line == 0:
                axis.set_title(f"{count} planner{'s' if count > 1 else ''}")
    axes[0][0].legend()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
