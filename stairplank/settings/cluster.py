"""What all programs of one room agree on: classes, kinds, zones, tenants, the figures of the rules."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .. import interface as api
from . import values as v
from .lines import Problem, SettingsError
from .schema import Block, Key, Section

CLASS = Block(
    "class",
    (v.name,),
    (
        Key("effect", (v.choice("repeatable", "keyed", "once"),), required=True),
        Key("group", (v.choice("node", "rack", "zone", "all"),)),
        Key("window", (v.positive_duration,)),
        Key("aim", (v.positive_duration,), required=True),
        Key("deadline", (v.positive_duration,), required=True),
        Key("worth", (v.number(above=True),)),
        Key("start-worth", (v.duration,)),
        Key("late-worth", (v.share,)),
        Key("spread", (v.choice("node", "rack", "zone"), v.whole(1, 1_000_000))),
        Key("kind", (v.name,)),
        Key("priority", (v.whole(0, 3),)),
        Key("calm-until", (v.number(above=True),)),
        Key("lost-over", (v.number(),)),
    ),
    required=True,
)

CLUSTER: tuple[Key | Block, ...] = (
    CLASS,
    Key(
        "kind",
        (v.name, v.number(above=True), v.number(above=True)),
        True,
        True,
        words=("", "cores", "memory"),
    ),
    Key("zone", (v.name,), True, True),
    Key("tenant", (v.name, v.number(above=True)), False, True, words=("", "share")),
    Key("mean-cores", (v.number(above=True),), True),
    Key("mean-memory", (v.number(above=True),), True),
    Key("cores-limit", (v.number(above=True),)),
    Key("memory-limit", (v.number(above=True),)),
    Key("confirms", (v.choice("running", "accepted"),)),
    Key("preempts", (v.flag,)),
    Key("max-attempts", (v.whole(1, 100),)),
    Key("answer-slack", (v.positive_duration,)),
    Key("drain-grace", (v.positive_duration,)),
    Key("cold-share", (v.number(0, 1, above=True),)),
    Key("cold-time", (v.duration,)),
    Key("fall-multiple", (v.number(above=True),)),
    Key("fall-time", (v.positive_duration,)),
    Key("fresh-offers", (v.number(),)),
    Key("retry-after-most", (v.duration,)),
    Key("owner-wait", (v.duration,)),
    Key("list-ask-within", (v.positive_duration,)),
    Key("price", (v.choice("fleet", "move", "waste", "probe", "list", "refusal"), v.number()), False, True),
    Key("tick", (v.positive_duration,)),
)

# Keys with one value: the field, which has the same name in `Room` and `api.Settings`, and its default.
FIGURES: Mapping[str, tuple[str, Any]] = {
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

_EFFECTS = {e.value: e for e in api.Effect}
_SCOPES = {"node": api.Scope.NODE, "rack": api.Scope.GROUP, "zone": api.Scope.ZONE, "all": api.Scope.ALL}


@dataclass(frozen=True)
class Cluster:
    """Typed; times in microseconds."""

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
        """What the decision module of one planner is told."""
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
    """Raises SettingsError for what contradicts itself."""
    problems: list[Problem] = []
    kinds = tuple(api.NodeType(*values) for values in section.all("kind"))
    kind_names = [k.name for k in kinds]
    classes = tuple(_class(block, kind_names, problems) for block in section.blocks["class"])
    for key, names in (
        ("class", [c.name for c in classes]),
        ("kind", kind_names),
        ("zone", [z for (z,) in section.all("zone")]),
        ("tenant", [t for t, _ in section.all("tenant")]),
    ):
        twice = next((n for i, n in enumerate(names) if n in names[:i]), None)
        if twice is not None:
            problems.append(Problem(section.place(key), key, f"{twice} is there twice"))
    if problems:
        raise SettingsError(problems)
    return Cluster(
        classes=classes,
        node_types=kinds,
        zones=tuple(z for (z,) in section.all("zone")),
        tenants=tuple((t, s) for t, s in section.all("tenant")),
        confirms_running=section.one("confirms", "running") == "running",
        prices=dict(section.all("price")),
        **{field: section.one(key, default) for key, (field, default) in FIGURES.items()},
    )


def _class(block: Section, kinds: list[str], problems: list[Problem]) -> api.TaskClass:
    one = block.one
    (name,) = block.values
    effect = _EFFECTS[one("effect")]
    keyed = effect is api.Effect.IDEMPOTENT_BY_KEY
    for key in ("group", "window"):
        if keyed and key not in block.keys:
            problems.append(Problem(block.at, key, f"class {name} is keyed: it needs a {key}"))
        if not keyed and key in block.keys:
            problems.append(Problem(block.place(key), key, f"class {name} is {effect.value}, not keyed"))
    if one("aim") > one("deadline"):
        problems.append(Problem(block.place("aim"), "aim", "lies behind the deadline"))
    kind = one("kind")
    if kind is not None and kind not in kinds:
        problems.append(Problem(block.place("kind"), "kind", f"no kind {kind}; known: {', '.join(kinds)}"))
    place, most = one("spread", (None, 0))
    return api.TaskClass(
        name=name,
        effect=effect,
        dedup_scope=_SCOPES[one("group", "all")],
        dedup_window_us=one("window", 0),
        latency_objective_us=one("aim"),
        deadline_us=one("deadline"),
        priority_weight=one("worth", 1.0),
        start_bonus_s=one("start-worth", 0) / 1e6,
        late_start_weight=one("late-worth", 0.0),
        spread=_SCOPES[place] if place else api.Scope.NONE,
        max_per_place=most,
        node_type=kinds.index(kind) if kind in kinds else None,
        priority=one("priority", 0),
        full_service_utilization=one("calm-until", 1.0),
        service_loss_range=one("lost-over", 1.0),
    )
