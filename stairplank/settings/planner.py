"""The planner's settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from .. import interface as api
from ..rpc.address import is_loopback
from . import values as v
from .cluster import Cluster, cluster_from
from .lines import Problem, SettingsError
from .schema import Block, Key, Section, load
from .site import SITE, SiteSettings, site_fields, tunable_problems, typed_site

OWN: tuple[Key | Block, ...] = (
    Key("planner", (v.whole(0, 65_535), v.whole(1, 65_536)), True, words=("", "of")),
    Key("home-zone", (v.name,)),
    Key("listen", (v.address,), True, True),
    Key("directory", (v.address,), True),
    Key("configuration", (v.address,), False, True),
    Key("configuration-copy", (v.text,)),
    Key("beyond-loopback", (v.flag,)),
    Key("seed", (v.whole(0, 2**64 - 1),)),
)
PLANNER: tuple[Key | Block, ...] = SITE + OWN
REPLICAS_MOST = 5  # of the configuration service: a planner holds a stream to each


@dataclass(frozen=True, kw_only=True)
class PlannerConfig(SiteSettings):
    """A site's settings together with those of one planner."""

    settings: api.Settings
    listen: tuple[str, ...]
    directory: str
    seed: int | None
    configuration: tuple[str, ...] = ()  # replicas of the configuration service
    configuration_copy: str | None = None  # file for the revision that the next start begins with


def load_planner(path: str | Path) -> PlannerConfig:
    """Read, check and type a planner's file. Raises SettingsError."""
    return planner_from(load(path, PLANNER))


def planner_from(section: Section) -> PlannerConfig:
    """The typed settings of a planner's section. Raises SettingsError for what contradicts itself."""
    room = cluster_from(section)
    problems = _own_problems(section, room) + tunable_problems(section)
    if problems:
        raise SettingsError(problems)
    site = typed_site(section, room)
    position, planners = section.one("planner")
    zone = site.cluster.zones.index(section.one("home-zone", site.cluster.zones[0]))
    return PlannerConfig(
        settings=site.cluster.settings(planners, position, zone),
        listen=tuple(address for (address,) in section.all("listen")),
        directory=section.one("directory"),
        seed=section.one("seed"),
        configuration=tuple(address for (address,) in section.all("configuration")),
        configuration_copy=section.one("configuration-copy"),
        **site_fields(site),
    )


def _own_problems(section: Section, room: Cluster) -> list[Problem]:
    """What is wrong with the keys of this planner alone."""
    problems: list[Problem] = []
    position, planners = section.one("planner")
    if position >= planners:
        problems.append(Problem(section.place("planner"), "planner", f"{position} is not below {planners}"))
    zone = section.one("home-zone", room.zones[0])
    if zone not in room.zones:
        known = ", ".join(room.zones)
        problems.append(Problem(section.place("home-zone"), "home-zone", f"no zone {zone}; known: {known}"))
    replicas = section.keys.get("configuration", [])
    if len(replicas) > REPLICAS_MOST:
        text = f"{len(replicas)} replicas are given, at most {REPLICAS_MOST} are allowed"
        problems.append(Problem(replicas[REPLICAS_MOST][0], "configuration", text))
    if section.one("beyond-loopback", False):
        return problems
    for place, (address,) in section.keys["listen"]:
        if not is_loopback(address):
            text = f"{address} is not loopback; `beyond-loopback yes` allows it"
            problems.append(Problem(place, "listen", text))
    return problems
