"""A scenario: the cluster, its nodes, planners and owners, and the faults with their times, from one seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..settings import parsers
from ..settings.cluster import CLUSTER_SCHEMA, Cluster, cluster_from
from ..settings.schema import Block, Key, Section, load_section
from ..settings.source import SettingsError, SettingsProblem
from ..standin.config import CLIENTS, COMMON, LIST, MODEL, demands_from, faults_from, model_from
from ..standin.node_model import NodeModel
from ..standin.script import Fault

FLEET = Block(
    "fleet",
    (parsers.name,),
    (
        Key("kind", (parsers.name,), True),
        Key("zone", (parsers.name,), True),
        Key("racks", (parsers.integer(1, 10_000),), True),
        Key("rack", (parsers.name,)),  # name of a single rack, in place of names derived from the fleet's
        Key("nodes", (parsers.integer(0, 10_000),), True),
        Key("absent", (parsers.integer(0, 10_000),)),
    ),
    True,
)
# Keywords of a planner's settings file that a scenario may set for all its planners.
PLANNER_KEYS = (
    "dial-timeout",
    "dial-retry",
    "link-grace",
    "probe-timeout",
    "list-silence",
    "stop-grace",
    "open-most",
    "running-most",
    "keepalive",
)
SCENARIO: tuple[Key | Block, ...] = (
    *CLUSTER_SCHEMA,
    *COMMON,
    *MODEL,
    *LIST,
    *CLIENTS,
    FLEET,
    Key("planners", (parsers.integer(1, 1000),), True),
    Key("owners", (parsers.integer(1, 1000),)),
    Key("lasts", (parsers.positive_duration,), True),
    Key("settles", (parsers.positive_duration,)),
    Key("about", (), rest_parser=parsers.text),
    *(Key(name, (), rest_parser=parsers.text, min_rest=1) for name in PLANNER_KEYS),
)


@dataclass(frozen=True)
class FleetNode:
    """A node of the scenario; an absent one starts only by a ``grow`` fault."""

    model: NodeModel
    absent: bool


@dataclass(frozen=True)
class Scenario:
    """A scenario file as read and checked. Times are in microseconds."""

    path: str
    text: str
    about: str
    cluster: Cluster
    nodes: tuple[FleetNode, ...]
    planners: int
    owners: int
    seed: int
    lasts_us: int
    settles_us: int
    faults: tuple[Fault, ...]
    section: Section

    @property
    def name(self) -> str:
        """Return the file's name or, for a file that is named `scenario`, its folder's name."""
        path = Path(self.path)
        return path.resolve().parent.name if path.stem == "scenario" else path.stem


def load_scenario(path: str | Path, seed: int | None = None) -> Scenario:
    """Read and check a scenario file; ``seed`` overrides the file's seed. Raises SettingsError."""
    section = load_section(path, SCENARIO)
    cluster = cluster_from(section)
    value = section.value
    seed = seed if seed is not None else value("seed", 1)
    problems: list[SettingsProblem] = []
    nodes: list[FleetNode] = []
    for block in section.blocks["fleet"]:
        (name,) = block.values
        kind, zone = block.value("kind"), block.value("zone")
        if kind not in [k.name for k in cluster.node_types]:
            problems.append(SettingsProblem(block.position_of("kind"), "kind", f"no kind {kind}"))
            continue
        if zone not in cluster.zones:
            problems.append(SettingsProblem(block.position_of("zone"), "zone", f"no zone {zone}"))
            continue
        count, absent = block.value("nodes"), block.value("absent", 0)
        for i in range(count + absent):
            id = len(nodes) + 1
            rack = block.value("rack") or f"{name}-{i % block.value('racks')}"
            model = model_from(cluster, section, id, f"{name}-{i}", kind, zone, rack)
            nodes.append(FleetNode(model, i >= count))
    if not any(not n.absent for n in nodes) and not problems:
        problems.append(
            SettingsProblem(section.position, "fleet", "no node is present when the scenario begins")
        )
    if problems:
        raise SettingsError(problems)
    demands_from(section, cluster)
    faults = _choose_targets(
        section, faults_from(section), nodes, value("planners"), random.Random(seed ^ 0xFA17)
    )
    lasts = value("lasts")
    return Scenario(
        str(path),
        Path(path).read_text(),
        " ".join(
            section.value("about", ("",))
            if isinstance(section.value("about"), tuple)
            else [value("about", "")]
        ),
        cluster,
        tuple(nodes),
        value("planners"),
        value("owners", 1),
        seed,
        lasts,
        value("settles", 8_000_000),
        faults,
        section,
    )


