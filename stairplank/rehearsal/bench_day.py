"""Day files of the bench, turned into scenarios for real processes.

A day file is the JSON that the bench's ``draw`` prints: fleet, classes, demand and every trouble, with its
figures. What can be carried over becomes lines of a scenario; what cannot is said, a line each. ``scale``
takes a share of nodes, planners and demand; ``speed`` lets the day pass so many times faster, aims and
deadlines apart.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..settings.parsers import format_duration

EFFECTS = {"safe": "repeatable", "keyed": "keyed", "unsafe": "once"}
GROUPS = {"all": "all", "zone": "zone", "cell": "rack"}
SPREADS = {"machine": "node", "cell": "rack", "zone": "zone"}
SHAPE_STEPS = 12
CAPACITY_LESS = 0.07
TICK_US = 20_000  # real planners on a shared machine: answers are timed more coarsely than on the bench
SLACK_US = 500_000


class DayError(Exception):
    """The file is no day of the kind that tasks are placed on; the text names the key."""


@dataclass
class Carried:
    """A scenario's text, and what of the day it leaves out or takes as something else."""

    text: str
    notes: list[str] = field(default_factory=list)


# Keys of a day that say nothing about what happens in a room.
BOOKKEEPING = (
    "v",
    "site",
    "family",
    "kind",
    "noise",
    "tail",
    "epoch",
    "goal",
    "prices",
    "wire",
    "genes",
    "unlock",
)
CARRIED: tuple[str, ...] = (
    "servers",
    "balancers",
    "classes",
    "tiers",
    "traffic",
    "troubles",
    "fam",
    "length",
    "zones",
)
CARRIED += ("drain_grace", "fall_multiple", "fall_for", "discovery", "tick", "clients", "entry")
LEFT_OUT = {
    "net": "loopback has no distances",
    "front_notice": "owners find a dead planner by its broken stream",
    "tenants": "tasks of all tenants are asked for as one owner's",
    "allow": "probes and calls-off are always allowed here; the most attempts are carried",
}


