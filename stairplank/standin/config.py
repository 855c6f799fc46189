"""The settings files of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent

from .. import interface as api
from ..planner.clock import now_us
from ..settings import parsers
from ..settings.cluster import CLUSTER_SCHEMA, Cluster, cluster_from
from ..settings.schema import Block, Key, Section, load_section
from ..settings.source import SettingsError, SettingsProblem
from .client import ClientModel, Demand
from .node_list_state import NodeListModel
from .node_model import NodeModel
from .script import Fault, parse

COMMON: tuple[Key | Block, ...] = (
    Key("seed", (parsers.integer(),)),
    Key("begin", (parsers.text,)),  # path of the file with the script's start time, in monotonic microseconds
    Key("at", (), False, True, rest_parser=parsers.text, min_rest=1),
)
MODEL: tuple[Key | Block, ...] = (
    Key("look-time", (parsers.value_range(parsers.positive_duration),)),
    Key("waiting-most", (parsers.integer(1, 1_000_000),)),
    Key("starts-at-once", (parsers.integer(1, 1_000_000),)),
    Key("start-time", (parsers.positive_duration,)),
    Key("from-nothing", (parsers.number(1),)),
    Key("programs-kept", (parsers.integer(0, 100_000),)),
    Key("cores-use", (parsers.number(),)),
    Key("memory-use", (parsers.number(),)),
)
LIST: tuple[Key | Block, ...] = (
    Key("list-notice", (parsers.duration,)),
    Key("list-silent", (parsers.duration,)),
    Key("list-period", (parsers.positive_duration,)),
)
DEMAND = Block(
    "demand",
    (parsers.name,),
    (
        Key("share", (parsers.fraction,), True),
        Key("size", (parsers.number(exclusive=True), parsers.number(exclusive=True)), True, True),
        Key("life", (parsers.value_range(parsers.positive_duration),), True),
        Key("batch", (parsers.value_range(parsers.integer(1, 10_000)),)),
        Key("services", (parsers.integer(1, 1_000_000),)),
        Key("service-most", (parsers.integer(1, 1_000_000),)),
        Key("group", (parsers.boolean,)),
    ),
)
CLIENTS: tuple[Key | Block, ...] = (
    DEMAND,
    Key("rate", (parsers.number(exclusive=True),)),
    Key("owner-again", (parsers.value_range(parsers.positive_duration),)),
    Key("owner-soon", (parsers.value_range(parsers.positive_duration),)),
    Key("owner-wanted", (parsers.positive_duration,)),
    Key("asks-end", (parsers.positive_duration,)),
    Key("tasks-most", (parsers.integer(0),)),
)
NODE = Block(
    "node",
    (parsers.integer(0, 2**32 - 1), parsers.name),
    (
        Key("kind", (parsers.name,), True),
        Key("zone", (parsers.name,), True),
        Key("rack", (parsers.name,), True),
        Key("listen", (parsers.address,), True, True),
        # An address to announce to the node list service of the given name, or to one without a name.
        Key("advertise", (parsers.address,), False, True, rest_parser=parsers.name),
        Key("absent", (parsers.boolean,)),
        Key("cold", (parsers.boolean,)),
    ),
    True,
)
NODE_POOL = (
    CLUSTER_SCHEMA
    + COMMON
    + MODEL
    + (
        NODE,
        Key("directory", (parsers.address,), False, True, rest_parser=parsers.name),
        # A fault without a time; it is carried out on SIGUSR1.
        Key("on-signal", (), False, True, rest_parser=parsers.text, min_rest=1),
    )
)
NODE_LIST = COMMON + LIST + (Key("listen", (parsers.address,), True, True),)
CLIENT_POOL = (
    CLUSTER_SCHEMA
    + COMMON
    + CLIENTS
    + (
        Key("owner", (parsers.name,), True, True),
        Key("planner", (parsers.integer(), parsers.address), True, True),
        Key("report", (parsers.text,)),
    )
)


@dataclass(frozen=True)
class NodeConfig:
    """One stand-in node: its model and addresses, and whether it is absent or cold at the start."""

    model: NodeModel
    listen: tuple[str, ...]
    # Addresses to announce, by the name of the node list service; "" stands for a service without a name.
    advertise: dict[str, tuple[str, ...]]
    absent: bool
    cold: bool


@dataclass(frozen=True)
class NodePoolConfig:
    """The settings of a process of stand-in nodes."""

    nodes: tuple[NodeConfig, ...]
    directories: tuple[tuple[str, str], ...]  # address and name of each node list service
    seed: int
    begin: str | None
    faults: tuple[Fault, ...]
    classes: tuple[api.TaskClass, ...] = ()
    on_signal: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class NodeListConfig:
    """The settings of the stand-in node list."""

    listen: tuple[str, ...]
    model: NodeListModel
    begin: str | None
    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class ClientPoolConfig:
    """The settings of a process of stand-in clients."""

    cluster: Cluster
    clients: tuple[ClientModel, ...]
    planners: dict[int, str]
    seed: int
    begin: str | None
    faults: tuple[Fault, ...]
    report: str | None


def wait_for_begin(path: str | None) -> int:
    """Wait for the file ``path`` and return the start time of the script that it contains.

    The time is in microseconds of the monotonic clock. Without a path it is the current time.
    """
    if path is None:
        return now_us()
    while not Path(path).exists():
        gevent.sleep(0.01)
    return int(Path(path).read_text())


def faults_from(section: Section) -> tuple[Fault, ...]:
    """Parse the ``at`` lines of a section; returns the faults in order of time.

    Raises SettingsError with the position of every line that cannot be parsed.
    """
    problems: list[SettingsProblem] = []
    faults: list[Fault] = []
    for position, words in section.keys.get("at", ()):
        try:
            faults.append(parse(list(words)))
        except ValueError as error:
            problems.append(SettingsProblem(position, "at", str(error)))
    if problems:
        raise SettingsError(problems)
    return tuple(sorted(faults, key=lambda f: f.at_us))


def model_from(
    cluster: Cluster, section: Section, id: int, name: str, kind: str, zone: str, rack: str
) -> NodeModel:
    """Return the model of a node of type ``kind``. Keys that are not in the section keep their defaults."""
    node_type = next(k for k in cluster.node_types if k.name == kind)
    setting = section.value
    changes: dict[str, Any] = {
        "admission_time_us": setting("look-time"),
        "max_waiting_offers": setting("waiting-most"),
        "starts_at_once": setting("starts-at-once"),
        "start_us": setting("start-time"),
        "cold_start_factor": setting("from-nothing"),
        "max_cached_programs": setting("programs-kept"),
        "cores_use": setting("cores-use"),
        "memory_use": setting("memory-use"),
    }
    return NodeModel(
        id=id,
        name=name,
        node_type=kind,
        zone=zone,
        rack=rack,
        cores=node_type.cores,
        memory=node_type.memory,
        cores_limit=cluster.cores_limit,
        memory_limit=cluster.memory_limit,
        slow_start_share=cluster.slow_start_share,
        slow_start_us=cluster.slow_start_us,
        overload_multiple=cluster.overload_multiple,
        overload_window_us=cluster.overload_window_us,
        slow_start_offers=cluster.slow_start_offers,
        preempts=cluster.preempts,
        **{k: value for k, value in changes.items() if value is not None},
    )


def load_node_pool(path: str | Path) -> NodePoolConfig:
    """Read a settings file of stand-in nodes. Raises SettingsError."""
    section = load_section(path, NODE_POOL)
    cluster = cluster_from(section)
    problems: list[SettingsProblem] = []
    nodes: list[NodeConfig] = []
    ids: set[int] = set()
    for block in section.blocks["node"]:
        id, name = block.values
        kind, zone = block.value("kind"), block.value("zone")
        if id in ids:
            problems.append(SettingsProblem(block.position, "node", f"node {id} is defined twice"))
        ids.add(id)
        if kind not in [k.name for k in cluster.node_types]:
            problems.append(SettingsProblem(block.position_of("kind"), "kind", f"no kind {kind}"))
            continue
        if zone not in cluster.zones:
            problems.append(SettingsProblem(block.position_of("zone"), "zone", f"no zone {zone}"))
        listen = tuple(a for (a,) in block.all_values("listen"))
        advertise: dict[str, tuple[str, ...]] = {}
        for address, *rest in block.all_values("advertise"):
            label = rest[0] if rest else ""
            advertise[label] = (*advertise.get(label, ()), address)
        nodes.append(
            NodeConfig(
                model_from(cluster, section, id, name, kind, zone, block.value("rack")),
                listen,
                advertise,
                block.value("absent", False),
                block.value("cold", False),
            )
        )
    if problems:
        raise SettingsError(problems)
    return NodePoolConfig(
        tuple(nodes),
        tuple((a, rest[0] if rest else "") for a, *rest in section.all_values("directory")),
        section.value("seed", 1),
        section.value("begin"),
        faults_from(section),
        cluster.classes,
        tuple(parse(["0s", *words]) for words in section.all_values("on-signal")),
    )


def node_list_model(section: Section) -> NodeListModel:
    """Return the node list's delays from a section; missing keys keep their defaults."""
    base = NodeListModel()
    return NodeListModel(
        section.value("list-notice", base.update_delay_us),
        section.value("list-silent", base.silence_timeout_us),
        section.value("list-period", base.period_us),
    )


