"""Settings that are the same for all planners of a site.

A site file has the keys of a planner's file, except for those that identify the planner and its addresses.
The functions here read both, so that a key has the same meaning in either file.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from . import parsers
from .cluster import CLUSTER_SCHEMA, Cluster, cluster_from
from .schema import Block, Key, Section, load_section, load_section_text
from .source import SettingsError, SettingsProblem

TUNABLE_KEYS: tuple[Key, ...] = (
    Key("dial-timeout", (parsers.positive_duration,)),
    Key("dial-retry", (parsers.positive_duration, parsers.positive_duration)),
    Key("link-grace", (parsers.duration,)),
    Key("probe-timeout", (parsers.positive_duration,)),
    Key("list-silence", (parsers.positive_duration,)),
    Key("stop-grace", (parsers.duration,)),
    Key("open-most", (parsers.integer(1, 10_000_000),)),
    Key("owner-open-most", (parsers.integer(1, 10_000_000),)),
    Key("running-most", (parsers.integer(1, 10_000_000),)),
    Key("owners-most", (parsers.integer(1, 65_536),)),
    Key("nodes-most", (parsers.integer(1, 1_000_000),)),
    Key("dials-most", (parsers.integer(1, 100_000),)),
    Key("wait-most", (parsers.positive_duration,)),
    Key("send-buffer", (parsers.size,)),
    Key("message-most", (parsers.size,)),
    Key("keepalive", (parsers.positive_duration, parsers.positive_duration)),
)
SITE_SCHEMA: tuple[Key | Block, ...] = CLUSTER_SCHEMA + TUNABLE_KEYS

# The fields that each key sets. A key with one field stores all its values there, as a tuple if there are
# several; a key with several fields stores one value in each.
TUNABLE_FIELDS: Mapping[str, tuple[str, ...]] = {
    "dial-timeout": ("dial_timeout_us",),
    "dial-retry": ("reconnect_delay_us", "max_reconnect_delay_us"),
    "link-grace": ("link_grace_us",),
    "probe-timeout": ("health_check_timeout_us",),
    "list-silence": ("list_silence_timeout_us",),
    "stop-grace": ("shutdown_grace_us",),
    "open-most": ("max_open_requests",),
    "owner-open-most": ("max_open_requests_per_client",),
    "running-most": ("max_running_tasks",),
    "owners-most": ("max_clients",),
    "nodes-most": ("max_nodes",),
    "dials-most": ("max_concurrent_dials",),
    "wait-most": ("max_wait_us",),
    "send-buffer": ("send_buffer_bytes",),
    "message-most": ("max_message_bytes",),
    "keepalive": ("keepalive_us",),
}


@dataclass(frozen=True, kw_only=True)
class SiteSettings:
    """The settings shared by all planners of a site. Times are in microseconds, sizes in bytes."""

    cluster: Cluster
    dial_timeout_us: int = 250_000
    reconnect_delay_us: int = 100_000
    max_reconnect_delay_us: int = 2_000_000
    link_grace_us: int = 1_000_000
    health_check_timeout_us: int = 500_000
    list_silence_timeout_us: int = 5_000_000
    shutdown_grace_us: int = 10_000_000
    max_open_requests: int = 20_000
    max_open_requests_per_client: int = 20_000
    max_running_tasks: int = 200_000
    max_clients: int = 1_000
    max_nodes: int = 10_000
    max_concurrent_dials: int = 16
    max_wait_us: int = 3_600_000_000
    send_buffer_bytes: int = 1 << 20
    max_message_bytes: int = 1 << 20
    keepalive_us: tuple[int, int] = (5_000_000, 2_000_000)


def load_site(path: str | Path) -> SiteSettings:
    """Load and check a site file. Raises SettingsError."""
    return site_from(load_section(path, SITE_SCHEMA))


def load_site_text(text: str, name: str = "<site>") -> SiteSettings:
    """Parse and check a site's text; errors use ``name`` as the file name. Raises SettingsError."""
    return site_from(load_section_text(text, SITE_SCHEMA, name))


def site_from(section: Section) -> SiteSettings:
    """Return the typed settings of a section that was read with ``SITE_SCHEMA`` or an extension of it.

    Raises SettingsError for contradictory settings.
    """
    cluster = cluster_from(section)
    problems = tunable_problems(section)
    if problems:
        raise SettingsError(problems)
    return checked_site(section, cluster)


def tunable_problems(section: Section) -> list[SettingsProblem]:
    """Return the problems of the tunable settings in a section."""
    delay, max_delay = section.value("dial-retry", (0, 0))
    if delay <= max_delay:
        return []
    return [
        SettingsProblem(section.position_of("dial-retry"), "dial-retry", "the first wait is the longer one")
    ]


def checked_site(section: Section, cluster: Cluster) -> SiteSettings:
    """Return the typed settings of a checked section; ``cluster`` was read from the same section."""
    return SiteSettings(cluster=cluster, **_given_tunables(section))


def _given_tunables(section: Section) -> dict[str, Any]:
    """Return the values of the fields whose keys are in the section; other fields keep their defaults."""
    given: dict[str, Any] = {}
    for key, names in TUNABLE_FIELDS.items():
        value = section.value(key)
        if value is None:
            continue
        given.update(zip(names, value if len(names) > 1 else (value,), strict=True))
    return given


def site_fields(site: SiteSettings) -> dict[str, Any]:
    """Return the site settings by field name; a planner's other settings are left out."""
    return {field.name: getattr(site, field.name) for field in fields(SiteSettings)}
