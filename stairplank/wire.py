"""Codec of the simulator's wire protocol: converts frames and records to events, and actions to records."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any, BinaryIO

from . import interface as api


class WireError(Exception):
    """Raised for malformed input; the message names the fault and its position."""


class ActionCode(IntEnum):
    """Type code of a record that the host sends; it is the first byte of the record."""

    BIND = 65
    SHED = 66
    FAIL = 67
    STOP_ATTEMPT = 68
    SET_TIMER = 69
    HEALTH_CHECK = 70
    LOG = 73
    BROKEN = 74
    WATCH_NODE_LIST = 75
    FETCH_NODE_LIST = 76
    EVICT = 77


EVENT_HEADER = struct.Struct("<IQI")
REPLY_HEADER = struct.Struct("<I")
ENTRY = struct.Struct("<IfBBHBffQ")

_U8 = struct.Struct("<B")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")

_NEW_INSTANCE = struct.Struct("<HQI")
_NODE_LIST = struct.Struct("<HBIB")
_TASK = struct.Struct("<HQHHQQIQffB")
_PLACED = struct.Struct("<HQBII")
_OUTCOME = struct.Struct("<HQHBIIBI")
_CANCELLED = struct.Struct("<HQ")
_TIMER_FIRED = struct.Struct("<HI")
_HEALTH_CHECKED = struct.Struct("<HIHI")
_INBOX = struct.Struct("<HIH")
_STATUS_UPDATE = struct.Struct("<HQBBfI")

_BIND = struct.Struct("<BHQII")
_SHED = struct.Struct("<BHQI")
_TASK_ID = struct.Struct("<BHQ")
_STOP_ATTEMPT = struct.Struct("<BHQB")
_SET_TIMER = struct.Struct("<BHQI")
_HEALTH_CHECK = struct.Struct("<BHI")
_WATCH_NODE_LIST = struct.Struct("<BHB")
_FETCH_NODE_LIST = struct.Struct("<BH")
_TEXT = struct.Struct("<BHH")

_LIST_KINDS = (api.ListKind.CHANGES, api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED)
_RESULTS = {
    200: api.Result.FINISHED,
    500: api.Result.ERROR,
    503: api.Result.REJECTED,
    504: api.Result.TIMEOUT,
    502: api.Result.UNREACHABLE,
    598: api.Result.LOST,
    499: api.Result.CANCELLED,
    410: api.Result.NOT_SENT,
}
_CHECK_PASSED = 200  # status code of a successful health check
_HAS_DURATION = 1  # bit in a task's flags: the duration field is set
_RESUBMITTED = 2 | 16  # bits in a task's flags: submitted again after a rejection, failure, migration or loss
_LAST_REASON = 7  # highest known reason code; newer simulators may send higher ones
_STATUS_KINDS = range(1, 6)
_MAX_TEXT_BYTES = 65535
_CHUNK_BYTES = 1 << 20  # largest single read from the stream


class Reader:
    """Reads the fields of one frame in order; raises a WireError if the frame ends too early."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        """Start reading ``data`` at byte offset ``at``."""
        self.data = data
        self.at = at

    def take(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        """Return the next fields, unpacked by ``layout``; ``what`` names them in an error message."""
        return layout.unpack(self.raw(layout.size, what))

    def raw(self, size: int, what: str) -> bytes:
        """Return the next ``size`` bytes; ``what`` names them in an error message."""
        end = self.at + size
        if end > len(self.data):
            have = len(self.data)
            raise WireError(f"{what} at byte {self.at} runs past the end of the frame ({have} bytes)")
        out = self.data[self.at : end]
        self.at = end
        return out


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return one complete frame, or None at the end of input.

    Raises a WireError if the input ends within a frame or its length is impossible.
    """
    head = stream.read(REPLY_HEADER.size)
    if not head:
        return None
    if len(head) < REPLY_HEADER.size:
        raise WireError(f"frame length cut off after {len(head)} bytes")
    (size,) = REPLY_HEADER.unpack(head)
    if size < EVENT_HEADER.size:
        raise WireError(f"impossible frame length {size}: the header alone has {EVENT_HEADER.size} bytes")
    chunks = [head]
    have = len(head)
    while have < size:
        chunk = stream.read(min(size - have, _CHUNK_BYTES))
        if not chunk:
            raise WireError(f"frame cut off after {have} of {size} bytes")
        chunks.append(chunk)
        have += len(chunk)
    return b"".join(chunks)


