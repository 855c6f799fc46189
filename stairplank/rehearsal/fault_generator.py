"""Fault scripts drawn under a seed, over every kind of fault at once. No I/O.

A draw takes a room without faults and gives lines to add to it: how many, which kinds, on whom, when and for
how long. Kinds are drawn evenly, so that rare ones come as often as common ones; times fall anywhere in the
part of the day in which tasks are asked for, so that faults overlap.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..settings.parsers import format_duration
from ..standin.script import FAULTS

FIRST_US = 1_000_000
LONGEST_US = 12_000_000  # of a fault
MOST_GONE = 0.4  # share of the nodes that a day may drain, kill or take away, one after another


@dataclass(frozen=True)
class Space:
    """What faults can be drawn on."""

    nodes: int
    absent: int
    planners: int
    zones: tuple[str, ...]
    classes: tuple[str, ...]
    until_us: int  # no fault begins later


def kinds() -> list[tuple[str, str]]:
    """Every target and fault; the links' once for each end that they lead to."""
    out = []
    for target, faults in FAULTS.items():
        for what in faults:
            if target == "links":
                out += [(f"links {end}", what) for end in ("node", "planner", "list")]
            else:
                out.append((target, what))
    return out


class _Draw:
    def __init__(self, space: Space, seed: int) -> None:
        self.space = space
        self.rng = random.Random(seed)
        self.gone = 0
        self.grown = 0

    def span(self, least_us: int, most_us: int) -> str:
        # Short ones are as likely as long ones: what breaks at 200 ms and at 8 s are different things.
        low, high = least_us, min(most_us, LONGEST_US)
        return format_duration(int(low * (high / low) ** self.rng.random()) // 1000 * 1000 or low)

    def share(self, low: float, high: float) -> str:
        return f"{round(100 * self.rng.uniform(low, high))}%"

    def lasting(self, most_us: int = LONGEST_US) -> str:
        return f" for {self.span(200_000, most_us)}"

    def nodes(self) -> str:
        if self.rng.random() < 0.5:
            return f"nodes {self.rng.randint(1, max(1, self.space.nodes // 3))}"
        return f"nodes {self.share(0.1, 0.6)}"

    def other(self) -> str | None:
        """A node that no earlier line took away; None where enough are gone."""
        if self.gone + 1 > self.space.nodes * MOST_GONE:
            return None
        self.gone += 1
        return "nodes other 1"

    def planner(self) -> str:
        return f"planner {self.rng.randrange(self.space.planners)}"

    def line(self, target: str, what: str) -> str | None:
        """One fault's words after its time, or None where the room has no place for one more of its kind."""
        made: Callable[[], str | None] = {
            "node": lambda: self.node(what),
            "planner": lambda: f"{self.planner()} {what}" + ("" if what == "cut" else self.lasting()),
            "farm": lambda: f"farm pause{self.lasting(5_000_000)}",
            "list": lambda: self.list(what),
            "zone": lambda: f"zone {self.rng.choice(self.space.zones)} cut{self.lasting()}",
            "owners": lambda: f"owners {what}" + self.owners(what),
            "demand": lambda: f"demand {self.rng.uniform(0.5, 2.5):.1f}{self.lasting()}",
        }.get(target, lambda: self.links(target.split()[1], what))
        return made()

    def owners(self, what: str) -> str:
        return (
            f" {self.share(0.1, 0.5)} {self.span(200_000, 3_000_000)}" if what == "restart-services" else ""
        )

    def list(self, what: str) -> str:
        if what == "forget":
            return "list forget"
        return (
            f"list {what}"
            + (f" {self.span(500_000, 8_000_000)}" if what == "behind" else "")
            + self.lasting()
        )

    def node(self, what: str) -> str | None:
        match what:
            case "drain" | "leave" | "kill":
                other = self.other()
                if other is None:
                    return None
                more = {"drain": "", "leave": f" {self.span(200_000, 3_000_000)}", "kill": self.lasting()}
                return f"{other} {what}{more[what]}"
            case "grow":
                self.grown += 1
                return "nodes 1 grow" if self.grown <= self.space.absent else None
            case "cut":
                return f"{self.nodes()} cut"
            case "fail-starts" | "refuse":
                return f"{self.nodes()} {what} {self.share(0.1, 1.0)}{self.lasting()}"
            case "slow":
                return f"{self.nodes()} slow {self.rng.randint(2, 20)}{self.lasting()}"
            case "pauses":
                length = self.span(20_000, 500_000)
                return f"{self.nodes()} pauses {length} {self.span(600_000, 2_000_000)}{self.lasting()}"
            case "turn-away":
                name = self.rng.choice(self.space.classes)
                return f"{self.nodes()} turn-away {name} {self.share(0.2, 1.0)}{self.lasting()}"
            case "lose-answers":
                how = self.rng.choice(("silence", "reset"))
                return f"{self.nodes()} lose-answers {self.share(0.05, 0.6)} {how}{self.lasting()}"
            case _:  # silent, hang
                return f"{self.nodes()} {what}{self.lasting()}"

    def links(self, end: str, what: str) -> str:
        who = {"node": self.nodes(), "planner": self.planner(), "list": "list"}[end]
        if what == "cut":
            return f"links {who} cut"
        if what == "half-open":
            return f"links {who} half-open{self.lasting()}"
        direction = self.rng.choice(("there", "back", "both"))
        value = ""
        if what == "delay":
            value = f" {self.span(5_000, 2_000_000)}"
        elif what == "rate":
            value = f" {self.rng.choice((500, 2_000, 10_000, 50_000))}"
        return f"links {who} {what} {direction}{value}{self.lasting()}"


def draw(space: Space, seed: int, least: int = 4, most: int = 12) -> list[str]:
    """Lines of a script, in the order of their times."""
    drawing = _Draw(space, seed)
    rng = drawing.rng
    every = kinds()
    lines: list[tuple[int, str]] = []
    for _ in range(rng.randint(least, most)):
        text = drawing.line(*rng.choice(every))
        if text is not None:
            at = int(rng.uniform(FIRST_US, space.until_us)) // 1000 * 1000
            lines.append((at, f"at {format_duration(at)} {text}"))
    return [line for _, line in sorted(lines)]