def load_node_list(path: str | Path) -> NodeListConfig:
    """Read a settings file of the stand-in node list. Raises SettingsError."""
    section = load_section(path, NODE_LIST)
    listen = tuple(a for (a,) in section.all_values("listen"))
    return NodeListConfig(listen, node_list_model(section), section.value("begin"), faults_from(section))


def demands_from(section: Section, cluster: Cluster) -> tuple[Demand, ...]:
    """Return the demands of a section. Raises SettingsError for an unknown class or if there is no demand."""
    problems: list[SettingsProblem] = []
    demands: list[Demand] = []
    names = [c.name for c in cluster.classes]
    for block in section.blocks.get("demand", ()):
        (name,) = block.values
        if name not in names:
            problems.append(
                SettingsProblem(block.position, "demand", f"no class {name}; known: {', '.join(names)}")
            )
            continue
        setting = block.value
        demands.append(
            Demand(
                name,
                setting("share"),
                tuple((c, m) for c, m in block.all_values("size")),
                setting("life"),
                setting("batch", (1, 1)),
                setting("services", 20),
                setting("service-most", 8),
                setting("group", False),
            )
        )
    if not demands and not problems:
        problems.append(SettingsProblem(section.position, "demand", "is required"))
    if problems:
        raise SettingsError(problems)
    return tuple(demands)


