"""From generated service descriptors to the methods that ``stairplank.rpc`` serves and calls."""

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
    """``/package.Service/Method``. Raises KeyError for a method that the service has not."""
    return f"/{service.full_name}/{service.methods_by_name[method].name}"


def server_methods(service: Any, **handlers: Callable[..., Any]) -> dict[str, Method]:
    """Methods by path for a server; every method of the service needs its handler.

    Raises HandlersMismatchError, which is a ValueError.
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
    """Open a call of any kind; ``timeout_s`` becomes its deadline. Raises RpcError."""
    decode = GetMessageClass(service.methods_by_name[method].output_type).FromString
    return channel.call(
        method_path(service, method),
        lambda message: message.SerializeToString(),
        decode,
        metadata=metadata,
        timeout_s=timeout_s,
    )
