"""Submits tasks to a planner and prints the events of its stream."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import click

from ..fence import MessageStamper
from ..planner import convert
from ..planner.clock import now_us
from ..planner.services import PLACEMENT_SERVICE
from ..proto import common_pb2, open_call, placement_pb2
from ..rpc import Call, Channel, Code, RpcError

_REQUEST = placement_pb2.PlaceRequest
_PLACED = frozenset({"placed", "found"})
_OUTCOMES = _PLACED | {"refused", "failed", "rejected"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """What is submitted, and how long its events are awaited.

    Attributes:
        address: Of the planner.
        client: Name that the tasks are submitted under.
        task: Fields of the task, without its key.
        count: How many such tasks.
        wait_s: Seconds to wait for each outcome.
        until_ended: Whether to go on until the tasks have ended.
        dial_s: Seconds to wait for the planner.
    """

    address: str
    client: str
    task: dict[str, Any]
    count: int
    wait_s: float
    until_ended: bool
    dial_s: float


def describe(event: Any) -> tuple[str, str]:
    """Return an event's kind, and its fields as one line."""
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


def submit(submission: Submission) -> int:
    """Submit the tasks and print the stream until each has its outcome, or has ended.

    Returns:
        The exit code: 0 where all were placed, 1 where not.

    Raises:
        click.ClickException: The planner cannot be reached, or its stream has ended too early.
    """
    try:
        call, stamper = _open_stream(submission)
        began = time.monotonic()
        _send_requests(call, stamper, submission)
        placed = _print_events(call, submission, began)
        call.close_send()
    except RpcError as error:
        raise click.ClickException(str(error)) from None
    return 0 if placed == submission.count else 1


def _open_stream(submission: Submission) -> tuple[Call, MessageStamper]:
    call = open_call(
        Channel(submission.address, dial_timeout_s=submission.dial_s), PLACEMENT_SERVICE, "Place"
    )
    call.send(_REQUEST(hello=_REQUEST.Hello(owner=submission.client)))
    first = call.recv(submission.dial_s)
    if first is None:
        raise RpcError(Code.UNAVAILABLE, "the stream ended at once")
    stamper = MessageStamper()
    stamper.receive_grant(now_us(), first.grant)
    return call, stamper


def _send_requests(call: Call, stamper: MessageStamper, submission: Submission) -> None:
    first_key = int(time.time() * 1e6)
    for number in range(1, submission.count + 1):
        task = common_pb2.Task(key=first_key + number, **submission.task)
        sent = convert.stamp_to_proto(stamper.stamp(now_us()))
        request = _REQUEST.Ask(ask=number, task=task, wait_us=int(submission.wait_s * 1e6), sent=sent)
        call.send(_REQUEST(ask=request))


def _print_events(call: Call, submission: Submission, began: float) -> int:
    """Print events until nothing is awaited any more; return how many requests were placed."""
    pending = set(range(1, submission.count + 1))
    running: set[int] = set()
    placed = 0
    while pending or (submission.until_ended and running):
        is_unbounded = submission.until_ended and not pending
        event = call.recv(None if is_unbounded else submission.wait_s + submission.dial_s)
        if event is None:
            raise RpcError(Code.UNAVAILABLE, "the stream ended before every answer")
        kind, fields = describe(event)
        if kind == "renewed":
            continue  # a grant, which concerns no request
        click.echo(f"{time.monotonic() - began:9.3f} s  {kind:<9} {fields}")
        request = getattr(getattr(event, kind, None), "ask", 0)
        if kind in _PLACED:
            placed += request in pending
            running.add(request)
        if kind in _OUTCOMES:
            pending.discard(request)
        if kind == "ended":
            running.discard(request)
    return placed
