"""Tests that the simulator's wire format is unchanged: one record of each event and action, byte by byte.

Numbers are little-endian. An expected event is a tuple of field values in order, with enums as numbers, so
that the tests depend on no names of the program except those of the codec and the actions.
"""

from __future__ import annotations

import struct
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import pytest

from stairplank import interface as api
from stairplank import wire

TASK, NODE = 0x0E88205D3A91C4, 0x03124A07
ROWS = (  # record with code 13: node list 0 with two nodes
    "0d 00 02000000"
    "074a1203 00006040 01 02 0300 02 0000803f 00004041 0500000000000000"
    "f211902c 00009040 00 00 0000 01 0000c03f 00004041 0000000000000000"
)
NODES = ((NODE, 1, 2, 3, 2, 3.5, 12.0, 5), (0x2C9011F2, 0, 0, 0, 1, 4.5, 12.0, 0))
TASK_BYTES = (
    "c4913a5d20880e00 0200 0100 640ad2557c3bf091 da05840000000000 e02e0000 107cf3d901648e2b 00000040 0000c03f"
)
TASK_VALUES = (TASK, 2, 1, 0x91F03B7C55D20A64, 0x8405DA, 0x2B8E6401D9F37C10, 2.0, 1.5)
NOTHING_CLOSED: frozenset[int] = frozenset()

EVENTS: list[tuple[str, str, Any]] = [
    ("members: changes", "02 0300 00 29000000 00", (3, ("changes", NODES, 41))),
    ("members: full", "02 0300 01 29000000 00", (3, ("full", NODES, 41))),
    ("members: cached", "02 0300 02 29000000 00", (3, ("cached", NODES, 41))),
    ("members: failed", "02 0300 03 29000000 00", (3, ("failed", (), 41))),
    ("ask", f"03 0300 {TASK_BYTES} 01", (3, ((*TASK_VALUES, 12_000, False, NOTHING_CLOSED),))),
    (
        "ask, no duration given",
        f"03 0300 {TASK_BYTES} 02",
        (3, ((*TASK_VALUES, None, True, NOTHING_CLOSED),)),
    ),
    ("ask, after a loss", f"03 0300 {TASK_BYTES} 11", (3, ((*TASK_VALUES, 12_000, True, NOTHING_CLOSED),))),
    (
        "already placed",
        f"0b 0300 {TASK_BYTES} 01 074a1203",
        (3, ((*TASK_VALUES, 12_000, False, NOTHING_CLOSED), NODE)),
    ),
    ("seated", "04 0300 c4913a5d20880e00 02 074a1203 e8030000", (3, (TASK, 2, NODE, 1_000))),
    ("lapsed", "06 0300 c4913a5d20880e00", (3, (TASK,))),
    ("due", "07 0300 4d000000", (3, (77,))),
    ("sampled, no load report", "08 0300 074a1203 f401 e8030000 00", (3, (NODE, False, 1_000, ()))),
    (
        "sampled",
        "08 0300 074a1203 c800 e8030000 02 0000003f 00004040",
        (3, (NODE, True, 1_000, (0.5, 3.0))),
    ),
    ("down", "0a 0300", (3, None)),
]
STATUS_KINDS = (1, 2, 3, 4, 5)
STATUS_KIND_NAMES = ["RUNNING", "CORES_USED", "MEMORY_USED", "SERVED_SHARE", "NODE_MEMORY_SHARE"]
REASON_NAMES = [
    "UNTOLD",
    "NO_CORES",
    "NO_MEMORY",
    "QUEUE_FULL",
    "NOT_HERE",
    "EVICTED",
    "PUSHED_OUT",
    "SENT_AWAY",
]
OUTCOMES_BY_STATUS = {
    200: "finished",
    500: "error",
    503: "refused",
    504: "timeout",
    502: "unreachable",
    598: "lost",
    499: "cancelled",
    410: "not_sent",
}
ACTIONS: list[tuple[Any, str]] = [
    (api.Bind(TASK, NODE, 250_000), "41 0300 c4913a5d20880e00 074a1203 90d00300"),
    (api.Shed(TASK, 5_000), "42 0300 c4913a5d20880e00 88130000"),
    (api.Fail(TASK), "43 0300 c4913a5d20880e00"),
    (api.StopAttempt(TASK, 2), "44 0300 c4913a5d20880e00 02"),
    (api.SetTimer(8_653_274, 77), "45 0300 da09840000000000 4d000000"),
    (api.HealthCheck(NODE), "46 0300 074a1203"),
    (api.Log("née"), "49 0300 0400 6ec3a965"),
    (api.WatchNodeList(True), "4b 0300 01"),
    (api.WatchNodeList(False), "4b 0300 00"),
    (api.FetchNodeList(), "4c 0300"),
    (api.Evict(TASK), "4d 0300 c4913a5d20880e00"),
]


