"""The planner's settings file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from .. import interface as api
from ..rpc.address import is_loopback
from . import values as v
from .lines import Problem, SettingsError
from .room import ROOM, Room, room_from
from .schema import Block, Key, Section, load

OWN: tuple[Key | Block, ...] = (
    Key("planner", (v.whole(0, 65_535), v.whole(1, 65_536)), True, words=("", "of")),
    Key("home-zone", (v.name,)),
    Key("listen", (v.address,), True, True),
    Key("directory", (v.address,), True),
    Key("beyond-loopback", (v.flag,)),
    Key("seed", (v.whole(0, 2**64 - 1),)),
    Key("dial-timeout", (v.positive_duration,)),
    Key("dial-retry", (v.positive_duration, v.positive_duration)),
    Key("link-grace", (v.duration,)),
    Key("probe-timeout", (v.positive_duration,)),
    Key("list-silence", (v.positive_duration,)),
    Key("stop-grace", (v.duration,)),
    Key("open-most", (v.whole(1, 10_000_000),)),
    Key("owner-open-most", (v.whole(1, 10_000_000),)),
    Key("running-most", (v.whole(1, 10_000_000),)),
    Key("owners-most", (v.whole(1, 65_536),)),
    Key("nodes-most", (v.whole(1, 1_000_000),)),
    Key("dials-most", (v.whole(1, 100_000),)),
    Key("wait-most", (v.positive_duration,)),
    Key("send-buffer", (v.size,)),
    Key("message-most", (v.size,)),
    Key("keepalive", (v.positive_duration, v.positive_duration)),
)
PLANNER: tuple[Key | Block, ...] = ROOM + OWN


@dataclass(frozen=True)
class PlannerConfig:
    """Times in microseconds, sizes in bytes."""

    room: Room
    settings: api.Settings
    listen: tuple[str, ...]
    directory: str
    seed: int | None
    dial_timeout_us: int = 250_000
    dial_retry_us: int = 100_000
    dial_retry_most_us: int = 2_000_000
    link_grace_us: int = 1_000_000
    probe_timeout_us: int = 500_000
    list_silence_us: int = 5_000_000
    stop_grace_us: int = 10_000_000
    open_most: int = 20_000
    owner_open_most: int = 20_000
    running_most: int = 200_000
    owners_most: int = 1_000
    nodes_most: int = 10_000
    dials_most: int = 16
    wait_most_us: int = 3_600_000_000
    send_buffer: int = 1 << 20
    message_most: int = 1 << 20
    keepalive_us: tuple[int, int] = (5_000_000, 2_000_000)


def load_planner(path: str | Path) -> PlannerConfig:
    """Read, check and type a planner's file. Raises SettingsError."""
    return planner_from(load(path, PLANNER))


def planner_from(section: Section) -> PlannerConfig:
    room = room_from(section)
    one = section.one
    problems: list[Problem] = []
    position, planners = one("planner")
    if position >= planners:
        problems.append(Problem(section.place("planner"), "planner", f"{position} is not below {planners}"))
    zone = one("home-zone", room.zones[0])
    if zone not in room.zones:
        known = ", ".join(room.zones)
        problems.append(Problem(section.place("home-zone"), "home-zone", f"no zone {zone}; known: {known}"))
    listen = tuple(a for (a,) in section.all("listen"))
    if not one("beyond-loopback", False):
        for place, (a,) in section.keys["listen"]:
            if not is_loopback(a):
                text = f"{a} is not loopback; `beyond-loopback yes` allows it"
                problems.append(Problem(place, "listen", text))
    if one("dial-retry", (0, 0))[0] > one("dial-retry", (0, 0))[1]:
        problems.append(
            Problem(section.place("dial-retry"), "dial-retry", "the first wait is the longer one")
        )
    if problems:
        raise SettingsError(problems)
    base = PlannerConfig(
        room, room.settings(planners, position, room.zones.index(zone)), listen, one("directory"), one("seed")
    )
    changes = {
        "dial_timeout_us": one("dial-timeout"),
        "dial_retry_us": one("dial-retry", (None, None))[0],
        "dial_retry_most_us": one("dial-retry", (None, None))[1],
        "link_grace_us": one("link-grace"),
        "probe_timeout_us": one("probe-timeout"),
        "list_silence_us": one("list-silence"),
        "stop_grace_us": one("stop-grace"),
        "open_most": one("open-most"),
        "owner_open_most": one("owner-open-most"),
        "running_most": one("running-most"),
        "owners_most": one("owners-most"),
        "nodes_most": one("nodes-most"),
        "dials_most": one("dials-most"),
        "wait_most_us": one("wait-most"),
        "send_buffer": one("send-buffer"),
        "message_most": one("message-most"),
        "keepalive_us": one("keepalive"),
    }
    from dataclasses import replace

    return replace(base, **{k: value for k, value in changes.items() if value is not None})
