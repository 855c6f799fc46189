"""Runs the configuration service's replicas of a scale run in one process and counts traffic by planner."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

from ..configuration import client
from ..configuration.publication import PublicationOutcome
from ..configuration.server import ReplicaServer
from ..configuration.validation import text_problems
from ..rpc import ServerCall
from .counts import Counts
from .socket_bytes import TrafficByPlanner


class _CountingReplicaServer(ReplicaServer):
    def __init__(self, state_file: Path) -> None:
        super().__init__(("127.0.0.1:0",), state_file, text_problems)
        self.traffic = TrafficByPlanner()

    def stream_opened(self, planner: int, call: ServerCall) -> None:
        self.traffic.opened(planner, call.stream.connection)

    def stream_closed(self, planner: int, call: ServerCall) -> None:
        self.traffic.closed(planner, call.stream.connection)


class ReplicaHost:
    """Handles the commands sent to the process of configuration replicas."""

    def __init__(self) -> None:
        self._replicas: list[_CountingReplicaServer] = []
        self._addresses: tuple[str, ...] = ()

    def start(self, folder: str, count: int) -> list[str]:
        """Starts ``count`` replicas. Returns their addresses."""
        self._replicas = [
            _CountingReplicaServer(Path(folder) / f"replica-{number}.json") for number in range(count)
        ]
        for replica in self._replicas:
            replica.start()
        self._addresses = tuple(replica.server.addresses[0] for replica in self._replicas)
        return list(self._addresses)

    def publish(self, text: str) -> int:
        """Publishes a configuration and returns its revision number. Raises RuntimeError on failure."""
        result = client.publish(self._addresses, text)
        if result.outcome is not PublicationOutcome.PUBLISHED:
            raise RuntimeError(f"configuration not published: {result.outcome.value}: {result.problems}")
        return result.revision.number

    def slowest(self, planners: int) -> float | None:
        """Returns the seconds from the commit until the last planner reported the revision in force.

        Returns None until all ``planners`` planners have reported it.
        """
        status = client.site_status(self._addresses)
        if not status.in_force_everywhere(planners):
            return None
        delays = [line.delay_us for line in status.planners if line.connected and line.delay_us is not None]
        return max(delays, default=0) / 1e6

    def snapshot(self) -> dict[str, Any]:
        """Returns each planner's traffic, summed over the replicas."""
        totals: dict[int, Counts] = {}
        for replica in self._replicas:
            for planner, traffic in replica.traffic.items():
                totals[planner] = totals.get(planner, Counts()).plus(traffic.counts())
        return {"traffic": {planner: asdict(counts) for planner, counts in totals.items()}}
