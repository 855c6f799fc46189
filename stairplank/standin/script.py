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
    for_us: int = 0
    which: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    avoid: bool = False  # drawn among those that no earlier line drained, killed or took away
    name: str = ""  # of a zone; of a links fault, what they lead to: node, planner or list

    @property
    def kind(self) -> str:
        """What ``which``, ``count`` and ``share`` are about."""
        return self.name if self.target == "links" else self.target

    def line(self) -> str:
        """The line again, with what was drawn by name."""
        words = ["at", parsers.format_duration(self.at_us)]
        if self.target == "links":
            words += ["links", self.name, *map(str, self.which)]
        elif self.target in ("node", "planner") and self.which:
            words += [self.target, *map(str, self.which)]
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
        if self.for_us:
            words += ["for", parsers.format_duration(self.for_us)]
        return " ".join(words)


def parse(words: list[str]) -> Fault:
    """A line without its ``at``. Raises ValueError."""
    if len(words) < 2:
        raise ValueError("TIME TARGET FAULT is needed")
    at = parsers.duration(words[0])
    target, rest = words[1], words[2:]
    which: tuple[int, ...] = ()
    count, share, avoid, name = 0, 0.0, False, ""
    links = target == "links"
    if links:
        if not rest or rest[0] not in ("node", "nodes", "planner", "planners", "list"):
            raise ValueError("what the links lead to is needed: node, nodes, planner, planners or list")
        target, rest = rest[0], rest[1:]
    if target in ("nodes", "planners"):
        target = target[:-1]
        if rest[:1] == ["other"]:
            avoid, rest = True, rest[1:]
        if not rest or not (rest[0].isdigit() or rest[0].endswith("%")):
            raise ValueError(f"how many {target}s, or which share of them, is needed")
        if rest[0].isdigit():
            count = int(rest[0])
        else:
            share = parsers.fraction(rest[0])
        rest = rest[1:]
    elif target in ("node", "planner"):
        digits = next((i for i, word in enumerate(rest) if not word.isdigit()), len(rest))
        if digits == 0:
            raise ValueError(f"the number of the {target} is needed")
        which, rest = tuple(map(int, rest[:digits])), rest[digits:]
    elif target == "demand":
        rest = ["times", *rest]
    elif target == "zone":
        if not rest:
            raise ValueError("the zone's name is needed")
        name, rest = parsers.name(rest[0]), rest[1:]
    if links:
        target, name = "links", target
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
    rest = rest[len(kinds) :]
    for_us = 0
    if lasts:
        if len(rest) != 2 or rest[0] != "for":
            raise ValueError(f"{what} needs `for TIME` at its end")
        for_us = parsers.positive_duration(rest[1])
    elif rest:
        raise ValueError(f"{rest[0]!r} is one word too many")
    return Fault(at, target, what, values, for_us, which, count, share, avoid, name)
