"""Validation of placement requests, from end to end, before the decision module gets them. No I/O, clock or
state."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from .. import interface as api
from ..planner import admission
from ..tasks import TaskSpec
from . import jsonlines
from .messages import MAX_MESSAGE_BYTES, Message, is_id

MAX_OTHER_BYTES = 1024  # bytes of a set-up's line beside the description, at most
MAX_WAIT_US = 2**32 * 1000  # a client's longest wait: what the form of set-ups with ``at`` has
KEY_FORM = re.compile(r"[0-9a-f]{32}", re.ASCII)
NUMBER_FORM = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?", re.ASCII)
BOUNDS = admission.Bounds(open_tasks=4096, owner_open=1024, attempts=32_768, wait_us=MAX_WAIT_US)


class InvalidRequest(Exception):
    """The text names what is wrong."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A set-up that passed validation."""

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
    """``tenants``: by name, in the settings' order. Raises InvalidRequest. Danger: the module computes with
    what it is told; a figure that is none, or a class that is not there, would spoil what it believes of
    every machine."""
    fields = message.fields
    extras = _extras(fields.get("extras", ""))
    if message.id == "0" * 16:
        raise InvalidRequest("no id")
    if not message.body:
        raise InvalidRequest("no description")
    # Danger: what fits a binary message may not fit a line, and the turn that writes it would end there.
    if len(jsonlines.encode_text(message.body)) > MAX_MESSAGE_BYTES - MAX_OTHER_BYTES:
        raise InvalidRequest("a description that no machine's line can hold")
    name = fields.get("class", "")
    index = next((i for i, c in enumerate(settings.classes) if c.name == name), -1)
    left, key, idem, service = (fields.get("left", ""), fields.get("key", ""), fields.get("idem", ""), "")
    service = extras.get("service", "")
    if not left.isascii() or not left.isdigit() or len(left) > 10:
        raise InvalidRequest("no wait")
    if not is_id(key) or not is_id(service):
        raise InvalidRequest("no name of the task or of its service")
    if idem and not KEY_FORM.fullmatch(idem):
        raise InvalidRequest("a key that is none")
    wait_us = int(left) * 1000
    spec = TaskSpec(
        client=client,
        key=int(key, 16),
        task_class=name,
        tenant=fields.get("tenant", "") if tenants else "",
        service=int(service, 16),
        cores=_amount(extras.get("cores", "")),
        memory=_amount(extras.get("memory", "")),
        expected_duration_us=0,
        resubmitted=fields.get("retry", "") not in ("", "0"),
    )
    fault = admission.invalid(spec, wait_us, BOUNDS, settings, tenants)
    if fault is not None:
        raise InvalidRequest(f"{fault.field}: {fault.message}")
    if settings.classes[index].effect is api.Effect.IDEMPOTENT_BY_KEY and not idem:
        raise InvalidRequest("no key, in a keyed class")
    at = extras.get("at", "")
    if len(at) > 200:
        raise InvalidRequest("a machine's name that is none")
    tenant = tenants.index(spec.tenant) if spec.tenant else 0
    return PlacementRequest(spec, index, tenant, wait_us, key, idem, at)


def _extras(text: str) -> dict[str, str]:
    out: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in out:
            raise InvalidRequest("figures that cannot be read")
        out[name] = value
    return out


def _amount(text: str) -> float:
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
    out = tuple(values.get(name, math.nan) for name in names)
    return out if all(math.isfinite(v) for v in out) else ()


def load_report_in(message: Message, names: tuple[str, ...]) -> tuple[float, ...]:
    """The figures of a message's load report in the settings' order; none where it has no valid one."""
    load = message.fields.get("load", "")
    return parse_load_report(load, names) if load else ()