def values(item: Any) -> Any:
    """Return a value without field names: dataclasses become tuples, and enums become their numbers."""
    if isinstance(item, Enum):
        return item.value
    if is_dataclass(item) and not isinstance(item, type):
        return tuple(values(getattr(item, field.name)) for field in fields(item))
    return tuple(values(element) for element in item) if isinstance(item, tuple) else item


def frame(*records: bytes) -> bytes:
    """Return a frame of the simulator: length, time, number of records, then the records."""
    body = b"".join(records)
    return struct.pack("<IQI", 16 + len(body), 8_412_250, len(records)) + body


def decoded(*records: str) -> list[Any]:
    """Return the events of one frame, each with the number of its instance."""
    now, events = wire.Decoder().records(frame(*map(bytes.fromhex, records)))
    assert now == 8_412_250
    return list(events)


@pytest.mark.parametrize(("record", "event"), [e[1:] for e in EVENTS], ids=[e[0] for e in EVENTS])
def test_an_event_is_read(record: str, event: Any) -> None:
    (actual,) = decoded(ROWS, record)
    assert values(actual) == event


def test_a_new_instance_is_read() -> None:
    ((instance, new),) = decoded("01 0300 efbeadde00000000 07000000 613d310a623d32")
    assert (instance, new.seed, new.options) == (3, 0xDEADBEEF, "a=1\nb=2")


def test_an_inbox_record_is_ignored() -> None:
    assert decoded("09 0300 01000000 0200 abcd") == []


@pytest.mark.parametrize("kind", STATUS_KINDS)
def test_a_status_update_is_read(kind: int) -> None:
    (actual,) = decoded(f"0c 0300 c4913a5d20880e00 {kind:02x} 02 0000403f 074a1203")
    assert values(actual) == (3, (TASK, 2, NODE, kind, 0.75))


@pytest.mark.parametrize("kind", [0, 6, 255])
def test_a_status_update_of_unknown_kind_is_ignored(kind: int) -> None:
    assert decoded(f"0c 0300 c4913a5d20880e00 {kind:02x} 02 0000403f 074a1203") == []


@pytest.mark.parametrize("status", OUTCOMES_BY_STATUS)
def test_an_outcome_is_read(status: int) -> None:
    code = struct.pack("<H", status).hex()
    (actual,) = decoded(f"05 0300 c4913a5d20880e00 {code} 01 05000000 e8030000 02 074a1203 01 0000003f")
    assert values(actual) == (3, (TASK, 2, NODE, OUTCOMES_BY_STATUS[status], True, 5, 1_000, (0.5,)))


@pytest.mark.parametrize(("reason_code", "reason"), [*((n, n) for n in range(8)), (8, 0), (255, 0)])
def test_an_outcome_s_reason_is_read(reason_code: int, reason: int) -> None:
    (actual,) = decoded(f"05 0300 c4913a5d20880e00 c800 00 {reason_code:02x}000000 e8030000 02 074a1203 00")
    assert values(actual) == (3, (TASK, 2, NODE, "finished", False, reason, 1_000, ()))


@pytest.mark.parametrize("code", [0, 14, 64, 65, 255])
def test_an_unknown_event_code_is_an_error(code: int) -> None:
    with pytest.raises(wire.WireError, match=f"unknown event code {code} in record 0 at byte 16"):
        decoded(f"{code:02x} 0300")


@pytest.mark.parametrize("status", [0, 201, 404])
def test_an_unknown_status_is_an_error(status: int) -> None:
    code = struct.pack("<H", status).hex()
    with pytest.raises(wire.WireError, match=f"unknown status {status}"):
        decoded(f"05 0300 c4913a5d20880e00 {code} 01 05000000 e8030000 02 074a1203 00")


@pytest.mark.parametrize(("action", "record"), ACTIONS, ids=[record[:2] for _, record in ACTIONS])
def test_an_action_is_written(action: Any, record: str) -> None:
    assert wire.encode(3, action).hex() == record.replace(" ", "")


def test_a_broken_instance_is_written() -> None:
    assert wire.encode_broken(3, "why").hex() == "4a030003" + "00776879"


def test_a_reply_is_its_length_and_its_records() -> None:
    assert wire.reply([bytes.fromhex("4c0300"), bytes.fromhex("4b030001")]).hex() == "0b0000004c03004b030001"
    assert wire.reply([]).hex() == "04000000"


def test_the_enum_values_are_unchanged() -> None:
    """The simulator sends node states, reasons of a failure and kinds of a status update as numbers."""
    assert {status.name: status.value for status in api.NodeStatus} == {"GONE": 0, "DRAINING": 1, "READY": 2}
    assert [reason.name for reason in sorted(api.Reason)] == REASON_NAMES
    assert [kind.name for kind in sorted(api.StatusKind)] == STATUS_KIND_NAMES
