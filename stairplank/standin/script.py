"""Parses fault scripts: the ``at`` lines in scenarios and in the settings files of the stand-ins.

| line | effect |
| --- | --- |
| ``at 10s nodes 20% fail-starts 60% for 12s`` | hits a share or number of nodes, chosen by the seed |
| ``at 12s nodes other 1 drain`` | hits one node that no earlier line drained, killed or removed |
| ``at 12s node 3 4 drain`` | hits the nodes 3 and 4, by id |
| ``at 14s list behind 4s for 10s`` | hits the node list service |
| ``at 20s planner 1 kill for 3s`` | kills planner 1 and starts it again after 3 s |
| ``at 25s demand 2.0 for 6s`` | multiplies the usual demand; factors of simultaneous lines multiply |
| ``at 28s links nodes 20% hold there for 3s`` | hits links to nodes; or ``links list``, ``links planner 1`` |
| ``at 30s zone west cut for 5s`` | cuts all links between the zone and the other zones |
| ``at 35s owners restart-services 30% 1s`` | restarts the tasks of 30% of the services within 1 s |
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..settings import parsers

DIRECTION = parsers.choice("there", "back", "both")
# Faults by target and name: the parsers of their values, and "for" if the fault has a duration.
FAULTS: dict[str, dict[str, tuple[tuple[parsers.ValueParser, ...], str]]] = {
    "node": {
        "fail-starts": ((parsers.fraction,), "for"),
        "refuse": ((parsers.fraction,), "for"),
        "slow": ((parsers.number(1, 1000),), "for"),
        # The values are the length of a pause and the interval between the starts of two pauses.
        "pauses": ((parsers.positive_duration, parsers.positive_duration), "for"),
        "turn-away": ((parsers.name, parsers.fraction), "for"),  # task class, share of its offers rejected
        "lose-answers": ((parsers.fraction, parsers.choice("silence", "reset")), "for"),
        "silent": ((), "for"),
        "hang": ((), "for"),
        "drain": ((), ""),
        "leave": ((parsers.duration,), ""),  # drains the node at once and kills it after this time
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
    # Relays carry out the faults of links. ``there`` is the direction from the dialling side, ``back`` the
    # opposite one.
    "links": {
        "hold": ((DIRECTION,), "for"),  # holds data back and delivers it at the end
        "hold-reset": ((DIRECTION,), "for"),  # holds data back, then drops it and resets the links
        "delay": ((DIRECTION, parsers.positive_duration), "for"),
        "rate": ((DIRECTION, parsers.integer(1, 10**9)), "for"),  # bytes per second
        "half-open": ((), "for"),  # connections are accepted but lead to no peer
        "cut": ((), ""),
    },
    "farm": {"pause": ((), "for")},  # stops the process of all stand-in nodes
    "owners": {"restart-services": ((parsers.fraction, parsers.duration), ""), "cut": ((), "")},
    "demand": {"times": ((parsers.number(0, 1000, exclusive=True),), "for")},
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a script.

    Its targets are either listed in ``target_ids`` or chosen at random: ``count`` targets or a ``share`` of
    all.
    """

    at_us: int
    target: str
    what: str
    values: tuple[Any, ...] = ()
    duration_us: int = 0
    target_ids: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    avoids_affected: bool = False  # only targets that no earlier line drained, killed or removed are chosen
    name: str = ""  # name of a zone, or what the links lead to: node, planner or list

    @property
    def kind(self) -> str:
        """The kind of target that ``target_ids``, ``count`` and ``share`` refer to."""
        return self.name if self.target == "links" else self.target

    def line(self) -> str:
        """Return the fault as a line of a script, with the chosen targets by id."""
        words = ["at", parsers.format_duration(self.at_us)]
        if self.target == "links":
            words += ["links", self.name, *map(str, self.target_ids)]
        elif self.target in ("node", "planner") and self.target_ids:
            words += [self.target, *map(str, self.target_ids)]
        else:
            words += [self.target, self.name] if self.name else [self.target]
        if self.target != "demand":
            words.append(self.what)
        for parser, value in zip(FAULTS[self.target][self.what][0], self.values, strict=True):
            words.append(
                parsers.format_duration(value)
                if parser in (parsers.duration, parsers.positive_duration)
                else str(value)
            )
        if self.duration_us:
            words += ["for", parsers.format_duration(self.duration_us)]
        return " ".join(words)