class _Day:
    def __init__(self, day: dict[str, Any], scale: float, speed: float, seed: int) -> None:
        if day.get("family") != "place":
            raise DayError(f"family: {day.get('family')!r} is not 'place'")
        for key in ("servers", "balancers", "classes", "tiers", "traffic", "troubles", "fam", "length"):
            if key not in day:
                raise DayError(f"{key}: is missing")
        self.day, self.scale, self.speed, self.seed = day, scale, speed, seed
        self.fam: dict[str, Any] = day["fam"]
        self.notes: list[str] = []
        servers = day["servers"]
        self.present = [i for i, s in enumerate(servers) if s.get("up", True)]
        self.later = [i for i, s in enumerate(servers) if not s.get("up", True)]
        self.kept = self._some(self.present, 3) + self._some(self.later, 0)
        self.planners = max(1, round(len(day["balancers"]) * scale))
        # A fleet block has one zone, kind and rack: nodes are numbered in the order of the blocks.
        groups: dict[tuple[int, int, int, bool], list[int]] = {}
        for i in self.kept:
            s = servers[i]
            place = (s["zone"], s["kind"], s["cell"], i in set(self.later))
            groups.setdefault(place, []).append(i)
        self.groups = dict(sorted(groups.items()))
        self.number: dict[int, int] = {}
        for members in self.groups.values():
            for i in members:
                self.number[i] = len(self.number) + 1

    def _some(self, items: list[int], least: int) -> list[int]:
        """An even share of zones, kinds and cells."""
        servers = self.day["servers"]
        items = sorted(items, key=lambda i: (servers[i]["zone"], servers[i]["kind"], servers[i]["cell"], i))
        count = min(len(items), max(least, round(len(items) * self.scale)))
        return [items[int(k * len(items) / count)] for k in range(count)] if count else []

    def time(self, us: float) -> str:
        """A time of the day, at the speed."""
        return format_duration(max(1, round(us / self.speed)))

    def nodes(self, on: list[int]) -> list[int]:
        """Numbers of those nodes that are here; one at least, as a trouble without a node is none."""
        here = [self.number[i] for i in on if i in self.number]
        if not here and on:
            here = [1 + on[0] % len(self.number)]
            self.notes.append(
                f"a trouble's nodes {on} are not among the kept ones: node {here[0]} stands for them"
            )
        return sorted(here)

    # The parts of a scenario

    def text(self) -> str:
        lines = [
            f"# from a day of {self.day.get('site', 'a site')}, scale {self.scale:g}, speed {self.speed:g}",
            f"seed {self.seed}",
            f"lasts {self.time(self.day['length'] + self._settle_us() * self.speed)}",
            f"settles {format_duration(self._settle_us())}",
            f"planners {self.planners}",
            f"owners {min(4, self.planners)}",
        ]
        lines += [
            *self._classes(),
            *self._room(),
            *self._fleet(),
            *self._node_model(),
            *self._list(),
            *self._demand(),
        ]
        lines += self._shape()
        for trouble in self.day["troubles"]:
            lines += self._trouble(trouble)
        self._rest()
        return "\n".join(lines) + "\n"

    def _settle_us(self) -> int:
        return max(c["deadline"] for c in self.day["classes"]) + 3_000_000

    def _classes(self) -> list[str]:
        out = []
        for sort, use in zip(self.day["classes"], self.fam["uses"], strict=True):
            effect = EFFECTS[sort["effect"]]
            out += [
                f"class {sort['name']}",
                f"  effect {effect}",
                f"  aim {format_duration(sort['aim'])}",
                f"  deadline {format_duration(sort['deadline'])}",
                f"  worth {sort['worth']}",
                f"  late-worth {sort.get('late_worth', 0.0)}",
                f"  start-worth {format_duration(round(use.get('start_s', 0.0) * 1e6))}",
                f"  priority {use.get('priority', 0)}",
                f"  calm-until {use.get('calm', 1.0)}",
                f"  lost-over {use.get('fade', 1.0)}",
            ]
            if effect == "keyed":
                out += [f"  group {GROUPS[sort['group']]}", f"  window {format_duration(sort['window'])}"]
            if use.get("spread") in SPREADS:
                out.append(f"  spread {SPREADS[use['spread']]} {use['most']}")
            if use.get("on_kind", -1) >= 0:
                out.append(f"  kind {self.day['tiers'][0]['kinds'][use['on_kind']]['name']}")
            out.append("end")
        return out

    def _room(self) -> list[str]:
        day, fam, tier = self.day, self.fam, self.day["tiers"][0]
        cores, memory = self._mean_ask()
        allow = day.get("allow", {})
        kinds = [
            f"kind {k['name']} cores {k['cores']} memory {m}"
            for k, m in zip(tier["kinds"], fam["memory"], strict=True)
        ]
        return [
            *kinds,
            *(f"zone {z}" for z in day["zones"]),
            f"mean-cores {cores:.4f}",
            f"mean-memory {memory:.4f}",
            f"cores-limit {fam['over'][0]}",
            f"memory-limit {fam['over'][1]}",
            f"confirms {'accepted' if fam.get('at_accept') else 'running'}",
            f"preempts {'yes' if fam.get('preempt') else 'no'}",
            f"max-attempts {allow.get('max_attempts', 3)}",
            f"answer-slack {format_duration(SLACK_US)}",
            f"drain-grace {format_duration(day.get('drain_grace', 250_000))}",
            f"cold-share {tier.get('stated_cold_from', 0.2)}",
            f"cold-time {format_duration(int(tier.get('stated_cold', 10_000_000)))}",
            f"fall-multiple {day.get('fall_multiple', 2.0)}",
            f"fall-time {format_duration(day.get('fall_for', 1_500_000))}",
            "fresh-offers 30",
            f"owner-wait {format_duration(int(fam.get('settle', 3_000_000)))}",
            f"tick {format_duration(TICK_US)}",
            *(f"price {name} {day.get('prices', {}).get(key, 0.0)}" for name, key in PRICES.items()),
        ]

    def _mean_ask(self) -> tuple[float, float]:
        cores = memory = total = 0.0
        for sort, use in zip(self.day["classes"], self.fam["uses"], strict=True):
            for c, m, share in use["shapes"]:
                weight = sort["share"] * share
                cores, memory, total = cores + weight * c, memory + weight * m, total + weight
        return cores / total, memory / total

    def _fleet(self) -> list[str]:
        out = []
        for (zone, kind, cell, later), members in self.groups.items():
            name = f"{self.day['zones'][zone]}-{self.day['tiers'][0]['kinds'][kind]['name']}-{cell}"
            out += [
                f"fleet {name}{'-later' if later else ''}",
                f"  kind {self.day['tiers'][0]['kinds'][kind]['name']}",
                f"  zone {self.day['zones'][zone]}",
                "  racks 1",
                f"  rack cell-{cell}",
                f"  nodes {0 if later else len(members)}",
                f"  absent {len(members) if later else 0}",
                "end",
            ]
        return out

    def _node_model(self) -> list[str]:
        fam = self.fam
        work = sum(c["work"] * c["share"] for c in self.day["classes"]) / sum(
            c["share"] for c in self.day["classes"]
        )
        used = [u["used"] for u in fam["uses"]]
        look = int(fam["admit_us"])
        self.notes.append("speeds of single nodes: all nodes of a kind are alike here")
        return [
            f"look-time {format_duration(look)}..{format_duration(look)}",
            f"waiting-most {max(1, int(fam['admit_queue']))}",
            f"starts-at-once {max(1, int(fam['starts']))}",
            f"start-time {format_duration(max(1000, int(work)))}",
            f"from-nothing {max(1.0, fam['setup'])}",
            f"programs-kept {int(fam['kept'])}",
            f"cores-use {sum(u[0] for u in used) / len(used):.4f}",
            f"memory-use {sum(u[1] for u in used) / len(used):.4f}",
        ]

    def _list(self) -> list[str]:
        told = self.day.get("discovery", {})
        return [
            f"list-notice {self.time(told.get('notice', 300_000))}",
            f"list-silent {self.time(told.get('silent_notice', 3_000_000))}",
            f"list-period {self.time(told.get('period', 200_000))}",
        ]

    def _demand(self) -> list[str]:
        day, fam = self.day, self.fam
        shares = sum(c["share"] for c in day["classes"])
        soon = fam.get("move_gap", 50_000)
        out = [
            f"rate {self.rate():.3f}",
            f"owner-again {format_duration(int(fam['again']))}..{format_duration(int(fam['again'] * 1.5))}",
            f"owner-soon {self.time(soon)}..{self.time(soon * 4)}",
            f"owner-wanted {self.time(fam['life_s'] * 1e6 + 10e6)}",
        ]
        for sort, use in zip(day["classes"], fam["uses"], strict=True):
            life = fam["life_s"] * use["life"] * 1e6
            batch = max(1, round(use["batch"]))
            live = self.rate() * sort["share"] / shares * life / self.speed / 1e6
            most = max(batch, math.ceil(use["service"] * 2))
            out += [
                f"demand {sort['name']}",
                f"  share {sort['share'] / shares:.4f}",
                *(f"  size {c} {m}" for c, m, _ in use["shapes"]),
                f"  life {self.time(life * 0.4)}..{self.time(life * 1.6)}",
                f"  batch {max(1, batch - 1)}..{batch + 1}",
                f"  services {max(2, math.ceil(live / max(1.0, use['service'])))}",
                f"  service-most {max(most, batch + 1)}",
                "end",
            ]
        self.notes.append(
            "the spread of lives and of uses: lives are drawn evenly from 0.4 to 1.6 of the mean"
        )
        self.notes.append("tasks that run when the day begins: it begins empty here")
        return out

    def rate(self) -> float:
        """Tasks a second: the day's share of what fills the tightest of cores and memory, asked or used."""
        day, fam = self.day, self.fam
        shares = sum(c["share"] for c in day["classes"])
        asked = [0.0, 0.0]
        used = [0.0, 0.0]
        for sort, use in zip(day["classes"], fam["uses"], strict=True):
            life = fam["life_s"] * use["life"] / self.speed * sort["share"] / shares
            weights = sum(x[2] for x in use["shapes"])
            for j in (0, 1):
                mean = sum(x[j] * x[2] for x in use["shapes"]) / weights
                asked[j] += mean * life
                used[j] += mean * life * use["used"][j]
        kinds = day["tiers"][0]["kinds"]
        here = [day["servers"][i] for i in self.kept if i not in set(self.later)]
        room = (sum(kinds[s["kind"]]["cores"] for s in here), sum(fam["memory"][s["kind"]] for s in here))
        rates = [room[j] * fam["over"][j] / asked[j] for j in (0, 1)] + [room[j] / used[j] for j in (0, 1)]
        return float(min(rates) * (1 - CAPACITY_LESS) * day["traffic"]["load"])

    def _shape(self) -> list[str]:
        """The demand's curve as steps."""
        shape = [(t * 1e6, f) for t, f in self.day["traffic"].get("shape", [])]
        if len(shape) < 2:
            return []
        length = self.day["length"]
        out = []
        for k in range(SHAPE_STEPS):
            start, end = length * k / SHAPE_STEPS, length * (k + 1) / SHAPE_STEPS
            factors = [f for t, f in shape if start <= t < end] or [
                min(shape, key=lambda s: abs(s[0] - start))[1]
            ]
            factor = sum(factors) / len(factors)
            out.append(f"at {self.time(start)} demand {max(0.01, factor):.3f} for {self.time(end - start)}")
        return out

    def _trouble(self, trouble: dict[str, Any]) -> list[str]:
        make = _TROUBLES.get(trouble["kind"])
        if make is None:
            self.notes.append(f"trouble {trouble['kind']}: not known here")
            return []
        return make(self, trouble)

    def _rest(self) -> None:
        """Say of every further key of the day what becomes of it."""
        for key in self.day:
            if key in LEFT_OUT:
                self.notes.append(f"{key}: {LEFT_OUT[key]}")
            elif key not in CARRIED and key not in BOOKKEEPING:
                self.notes.append(f"{key}: not known here")
        self.notes.append(
            f"tick: {format_duration(TICK_US)} in place of the day's; "
            f"answer slack {format_duration(SLACK_US)}"
        )
        self.notes.append("clients: only the wait before they ask again; retries within a try are not made")


