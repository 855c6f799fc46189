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
    """Tasks to submit to a planner, and how long to wait for their events.

    Attributes:
        address: Address of the planner.
        client: Client name under which the tasks are submitted.
        task: Fields of the task message, without the key.
        count: Number of tasks, all with the same fields.
        wait_s: Seconds to wait for each outcome.
        until_ended: Whether to wait until the placed tasks have ended.
        dial_s: Timeout in seconds for connecting to the planner.
    """

    address: str
    client: str
    task: dict[str, Any]
    count: int
    wait_s: float
    until_ended: bool
    dial_s: float


def describe(event: Any) -> tuple[str, str]:
    """Return the kind of an event and its fields as one line of text."""
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
    """Submit the tasks and print the events until each task has its outcome, or has ended.

    Returns:
        The exit code: 0 if all tasks were placed, 1 otherwise.

    Raises:
        click.ClickException: The planner cannot be reached, or it closed the stream before the last event.
    """
    try:
        call, stamper = _open_stream(submission)
        started_at = time.monotonic()
        _send_requests(call, stamper, submission)
        placed = _print_events(call, submission, started_at)
        call.close_send()
    except RpcError as error:
        raise click.ClickException(str(error)) from None
    return 0 if placed == submission.count else 1


def _open_stream(submission: Submission) -> tuple[Call, MessageStamper]:
    """Open a stream to the planner. Returns it with a stamper that holds the planner's first grant."""
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
    """Send one request per task. Keys start at the current time, so that two runs use different keys."""
    first_key = int(time.time() * 1e6)
    for number in range(1, submission.count + 1):
        task = common_pb2.Task(key=first_key + number, **submission.task)
        sent = convert.stamp_to_proto(stamper.stamp(now_us()))
        request = _REQUEST.Ask(ask=number, task=task, wait_us=int(submission.wait_s * 1e6), sent=sent)
        call.send(_REQUEST(ask=request))


def _print_events(call: Call, submission: Submission, started_at: float) -> int:
    """Print events until no further event is expected. Returns the number of requests that were placed."""
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
            continue  # a renewed grant belongs to no request
        click.echo(f"{time.monotonic() - started_at:9.3f} s  {kind:<9} {fields}")
        request = getattr(getattr(event, kind, None), "ask", 0)
        if kind in _PLACED:
            placed += request in pending
            running.add(request)
        if kind in _OUTCOMES:
            pending.discard(request)
        if kind == "ended":
            running.discard(request)
    return placed
