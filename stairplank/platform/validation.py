"""Validation of placement requests before the decision module gets them. No I/O, clock or state."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from .. import interface as api
from ..planner import admission
from ..tasks import TaskSpec
from . import jsonlines
from .messages import MAX_MESSAGE_BYTES, Message, PlatformError, is_id

MAX_REQUEST_OVERHEAD_BYTES = 1024  # bytes of a placement request's line without its description
MAX_MACHINE_NAME_LENGTH = 200
MAX_WAIT_DIGITS = 10
MAX_WAIT_US = 2**32 * 1000  # longest wait of a client; the format allows it for requests with ``at``
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[0-9a-f]{32}", re.ASCII)
NUMBER_PATTERN = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?", re.ASCII)
BOUNDS = admission.Bounds(
    open_tasks=4096, open_tasks_per_client=1024, attempts=32_768, max_wait_us=MAX_WAIT_US
)


class InvalidRequestError(PlatformError):
    """A placement request is invalid; the message names the reason."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A placement request that passed validation."""

    spec: TaskSpec
    class_index: int
    tenant: int  # index of the tenant in the settings; 0 where they have no tenants
    wait_us: int
    key: str
    idem: str
    at: str  # name of the machine that already runs the task, or empty


def validate_request(
    message: Message, client: str, settings: api.Settings, tenants: tuple[str, ...] = ()
) -> PlacementRequest:
    """Validate a client's placement request and return it in the form that the core uses.

    The decision module computes with these values unchecked: a value that is not a finite number, or a class
    that does not exist, would corrupt its estimate of the load of every machine.

    Args:
        message: The request as it was received.
        client: The client that sent the request.
        settings: The settings in force.
        tenants: The tenants' names, in the settings' order.

    Raises:
        InvalidRequestError: If a field is missing or has a value that cannot be used.
    """
    fields = message.fields
    extras = _parse_extras(fields.get("extras", ""))
    _check_content(message)
    wait_us = _parse_wait_us(fields.get("left", ""))
    key, service, idempotency_key = fields.get("key", ""), extras.get("service", ""), fields.get("idem", "")
    if not is_id(key) or not is_id(service):
        raise InvalidRequestError("the task's key or its service is not 16 hexadecimal digits")
    if idempotency_key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(idempotency_key):
        raise InvalidRequestError("the idempotency key is not 32 hexadecimal digits")
    spec = TaskSpec(
        client=client,
        key=int(key, 16),
        task_class=fields.get("class", ""),
        tenant=fields.get("tenant", "") if tenants else "",
        service=int(service, 16),
        cores=_parse_amount(extras.get("cores", "")),
        memory=_parse_amount(extras.get("memory", "")),
        expected_duration_us=0,
        resubmitted=fields.get("retry", "") not in ("", "0"),
    )
    class_index = _admissible_class(spec, wait_us, idempotency_key, settings, tenants)
    at = extras.get("at", "")
    if len(at) > MAX_MACHINE_NAME_LENGTH:
        raise InvalidRequestError(f"the machine's name is longer than {MAX_MACHINE_NAME_LENGTH} characters")
    tenant = tenants.index(spec.tenant) if spec.tenant else 0
    return PlacementRequest(spec, class_index, tenant, wait_us, key, idempotency_key, at)


def _check_content(message: Message) -> None:
    if message.id == "0" * 16:
        raise InvalidRequestError("no id: all digits are zero")
    if not message.body:
        raise InvalidRequestError("the request has no description")
    # A description that fits a binary message may not fit a machine's line once it is escaped; writing it
    # would fail and end the core's turn.
    if len(jsonlines.encode_text(message.body)) > MAX_MESSAGE_BYTES - MAX_REQUEST_OVERHEAD_BYTES:
        raise InvalidRequestError("the description is too long for a machine's line")


def _admissible_class(
    spec: TaskSpec, wait_us: int, idempotency_key: str, settings: api.Settings, tenants: tuple[str, ...]
) -> int:
    """Return the index of the task's class in the settings. Raises InvalidRequestError if they reject it."""
    error = admission.task_error(spec, wait_us, BOUNDS, settings, tenants)
    if error is not None:
        raise InvalidRequestError(f"{error.field}: {error.message}")
    index = next((i for i, c in enumerate(settings.classes) if c.name == spec.task_class), -1)
    if settings.classes[index].effect is api.Effect.IDEMPOTENT_BY_KEY and not idempotency_key:
        raise InvalidRequestError("no idempotency key for a class that is idempotent by key")
    return index


def _parse_wait_us(text: str) -> int:
    """Return a client's wait in microseconds; the request states it in milliseconds."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_WAIT_DIGITS:
        raise InvalidRequestError(f"the wait is not a number of at most {MAX_WAIT_DIGITS} digits")
    return int(text) * 1000


def _parse_extras(text: str) -> dict[str, str]:
    extras: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in extras:
            raise InvalidRequestError("the extras are not distinct name:value pairs")
        extras[name] = value
    return extras


def _parse_amount(text: str) -> float:
    if not NUMBER_PATTERN.fullmatch(text):
        raise InvalidRequestError("an amount is not a decimal number")
    value = float(text)
    if not math.isfinite(value):
        raise InvalidRequestError("an amount is not a decimal number")
    return value


def parse_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a load report in the settings' order.

    Returns an empty tuple if a value is missing or is not a finite number.
    """
    values: dict[str, float] = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            values[name] = float(value)
        except ValueError:
            return ()
    ordered = tuple(values.get(name, math.nan) for name in names)
    return ordered if all(math.isfinite(value) for value in ordered) else ()


def load_report_in(message: Message, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a message's load report, or an empty tuple if it has no valid report."""
    load = message.fields.get("load", "")
    return parse_load_report(load, names) if load else ()
