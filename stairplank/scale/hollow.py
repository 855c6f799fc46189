"""``python -m stairplank.scale.hollow ROLE``: one process of hollow peers, which its starter commands."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any

from .child import Handler, serve


def host_of(role: str) -> Any:
    """The object whose public methods are the commands."""
    match role:
        case "workers":
            from .hollow_workers import WorkerHost

            return WorkerHost()
        case "list":
            from .hollow_list import HollowList

            return HollowList()
        case "planners":
            from .hollow_planners import PlannerHost

            return PlannerHost()
        case "clients":
            from .clients import ClientHost

            return ClientHost()
    raise ValueError(f"no role {role!r}")


def commands(host: Any) -> Mapping[str, Handler]:
    return {name: getattr(host, name) for name in dir(host) if not name.startswith("_")}


if __name__ == "__main__":
    serve(commands(host_of(sys.argv[1])))
