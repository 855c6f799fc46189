"""Converts generated service descriptors into the methods that ``stairplank.rpc`` serves and calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from google.protobuf.message_factory import GetMessageClass

from ..rpc.client import Call, Channel
from ..rpc.errors import HandlersMismatchError
from ..rpc.framing import Metadata
from ..rpc.server_call import Method, MethodKind


def _kind(method: Any) -> MethodKind:
    if method.client_streaming:
        return "bidi" if method.server_streaming else "client_stream"
    return "server_stream" if method.server_streaming else "unary"


def method_path(service: Any, method: str) -> str:
    """Return a method's HTTP/2 path, ``/package.Service/Method``. Raises KeyError for an unknown method."""
    return f"/{service.full_name}/{service.methods_by_name[method].name}"


def server_methods(service: Any, **handlers: Callable[..., Any]) -> dict[str, Method]:
    """Return the methods of a service by path, for a server; every method needs a handler.

    Raises HandlersMismatchError, a ValueError, if a handler is missing or matches no method.
    """
    unmatched = set(service.methods_by_name) ^ set(handlers)
    if unmatched:
        raise HandlersMismatchError(service.full_name, sorted(unmatched))
    return {
        method_path(service, name): Method(
            _kind(service.methods_by_name[name]),
            handler,
            GetMessageClass(service.methods_by_name[name].input_type).FromString,
        )
        for name, handler in handlers.items()
    }


def open_call(
    channel: Channel,
    service: Any,
    method: str,
    *,
    metadata: Metadata = (),
    timeout_s: float | None = None,
) -> Call:
    """Open a unary or streaming call; ``timeout_s`` sets its deadline. Raises RpcError."""
    decode = GetMessageClass(service.methods_by_name[method].output_type).FromString
    return channel.call(
        method_path(service, method),
        lambda message: message.SerializeToString(),
        decode,
        metadata=metadata,
        timeout_s=timeout_s,
    )
