"""From generated service descriptors to the methods that ``stairplank.rpc`` serves and calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from google.protobuf.message_factory import GetMessageClass

from ..rpc.client import Call, Channel
from ..rpc.framing import Metadata
from ..rpc.server import Kind, Method


def _kind(method: Any) -> Kind:
    if method.client_streaming:
        return "bidi" if method.server_streaming else "client_stream"
    return "server_stream" if method.server_streaming else "unary"


def path(service: Any, method: str) -> str:
    """``/package.Service/Method``. Raises KeyError for a method that the service has not."""
    return f"/{service.full_name}/{service.methods_by_name[method].name}"


def methods(service: Any, **handlers: Callable[..., Any]) -> dict[str, Method]:
    """Methods by path for a server; every method of the service needs its handler."""
    missing = set(service.methods_by_name) ^ set(handlers)
    if missing:
        raise ValueError(f"{service.full_name}: handlers and methods differ in {sorted(missing)}")
    return {
        path(service, name): Method(
            _kind(service.methods_by_name[name]),
            handler,
            GetMessageClass(service.methods_by_name[name].input_type).FromString,
        )
        for name, handler in handlers.items()
    }


def caller(
    channel: Channel,
    service: Any,
    method: str,
    *,
    metadata: Metadata = (),
    timeout_s: float | None = None,
) -> Call:
    """Open a call of any kind."""
    decode = GetMessageClass(service.methods_by_name[method].output_type).FromString
    return channel.call(
        path(service, method),
        lambda message: message.SerializeToString(),
        decode,
        metadata=metadata,
        timeout_s=timeout_s,
    )
