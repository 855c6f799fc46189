"""The settings files of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent

from .. import interface as api
from ..planner.clock import now_us
from ..settings import values as v
from ..settings.cluster import CLUSTER, Cluster, cluster_from
from ..settings.lines import Problem, SettingsError
from ..settings.schema import Block, Key, Section, load
from .client import ClientModel, Demand
from .node_list_state import NodeListModel
from .node_model import NodeModel
from .script import Fault, parse

COMMON: tuple[Key | Block, ...] = (
    Key("seed", (v.whole(),)),
    Key("begin", (v.text,)),  # a file that will hold the zero of the script, in monotonic microseconds
    Key("at", (), False, True, rest=v.text, least_rest=1),
)
MODEL: tuple[Key | Block, ...] = (
    Key("look-time", (v.span(v.positive_duration),)),
    Key("waiting-most", (v.whole(1, 1_000_000),)),
    Key("starts-at-once", (v.whole(1, 1_000_000),)),
    Key("start-time", (v.positive_duration,)),
    Key("from-nothing", (v.number(1),)),
    Key("programs-kept", (v.whole(0, 100_000),)),
    Key("cores-use", (v.number(),)),
    Key("memory-use", (v.number(),)),
)
LIST: tuple[Key | Block, ...] = (
    Key("list-notice", (v.duration,)),
    Key("list-silent", (v.duration,)),
    Key("list-period", (v.positive_duration,)),
)
DEMAND = Block(
    "demand",
    (v.name,),
    (
        Key("share", (v.share,), True),
        Key("size", (v.number(above=True), v.number(above=True)), True, True),
        Key("life", (v.span(v.positive_duration),), True),
        Key("batch", (v.span(v.whole(1, 10_000)),)),
        Key("services", (v.whole(1, 1_000_000),)),
        Key("service-most", (v.whole(1, 1_000_000),)),
        Key("group", (v.flag,)),
    ),
)
CLIENTS: tuple[Key | Block, ...] = (
    DEMAND,
    Key("rate", (v.number(above=True),)),
    Key("owner-again", (v.span(v.positive_duration),)),
    Key("owner-soon", (v.span(v.positive_duration),)),
    Key("owner-wanted", (v.positive_duration,)),
    Key("asks-end", (v.positive_duration,)),
    Key("tasks-most", (v.whole(0),)),
)
NODE = Block(
    "node",
    (v.whole(0, 2**32 - 1), v.name),
    (
        Key("kind", (v.name,), True),
        Key("zone", (v.name,), True),
        Key("rack", (v.name,), True),
        Key("listen", (v.address,), True, True),
        Key("advertise", (v.address,), False, True, rest=v.name),  # for one directory, by its name
        Key("absent", (v.flag,)),
        Key("cold", (v.flag,)),
    ),
    True,
)
NODE_POOL = (
    CLUSTER
    + COMMON
    + MODEL
    + (
        NODE,
        Key("directory", (v.address,), False, True, rest=v.name),
        Key(
            "on-signal", (), False, True, rest=v.text, least_rest=1
        ),  # done at SIGUSR1: a fault without a time
    )
)
NODE_LIST = COMMON + LIST + (Key("listen", (v.address,), True, True),)
CLIENT_POOL = (
    CLUSTER
    + COMMON
    + CLIENTS
    + (
        Key("owner", (v.name,), True, True),
        Key("planner", (v.whole(), v.address), True, True),
        Key("report", (v.text,)),
    )
)


@dataclass(frozen=True)
class NodeConfig:
    """One stand-in node: its model and addresses, and whether it is there at the start."""

    model: NodeModel
    listen: tuple[str, ...]
    advertise: dict[str, tuple[str, ...]]  # by the directory's name
    absent: bool
    cold: bool


@dataclass(frozen=True)
class NodePoolConfig:
    """The nodes of one process, and their faults."""

    nodes: tuple[NodeConfig, ...]
    directories: tuple[tuple[str, str], ...]  # address and name
    seed: int
    begin: str | None
    faults: tuple[Fault, ...]
    classes: tuple[api.TaskClass, ...] = ()
    on_signal: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class NodeListConfig:
    """The stand-in node list."""

    listen: tuple[str, ...]
    model: NodeListModel
    begin: str | None
    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class ClientPoolConfig:
    """The clients of one process, and their faults."""

    room: Cluster
    clients: tuple[ClientModel, ...]
    planners: dict[int, str]
    seed: int
    begin: str | None
    faults: tuple[Fault, ...]
    report: str | None


def wait_for_begin(path: str | None) -> int:
    """Wait for the script's zero, in microseconds on the monotonic clock; without a file it is now."""
    if path is None:
        return now_us()
    while not Path(path).exists():
        gevent.sleep(0.01)
    return int(Path(path).read_text())


def faults_from(section: Section) -> tuple[Fault, ...]:
    """Raises SettingsError with the place of a line that cannot be read."""
    problems: list[Problem] = []
    out: list[Fault] = []
    for place, words in section.keys.get("at", ()):
        try:
            out.append(parse(list(words)))
        except ValueError as error:
            problems.append(Problem(place, "at", str(error)))
    if problems:
        raise SettingsError(problems)
    return tuple(sorted(out, key=lambda f: f.at_us))


