"""Converts day files of the bench into scenarios for real processes.

A day file is the JSON that the bench's ``draw`` prints: fleet, classes, demand and troubles (faults), with
their parameters. What a scenario can express becomes lines of a scenario; for the rest, ``notes`` has a line
each. ``scale`` keeps a share of nodes, planners and demand. ``speed`` makes the day pass that many times
faster, but leaves latency objectives and deadlines unchanged.
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
CAPACITY_MARGIN = 0.07
TICK_US = 20_000  # planner tick; coarser than the bench's, as real planners share a machine
SLACK_US = 500_000


class DayError(Exception):
    """The file is not a day file of the family "place"; the text names the key."""


@dataclass
class Carried:
    """A scenario's text, and notes on what of the day it omits or replaces."""

    text: str
    notes: list[str] = field(default_factory=list)


# Keys of a day file that have no effect on a scenario.
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
    "front_notice": "owners detect a failed planner by its broken stream",
    "tenants": "the tasks of all tenants are requested as one owner's",
    "allow": "probes and stops are always allowed here; max_attempts is carried over",
}


class _DayConverter:
    """The conversion of one day file."""

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
        self.kept = self._even_selection(self.present, 3) + self._even_selection(self.later, 0)
        self.planners = max(1, round(len(day["balancers"]) * scale))
        # A fleet block has one zone, kind and rack, and nodes are numbered in the order of the blocks.
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

    def _even_selection(self, items: list[int], least: int) -> list[int]:
        """Return the share ``scale`` of the items, at least ``least``, evenly over zones, kinds and cells."""
        servers = self.day["servers"]
        items = sorted(items, key=lambda i: (servers[i]["zone"], servers[i]["kind"], servers[i]["cell"], i))
        count = min(len(items), max(least, round(len(items) * self.scale)))
        return [items[int(k * len(items) / count)] for k in range(count)] if count else []

    def time(self, us: float) -> str:
        """Return a time of the day as text, divided by the speed."""
        return format_duration(max(1, round(us / self.speed)))

    def nodes(self, on: list[int]) -> list[int]:
        """Return the numbers of the kept nodes among ``on``, at least one, so that the fault has a target."""
        here = [self.number[i] for i in on if i in self.number]
        if not here and on:
            here = [1 + on[0] % len(self.number)]
            self.notes.append(
                f"a trouble's nodes {on} are not among the kept ones: node {here[0]} is used in their place"
            )
        return sorted(here)

    # Sections of the scenario

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
            *self._cluster(),
            *self._fleet(),
            *self._node_model(),
            *self._list(),
            *self._demand(),
        ]
        lines += self._shape()
        for trouble in self.day["troubles"]:
            lines += self._trouble(trouble)
        self._note_other_keys()
        return "\n".join(lines) + "\n"

    def _settle_us(self) -> int:
        return max(c["deadline"] for c in self.day["classes"]) + 3_000_000

    def _classes(self) -> list[str]:
        out = []
        for task_class, use in zip(self.day["classes"], self.fam["uses"], strict=True):
            effect = EFFECTS[task_class["effect"]]
            out += [
                f"class {task_class['name']}",
                f"  effect {effect}",
                f"  aim {format_duration(task_class['aim'])}",
                f"  deadline {format_duration(task_class['deadline'])}",
                f"  worth {task_class['worth']}",
                f"  late-worth {task_class.get('late_worth', 0.0)}",
                f"  start-worth {format_duration(round(use.get('start_s', 0.0) * 1e6))}",
                f"  priority {use.get('priority', 0)}",
                f"  calm-until {use.get('calm', 1.0)}",
                f"  lost-over {use.get('fade', 1.0)}",
            ]
            if effect == "keyed":
                out += [
                    f"  group {GROUPS[task_class['group']]}",
                    f"  window {format_duration(task_class['window'])}",
                ]
            if use.get("spread") in SPREADS:
                out.append(f"  spread {SPREADS[use['spread']]} {use['most']}")
            if use.get("on_kind", -1) >= 0:
                out.append(f"  kind {self.day['tiers'][0]['kinds'][use['on_kind']]['name']}")
            out.append("end")
        return out

    def _cluster(self) -> list[str]:
        day, fam, tier = self.day, self.fam, self.day["tiers"][0]
        cores, memory = self._mean_request()
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

    def _mean_request(self) -> tuple[float, float]:
        cores = memory = total = 0.0
        for task_class, use in zip(self.day["classes"], self.fam["uses"], strict=True):
            for c, m, share in use["shapes"]:
                weight = task_class["share"] * share
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
        admission_us = int(fam["admit_us"])
        self.notes.append("speeds of single nodes: all nodes of a kind are the same here")
        return [
            f"look-time {format_duration(admission_us)}..{format_duration(admission_us)}",
            f"waiting-most {max(1, int(fam['admit_queue']))}",
            f"starts-at-once {max(1, int(fam['starts']))}",
            f"start-time {format_duration(max(1000, int(work)))}",
            f"from-nothing {max(1.0, fam['setup'])}",
            f"programs-kept {int(fam['kept'])}",
            f"cores-use {sum(u[0] for u in used) / len(used):.4f}",
            f"memory-use {sum(u[1] for u in used) / len(used):.4f}",
        ]

    def _list(self) -> list[str]:
        discovery = self.day.get("discovery", {})
        return [
            f"list-notice {self.time(discovery.get('notice', 300_000))}",
            f"list-silent {self.time(discovery.get('silent_notice', 3_000_000))}",
            f"list-period {self.time(discovery.get('period', 200_000))}",
        ]

    def _demand(self) -> list[str]:
        day, fam = self.day, self.fam
        shares = sum(c["share"] for c in day["classes"])
        move_gap = fam.get("move_gap", 50_000)
        out = [
            f"rate {self.rate():.3f}",
            f"owner-again {format_duration(int(fam['again']))}..{format_duration(int(fam['again'] * 1.5))}",
            f"owner-soon {self.time(move_gap)}..{self.time(move_gap * 4)}",
            f"owner-wanted {self.time(fam['life_s'] * 1e6 + 10e6)}",
        ]
        for task_class, use in zip(day["classes"], fam["uses"], strict=True):
            life = fam["life_s"] * use["life"] * 1e6
            batch = max(1, round(use["batch"]))
            live = self.rate() * task_class["share"] / shares * life / self.speed / 1e6
            most = max(batch, math.ceil(use["service"] * 2))
            out += [
                f"demand {task_class['name']}",
                f"  share {task_class['share'] / shares:.4f}",
                *(f"  size {c} {m}" for c, m, _ in use["shapes"]),
                f"  life {self.time(life * 0.4)}..{self.time(life * 1.6)}",
                f"  batch {max(1, batch - 1)}..{batch + 1}",
                f"  services {max(2, math.ceil(live / max(1.0, use['service'])))}",
                f"  service-most {max(most, batch + 1)}",
                "end",
            ]
        self.notes.append(
            "the distribution of lifetimes and of use: lifetimes are uniform from 0.4 to 1.6 of the mean"
        )
        self.notes.append("tasks that run when the day begins: the scenario begins without tasks")
        return out

    def rate(self) -> float:
        """Return the task rate per second, from the day's load and the scarcest resource of the kept nodes.

        The resources are cores and memory, each as requested and as used.
        """
        day, fam = self.day, self.fam
        shares = sum(c["share"] for c in day["classes"])
        requested = [0.0, 0.0]
        used = [0.0, 0.0]
        for task_class, use in zip(day["classes"], fam["uses"], strict=True):
            life = fam["life_s"] * use["life"] / self.speed * task_class["share"] / shares
            weights = sum(x[2] for x in use["shapes"])
            for j in (0, 1):
                mean = sum(x[j] * x[2] for x in use["shapes"]) / weights
                requested[j] += mean * life
                used[j] += mean * life * use["used"][j]
        kinds = day["tiers"][0]["kinds"]
        here = [day["servers"][i] for i in self.kept if i not in set(self.later)]
        capacity = (sum(kinds[s["kind"]]["cores"] for s in here), sum(fam["memory"][s["kind"]] for s in here))
        rates = [capacity[j] * fam["over"][j] / requested[j] for j in (0, 1)] + [
            capacity[j] / used[j] for j in (0, 1)
        ]
        return float(min(rates) * (1 - CAPACITY_MARGIN) * day["traffic"]["load"])

    def _shape(self) -> list[str]:
        """Return the demand curve as fault lines with a step for each part of the day."""
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

    def _note_other_keys(self) -> None:
        """Note for each remaining key of the day that it is not carried over."""
        for key in self.day:
            if key in LEFT_OUT:
                self.notes.append(f"{key}: {LEFT_OUT[key]}")
            elif key not in CARRIED and key not in BOOKKEEPING:
                self.notes.append(f"{key}: not known here")
        self.notes.append(
            f"tick: {format_duration(TICK_US)} in place of the day's; "
            f"answer slack {format_duration(SLACK_US)}"
        )
        self.notes.append(
            "clients: only the wait before a new request; retries within a request are not made"
        )


