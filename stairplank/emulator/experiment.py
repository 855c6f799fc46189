"""Runs a grid of simulations over several processes, to compare groups with two baselines.

An experiment file, in the syntax of the settings, describes the cluster and lists the values of each
parameter that varies, seeds included. The grid has one cell, and so one simulation, for each combination of
these values. Results are written as a CSV file with one row for each simulation, a table and a chart. The
first line of the CSV file names the version and the experiment file, so that the run can be repeated.
"""

from __future__ import annotations

import csv
import itertools
import multiprocessing
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from importlib.metadata import version
from pathlib import Path
from typing import Any

from ..groups.config import GroupConfig
from ..settings import parsers
from ..settings.cluster import CLUSTER_SCHEMA, Cluster, cluster_from
from ..settings.schema import Block, Key, Section, load_section
from ..settings.source import SettingsError, SettingsProblem
from ..standin.client import ClientModel, Demand
from ..standin.config import LIST, MODEL, model_from, node_list_model
from ..standin.node_model import NodeModel
from .simulation import Simulation, SimulationConfig

POLICIES = ("groups", "singles", "blocking")
EXPERIMENT: tuple[Key | Block, ...] = (
    *CLUSTER_SCHEMA,
    *MODEL,
    *LIST,
    Key("about", (parsers.text,)),
    Key(
        "fleet",
        (parsers.name, parsers.integer(1, 10_000), parsers.integer(1, 10_000)),
        True,
        True,
        separators=("", "nodes", "racks"),
    ),
    Key("load", (), True, rest_parser=parsers.number(exclusive=True), min_rest=1),
    Key("planners", (), True, rest_parser=parsers.integer(1, 1000), min_rest=1),
    Key("group-size", (), True, rest_parser=parsers.integer(1, 64), min_rest=1),
    Key("policy", (), True, rest_parser=parsers.choice(*POLICIES), min_rest=1),
    Key("seeds", (), True, rest_parser=parsers.integer(0), min_rest=1),
    Key("lasts", (parsers.positive_duration,), True),
    Key("single-class", (parsers.name,), True),
    Key("group-class", (parsers.name,), True),
    Key("group-share", (parsers.fraction,), True),
    Key("size", (parsers.number(exclusive=True), parsers.number(exclusive=True)), True),
    Key("life", (parsers.value_range(parsers.positive_duration),), True),
)
COLUMNS = (
    "policy", "load", "planners", "group_size", "seed", "groups", "whole_in_time", "whole_ever",
    "wasted_core_s_per_group", "partly_running_most_s", "singles", "single_p50_ms", "single_p95_ms",
    "single_in_time", "events", "real_s",
)  # fmt: skip
MEAN_FIGURES = (
    "whole_in_time",
    "wasted_core_s_per_group",
    "partly_running_most_s",
    "single_p95_ms",
    "single_in_time",
)
PANELS = (
    ("whole_in_time", "groups whole in time"),
    ("wasted_core_s_per_group", "wasted core-s a group"),
    ("single_in_time", "single tasks in time"),
)
SETTLE_US = 12_000_000  # simulated time after the last new task in which running tasks can end


@dataclass(frozen=True)
class Cell:
    """One cell of the grid: the path of the experiment file and one combination of the varying values."""

    path: str
    policy: str
    load: float
    planners: int
    group_size: int
    seed: int


def grid_cells(path: str) -> list[Cell]:
    """Return all cells of an experiment file's grid. Raises SettingsError if the file is invalid."""
    section = load_section(path, EXPERIMENT)
    cluster = cluster_from(section)
    class_names = [each.name for each in cluster.classes]
    for key in ("single-class", "group-class"):
        if section.value(key) not in class_names:
            text = f"unknown class {section.value(key)}; known: {', '.join(class_names)}"
            raise SettingsError([SettingsProblem(section.position_of(key), key, text)])
    node_types = [each.name for each in cluster.node_types]
    for node_type, *_ in section.all_values("fleet"):
        if node_type not in node_types:
            raise SettingsError(
                [SettingsProblem(section.position_of("fleet"), "fleet", f"unknown kind {node_type}")]
            )
    varying = ("policy", "load", "planners", "group-size", "seeds")
    return [
        Cell(path, *values) for values in itertools.product(*(section.all_values(key)[0] for key in varying))
    ]