PRICES = {"move": "moves", "waste": "waste", "probe": "probe", "list": "discovery", "fleet": "fleet"}
Make = Callable[[_Day, dict[str, Any]], list[str]]


def _on_nodes(what: Callable[[dict[str, Any]], str]) -> Make:
    def make(d: _Day, t: dict[str, Any]) -> list[str]:
        nodes = " ".join(map(str, d.nodes(t["on"])))
        return [f"at {d.time(t['at'])} node {nodes} {what(t)} for {d.time(t['len'])}"] if nodes else []

    return make


def _pauses(d: _Day, t: dict[str, Any]) -> list[str]:
    nodes = " ".join(map(str, d.nodes(t["on"])))
    length, every = (
        format_duration(max(1000, int(t["size"] * 1000))),
        format_duration(max(2000, int(t["extra"] * 1e6))),
    )
    return [f"at {d.time(t['at'])} node {nodes} pauses {length} {every} for {d.time(t['len'])}"]


def _steps(d: _Day, t: dict[str, Any]) -> list[str]:
    """Nodes that drain and leave, and nodes that come up: a deploy, a shrink, waves, growth."""
    out = []
    notice = t["extra"] if t["kind"] != "preempt" else min(t["size"], t["extra"])
    for step in t["steps"]:
        going = sorted(d.number[i] for i in step["stop"] if i in d.number)
        coming = sorted(d.number[i] for i in step["start"] if i in d.number)
        if going:
            out.append(
                f"at {d.time(step['at'])} node {' '.join(map(str, going))} leave {d.time(notice * 1e6)}"
            )
        if coming:
            out.append(f"at {d.time(step['at'])} node {' '.join(map(str, coming))} grow")
    if not out:
        d.notes.append(f"trouble {t['kind']}: none of its nodes is among the kept ones at this scale")
    return out


