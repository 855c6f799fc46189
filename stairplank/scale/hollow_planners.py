"""Hollow planners of the platform form: many planners in a process, each with a real core and connections."""

from __future__ import annotations

from typing import Any

import gevent

from ..platform.service import Service

POLL_S = 0.02


class PlannerHost:
    """Handles the commands sent to the process of hollow planners."""

    def __init__(self) -> None:
        self._services: list[Service] = []

    def start(self, files: list[str]) -> list[str]:
        """Starts one planner per settings file. Returns their addresses once all of them listen."""
        services = [Service(path) for path in files]
        for service in services:
            gevent.spawn(service.run)
        while not all(service.listen_address for service in services):
            gevent.sleep(POLL_S)
        self._services += services
        return [service.listen_address for service in services]

    def snapshot(self) -> dict[str, Any]:
        return {"planners": len(self._services)}
