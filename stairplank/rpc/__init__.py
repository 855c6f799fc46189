"""gRPC over HTTP/2 on gevent sockets: server, client, and proof of which calls never ran.

Source: the gRPC HTTP/2 protocol document (PROTOCOL-HTTP2) and RFC 9113. ``docs/design/running-planner.md``
says why this stands beside grpcio, whose stock client and server are the outside witness in the tests.
Names are imported on first use: a program that needs only addresses does not load h2.
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