def model_from(
    room: Cluster, section: Section, id: int, name: str, kind: str, zone: str, rack: str
) -> NodeModel:
    """The model of one node of a type. Keys that are not in the section keep their defaults."""
    sort = next(k for k in room.node_types if k.name == kind)
    one = section.one
    changes: dict[str, Any] = {
        "admission_time_us": one("look-time"),
        "max_waiting_offers": one("waiting-most"),
        "starts_at_once": one("starts-at-once"),
        "start_us": one("start-time"),
        "cold_start_factor": one("from-nothing"),
        "max_cached_programs": one("programs-kept"),
        "cores_use": one("cores-use"),
        "memory_use": one("memory-use"),
    }
    return NodeModel(
        id=id,
        name=name,
        node_type=kind,
        zone=zone,
        rack=rack,
        cores=sort.cores,
        memory=sort.memory,
        cores_limit=room.cores_limit,
        memory_limit=room.memory_limit,
        slow_start_share=room.slow_start_share,
        slow_start_us=room.slow_start_us,
        overload_multiple=room.overload_multiple,
        overload_window_us=room.overload_window_us,
        slow_start_offers=room.slow_start_offers,
        preempts=room.preempts,
        **{k: value for k, value in changes.items() if value is not None},
    )


def load_node_pool(path: str | Path) -> NodePoolConfig:
    """Read a file of nodes. Raises SettingsError."""
    section = load(path, NODE_POOL)
    room = cluster_from(section)
    problems: list[Problem] = []
    nodes: list[NodeConfig] = []
    ids: set[int] = set()
    for block in section.blocks["node"]:
        id, name = block.values
        kind, zone = block.one("kind"), block.one("zone")
        if id in ids:
            problems.append(Problem(block.at, "node", f"{id} is there twice"))
        ids.add(id)
        if kind not in [k.name for k in room.node_types]:
            problems.append(Problem(block.place("kind"), "kind", f"no kind {kind}"))
            continue
        if zone not in room.zones:
            problems.append(Problem(block.place("zone"), "zone", f"no zone {zone}"))
        listen = tuple(a for (a,) in block.all("listen"))
        advertise: dict[str, tuple[str, ...]] = {}
        for address, *rest in block.all("advertise"):
            label = rest[0] if rest else ""
            advertise[label] = (*advertise.get(label, ()), address)
        nodes.append(
            NodeConfig(
                model_from(room, section, id, name, kind, zone, block.one("rack")),
                listen,
                advertise,
                block.one("absent", False),
                block.one("cold", False),
            )
        )
    if problems:
        raise SettingsError(problems)
    return NodePoolConfig(
        tuple(nodes),
        tuple((a, rest[0] if rest else "") for a, *rest in section.all("directory")),
        section.one("seed", 1),
        section.one("begin"),
        faults_from(section),
        room.classes,
        tuple(parse(["0s", *words]) for words in section.all("on-signal")),
    )


def node_list_model(section: Section) -> NodeListModel:
    """The delays of the node list that a section has."""
    base = NodeListModel()
    return NodeListModel(
        section.one("list-notice", base.update_delay_us),
        section.one("list-silent", base.silence_timeout_us),
        section.one("list-period", base.period_us),
    )


def load_node_list(path: str | Path) -> NodeListConfig:
    """Read a node list's file. Raises SettingsError."""
    section = load(path, NODE_LIST)
    listen = tuple(a for (a,) in section.all("listen"))
    return NodeListConfig(listen, node_list_model(section), section.one("begin"), faults_from(section))


def demands_from(section: Section, room: Cluster) -> tuple[Demand, ...]:
    """The demands of a section. Raises SettingsError for classes that are not known."""
    problems: list[Problem] = []
    out: list[Demand] = []
    names = [c.name for c in room.classes]
    for block in section.blocks.get("demand", ()):
        (name,) = block.values
        if name not in names:
            problems.append(Problem(block.at, "demand", f"no class {name}; known: {', '.join(names)}"))
            continue
        one = block.one
        out.append(
            Demand(
                name,
                one("share"),
                tuple((c, m) for c, m in block.all("size")),
                one("life"),
                one("batch", (1, 1)),
                one("services", 20),
                one("service-most", 8),
                one("group", False),
            )
        )
    if not out and not problems:
        problems.append(Problem(section.at, "demand", "is required"))
    if problems:
        raise SettingsError(problems)
    return tuple(out)


def client_models(
    section: Section, room: Cluster, names: list[str], planners: int
) -> tuple[ClientModel, ...]:
    """The models of clients of these names, which divide the section's demand."""
    one = section.one
    demands = demands_from(section, room)
    base = ClientModel("", 1.0, demands, room.classes, planners)
    tenants = [t for t, _ in room.tenants]
    return tuple(
        ClientModel(
            name=name,
            rate=one("rate", 10.0) / len(names),
            demands=demands,
            classes=room.classes,
            planners=planners,
            tenant=tenants[i % len(tenants)] if tenants else "",
            retry_delay_us=one("owner-again", base.retry_delay_us),
            short_retry_delay_us=one("owner-soon", base.short_retry_delay_us),
            uncertain_retry_delay_us=room.client_wait_us,
            patience_us=one("owner-wanted", base.patience_us),
            demand_ends_us=one("asks-end", base.demand_ends_us),
            max_tasks=one("tasks-most", 0) // len(names),
        )
        for i, name in enumerate(names)
    )


def load_client_pool(path: str | Path) -> ClientPoolConfig:
    """Read a file of clients. Raises SettingsError."""
    section = load(path, CLIENT_POOL)
    room = cluster_from(section)
    planners = dict(section.all("planner"))
    names = [n for (n,) in section.all("owner")]
    return ClientPoolConfig(
        room,
        client_models(section, room, names, len(planners)),
        planners,
        section.one("seed", 1),
        section.one("begin"),
        faults_from(section),
        section.one("report"),
    )
