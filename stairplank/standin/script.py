"""What goes wrong and when: the ``at`` lines of a scenario and of the stand-ins' files.

| line | what it does |
| --- | --- |
| ``at 10s nodes 20% fail-starts 60% for 12s`` | to a share or number of the nodes, drawn under the seed |
| ``at 12s nodes other 1 drain`` | to one that no earlier line drained, killed or took away |
| ``at 12s node 3 4 drain`` | to these, by id |
| ``at 14s list behind 4s for 10s`` | to the node list |
| ``at 20s planner 1 kill for 3s`` | to a planner, which is started again after that time |
| ``at 25s demand 2.0 for 6s`` | so many times the usual; several at once multiply |
| ``at 28s links nodes 20% hold there for 3s`` | to links to nodes; ``links list``, ``links planner 1`` |
| ``at 30s zone west cut for 5s`` | no link between it and the other zones |
| ``at 35s owners restart-services 30% 1s`` | stop them and ask for all their tasks again within a second |
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..settings import parsers

DIRECTION = parsers.choice("there", "back", "both")
# target: fault: kinds of its values. A fault with ``for`` ends by itself.
FAULTS: dict[str, dict[str, tuple[tuple[parsers.ValueParser, ...], str]]] = {
    "node": {
        "fail-starts": ((parsers.fraction,), "for"),
        "refuse": ((parsers.fraction,), "for"),
        "slow": ((parsers.number(1, 1000),), "for"),
        "pauses": ((parsers.positive_duration, parsers.positive_duration), "for"),  # how long, how often
        "turn-away": ((parsers.name, parsers.fraction), "for"),  # a class
        "lose-answers": ((parsers.fraction, parsers.choice("silence", "reset")), "for"),
        "silent": ((), "for"),
        "hang": ((), "for"),
        "drain": ((), ""),
        "leave": ((parsers.duration,), ""),  # drain, and be gone for good after that time
        "kill": ((), "for"),
        "cut": ((), ""),
        "grow": ((), ""),
    },
    "list": {
        "behind": ((parsers.duration,), "for"),
        "away": ((), "for"),
        "hang": ((), "for"),
        "forget": ((), ""),
    },
    "planner": {"kill": ((), "for"), "pause": ((), "for"), "cut": ((), "")},
    "zone": {"cut": ((), "for")},
    # Done by relays: ``there`` is the direction from who dials, ``back`` the one to it.
    "links": {
        "hold": ((DIRECTION,), "for"),  # and deliver it all when it ends
        "hold-reset": ((DIRECTION,), "for"),  # and lose it all, resetting the links
        "delay": ((DIRECTION, parsers.positive_duration), "for"),
        "rate": ((DIRECTION, parsers.integer(1, 10**9)), "for"),  # bytes a second
        "half-open": ((), "for"),  # links are accepted with nobody behind
        "cut": ((), ""),
    },
    "farm": {"pause": ((), "for")},  # the process of all stand-in nodes is stopped
    "owners": {"restart-services": ((parsers.fraction, parsers.duration), ""), "cut": ((), "")},
    "demand": {"times": ((parsers.number(0, 1000, exclusive=True),), "for")},
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One line. ``count`` and ``share`` say how many are drawn; ``which`` names them."""

    at_us: int
    target: str
    what: str
    values: tuple[Any, ...] = ()
    duration_us: int = 0
    target_ids: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    avoids_affected: bool = False  # drawn among those that no earlier line drained, killed or took away
    name: str = ""  # of a zone; of a links fault, what they lead to: node, planner or list

    @property
    def kind(self) -> str:
        """What ``which``, ``count`` and ``share`` are about."""
        return self.name if self.target == "links" else self.target

    def line(self) -> str:
        """The line again, with what was drawn by name."""
        words = ["at", parsers.format_duration(self.at_us)]
        if self.target == "links":
            words += ["links", self.name, *map(str, self.target_ids)]
        elif self.target in ("node", "planner") and self.target_ids:
            words += [self.target, *map(str, self.target_ids)]
        else:
            words += [self.target, self.name] if self.name else [self.target]
        if self.target != "demand":
            words.append(self.what)
        for kind, value in zip(FAULTS[self.target][self.what][0], self.values, strict=True):
            words.append(
                parsers.format_duration(value)
                if kind in (parsers.duration, parsers.positive_duration)
                else str(value)
            )
        if self.duration_us:
            words += ["for", parsers.format_duration(self.duration_us)]
        return " ".join(words)


