"""gRPC over HTTP/2 on gevent sockets: server, client, and the proof of what never ran.

Source: the gRPC HTTP/2 protocol document (PROTOCOL-HTTP2) and RFC 9113. ``docs/design/running-planner.md``
says why this stands beside grpcio, whose stock client and server are the outside witness in the tests.
Names are loaded when first asked for: who needs an address alone needs no HTTP/2.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .client import Call, Channel
    from .connection import Limits
    from .server import Method, Server, ServerCall
    from .status import Code, RpcError

__all__ = ["Call", "Channel", "Code", "Limits", "Method", "RpcError", "Server", "ServerCall"]

_HOMES = {
    "Call": "client",
    "Channel": "client",
    "Limits": "connection",
    "Method": "server",
    "Server": "server",
    "ServerCall": "server",
    "Code": "status",
    "RpcError": "status",
}


def __getattr__(name: str) -> Any:
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_HOMES[name]}", __name__), name)
