"""Settings shared by all programs of a site: classes, node types, zones, tenants, limits and times."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .. import interface as api
from . import parsers
from .schema import Block, Key, Section
from .source import SettingsError, SettingsProblem

CLASS_BLOCK = Block(
    "class",
    (parsers.name,),
    (
        Key("effect", (parsers.choice("repeatable", "keyed", "once"),), required=True),
        Key("group", (parsers.choice("node", "rack", "zone", "all"),)),
        Key("window", (parsers.positive_duration,)),
        Key("aim", (parsers.positive_duration,), required=True),
        Key("deadline", (parsers.positive_duration,), required=True),
        Key("worth", (parsers.number(exclusive=True),)),
        Key("start-worth", (parsers.duration,)),
        Key("late-worth", (parsers.fraction,)),
        Key("spread", (parsers.choice("node", "rack", "zone"), parsers.integer(1, 1_000_000))),
        Key("kind", (parsers.name,)),
        Key("priority", (parsers.integer(0, 3),)),
        Key("calm-until", (parsers.number(exclusive=True),)),
        Key("lost-over", (parsers.number(),)),
    ),
    required=True,
)

CLUSTER_SCHEMA: tuple[Key | Block, ...] = (
    CLASS_BLOCK,
    Key(
        "kind",
        (parsers.name, parsers.number(exclusive=True), parsers.number(exclusive=True)),
        True,
        True,
        separators=("", "cores", "memory"),
    ),
    Key("zone", (parsers.name,), True, True),
    Key("tenant", (parsers.name, parsers.number(exclusive=True)), False, True, separators=("", "share")),
    Key("mean-cores", (parsers.number(exclusive=True),), True),
    Key("mean-memory", (parsers.number(exclusive=True),), True),
    Key("cores-limit", (parsers.number(exclusive=True),)),
    Key("memory-limit", (parsers.number(exclusive=True),)),
    Key("confirms", (parsers.choice("running", "accepted"),)),
    Key("preempts", (parsers.boolean,)),
    Key("max-attempts", (parsers.integer(1, 100),)),
    Key("answer-slack", (parsers.positive_duration,)),
    Key("drain-grace", (parsers.positive_duration,)),
    Key("cold-share", (parsers.number(0, 1, exclusive=True),)),
    Key("cold-time", (parsers.duration,)),
    Key("fall-multiple", (parsers.number(exclusive=True),)),
    Key("fall-time", (parsers.positive_duration,)),
    Key("fresh-offers", (parsers.number(),)),
    Key("retry-after-most", (parsers.duration,)),
    Key("owner-wait", (parsers.duration,)),
    Key("list-ask-within", (parsers.positive_duration,)),
    Key(
        "price",
        (parsers.choice("fleet", "move", "waste", "probe", "list", "refusal"), parsers.number()),
        False,
        True,
    ),
    Key("tick", (parsers.positive_duration,)),
)

# For each key with one value: the field of `Cluster` and `api.Settings` that it sets, and the default.
SINGLE_VALUE_FIELDS: Mapping[str, tuple[str, Any]] = {
    "mean-cores": ("mean_cores", None),
    "mean-memory": ("mean_memory", None),
    "cores-limit": ("cores_limit", 1.0),
    "memory-limit": ("memory_limit", 1.0),
    "preempts": ("preempts", False),
    "max-attempts": ("max_attempts", 3),
    "answer-slack": ("answer_slack_us", 50_000),
    "drain-grace": ("drain_grace_us", 250_000),
    "cold-share": ("slow_start_share", 0.2),
    "cold-time": ("slow_start_us", 10_000_000),
    "fall-multiple": ("overload_multiple", 2.0),
    "fall-time": ("overload_window_us", 1_500_000),
    "fresh-offers": ("slow_start_offers", 20.0),
    "retry-after-most": ("max_retry_after_us", 3_000_000),
    "owner-wait": ("client_wait_us", 3_000_000),
    "list-ask-within": ("poll_within_us", 10_000_000),
    "tick": ("tick_us", 10_000),
}

_EFFECT_BY_KEYWORD = {effect.value: effect for effect in api.Effect}
_SCOPE_BY_KEYWORD = {
    "node": api.Scope.NODE,
    "rack": api.Scope.GROUP,
    "zone": api.Scope.ZONE,
    "all": api.Scope.ALL,
}


@dataclass(frozen=True)
class Cluster:
    """The settings that planners, nodes and clients of a site share; times in microseconds."""

    classes: tuple[api.TaskClass, ...]
    node_types: tuple[api.NodeType, ...]
    zones: tuple[str, ...]
    tenants: tuple[tuple[str, float], ...]
    mean_cores: float
    mean_memory: float
    cores_limit: float
    memory_limit: float
    confirms_running: bool
    preempts: bool
    max_attempts: int
    answer_slack_us: int
    drain_grace_us: int
    slow_start_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int
    slow_start_offers: float
    max_retry_after_us: int
    client_wait_us: int
    poll_within_us: int
    tick_us: int
    prices: dict[str, float]

    def settings(self, planners: int, position: int, zone: int) -> api.Settings:
        """Return the settings of one planner's decision module; ``zone`` is the index of its home zone."""
        return api.Settings(
            planners=planners,
            position=position,
            zone=zone,
            classes=self.classes,
            node_types=self.node_types,
            mean_cores=self.mean_cores,
            mean_memory=self.mean_memory,
            cores_limit=self.cores_limit,
            memory_limit=self.memory_limit,
            confirms_running=self.confirms_running,
            preempts=self.preempts,
            max_attempts=self.max_attempts,
            answer_slack_us=self.answer_slack_us,
            drain_grace_us=self.drain_grace_us,
            slow_start_share=self.slow_start_share,
            slow_start_us=self.slow_start_us,
            overload_multiple=self.overload_multiple,
            overload_window_us=self.overload_window_us,
            slow_start_offers=self.slow_start_offers,
            polls_node_list=True,
            poll_within_us=self.poll_within_us,
            tick_us=self.tick_us,
            lists_free_capacity=True,
            may_check_health=True,
            may_cancel=True,
            max_retry_after_us=self.max_retry_after_us,
            client_wait_us=self.client_wait_us,
            report_fields=("free_cores", "free_memory", "util"),
            reports_in_answers=False,
            tenant_share=tuple(share for _, share in self.tenants),
            price_fleet=self.prices.get("fleet", 0.0),
            price_migration=self.prices.get("move", 0.0),
            price_waste=self.prices.get("waste", 0.0),
            price_health_check=self.prices.get("probe", 0.0),
            price_list=self.prices.get("list", 0.0),
            price_rejection=self.prices.get("refusal", 0.0),
        )


