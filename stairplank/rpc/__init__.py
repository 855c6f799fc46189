"""gRPC over HTTP/2 on gevent sockets: a server, and a client that can prove that a failed call never ran.

Implements the gRPC HTTP/2 protocol document (PROTOCOL-HTTP2) and RFC 9113. The tests check conformance
against grpcio's client and server; ``docs/design/running-planner.md`` explains why the planner does not use
grpcio itself. Names are imported on first use, so that a program that needs only addresses does not load h2.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .client import Call, Channel
    from .limits import Limits
    from .server import Server
    from .server_call import Method, ServerCall
    from .status import Code, RpcError

__all__ = ["Call", "Channel", "Code", "Limits", "Method", "RpcError", "Server", "ServerCall"]

_MODULE_OF_NAME = {
    "Call": "client",
    "Channel": "client",
    "Limits": "limits",
    "Method": "server_call",
    "Server": "server",
    "ServerCall": "server_call",
    "Code": "status",
    "RpcError": "status",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULE_OF_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_MODULE_OF_NAME[name]}", __name__), name)
