"""What groups cost: core-seconds taken at nodes while a group is not whole, and when each became whole."""

from __future__ import annotations

from dataclasses import dataclass, field

Name = tuple[str, int]


@dataclass(slots=True)
class Measured:
    """One group over all its tries."""

    size: int
    asked: int
    taken: dict[Name, tuple[int, float]] = field(default_factory=dict)  # since when, cores
    running: set[Name] = field(default_factory=set)
    finished: set[Name] = field(default_factory=set)
    whole_at: int = 0  # the first time; 0: never
    wasted: float = 0.0  # core-microseconds
    partly_since: int = 0
    partly_most: int = 0  # longest stretch in which some members ran and others did not

    def is_whole(self) -> bool:
        return len(self.running) + len(self.finished) >= self.size


class Meter:
    def __init__(self) -> None:
        self.group_of: dict[Name, Measured] = {}
        self.groups: list[Measured] = []

    def asked(self, names: list[Name], now: int, former: Name | None = None) -> None:
        """A group is asked for; ``former`` names one of its tasks when it was asked for before."""
        known = self.group_of.get(former) if former is not None else None
        if known is None:
            known = Measured(len(names), now)
            self.groups.append(known)
        for name in names:
            self.group_of[name] = known

    def accepted(self, name: Name, cores: float, now: int) -> None:
        group = self.group_of.get(name)
        if group is not None:
            group.taken[name] = (now, cores)

    def runs(self, name: Name, now: int) -> None:
        group = self.group_of.get(name)
        if group is None:
            return
        group.running.add(name)
        self._weigh(group, now)
        if group.is_whole():
            group.whole_at = group.whole_at or now
            for task, (since, cores) in group.taken.items():
                group.wasted += (now - since) * cores
                group.taken[task] = (now, 0.0)  # from here on they are of use

    def over(self, name: Name, finished: bool, now: int) -> None:
        group = self.group_of.get(name)
        if group is None:
            return
        since, cores = group.taken.pop(name, (now, 0.0))
        group.wasted += (now - since) * cores
        group.running.discard(name)
        if finished:
            group.finished.add(name)
        elif not group.is_whole():
            # What is left of it counts as wasted from now on, until it is whole again.
            group.finished.clear()
        self._weigh(group, now)

    def _weigh(self, group: Measured, now: int) -> None:
        partly = bool(group.running) and not group.is_whole()
        if partly and not group.partly_since:
            group.partly_since = now
        elif not partly and group.partly_since:
            group.partly_most = max(group.partly_most, now - group.partly_since)
            group.partly_since = 0
