"""Bipartite matching that assigns each member a distinct place (a node or rack), by augmenting paths."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from typing import Generic, TypeVar

Place = TypeVar("Place", bound=Hashable)


class Matching(Generic[Place]):
    """An assignment of members to distinct places. ``edges`` lists the possible places of each member."""

    def __init__(self, edges: Sequence[Sequence[Place]], holders: dict[Place, int] | None = None) -> None:
        """``holders``: the initial assignment as a map from place to member; empty by default."""
        self._edges = edges
        self.holders: dict[Place, int] = holders if holders is not None else {}

    def match_all(self) -> bool:
        """Assign each member a distinct place. Return False if that is impossible."""
        fewest_first = sorted(range(len(self._edges)), key=lambda member: len(self._edges[member]))
        return all(self.augment(member, set()) for member in fewest_first)

    def augment(self, member: int, visited: set[Place]) -> bool:
        """Assign this member a place, moving other members if needed. Return whether a place was found.

        Places in ``visited`` are not used. The search adds every place that it examines to ``visited``.
        """
        stack: list[tuple[int, int]] = [(member, 0)]  # a member and the index of its next edge to examine
        path: list[Place] = []
        while stack:
            current, index = stack[-1]
            if index == len(self._edges[current]):
                stack.pop()
                if path:
                    path.pop()
                continue
            stack[-1] = (current, index + 1)
            place = self._edges[current][index]
            if place in visited:
                continue
            visited.add(place)
            path.append(place)
            holder = self.holders.get(place)
            if holder is None:
                self._assign([mover for mover, _ in stack], path)
                return True
            stack.append((holder, 0))
        return False

    def _assign(self, members: Sequence[int], path: Sequence[Place]) -> None:
        for mover, place in zip(members, path, strict=True):
            self.holders[place] = mover