@dataclass(slots=True)
class _Selection:
    """The target of a fault, and the words of the line after the target."""

    target: str
    rest: list[str]
    target_ids: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    avoids_affected: bool = False
    name: str = ""


def parse(words: list[str]) -> Fault:
    """Parse the words of a line after ``at``. Raises ValueError if they are not a valid fault."""
    if len(words) < 2:
        raise ValueError("TIME TARGET FAULT is needed")
    at_us = parsers.duration(words[0])
    selection = _select(words[1], words[2:])
    target, rest = selection.target, selection.rest
    if target not in FAULTS:
        raise ValueError(f"no target {target!r}; known: {', '.join(sorted(FAULTS))}")
    fault, rest = (rest[0], rest[1:]) if rest else ("", [])
    known = FAULTS[target].get(fault)
    if known is None:
        raise ValueError(f"no fault {fault!r} of a {target}; known: {', '.join(sorted(FAULTS[target]))}")
    value_parsers, duration_word = known
    if len(rest) < len(value_parsers):
        raise ValueError(f"{fault} needs {len(value_parsers)} value(s)")
    values = tuple(parser(word) for parser, word in zip(value_parsers, rest, strict=False))
    duration_us = _duration(fault, rest[len(value_parsers) :], bool(duration_word))
    return Fault(
        at_us,
        target,
        fault,
        values,
        duration_us,
        selection.target_ids,
        selection.count,
        selection.share,
        selection.avoids_affected,
        selection.name,
    )


def _select(target: str, rest: list[str]) -> _Selection:
    if target != "links":
        return _select_peers(target, rest)
    if not rest or rest[0] not in ("node", "nodes", "planner", "planners", "list"):
        raise ValueError("what the links lead to is needed: node, nodes, planner, planners or list")
    selection = _select_peers(rest[0], rest[1:])
    selection.target, selection.name = "links", selection.target
    return selection


def _select_peers(target: str, rest: list[str]) -> _Selection:
    match target:
        case "nodes" | "planners":
            return _select_randomly(target[:-1], rest)
        case "node" | "planner":
            return _select_by_id(target, rest)
        case "demand":
            return _Selection(target, ["times", *rest])
        case "zone":
            if not rest:
                raise ValueError("the zone's name is needed")
            return _Selection(target, rest[1:], name=parsers.name(rest[0]))
    return _Selection(target, rest)


def _select_randomly(target: str, rest: list[str]) -> _Selection:
    """Parse a number or a share of targets that are to be chosen at random."""
    avoids_affected = rest[:1] == ["other"]
    if avoids_affected:
        rest = rest[1:]
    if not rest or not (rest[0].isdigit() or rest[0].endswith("%")):
        raise ValueError(f"how many {target}s, or which share of them, is needed")
    selection = _Selection(target, rest[1:], avoids_affected=avoids_affected)
    if rest[0].isdigit():
        selection.count = int(rest[0])
    else:
        selection.share = parsers.fraction(rest[0])
    return selection


def _select_by_id(target: str, rest: list[str]) -> _Selection:
    id_count = next((i for i, word in enumerate(rest) if not word.isdigit()), len(rest))
    if id_count == 0:
        raise ValueError(f"the number of the {target} is needed")
    return _Selection(target, rest[id_count:], tuple(map(int, rest[:id_count])))


def _duration(fault: str, rest: list[str], has_duration: bool) -> int:
    """Parse the time after ``for``, in microseconds; 0 for a fault without a duration."""
    if has_duration:
        if len(rest) != 2 or rest[0] != "for":
            raise ValueError(f"{fault} needs `for TIME` at the end of the line")
        return parsers.positive_duration(rest[1])
    if rest:
        raise ValueError(f"unexpected {rest[0]!r} at the end of the line")
    return 0