def _zone(d: _Day, t: dict[str, Any]) -> list[str]:
    zones = d.day["zones"]
    return [f"at {d.time(t['at'])} zone {zones[t['which'] % len(zones)]} cut for {d.time(t['len'])}"]


def _throttle(d: _Day, t: dict[str, Any]) -> list[str]:
    nodes = " ".join(map(str, d.nodes(t["on"])))
    name = d.day["classes"][t["which"] % len(d.day["classes"])]["name"]
    if t.get("how") not in (None, "class"):
        d.notes.append(f"trouble throttle: of a {t['how']}, taken as of class {name}")
    share = min(1.0, max(0.0, 1.0 - t["size"]))
    d.notes.append(f"trouble throttle: {share:.0%} of class {name} turned away, in place of a rate")
    return [f"at {d.time(t['at'])} node {nodes} turn-away {name} {share:.4f} for {d.time(t['len'])}"]


def _stall(d: _Day, t: dict[str, Any]) -> list[str]:
    """Planners that stand still again and again, together or one after another."""
    planners = sorted({i % d.planners for i in t["on"]})[: max(1, round(len(t["on"]) * d.scale))]
    length, every = max(1.0, t["size"]) * 1000, max(0.2, t["extra"]) * 1e6
    out = []
    for k, planner in enumerate(planners):
        at = t["at"] + (every * k / len(planners) if t.get("how") == "apart" else 0.0)
        while at < t["at"] + t["len"]:
            out.append(f"at {d.time(at)} planner {planner} pause for {format_duration(int(length))}")
            at += max(every * d.speed, 2 * length * d.speed)
    return out


