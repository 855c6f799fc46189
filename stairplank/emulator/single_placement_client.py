"""The baseline client of experiments, which requests each member of a group as a single task."""

from __future__ import annotations

from ..standin.client import Client, ClientModel


class SinglePlacementClient(Client):
    """A client that requests each member of a group as a single task.

    Attributes:
        group_keys: the task keys of each group that the simulation has not passed to its group meter yet.
    """

    def __init__(self, model: ClientModel, seed: int, start: int) -> None:
        """Create a client; ``start`` is the simulated time of its first task in microseconds."""
        super().__init__(model, seed, start)
        self.group_keys: list[list[int]] = []

    def _create_group(
        self, index: int, service: int, size: tuple[float, float], count: int, now: int
    ) -> None:
        duration_us = self.model.demands[index].duration_us
        tasks = [
            self._create_task(index, service, size, self.rng.randint(*duration_us), now) for _ in range(count)
        ]
        self.group_keys.append([task.key for task in tasks])
        for task in tasks:
            self._submit(task, now)
