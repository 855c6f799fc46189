"""gRPC over HTTP/2 on gevent sockets: server, client, and the proof of what never ran.

Source: the gRPC HTTP/2 protocol document (PROTOCOL-HTTP2) and RFC 9113. ``docs/design/running-planner.md``
says why this stands beside grpcio, whose stock client and server are the outside witness in the tests.
"""

from .client import Call, Channel
from .connection import Limits
from .server import Method, Server, ServerCall
from .status import Code, RpcError

__all__ = ["Call", "Channel", "Code", "Limits", "Method", "RpcError", "Server", "ServerCall"]
