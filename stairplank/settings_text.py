"""Reads planner settings from ``key=value`` text, as sent by the simulator or read from the settings file."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from . import interface as api

SCOPES = {
    "none": api.Scope.NONE,
    "machine": api.Scope.NODE,
    "cell": api.Scope.GROUP,
    "zone": api.Scope.ZONE,
    "all": api.Scope.ALL,
}
EFFECTS = {
    "repeatable": api.Effect.IDEMPOTENT,
    "by_key": api.Effect.IDEMPOTENT_BY_KEY,
    "once": api.Effect.AT_MOST_ONCE,
}
REPORT_FIELDS = {"utilization": "util", "backlog": "queue", "x0": "free_cores", "x1": "free_memory"}
FLAGS = {"true": True, "false": False}


def flatten(nested: Mapping[str, Any]) -> dict[str, str]:
    """Convert nested settings to a flat mapping of dotted keys to text values."""
    return dict(_flatten_items("", nested))


def _flatten_items(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from _flatten_items(f"{path}.{key}" if path else str(key), inner)
    elif not isinstance(value, (list, tuple)):
        yield path, _format_value(value)
    elif any(isinstance(item, Mapping) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from _flatten_items(f"{path}.{number}", item)
    else:
        yield path, ",".join(_format_value(item) for item in value)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


def _parse_whole(raw: str) -> int:
    return int(float(raw))


class SettingsReader:
    """Typed access to the values of a settings text.

    Each method raises a ValueError that names the key if its value is unreadable, or required but missing.
    """

    def __init__(self, source: str | Mapping[str, str]) -> None:
        """Read a text of ``key=value`` lines, or a mapping of keys to text values."""
        if isinstance(source, str):
            source = dict(line.split("=", 1) for line in source.splitlines() if "=" in line)
        self.values = source

    def whole(self, key: str, default: int | None = None) -> int:
        """Return a whole number, truncated if it has a fraction. Required if there is no default."""
        number: int = self._read(key, _parse_whole, default)
        return number

    def number(self, key: str, default: float | None = None) -> float:
        """Return a floating-point number. Required if there is no default."""
        number: float = self._read(key, float, default)
        return number

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean; if it is missing, the default."""
        flag: bool = self._read(key, lambda raw: FLAGS[raw.lower()], default)
        return flag

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text unchanged. Required if there is no default."""
        text: str = self._read(key, str, default)
        return text

    def choice(self, key: str, names: Mapping[str, Any], default: str | None = None) -> Any:
        """Return the value that ``names`` maps the text to. Required if there is no default."""
        raw = self.text(key, default)
        if raw not in names:
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}")
        return names[raw]

    def items(
        self, key: str, convert: Callable[[str], Any], size: int | None = None, default: Any = None
    ) -> tuple[Any, ...]:
        """Return a tuple of comma-separated values.

        If ``size`` is given, there must be that many. A missing key gives ``size`` copies of the default.
        """
        raw = self.values.get(key, "")
        if raw == "" and default is not None:
            return (default,) * (size or 0)
        try:
            out = tuple(convert(item) for item in raw.split(",") if item != "")
        except (ValueError, KeyError):
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}") from None
        if size is not None and len(out) != size:
            raise ValueError(f"settings: key {key} has {len(out)} values, not {size}: {raw!r}")
        return out

    def _read(self, key: str, convert: Callable[[str], Any], default: Any) -> Any:
        raw = self.values.get(key)
        if raw is None or raw == "":
            if default is None:
                raise ValueError(f"settings: required key {key} is {'missing' if raw is None else 'empty'}")
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError):
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}") from None


def settings_from(source: str | SettingsReader) -> api.Settings:
    """Build the settings of a planner from their text or from a reader; unknown keys are ignored.

    Raises a ValueError that names the first invalid key or field.
    """
    reader = source if isinstance(source, SettingsReader) else SettingsReader(source)
    classes = _task_classes(reader)
    node_types = _node_types(reader)
    tenants = reader.whole("parties.count", 0)
    return api.Settings(
        planners=reader.whole("group_size"),
        position=reader.whole("position"),
        zone=reader.whole("zone", 0),
        classes=classes,
        node_types=node_types,
        **_placement(reader),
        **_contract(reader),
        **_messages(reader),
        **_tenants(reader, tenants),
        **_prices(reader),
    )


def _task_classes(reader: SettingsReader) -> tuple[api.TaskClass, ...]:
    """Read the task classes; some keys belong to one class, others list one value per class."""
    count = reader.whole("classes.count")
    spread = reader.items("family_info.spread_by", SCOPES.__getitem__, count, api.Scope.NONE)
    max_per_place = reader.items("family_info.class_most", _parse_whole, count, 0)
    start_bonus_s = reader.items("family_info.class_start_s", float, count, 0.0)
    node_type = reader.items("family_info.class_kind", _parse_whole, count, -1)
    priority = reader.items("family_info.priority_by_class", _parse_whole, count, 0)
    full_service = reader.items("family_info.easy_until", float, count, 1.0)
    service_loss = reader.items("family_info.lost_after", float, count, 1.0)
    classes = []
    for c in range(count):
        prefix = f"classes.{c}."
        effect = reader.choice(prefix + "effect", EFFECTS)
        # IDEMPOTENT_BY_KEY needs a window; the default None makes the key required.
        default_window_us = None if effect is api.Effect.IDEMPOTENT_BY_KEY else 0
        classes.append(
            api.TaskClass(
                name=reader.text(prefix + "name", str(c)),
                effect=effect,
                dedup_scope=reader.choice(prefix + "dedup_scope", SCOPES, "all"),
                dedup_window_us=reader.whole(prefix + "window_us", default_window_us),
                latency_objective_us=reader.whole(prefix + "promise_us"),
                deadline_us=reader.whole(prefix + "deadline_us"),
                priority_weight=reader.number(prefix + "worth", 1.0),
                late_start_weight=reader.number(prefix + "late_worth", 0.0),
                start_bonus_s=start_bonus_s[c],
                spread=spread[c],
                max_per_place=max_per_place[c],
                node_type=node_type[c] if node_type[c] >= 0 else None,
                priority=priority[c],
                full_service_utilization=full_service[c],
                service_loss_range=service_loss[c],
            )
        )
    return tuple(classes)


def _node_types(reader: SettingsReader) -> tuple[api.NodeType, ...]:
    names = reader.items("kinds", str)
    cores = reader.items("family_info.size_cores", float, len(names))
    memory = reader.items("family_info.mem_of_kind", float, len(names))
    return tuple(api.NodeType(*row) for row in zip(names, cores, memory, strict=True))


def _placement(reader: SettingsReader) -> dict[str, Any]:
    """Read the mean task sizes, the limits up to which nodes accept tasks, and the number of attempts."""
    return {
        "mean_cores": reader.number("family_info.unit_cores"),
        "mean_memory": reader.number("family_info.unit_memory"),
        "cores_limit": reader.number("family_info.accepts_cores"),
        "memory_limit": reader.number("family_info.mem_booking"),
        "confirms_running": reader.text("family_info.confirms", "running") == "running",
        "preempts": reader.flag("family_info.preempts"),
        "max_attempts": reader.whole("limits.max_attempts"),
    }


def _contract(reader: SettingsReader) -> dict[str, Any]:
    """Read the limits that planners must keep towards clients and nodes."""
    return {
        "answer_slack_us": reader.whole("contract.answer_slack_us"),
        "drain_grace_us": reader.whole("contract.drain_grace_us"),
        "slow_start_share": reader.number("contract.cold_from"),
        "slow_start_us": reader.whole("contract.ramp_time_us"),
        "overload_multiple": reader.number("contract.fall_multiple"),
        "overload_window_us": reader.whole("contract.fall_us"),
        "slow_start_offers": reader.number("family_info.fresh_offers", 0.0),
    }


def _messages(reader: SettingsReader) -> dict[str, Any]:
    """Read which messages the node list, nodes and clients support, and which they send unrequested."""
    return {
        "polls_node_list": reader.text("registry_mode") == "ask",
        "poll_within_us": reader.whole("contract.ask_within_us", 0),
        "tick_us": reader.whole("quantum_us", 1),
        "lists_free_capacity": reader.flag("family_info.shows_free"),
        "may_check_health": reader.flag("limits.probes"),
        "may_cancel": reader.flag("limits.may_cancel"),
        "max_retry_after_us": _max_retry_after_us(reader),
        "client_wait_us": reader.whole("family_info.owner_wait_us", 0),
        "report_fields": reader.items("report.fields", lambda name: REPORT_FIELDS.get(name, name)),
        "reports_in_answers": reader.text("report.via", "none") == "answers",
    }


def _max_retry_after_us(reader: SettingsReader) -> int:
    """Return the longest Retry-After; 0, without reading the key, if clients do not support it."""
    return reader.whole("limits.max_retry_after_us", 0) if reader.flag("limits.retry_after") else 0


def _tenants(reader: SettingsReader, tenants: int) -> dict[str, Any]:
    return {
        "tenant_share": tuple(reader.number(f"parties.{t}.portion", 0.0) for t in range(tenants)),
        "tenant_quota_cores": reader.items("family_info.quota_cores", float),
        "over_quota_weight": reader.number("over_share_worth", 1.0),
    }


def _prices(reader: SettingsReader) -> dict[str, Any]:
    return {
        "price_fleet": reader.number("penalties.fleet", 0.0),
        "price_migration": reader.number("penalties.moves", 0.0),
        "price_waste": reader.number("penalties.waste", 0.0),
        "price_health_check": reader.number("penalties.probe", 0.0),
        "price_list": reader.number("penalties.registry_mode", 0.0),
        "price_rejection": reader.number("family_info.turned_down_price", 0.0),
    }