def _choose_targets(
    section: Section, faults: tuple[Fault, ...], nodes: list[FleetNode], planners: int, rng: random.Random
) -> tuple[Fault, ...]:
    """Choose the nodes and planners of faults that state only a share or a count, under the seed."""
    affected: set[int] = set()
    out: list[Fault] = []
    problems: list[SettingsProblem] = []
    for fault in faults:
        if fault.target == "zone" and (fault.name,) not in section.all_values("zone"):
            problems.append(SettingsProblem(section.position_of("at"), "at", f"no zone {fault.name}"))
        if fault.kind not in ("node", "planner"):
            out.append(fault)
            continue
        present = (
            [n.model.id for n in nodes if not n.absent] if fault.kind == "node" else list(range(planners))
        )
        known = [n.model.id for n in nodes] if fault.kind == "node" else present
        if fault.target_ids:
            unknown = [n for n in fault.target_ids if n not in known]
            if unknown:
                text = f"no {fault.kind} {unknown[0]}; they run from {known[0]} to {known[-1]}"
                problems.append(SettingsProblem(section.position_of("at"), "at", text))
            out.append(fault)
            continue
        if fault.what == "grow":
            present = [n.model.id for n in nodes if n.absent]
        pool = [n for n in present if not (fault.avoids_affected and n in affected)]
        count = fault.count or max(1, round(fault.share * len(present)))
        if count > len(pool):
            text = f"{count} {fault.kind}s wanted, only {len(pool)} available"
            problems.append(SettingsProblem(section.position_of("at"), "at", text))
            continue
        target_ids = tuple(sorted(rng.sample(pool, count)))
        if fault.target == "node" and fault.what in ("drain", "leave", "kill"):
            affected.update(target_ids)
        out.append(replace(fault, target_ids=target_ids, count=0, share=0.0))
    if problems:
        raise SettingsError(problems)
    return tuple(out)


def lines_for(scenario: Scenario, keys: set[str], blocks: set[str]) -> list[str]:
    """Return the scenario's lines with these keywords and blocks, for a process's settings file."""
    out: list[str] = []
    inside = False
    taking = False
    for line in scenario.text.splitlines():
        fields: list[str] = line.split("#")[0].split()
        if not fields:
            continue
        if inside:
            if taking:
                out.append(line)
            if fields == ["end"]:
                inside = False
            continue
        if fields[0] in ("class", "demand", "fleet"):
            inside, taking = True, fields[0] in blocks
            if taking:
                out.append(line)
        elif fields[0] in keys:
            out.append(line)
    return out


def names(schema: tuple[Key | Block, ...]) -> set[str]:
    """Return the keywords of a schema."""
    return {item.name for item in schema}


def described(scenario: Scenario) -> dict[str, Any]:
    """Return the parameters of the rules that the checker needs beside the traffic."""
    cluster = scenario.cluster
    return {
        "classes": [
            {
                "name": c.name,
                "effect": c.effect.value,
                "scope": c.dedup_scope.value,
                "window_us": c.dedup_window_us,
                "deadline_us": c.deadline_us,
                "aim_us": c.latency_objective_us,
                "spread": c.spread.value,
                "spread_most": c.max_per_place,
            }
            for c in cluster.classes
        ],
        "answer_slack_us": cluster.answer_slack_us,
        "drain_grace_us": cluster.drain_grace_us,
        "cold_us": cluster.slow_start_us,
        "cold_share": cluster.slow_start_share,
        "fall_us": cluster.overload_window_us,
        "fall_multiple": cluster.overload_multiple,
        "fresh_offers": cluster.slow_start_offers,
        "max_attempts": cluster.max_attempts,
        "planners": scenario.planners,
        "starts_per_s": {
            str(n.model.id): n.model.starts_at_once / (n.model.start_us / 1e6) for n in scenario.nodes
        },
    }
