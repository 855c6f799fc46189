"""``stairplank place``: submit tasks to a planner and print what it says."""

from __future__ import annotations

import time
from typing import Any

import click

from ..fence import Stamps
from ..proto import common_pb2, open_call, placement_pb2
from ..rpc import Channel, Code, RpcError

_REQUEST = placement_pb2.PlaceRequest


def describe(event: Any) -> tuple[str, str]:
    """An event's kind and its fields as one line."""
    kind = event.WhichOneof("kind") or "unknown"
    body = getattr(event, kind, None)
    if body is None:
        return kind, ""
    parts = []
    for field, value in body.ListFields():
        if field.name == "code":
            text = Code(value).name if value in list(Code) else str(value)
        elif field.enum_type is not None:
            text = field.enum_type.values_by_number[value].name.removeprefix("REASON_").lower()
        else:
            text = str(value)
        parts.append(f"{field.name}={text}")
    return kind, " ".join(parts)


def submit(
    address: str,
    owner: str,
    task: dict[str, Any],
    count: int,
    wait_s: float,
    follow: bool,
    dial_s: float,
) -> int:
    """Ask for ``count`` tasks; print the stream until each has its outcome (or end). The exit code."""
    from ..planner import convert
    from ..planner.daemon import PLACEMENT

    try:
        call = open_call(Channel(address, dial_timeout_s=dial_s), PLACEMENT, "Place")
        call.send(_REQUEST(hello=_REQUEST.Hello(owner=owner)))
        first = call.recv(dial_s)
        if first is None:
            raise RpcError(Code.UNAVAILABLE, "the stream ended at once")
        stamps = Stamps()
        stamps.heard(time.monotonic_ns() // 1000, first.grant)
        key = int(time.time() * 1e6)
        began = time.monotonic()
        for n in range(1, count + 1):
            wanted = common_pb2.Task(key=key + n, **task)
            sent = convert.stamp_to(stamps.stamp(time.monotonic_ns() // 1000))
            ask_for = _REQUEST.Ask(ask=n, task=wanted, wait_us=int(wait_s * 1e6), sent=sent)
            call.send(_REQUEST(ask=ask_for))
        owed = set(range(1, count + 1))
        running: set[int] = set()
        good = 0
        while owed or (follow and running):
            event = call.recv(None if follow and not owed else wait_s + dial_s)
            if event is None:
                raise RpcError(Code.UNAVAILABLE, "the stream ended before every answer")
            kind, fields = describe(event)
            if kind == "renewed":
                continue  # a grant: nothing to see
            click.echo(f"{time.monotonic() - began:9.3f} s  {kind:<9} {fields}")
            ask = getattr(getattr(event, kind, None), "ask", 0)
            if kind in ("placed", "found"):
                good += ask in owed
                running.add(ask)
            if kind in ("placed", "found", "refused", "failed", "rejected"):
                owed.discard(ask)
            if kind == "ended":
                running.discard(ask)
        call.close_send()
        return 0 if good == count else 1
    except RpcError as error:
        raise click.ClickException(str(error)) from None