PRICES = {"move": "moves", "waste": "waste", "probe": "probe", "list": "discovery", "fleet": "fleet"}
Make = Callable[[_DayConverter, dict[str, Any]], list[str]]


def _on_nodes(what: Callable[[dict[str, Any]], str]) -> Make:
    def make(d: _DayConverter, t: dict[str, Any]) -> list[str]:
        nodes = " ".join(map(str, d.nodes(t["on"])))
        return [f"at {d.time(t['at'])} node {nodes} {what(t)} for {d.time(t['len'])}"] if nodes else []

    return make


def _pauses(d: _DayConverter, t: dict[str, Any]) -> list[str]:
    nodes = " ".join(map(str, d.nodes(t["on"])))
    length, every = (
        format_duration(max(1000, int(t["size"] * 1000))),
        format_duration(max(2000, int(t["extra"] * 1e6))),
    )
    return [f"at {d.time(t['at'])} node {nodes} pauses {length} {every} for {d.time(t['len'])}"]


def _steps(d: _DayConverter, t: dict[str, Any]) -> list[str]:
    """Return the lines of a rolling change: nodes that drain and leave, and nodes that start."""
    out = []
    notice = t["extra"] if t["kind"] != "preempt" else min(t["size"], t["extra"])
    for step in t["steps"]:
        leaving = sorted(d.number[i] for i in step["stop"] if i in d.number)
        starting = sorted(d.number[i] for i in step["start"] if i in d.number)
        if leaving:
            out.append(
                f"at {d.time(step['at'])} node {' '.join(map(str, leaving))} leave {d.time(notice * 1e6)}"
            )
        if starting:
            out.append(f"at {d.time(step['at'])} node {' '.join(map(str, starting))} grow")
    if not out:
        d.notes.append(f"trouble {t['kind']}: none of its nodes is among the kept ones at this scale")
    return out