def entry_from(row: tuple[Any, ...]) -> api.NodeEntry:
    """Convert the unpacked fields of a node list entry."""
    node, cores, zone, node_type, group, state, _share, memory, started_us = row
    try:
        status = api.NodeStatus(state)
    except ValueError:
        raise WireError(f"node {node}: unknown state {state}") from None
    return api.NodeEntry(node, zone, node_type, group, status, cores, memory, started_us)


def _task(fields: tuple[Any, ...]) -> api.Task:
    _, task_id, class_index, tenant, key, expires_us, duration, service, cores, memory, flags = fields
    expected = duration if flags & _HAS_DURATION and duration else None
    resubmitted = bool(flags & _RESUBMITTED)
    return api.Task(
        task_id, class_index, tenant, key, expires_us, service, cores, memory, expected, resubmitted
    )


def _report(reader: Reader, what: str) -> tuple[float, ...]:
    (count,) = reader.take(_U8, what)
    return struct.unpack(f"<{count}f", reader.raw(4 * count, what)) if count else ()


class NewInstance:
    """The record that starts a planner instance with a seed and a settings text."""

    def __init__(self, seed: int, options: str) -> None:
        """Store the seed and the unparsed settings text."""
        self.seed = seed
        self.options = options


class Decoder:
    """Decodes frames to (instance, event) pairs and stores the numbered node lists that instances share.

    ``event`` is an ``api.Event``, a ``NewInstance``, or None if the instance was killed.
    """

    def __init__(self) -> None:
        """Start without node lists."""
        self.lists: dict[int, tuple[api.NodeEntry, ...]] = {}
        self._record_decoders: dict[int, Callable[[Reader], tuple[int, object] | None]] = {
            1: self._new_instance,
            2: self._node_list,
            3: self._task_requested,
            4: self._placed,
            5: self._outcome,
            6: self._task_cancelled,
            7: self._timer_fired,
            8: self._health_checked,
            9: self._inbox,
            10: self._down,
            11: self._task_adopted,
            12: self._status_update,
            13: self._register,
        }

    def records(self, frame: bytes) -> tuple[int, Iterator[tuple[int, object]]]:
        """Return the time of a frame and its events in order. Raises a WireError if it is malformed."""
        reader = Reader(frame)
        size, now, count = reader.take(EVENT_HEADER, "frame header")
        if size != len(frame):
            raise WireError(f"frame length {size} does not match its {len(frame)} bytes")
        return now, self._decode_records(reader, count)

    def _decode_records(self, reader: Reader, count: int) -> Iterator[tuple[int, object]]:
        for index in range(count):
            start = reader.at
            (code,) = reader.take(_U8, f"record {index}")
            decode = self._record_decoders.get(code)
            if decode is None:
                raise WireError(f"unknown event code {code} in record {index} at byte {start}")
            event = decode(reader)
            if event is not None:
                yield event
        remaining = len(reader.data) - reader.at
        if remaining:
            raise WireError(f"{remaining} bytes left over after {count} records at byte {reader.at}")

    def _new_instance(self, reader: Reader) -> tuple[int, object]:
        instance, seed, size = reader.take(_NEW_INSTANCE, "NewInstance")
        options = reader.raw(size, "NewInstance options").decode("utf-8", "replace")
        return instance, NewInstance(seed, options)

    def _down(self, reader: Reader) -> tuple[int, object]:
        return reader.take(_U16, "Down")[0], None

    def _register(self, reader: Reader) -> None:
        (number,) = reader.take(_U8, "Register")
        (count,) = reader.take(_U32, "Register")
        rows = reader.raw(count * ENTRY.size, "Register rows")
        self.lists[number] = tuple(entry_from(row) for row in ENTRY.iter_unpack(rows))

    def _node_list(self, reader: Reader) -> tuple[int, object]:
        at = reader.at - 1
        instance, kind_code, revision, number = reader.take(_NODE_LIST, "Members")
        if kind_code >= len(_LIST_KINDS):
            raise WireError(f"Members at byte {at}: unknown kind {kind_code}")
        kind = _LIST_KINDS[kind_code]
        if kind is api.ListKind.FAILED:
            return instance, api.NodeList(kind, (), revision)
        if number not in self.lists:
            raise WireError(f"Members at byte {at}: list {number} was never set")
        return instance, api.NodeList(kind, self.lists[number], revision)

    def _task_requested(self, reader: Reader) -> tuple[int, object]:
        fields = reader.take(_TASK, "Ask")
        return fields[0], api.TaskRequested(_task(fields))

    def _task_adopted(self, reader: Reader) -> tuple[int, object]:
        fields = reader.take(_TASK, "AlreadyPlaced")
        (node,) = reader.take(_U32, "AlreadyPlaced")
        return fields[0], api.TaskAdopted(_task(fields), node)

    def _placed(self, reader: Reader) -> tuple[int, object]:
        instance, task, attempt, node, latency_us = reader.take(_PLACED, "Seated")
        return instance, api.Placed(task, attempt, node, latency_us)

    def _status_update(self, reader: Reader) -> tuple[int, object] | None:
        instance, task, kind, attempt, level, node = reader.take(_STATUS_UPDATE, "Notice")
        if kind not in _STATUS_KINDS:
            return None  # newer simulators may send kinds that are unknown here
        return instance, api.StatusUpdate(task, attempt, node, api.StatusKind(kind), level)

    def _outcome(self, reader: Reader) -> tuple[int, object]:
        at = reader.at - 1
        fields = reader.take(_OUTCOME, "Done")
        instance, task, status, is_final, reason_code, latency_us, attempt, node = fields
        report = _report(reader, "Done load")
        if status not in _RESULTS:
            raise WireError(f"Done at byte {at}: unknown status {status}")
        reason = api.Reason(reason_code) if reason_code <= _LAST_REASON else api.Reason.UNTOLD
        result = _RESULTS[status]
        event = api.Outcome(task, attempt, node, result, bool(is_final), reason, latency_us, report)
        return instance, event

    def _task_cancelled(self, reader: Reader) -> tuple[int, object]:
        instance, task = reader.take(_CANCELLED, "Lapsed")
        return instance, api.TaskCancelled(task)

    def _timer_fired(self, reader: Reader) -> tuple[int, object]:
        instance, token = reader.take(_TIMER_FIRED, "Due")
        return instance, api.TimerFired(token)

    def _health_checked(self, reader: Reader) -> tuple[int, object]:
        instance, node, status, latency_us = reader.take(_HEALTH_CHECKED, "Sampled")
        report = _report(reader, "Sampled load")
        return instance, api.HealthChecked(node, status == _CHECK_PASSED, latency_us, report)

    def _inbox(self, reader: Reader) -> None:
        _, _, size = reader.take(_INBOX, "Inbox")
        reader.raw(size, "Inbox bytes")