def _simple(line: Callable[[_Day, dict[str, Any]], str]) -> Make:
    return lambda d, t: [f"at {d.time(t['at'])} {line(d, t)}"]


_TROUBLES: dict[str, Make] = {
    "crash": _on_nodes(lambda t: "kill"),
    "slow": _on_nodes(lambda t: f"slow {max(1.0, t['size']):.3f}"),
    "fast_errors": _on_nodes(lambda t: f"fail-starts {min(1.0, t['size']):.4f}"),
    "answer_lost": _on_nodes(lambda t: f"lose-answers {min(1.0, t['size']):.4f} {t.get('how') or 'silence'}"),
    "pauses": _pauses,
    "burst": _simple(lambda d, t: f"demand {t['size']:.3f} for {d.time(t['len'])}"),
    "zone_cut": _zone,
    "deploy": _steps,
    "shrink": _steps,
    "preempt": _steps,
    "grow": _steps,
    "discovery_down": _simple(lambda d, t: f"list away for {d.time(t['len'])}"),
    "discovery_stale": _simple(lambda d, t: f"list behind {d.time(t['size'] * 1e6)} for {d.time(t['len'])}"),
    "reconnect": _simple(
        lambda d, t: f"owners restart-services {min(1.0, t['size']):.4f} {d.time(t['len'])}"
    ),
    "throttle": _throttle,
    "balancer_stall": _stall,
}


def scenario_from_day(day: dict[str, Any], scale: float = 1.0, speed: float = 1.0, seed: int = 1) -> Carried:
    """Raises DayError for what is no day, or lacks what a scenario needs."""
    if not 0 < scale <= 1 or not 0.1 <= speed <= 20:
        raise DayError("scale must lie above 0 and at most at 1, speed within 0.1 to 20")
    try:
        made = _Day(day, scale, speed, seed)
        return Carried(made.text(), made.notes)
    except (KeyError, TypeError, IndexError, ValueError, AttributeError) as error:
        raise DayError(f"not a whole day file: {type(error).__name__} {error}") from None
