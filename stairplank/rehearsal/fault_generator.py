"""Generates random faults of every kind from a seed. No I/O.

``draw`` takes the size of a scenario without faults and returns fault lines to add to it, with random kinds,
targets, times and durations. Kinds are uniformly distributed, so that rare ones come as often as common ones.
Times are uniformly distributed over the time in which clients send requests, so that faults overlap.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..settings.parsers import format_duration
from ..standin.script import FAULTS

FIRST_US = 1_000_000
LONGEST_US = 12_000_000  # longest duration of a fault
MAX_REMOVED_SHARE = 0.4  # share of the nodes that a scenario may drain, kill or remove in total


@dataclass(frozen=True)
class Space:
    """What faults can act on, and until when."""

    nodes: int
    absent: int
    planners: int
    zones: tuple[str, ...]
    classes: tuple[str, ...]
    until_us: int  # latest start of a fault


def kinds() -> list[tuple[str, str]]:
    """Return all pairs of target and fault; a link fault appears once for each kind of listening end."""
    out = []
    for target, faults in FAULTS.items():
        for what in faults:
            if target == "links":
                out += [(f"links {end}", what) for end in ("node", "planner", "list")]
            else:
                out.append((target, what))
    return out


class _Draw:
    """The random generator of one script, with its counts of removed and added nodes."""

    def __init__(self, space: Space, seed: int) -> None:
        self.space = space
        self.rng = random.Random(seed)
        self.removed = 0
        self.added = 0

    def span(self, least_us: int, most_us: int) -> str:
        # Durations are log-uniform, as faults of 200 ms and of 8 s expose different errors.
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
        """Return a target that no earlier line removes, or None where ``MAX_REMOVED_SHARE`` is reached."""
        if self.removed + 1 > self.space.nodes * MAX_REMOVED_SHARE:
            return None
        self.removed += 1
        return "nodes other 1"

    def planner(self) -> str:
        return f"planner {self.rng.randrange(self.space.planners)}"

    def line(self, target: str, what: str) -> str | None:
        """Return a fault line without its time, or None where no further fault of this kind fits."""
        generator: Callable[[], str | None] = {
            "node": lambda: self.node(what),
            "planner": lambda: f"{self.planner()} {what}" + ("" if what == "cut" else self.lasting()),
            "farm": lambda: f"farm pause{self.lasting(5_000_000)}",
            "list": lambda: self.list(what),
            "zone": lambda: f"zone {self.rng.choice(self.space.zones)} cut{self.lasting()}",
            "owners": lambda: f"owners {what}" + self.owners(what),
            "demand": lambda: f"demand {self.rng.uniform(0.5, 2.5):.1f}{self.lasting()}",
        }.get(target, lambda: self.links(target.split()[1], what))
        return generator()

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
                self.added += 1
                return "nodes 1 grow" if self.added <= self.space.absent else None
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
            case _:  # "silent" and "hang" have only a duration
                return f"{self.nodes()} {what}{self.lasting()}"

    def links(self, end: str, what: str) -> str:
        target = {"node": self.nodes(), "planner": self.planner(), "list": "list"}[end]
        if what == "cut":
            return f"links {target} cut"
        if what == "half-open":
            return f"links {target} half-open{self.lasting()}"
        direction = self.rng.choice(("there", "back", "both"))
        value = ""
        if what == "delay":
            value = f" {self.span(5_000, 2_000_000)}"
        elif what == "rate":
            value = f" {self.rng.choice((500, 2_000, 10_000, 50_000))}"
        return f"links {target} {what} {direction}{value}{self.lasting()}"


def draw(space: Space, seed: int, least: int = 4, most: int = 12) -> list[str]:
    """Return at most ``most`` random fault lines, ordered by time.

    Between ``least`` and ``most`` faults are generated; a fault that does not fit is left out.
    """
    drawing = _Draw(space, seed)
    rng = drawing.rng
    fault_kinds = kinds()
    lines: list[tuple[int, str]] = []
    for _ in range(rng.randint(least, most)):
        text = drawing.line(*rng.choice(fault_kinds))
        if text is not None:
            at = int(rng.uniform(FIRST_US, space.until_us)) // 1000 * 1000
            lines.append((at, f"at {format_duration(at)} {text}"))
    return [line for _, line in sorted(lines)]
