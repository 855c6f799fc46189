"""Bipartite matching of members to places of their own, nodes or racks, by augmenting paths."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from typing import Generic, TypeVar

Place = TypeVar("Place", bound=Hashable)


class Matching(Generic[Place]):
    """Which member has which place; ``edges`` lists the places that each member could have."""

    def __init__(self, edges: Sequence[Sequence[Place]], holders: dict[Place, int] | None = None) -> None:
        """Start with these holders of places, by place; without any by default."""
        self._edges = edges
        self.holders: dict[Place, int] = holders if holders is not None else {}

    def match_all(self) -> bool:
        """Give each member a place of its own; False where there are not enough."""
        fewest_first = sorted(range(len(self._edges)), key=lambda member: len(self._edges[member]))
        return all(self.augment(member, set()) for member in fewest_first)

    def augment(self, member: int, visited: set[Place]) -> bool:
        """Give this member a place, moving others where need be.

        Places in ``visited`` are not used; those that the search comes by are added to it.
        """
        searching: list[tuple[int, int]] = [(member, 0)]  # member, and the index of its next edge
        path: list[Place] = []
        while searching:
            current, index = searching[-1]
            if index == len(self._edges[current]):
                searching.pop()
                if path:
                    path.pop()
                continue
            searching[-1] = (current, index + 1)
            place = self._edges[current][index]
            if place in visited:
                continue
            visited.add(place)
            path.append(place)
            holder = self.holders.get(place)
            if holder is None:
                self._assign([mover for mover, _ in searching], path)
                return True
            searching.append((holder, 0))
        return False

    def _assign(self, members: Sequence[int], path: Sequence[Place]) -> None:
        for mover, place in zip(members, path, strict=True):
            self.holders[place] = mover