@dataclass(slots=True)
class _Selection:
    """What a fault strikes, and the words of the line behind that."""

    target: str
    rest: list[str]
    target_ids: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    avoids_affected: bool = False
    name: str = ""


def parse(words: list[str]) -> Fault:
    """A line without its ``at``. Raises ValueError."""
    if len(words) < 2:
        raise ValueError("TIME TARGET FAULT is needed")
    at_us = parsers.duration(words[0])
    chosen = _selection(words[1], words[2:])
    target, rest = chosen.target, chosen.rest
    if target not in FAULTS:
        raise ValueError(f"no target {target!r}; known: {', '.join(sorted(FAULTS))}")
    what, rest = (rest[0], rest[1:]) if rest else ("", [])
    known = FAULTS[target].get(what)
    if known is None:
        raise ValueError(f"no fault {what!r} of a {target}; known: {', '.join(sorted(FAULTS[target]))}")
    kinds, lasts = known
    if len(rest) < len(kinds):
        raise ValueError(f"{what} needs {len(kinds)} value(s)")
    values = tuple(kind(word) for kind, word in zip(kinds, rest, strict=False))
    duration_us = _duration(what, rest[len(kinds) :], bool(lasts))
    return Fault(
        at_us,
        target,
        what,
        values,
        duration_us,
        chosen.target_ids,
        chosen.count,
        chosen.share,
        chosen.avoids_affected,
        chosen.name,
    )


def _selection(target: str, rest: list[str]) -> _Selection:
    if target != "links":
        return _selected(target, rest)
    if not rest or rest[0] not in ("node", "nodes", "planner", "planners", "list"):
        raise ValueError("what the links lead to is needed: node, nodes, planner, planners or list")
    chosen = _selected(rest[0], rest[1:])
    chosen.target, chosen.name = "links", chosen.target
    return chosen


def _selected(target: str, rest: list[str]) -> _Selection:
    match target:
        case "nodes" | "planners":
            return _drawn(target[:-1], rest)
        case "node" | "planner":
            return _numbered(target, rest)
        case "demand":
            return _Selection(target, ["times", *rest])
        case "zone":
            if not rest:
                raise ValueError("the zone's name is needed")
            return _Selection(target, rest[1:], name=parsers.name(rest[0]))
    return _Selection(target, rest)


def _drawn(target: str, rest: list[str]) -> _Selection:
    """So many of them, or a share of them, to be drawn."""
    avoids_affected = rest[:1] == ["other"]
    if avoids_affected:
        rest = rest[1:]
    if not rest or not (rest[0].isdigit() or rest[0].endswith("%")):
        raise ValueError(f"how many {target}s, or which share of them, is needed")
    chosen = _Selection(target, rest[1:], avoids_affected=avoids_affected)
    if rest[0].isdigit():
        chosen.count = int(rest[0])
    else:
        chosen.share = parsers.fraction(rest[0])
    return chosen


def _numbered(target: str, rest: list[str]) -> _Selection:
    digits = next((i for i, word in enumerate(rest) if not word.isdigit()), len(rest))
    if digits == 0:
        raise ValueError(f"the number of the {target} is needed")
    return _Selection(target, rest[digits:], tuple(map(int, rest[:digits])))


def _duration(what: str, rest: list[str], lasts: bool) -> int:
    """The time behind ``for``, in microseconds; 0 for a fault that does not last."""
    if lasts:
        if len(rest) != 2 or rest[0] != "for":
            raise ValueError(f"{what} needs `for TIME` at its end")
        return parsers.positive_duration(rest[1])
    if rest:
        raise ValueError(f"{rest[0]!r} is one word too many")
    return 0
