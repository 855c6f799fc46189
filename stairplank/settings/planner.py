"""Settings file of a planner: the settings of its site, and the keys for this planner alone."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from .. import interface as api
from ..rpc.address import is_loopback
from . import parsers
from .cluster import Cluster, cluster_from
from .schema import Block, Key, Section, load_section
from .site import SITE_SCHEMA, SiteSettings, checked_site, site_fields, tunable_problems
from .source import SettingsError, SettingsProblem, SourcePosition

PER_PLANNER_SCHEMA: tuple[Key | Block, ...] = (
    Key("planner", (parsers.integer(0, 65_535), parsers.integer(1, 65_536)), True, separators=("", "of")),
    Key("home-zone", (parsers.name,)),
    Key("listen", (parsers.address,), True, True),
    Key("directory", (parsers.address,), True),
    Key("configuration", (parsers.address,), False, True),
    Key("configuration-copy", (parsers.text,)),
    Key("beyond-loopback", (parsers.boolean,)),
    Key("seed", (parsers.integer(0, 2**64 - 1),)),
)
PLANNER_SCHEMA: tuple[Key | Block, ...] = SITE_SCHEMA + PER_PLANNER_SCHEMA
MAX_REPLICAS = 5  # limit of configuration replicas, because a planner keeps a stream to each


@dataclass(frozen=True, kw_only=True)
class PlannerConfig(SiteSettings):
    """The settings of a site together with those of one planner."""

    settings: api.Settings
    listen: tuple[str, ...]
    directory: str
    seed: int | None
    configuration: tuple[str, ...] = ()  # addresses of the configuration service's replicas
    configuration_copy: str | None = None  # file that caches the revision for the next start


def load_planner(path: str | Path) -> PlannerConfig:
    """Load and check a planner's settings file. Raises SettingsError."""
    return planner_from(load_section(path, PLANNER_SCHEMA))


def planner_from(section: Section) -> PlannerConfig:
    """Return the typed settings of a planner's section. Raises SettingsError for contradictory settings."""
    cluster = cluster_from(section)
    problems = _per_planner_problems(section, cluster) + tunable_problems(section)
    if problems:
        raise SettingsError(problems)
    site = checked_site(section, cluster)
    position, planners = section.value("planner")
    zone = site.cluster.zones.index(section.value("home-zone", site.cluster.zones[0]))
    return PlannerConfig(
        settings=site.cluster.settings(planners, position, zone),
        listen=tuple(address for (address,) in section.all_values("listen")),
        directory=section.value("directory"),
        seed=section.value("seed"),
        configuration=tuple(address for (address,) in section.all_values("configuration")),
        configuration_copy=section.value("configuration-copy"),
        **site_fields(site),
    )


def merge_site(config: PlannerConfig, site: SiteSettings, name: str = "<site>") -> PlannerConfig:
    """Return a planner's configuration with its site settings replaced by ``site``.

    The planner's identity and listen addresses do not change. Raises SettingsError if the site has no zone
    with the name of the planner's home zone; the error uses ``name`` as the name of the site's file.
    """
    home_zone = config.cluster.zones[config.settings.zone]
    if home_zone not in site.cluster.zones:
        message = f"no zone {home_zone}, in which this planner runs; known: {', '.join(site.cluster.zones)}"
        raise SettingsError([SettingsProblem(SourcePosition(name, 1, 1), "zone", message)])
    zone = site.cluster.zones.index(home_zone)
    current = config.settings
    settings = site.cluster.settings(current.planners, current.position, zone)
    return replace(config, settings=settings, **site_fields(site))


def _per_planner_problems(section: Section, cluster: Cluster) -> list[SettingsProblem]:
    """Return the problems of the keys that are set for this planner alone."""
    return [
        *_position_problems(section),
        *_home_zone_problems(section, cluster),
        *_replica_problems(section),
        *_listen_problems(section),
    ]


def _position_problems(section: Section) -> list[SettingsProblem]:
    position, planners = section.value("planner")
    if position < planners:
        return []
    message = f"{position} is not below {planners}"
    return [SettingsProblem(section.position_of("planner"), "planner", message)]


def _home_zone_problems(section: Section, cluster: Cluster) -> list[SettingsProblem]:
    zone = section.value("home-zone", cluster.zones[0])
    if zone in cluster.zones:
        return []
    message = f"no zone {zone}; known: {', '.join(cluster.zones)}"
    return [SettingsProblem(section.position_of("home-zone"), "home-zone", message)]


def _replica_problems(section: Section) -> list[SettingsProblem]:
    replicas = section.keys.get("configuration", [])
    if len(replicas) <= MAX_REPLICAS:
        return []
    first_excess, _ = replicas[MAX_REPLICAS]
    message = f"{len(replicas)} replicas are given, at most {MAX_REPLICAS} are allowed"
    return [SettingsProblem(first_excess, "configuration", message)]


def _listen_problems(section: Section) -> list[SettingsProblem]:
    if section.value("beyond-loopback", False):
        return []
    return [
        SettingsProblem(position, "listen", f"{address} is not loopback; `beyond-loopback yes` allows it")
        for position, (address,) in section.keys["listen"]
        if not is_loopback(address)
    ]