def _zone(d: _DayConverter, t: dict[str, Any]) -> list[str]:
    zones = d.day["zones"]
    return [f"at {d.time(t['at'])} zone {zones[t['which'] % len(zones)]} cut for {d.time(t['len'])}"]


def _throttle(d: _DayConverter, t: dict[str, Any]) -> list[str]:
    nodes = " ".join(map(str, d.nodes(t["on"])))
    name = d.day["classes"][t["which"] % len(d.day["classes"])]["name"]
    if t.get("how") not in (None, "class"):
        d.notes.append(f"trouble throttle: of a {t['how']}, taken as of class {name}")
    share = min(1.0, max(0.0, 1.0 - t["size"]))
    d.notes.append(f"trouble throttle: {share:.0%} of class {name} turned away, in place of a rate")
    return [f"at {d.time(t['at'])} node {nodes} turn-away {name} {share:.4f} for {d.time(t['len'])}"]


def _stall(d: _DayConverter, t: dict[str, Any]) -> list[str]:
    """Return the lines of repeated planner pauses, at the same time or staggered."""
    planners = sorted({i % d.planners for i in t["on"]})[: max(1, round(len(t["on"]) * d.scale))]
    length, every = max(1.0, t["size"]) * 1000, max(0.2, t["extra"]) * 1e6
    out = []
    for k, planner in enumerate(planners):
        at = t["at"] + (every * k / len(planners) if t.get("how") == "apart" else 0.0)
        while at < t["at"] + t["len"]:
            out.append(f"at {d.time(at)} planner {planner} pause for {format_duration(int(length))}")
            at += max(every * d.speed, 2 * length * d.speed)
    return out


def _simple(line: Callable[[_DayConverter, dict[str, Any]], str]) -> Make:
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
    """Convert a day file. Raises DayError where it is not a day file or lacks what a scenario needs."""
    if not 0 < scale <= 1 or not 0.1 <= speed <= 20:
        raise DayError("scale must lie above 0 and at most at 1, speed within 0.1 to 20")
    try:
        converter = _DayConverter(day, scale, speed, seed)
        return Carried(converter.text(), converter.notes)
    except (KeyError, TypeError, IndexError, ValueError, AttributeError) as error:
        raise DayError(f"not a whole day file: {type(error).__name__} {error}") from None
