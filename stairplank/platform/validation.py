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

MAX_OTHER_BYTES = 1024  # of a placement request's line, beside the description
MAX_MACHINE_NAME = 200
MAX_WAIT_DIGITS = 10
MAX_WAIT_US = 2**32 * 1000  # a client's longest wait: what the format has for requests with ``at``
KEY_FORM = re.compile(r"[0-9a-f]{32}", re.ASCII)
NUMBER_FORM = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?", re.ASCII)
BOUNDS = admission.Bounds(
    open_tasks=4096, open_tasks_per_client=1024, attempts=32_768, max_wait_us=MAX_WAIT_US
)


class InvalidRequest(PlatformError):
    """The text names what is wrong."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A placement request that passed validation."""

    spec: TaskSpec
    class_index: int
    tenant: int  # its number in the settings, 0 where they have none
    wait_us: int
    key: str
    idem: str
    at: str  # the machine that holds it already, or nothing


def validate_request(
    message: Message, client: str, settings: api.Settings, tenants: tuple[str, ...] = ()
) -> PlacementRequest:
    """Validate a client's placement request.

    Danger: the module computes with what it is given; a figure that is none, or a class that is not there,
    would spoil what it believes of every machine.

    Args:
        message: the request as it was received.
        client: whose it is.
        settings: those in force.
        tenants: by name, in the settings' order.

    Raises:
        InvalidRequest: where anything in it cannot be used.
    """
    fields = message.fields
    extras = _parse_extras(fields.get("extras", ""))
    _check_content(message)
    wait_us = _parse_wait_us(fields.get("left", ""))
    key, service, idempotency_key = fields.get("key", ""), extras.get("service", ""), fields.get("idem", "")
    if not is_id(key) or not is_id(service):
        raise InvalidRequest("no name of the task or of its service")
    if idempotency_key and not KEY_FORM.fullmatch(idempotency_key):
        raise InvalidRequest("a key that is none")
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
    if len(at) > MAX_MACHINE_NAME:
        raise InvalidRequest("a machine's name that is none")
    tenant = tenants.index(spec.tenant) if spec.tenant else 0
    return PlacementRequest(spec, class_index, tenant, wait_us, key, idempotency_key, at)


def _check_content(message: Message) -> None:
    if message.id == "0" * 16:
        raise InvalidRequest("no id")
    if not message.body:
        raise InvalidRequest("no description")
    # Danger: what fits a binary message may not fit a line, and the turn that writes it would end there.
    if len(jsonlines.encode_text(message.body)) > MAX_MESSAGE_BYTES - MAX_OTHER_BYTES:
        raise InvalidRequest("a description that no machine's line can hold")


def _admissible_class(
    spec: TaskSpec, wait_us: int, idempotency_key: str, settings: api.Settings, tenants: tuple[str, ...]
) -> int:
    """The index of the task's class in the settings, where they admit the task."""
    fault = admission.task_error(spec, wait_us, BOUNDS, settings, tenants)
    if fault is not None:
        raise InvalidRequest(f"{fault.field}: {fault.message}")
    index = next((i for i, c in enumerate(settings.classes) if c.name == spec.task_class), -1)
    if settings.classes[index].effect is api.Effect.IDEMPOTENT_BY_KEY and not idempotency_key:
        raise InvalidRequest("no key, in a keyed class")
    return index


def _parse_wait_us(text: str) -> int:
    """A client's wait, which a request gives in milliseconds."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_WAIT_DIGITS:
        raise InvalidRequest("no wait")
    return int(text) * 1000


def _parse_extras(text: str) -> dict[str, str]:
    extras: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in extras:
            raise InvalidRequest("figures that cannot be read")
        extras[name] = value
    return extras


def _parse_amount(text: str) -> float:
    if not NUMBER_FORM.fullmatch(text):
        raise InvalidRequest("an amount that is no number")
    value = float(text)
    if not math.isfinite(value):
        raise InvalidRequest("an amount that is no number")
    return value


def parse_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """A load report's figures in the settings' order; none where one is missing or is no number."""
    values: dict[str, float] = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            values[name] = float(value)
        except ValueError:
            return ()
    figures = tuple(values.get(name, math.nan) for name in names)
    return figures if all(math.isfinite(figure) for figure in figures) else ()


def load_report_in(message: Message, names: tuple[str, ...]) -> tuple[float, ...]:
    """The figures of a message's load report in the settings' order; none where it has no valid one."""
    load = message.fields.get("load", "")
    return parse_load_report(load, names) if load else ()