def simulation_of(cell: Cell, section: Section) -> tuple[Simulation, int]:
    """Return the simulation of a cell, and for how many microseconds its clients create new tasks."""
    cluster = cluster_from(section)
    nodes = _fleet(section, cluster)
    duration_us = section.value("lasts")
    client = ClientModel(
        "owner",
        _rate(cell, section, nodes),
        _demands(cell, section),
        cluster.classes,
        cell.planners,
        demand_ends_us=duration_us,
        patience_us=duration_us,
        uncertain_retry_delay_us=cluster.client_wait_us,
    )
    config = SimulationConfig(
        cluster,
        nodes,
        (client,),
        cell.planners,
        cell.seed,
        node_list_model(section),
        groups=GroupConfig(blocking=cell.policy == "blocking"),
        places_members_singly=cell.policy == "singles",
    )
    return Simulation(config), duration_us


def _fleet(section: Section, cluster: Cluster) -> tuple[NodeModel, ...]:
    nodes: list[NodeModel] = []
    for node_type, count, racks in section.all_values("fleet"):
        for index in range(count):
            number = len(nodes) + 1
            rack = f"{node_type}-{index % racks}"
            name = f"n{number}"
            nodes.append(model_from(cluster, section, number, name, node_type, cluster.zones[0], rack))
    return tuple(nodes)


def _rate(cell: Cell, section: Section, nodes: tuple[NodeModel, ...]) -> float:
    """Return the task rate, per second, that fills the share ``cell.load`` of the nodes' capacity."""
    cores, memory = section.value("size")
    shortest_us, longest_us = section.value("life")
    mean_duration_s = (shortest_us + longest_us) / 2e6
    capacity_tasks = min(
        sum(node.cores * node.cores_limit for node in nodes) / cores,
        sum(node.memory * node.memory_limit for node in nodes) / memory,
    )
    return float(cell.load * capacity_tasks / mean_duration_s)


def _demands(cell: Cell, section: Section) -> tuple[Demand, Demand]:
    """Return the demands for single tasks and for groups, weighted by their shares of all requests."""
    share = section.value("group-share")
    size = cell.group_size
    groups = share / size
    requests = groups + (1 - share)
    sizes = (section.value("size"),)
    durations_us = section.value("life")
    return (
        Demand(
            section.value("single-class"), (1 - share) / requests, sizes, durations_us, (1, 1), 200, 10_000
        ),
        Demand(
            section.value("group-class"),
            groups / requests,
            sizes,
            durations_us,
            (size, size),
            200,
            10_000,
            True,
        ),
    )


def run_cell(cell: Cell) -> dict[str, Any]:
    """Run the simulation of one cell; returns its row of the results, with the keys in ``COLUMNS``."""
    section = load_section(cell.path, EXPERIMENT)
    started_s = time.perf_counter()
    simulation, duration_us = simulation_of(cell, section)
    simulation.run(simulation.now_us + duration_us + SETTLE_US)
    return {
        "policy": cell.policy,
        "load": cell.load,
        "planners": cell.planners,
        "group_size": cell.group_size,
        "seed": cell.seed,
        **_group_figures(simulation, section),
        **_single_figures(simulation, section, cell),
        "events": simulation.events_played,
        "real_s": round(time.perf_counter() - started_s, 2),
    }


def _group_figures(simulation: Simulation, section: Section) -> dict[str, Any]:
    name = section.value("group-class")
    task_class = next(each for each in simulation.config.cluster.classes if each.name == name)
    groups = simulation.meter.groups
    count = max(1, len(groups))
    complete = [group for group in groups if group.complete_us]
    objective_us = task_class.latency_objective_us
    in_time = sum(1 for group in complete if group.complete_us - group.requested_us <= objective_us)
    return {
        "groups": len(groups),
        "whole_in_time": round(in_time / count, 4),
        "whole_ever": round(len(complete) / count, 4),
        "wasted_core_s_per_group": round(sum(group.wasted_core_us for group in groups) / 1e6 / count, 3),
        "partly_running_most_s": round(max((group.max_partial_us for group in groups), default=0) / 1e6, 3),
    }


def _single_figures(simulation: Simulation, section: Section, cell: Cell) -> dict[str, Any]:
    name = section.value("single-class")
    client_statistics = simulation.clients[0].statistics
    counts: Any = client_statistics.by_class.get(name, {})
    wanted = counts.get("wanted", 0)
    latencies_us = sorted(client_statistics.latencies.get(name, []))
    if cell.policy == "singles" and name == section.value("group-class"):
        latencies_us = []  # the class holds single tasks and group members, with nothing to distinguish them
    return {
        "singles": wanted,
        "single_p50_ms": _quantile_ms(latencies_us, 0.5),
        "single_p95_ms": _quantile_ms(latencies_us, 0.95),
        "single_in_time": round(counts.get("in_time", 0) / max(1, wanted), 4),
    }