def cluster_from(section: Section) -> Cluster:
    """Return the typed settings of a section. Raises SettingsError for contradictory settings."""
    node_types = tuple(api.NodeType(*values) for values in section.all_values("kind"))
    kinds = [node_type.name for node_type in node_types]
    zones = tuple(zone for (zone,) in section.all_values("zone"))
    tenants = tuple((tenant, share) for tenant, share in section.all_values("tenant"))
    blocks = section.blocks["class"]
    problems = [problem for block in blocks for problem in _class_problems(block, kinds)]
    for key, names in (
        ("class", [block.values[0] for block in blocks]),
        ("kind", kinds),
        ("zone", list(zones)),
        ("tenant", [tenant for tenant, _ in tenants]),
    ):
        problems += _duplicate_problems(section, key, names)
    if problems:
        raise SettingsError(problems)
    return Cluster(
        classes=tuple(_task_class(block, kinds) for block in blocks),
        node_types=node_types,
        zones=zones,
        tenants=tenants,
        confirms_running=section.value("confirms", "running") == "running",
        prices=dict(section.all_values("price")),
        **{field: section.value(key, default) for key, (field, default) in SINGLE_VALUE_FIELDS.items()},
    )


def _duplicate_problems(section: Section, key: str, names: list[str]) -> list[SettingsProblem]:
    """Return a problem for the first duplicate name; an empty list if there is none."""
    duplicate = next((name for i, name in enumerate(names) if name in names[:i]), None)
    if duplicate is None:
        return []
    return [SettingsProblem(section.position_of(key), key, f"{duplicate} is given twice")]


def _class_problems(block: Section, kinds: list[str]) -> list[SettingsProblem]:
    """Return the problems of a class: contradictory settings, or a node type that is not defined."""
    problems = _idempotency_problems(block)
    if block.value("aim") > block.value("deadline"):
        problems.append(SettingsProblem(block.position_of("aim"), "aim", "is longer than the deadline"))
    kind = block.value("kind")
    if kind is not None and kind not in kinds:
        message = f"no kind {kind}; known: {', '.join(kinds)}"
        problems.append(SettingsProblem(block.position_of("kind"), "kind", message))
    return problems


def _idempotency_problems(block: Section) -> list[SettingsProblem]:
    """Return a problem for each deduplication key that a class lacks, or has without being ``keyed``."""
    problems: list[SettingsProblem] = []
    (name,) = block.values
    effect = _EFFECT_BY_KEYWORD[block.value("effect")]
    has_idempotency_key = effect is api.Effect.IDEMPOTENT_BY_KEY
    for key in ("group", "window"):
        if has_idempotency_key and key not in block.keys:
            problems.append(SettingsProblem(block.position, key, f"class {name} is keyed: it needs a {key}"))
        if not has_idempotency_key and key in block.keys:
            message = f"class {name} is {effect.value}, not keyed"
            problems.append(SettingsProblem(block.position_of(key), key, message))
    return problems


def _task_class(block: Section, kinds: list[str]) -> api.TaskClass:
    (name,) = block.values
    spread_scope, max_per_place = block.value("spread", (None, 0))
    kind = block.value("kind")
    return api.TaskClass(
        name=name,
        effect=_EFFECT_BY_KEYWORD[block.value("effect")],
        dedup_scope=_SCOPE_BY_KEYWORD[block.value("group", "all")],
        dedup_window_us=block.value("window", 0),
        latency_objective_us=block.value("aim"),
        deadline_us=block.value("deadline"),
        priority_weight=block.value("worth", 1.0),
        start_bonus_s=block.value("start-worth", 0) / 1e6,
        late_start_weight=block.value("late-worth", 0.0),
        spread=_SCOPE_BY_KEYWORD[spread_scope] if spread_scope else api.Scope.NONE,
        max_per_place=max_per_place,
        node_type=None if kind is None else kinds.index(kind),
        priority=block.value("priority", 0),
        full_service_utilization=block.value("calm-until", 1.0),
        service_loss_range=block.value("lost-over", 1.0),
    )