def client_models(
    section: Section, cluster: Cluster, names: list[str], planners: int
) -> tuple[ClientModel, ...]:
    """Return the models of the clients called ``names``, which share the section's demand equally."""
    setting = section.value
    demands = demands_from(section, cluster)
    base = ClientModel("", 1.0, demands, cluster.classes, planners)
    tenants = [t for t, _ in cluster.tenants]
    return tuple(
        ClientModel(
            name=name,
            rate=setting("rate", 10.0) / len(names),
            demands=demands,
            classes=cluster.classes,
            planners=planners,
            tenant=tenants[i % len(tenants)] if tenants else "",
            retry_delay_us=setting("owner-again", base.retry_delay_us),
            short_retry_delay_us=setting("owner-soon", base.short_retry_delay_us),
            uncertain_retry_delay_us=cluster.client_wait_us,
            patience_us=setting("owner-wanted", base.patience_us),
            demand_ends_us=setting("asks-end", base.demand_ends_us),
            max_tasks=setting("tasks-most", 0) // len(names),
        )
        for i, name in enumerate(names)
    )


def load_client_pool(path: str | Path) -> ClientPoolConfig:
    """Read a settings file of stand-in clients. Raises SettingsError."""
    section = load_section(path, CLIENT_POOL)
    cluster = cluster_from(section)
    planners = dict(section.all_values("planner"))
    names = [n for (n,) in section.all_values("owner")]
    return ClientPoolConfig(
        cluster,
        client_models(section, cluster, names, len(planners)),
        planners,
        section.value("seed", 1),
        section.value("begin"),
        faults_from(section),
        section.value("report"),
    )