def _quantile_ms(sorted_us: list[int], share: float) -> float:
    if not sorted_us:
        return 0.0
    return sorted_us[min(len(sorted_us) - 1, int(share * len(sorted_us)))] / 1e3


def run_experiment(path: str, processes: int, progress: Callable[[int, int], None]) -> list[dict[str, Any]]:
    """Run all cells and return their rows in the order of the grid.

    ``progress`` is called after each cell with the number of finished cells and of all cells.
    """
    grid = grid_cells(path)
    rows: dict[int, dict[str, Any]] = {}
    # Start the largest cells first: a large cell started last would run alone while other processes idle.
    order = sorted(range(len(grid)), key=lambda index: -grid[index].planners * grid[index].load)
    context = multiprocessing.get_context("spawn")
    with context.Pool(processes) as pool:
        for index, row in pool.imap_unordered(_run_numbered, [(index, grid[index]) for index in order]):
            rows[index] = row
            progress(len(rows), len(grid))
    return [rows[index] for index in range(len(grid))]


def _run_numbered(numbered: tuple[int, Cell]) -> tuple[int, dict[str, Any]]:
    index, cell = numbered
    return index, run_cell(cell)


def write_results(rows: list[dict[str, Any]], path: str, folder: Path) -> None:
    """Write results.csv, table.md and chart.png to ``folder``, which is created if missing."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "results.csv").open("w", newline="") as file:
        file.write(f"# stairplank {version('stairplank')}, {Path(path).name}\n")
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    (folder / "table.md").write_text(markdown_table(rows))
    draw_chart(rows, folder / "chart.png")


def mean_figures(rows: list[dict[str, Any]], *by: str) -> Iterator[tuple[tuple[Any, ...], dict[str, float]]]:
    """Group the rows by the columns ``by`` and yield each group's key and means of ``MEAN_FIGURES``."""
    keys = sorted({tuple(row[column] for column in by) for row in rows}, key=str)
    for key in keys:
        matching_rows = [row for row in rows if tuple(row[column] for column in by) == key]
        yield key, {figure: statistics.fmean(row[figure] for row in matching_rows) for figure in MEAN_FIGURES}


def markdown_table(rows: list[dict[str, Any]]) -> str:
    """Return a Markdown table of the means, one line for each combination of parameters."""
    head = (
        "| planners | group size | load | policy | whole in time | wasted core-s a group"
        " | longest partly running s | singles in time | single p95 ms |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    )
    lines: list[tuple[int, int, float, int, str]] = []
    for key, means in mean_figures(rows, "planners", "group_size", "load", "policy"):
        planners, size, load, policy = key
        line = (
            f"| {planners} | {size} | {load} | {policy} | {means['whole_in_time']:.1%}"
            f" | {means['wasted_core_s_per_group']:.2f} | {means['partly_running_most_s']:.2f}"
            f" | {means['single_in_time']:.1%} | {means['single_p95_ms']:.0f} |\n"
        )
        lines.append((planners, size, load, POLICIES.index(policy), line))
    return head + "".join(line for *_, line in sorted(lines))


def draw_chart(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw the figures of ``PANELS`` against load, with one column of plots for each number of planners."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    planner_counts = sorted({row["planners"] for row in rows})
    figure, axes = pyplot.subplots(
        len(PANELS),
        len(planner_counts),
        figsize=(4 * len(planner_counts), 8),
        layout="constrained",
        squeeze=False,
    )
    for column, planners in enumerate(planner_counts):
        column_rows = [row for row in rows if row["planners"] == planners]
        for line, (figure_name, label) in enumerate(PANELS):
            axis = axes[line][column]
            _plot_policies(axis, column_rows, figure_name)
            axis.set(xlabel="load", ylabel=label if column == 0 else "")
            if line == 0:
                axis.set_title(f"{planners} planner{'s' if planners > 1 else ''}")
    axes[0][0].legend()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _plot_policies(axis: Any, rows: list[dict[str, Any]], figure_name: str) -> None:
    for policy in POLICIES:
        policy_rows = [row for row in rows if row["policy"] == policy]
        points = [(key[0], means[figure_name]) for key, means in mean_figures(policy_rows, "load")]
        if points:
            axis.plot(*zip(*sorted(points), strict=True), marker="o", label=policy)