def encode(instance: int, action: api.Action) -> bytes:
    """Encode one action of an instance as a record."""
    match action:
        case api.Bind(task, node, timeout_us):
            return _BIND.pack(ActionCode.BIND, instance, task, node, timeout_us)
        case api.Shed(task, retry_after_us):
            return _SHED.pack(ActionCode.SHED, instance, task, retry_after_us)
        case api.Fail(task):
            return _TASK_ID.pack(ActionCode.FAIL, instance, task)
        case api.StopAttempt(task, attempt):
            return _STOP_ATTEMPT.pack(ActionCode.STOP_ATTEMPT, instance, task, attempt)
        case api.Evict(task):
            return _TASK_ID.pack(ActionCode.EVICT, instance, task)
        case api.SetTimer(at_us, token):
            return _SET_TIMER.pack(ActionCode.SET_TIMER, instance, at_us, token)
        case api.Log(text):
            return _text(ActionCode.LOG, instance, text)
        case _:
            return _encode_node_action(instance, action)


def _encode_node_action(
    instance: int, action: api.HealthCheck | api.WatchNodeList | api.FetchNodeList
) -> bytes:
    match action:
        case api.HealthCheck(node):
            return _HEALTH_CHECK.pack(ActionCode.HEALTH_CHECK, instance, node)
        case api.WatchNodeList(active):
            return _WATCH_NODE_LIST.pack(ActionCode.WATCH_NODE_LIST, instance, active)
        case api.FetchNodeList():
            return _FETCH_NODE_LIST.pack(ActionCode.FETCH_NODE_LIST, instance)
    raise TypeError(f"not an action: {action!r}")


def encode_broken(instance: int, text: str) -> bytes:
    """Encode the record that reports that an instance ended with an exception."""
    return _text(ActionCode.BROKEN, instance, text)


def reply(records: list[bytes]) -> bytes:
    """Build the reply frame from the records of its actions."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body)) + body


def _text(code: ActionCode, instance: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(raw)) + raw
