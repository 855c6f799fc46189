"""``python -m stairplank.scale.hollow FORM ROLE`` runs hollow peers, on commands of its parent process."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any

from ..cli.logs import set_up
from .child import Handler, serve


def host_of(form: str, role: str) -> Any:
    """Returns the object whose public methods are the commands of this form and role."""
    match form, role:
        case "platform", "workers":
            from .hollow_workers import WorkerHost

            return WorkerHost()
        case "platform", "list":
            from .hollow_list import HollowList

            return HollowList()
        case "platform", "planners":
            from .hollow_planners import PlannerHost

            return PlannerHost()
        case "platform", "clients":
            from .clients import PlatformClient
            from .load import ClientHost

            return ClientHost(PlatformClient)
        case "grpc", "workers":
            from .grpc_peers import GrpcWorkerHost

            return GrpcWorkerHost()
        case "grpc", "list":
            from .grpc_peers import GrpcList

            return GrpcList()
        case "grpc", "planners":
            from .grpc_peers import GrpcPlannerHost

            return GrpcPlannerHost()
        case "grpc", "clients":
            from .grpc_clients import GrpcClient
            from .load import ClientHost

            return ClientHost(GrpcClient)
        case "grpc", "replicas":
            from .grpc_replicas import ReplicaHost

            return ReplicaHost()
    raise ValueError(f"unknown role {role!r} of form {form!r}")


def commands(host: Any) -> Mapping[str, Handler]:
    return {name: getattr(host, name) for name in dir(host) if not name.startswith("_")}


if __name__ == "__main__":
    set_up("json", "warning")
    serve(commands(host_of(*sys.argv[1:3])))
