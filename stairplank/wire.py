"""Codec of the simulator's wire: frames, records and settings. It translates and decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from typing import Any, BinaryIO

from . import interface as api


class WireError(Exception):
    """The input is malformed; the text names what and where."""


EVENT_HEADER = struct.Struct("<IQI")
REPLY_HEADER = struct.Struct("<I")
ENTRY = struct.Struct("<IfBBHBffQ")
_MEMBERS = struct.Struct("<HBIB")
_ASK = struct.Struct("<HQHHQQIQffB")
_SEATED = struct.Struct("<HQBII")
_NOTICE = struct.Struct("<HQBBfI")
_DONE = struct.Struct("<HQHBIIBI")
_SAMPLED = struct.Struct("<HIHI")

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
_SCOPES = {
    "none": api.Scope.NONE,
    "machine": api.Scope.NODE,
    "cell": api.Scope.GROUP,
    "zone": api.Scope.ZONE,
    "all": api.Scope.ALL,
}
_EFFECTS = {
    "repeatable": api.Effect.IDEMPOTENT,
    "by_key": api.Effect.IDEMPOTENT_BY_KEY,
    "once": api.Effect.AT_MOST_ONCE,
}
_FIELDS = {"utilization": "util", "backlog": "queue", "x0": "free_cores", "x1": "free_memory"}


class Reader:
    """Reads fields of one frame in order, with plain errors."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data = data
        self.at = at

    def take(self, fmt: struct.Struct, what: str) -> tuple[Any, ...]:
        return fmt.unpack(self.raw(fmt.size, what))

    def raw(self, n: int, what: str) -> bytes:
        end = self.at + n
        if end > len(self.data):
            size = len(self.data)
            raise WireError(f"{what} at byte {self.at} runs past the end of the frame ({size} bytes)")
        out = self.data[self.at : end]
        self.at = end
        return out


_U8 = struct.Struct("<B")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_START = struct.Struct("<HQI")
_ID = struct.Struct("<HQ")
_DUE = struct.Struct("<HI")
_INBOX = struct.Struct("<HIH")


def read_frame(stream: BinaryIO) -> bytes | None:
    """One whole frame, or None at the end of input between frames."""
    head = stream.read(4)
    if not head:
        return None
    if len(head) < 4:
        raise WireError(f"frame length cut off after {len(head)} bytes")
    (size,) = REPLY_HEADER.unpack(head)
    if size < EVENT_HEADER.size:
        raise WireError(f"impossible frame length {size}: the header alone has {EVENT_HEADER.size} bytes")
    parts = [head]
    have = 4
    while have < size:
        chunk = stream.read(min(size - have, 1 << 20))
        if not chunk:
            raise WireError(f"frame cut off after {have} of {size} bytes")
        parts.append(chunk)
        have += len(chunk)
    return b"".join(parts)


def entry_from(row: tuple) -> api.NodeEntry:
    node, cores, zone, kind, group, state, _share, memory, launched = row
    try:
        status = api.NodeStatus(state)
    except ValueError:
        raise WireError(f"node {node}: unknown state {state}") from None
    return api.NodeEntry(node, zone, kind, group, status, cores, memory, launched)


def _task(v: tuple) -> api.Task:
    _, mid, cls, tenant, key, expires, life, service, cores, memory, flags = v
    hint = life if flags & 1 and life else None
    return api.Task(mid, cls, tenant, key, expires, service, cores, memory, hint, bool(flags & 18))


def _report(r: Reader, what: str) -> tuple[float, ...]:
    (n,) = r.take(_U8, what)
    return struct.unpack(f"<{n}f", r.raw(4 * n, what)) if n else ()


class Decoder:
    """Turns frames into (instance, event) pairs; keeps the numbered lists, which belong to no instance.

    ``event`` is an interface event, a settings text with a seed (a new instance), or None (killed).
    """

    def __init__(self) -> None:
        self.lists: dict[int, tuple[api.NodeEntry, ...]] = {}

    def records(self, frame: bytes) -> tuple[int, Iterator[tuple[int, object]]]:
        r = Reader(frame)
        size, now, count = r.take(EVENT_HEADER, "frame header")
        if size != len(frame):
            raise WireError(f"frame length {size} does not match its {len(frame)} bytes")
        return now, self._each(r, count)

    def _each(self, r: Reader, count: int) -> Iterator[tuple[int, object]]:
        for index in range(count):
            start = r.at
            (code,) = r.take(_U8, f"record {index}")
            read = _READERS.get(code)
            if read is None:
                raise WireError(f"unknown event code {code} in record {index} at byte {start}")
            got = read(self, r)
            if got is not None:
                yield got
        if r.at != len(r.data):
            raise WireError(f"{len(r.data) - r.at} bytes left over after {count} records at byte {r.at}")

    def _new(self, r: Reader) -> tuple[int, object]:
        i, seed, n = r.take(_START, "NewInstance")
        return i, NewInstance(seed, r.raw(n, "NewInstance options").decode("utf-8", "replace"))

    def _down(self, r: Reader) -> tuple[int, object]:
        return r.take(_U16, "Down")[0], None

    def _register(self, r: Reader) -> None:
        (number,) = r.take(_U8, "Register")
        (n,) = r.take(_U32, "Register")
        rows = r.raw(n * ENTRY.size, "Register rows")
        self.lists[number] = tuple(entry_from(row) for row in ENTRY.iter_unpack(rows))

    def _members(self, r: Reader) -> tuple[int, object]:
        at = r.at - 1
        i, how, revision, number = r.take(_MEMBERS, "Members")
        if how >= len(_LIST_KINDS):
            raise WireError(f"Members at byte {at}: unknown kind {how}")
        kind = _LIST_KINDS[how]
        if kind is api.ListKind.FAILED:
            return i, api.NodeList(kind, (), revision)
        if number not in self.lists:
            raise WireError(f"Members at byte {at}: list {number} was never set")
        return i, api.NodeList(kind, self.lists[number], revision)

    def _ask(self, r: Reader) -> tuple[int, object]:
        v = r.take(_ASK, "Ask")
        return v[0], api.TaskRequested(_task(v))

    def _adopted(self, r: Reader) -> tuple[int, object]:
        v = r.take(_ASK, "AlreadyPlaced")
        (node,) = r.take(_U32, "AlreadyPlaced")
        return v[0], api.TaskAdopted(_task(v), node)

    def _seated(self, r: Reader) -> tuple[int, object]:
        i, mid, shot, node, latency = r.take(_SEATED, "Seated")
        return i, api.Placed(mid, shot, node, latency)

    def _notice(self, r: Reader) -> tuple[int, object] | None:
        i, mid, sort, shot, level, node = r.take(_NOTICE, "Notice")
        if not 1 <= sort <= 5:
            return None  # kinds may be added
        return i, api.StatusUpdate(mid, shot, node, api.StatusKind(sort), level)

    def _done(self, r: Reader) -> tuple[int, object]:
        at = r.at - 1
        i, mid, status, last, remark, latency, shot, node = r.take(_DONE, "Done")
        load = _report(r, "Done load")
        if status not in _RESULTS:
            raise WireError(f"Done at byte {at}: unknown status {status}")
        reason = api.Reason(remark) if remark <= 7 else api.Reason.UNTOLD
        return i, api.Outcome(mid, shot, node, _RESULTS[status], bool(last), reason, latency, load)

    def _lapsed(self, r: Reader) -> tuple[int, object]:
        i, mid = r.take(_ID, "Lapsed")
        return i, api.TaskCancelled(mid)

    def _due(self, r: Reader) -> tuple[int, object]:
        i, token = r.take(_DUE, "Due")
        return i, api.TimerFired(token)

    def _sampled(self, r: Reader) -> tuple[int, object]:
        i, node, status, latency = r.take(_SAMPLED, "Sampled")
        return i, api.HealthChecked(node, status == 200, latency, _report(r, "Sampled load"))

    def _inbox(self, r: Reader) -> None:
        _, _, n = r.take(_INBOX, "Inbox")
        r.raw(n, "Inbox bytes")


class NewInstance:
    """A planner starts with this seed and these settings."""

    def __init__(self, seed: int, options: str) -> None:
        self.seed = seed
        self.options = options


_READERS = {
    1: Decoder._new,
    2: Decoder._members,
    3: Decoder._ask,
    4: Decoder._seated,
    5: Decoder._done,
    6: Decoder._lapsed,
    7: Decoder._due,
    8: Decoder._sampled,
    9: Decoder._inbox,
    10: Decoder._down,
    11: Decoder._adopted,
    12: Decoder._notice,
    13: Decoder._register,
}

_OFFER = struct.Struct("<BHQII")
_REFUSE = struct.Struct("<BHQI")
_FAIL = struct.Struct("<BHQ")
_STOP = struct.Struct("<BHQB")
_TIMER = struct.Struct("<BHQI")
_PROBE = struct.Struct("<BHI")
_WATCH = struct.Struct("<BHB")
_FETCH = struct.Struct("<BH")
_TEXT = struct.Struct("<BHH")


def _text(code: int, i: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:65535]
    return _TEXT.pack(code, i, len(raw)) + raw


def encode(i: int, action: api.Action) -> bytes:
    """One action of instance ``i`` as a record."""
    match action:
        case api.Bind(task, node, timeout):
            return _OFFER.pack(65, i, task, node, timeout)
        case api.Shed(task, after):
            return _REFUSE.pack(66, i, task, after)
        case api.Fail(task):
            return _FAIL.pack(67, i, task)
        case api.StopAttempt(task, attempt):
            return _STOP.pack(68, i, task, attempt)
        case api.SetTimer(at, token):
            return _TIMER.pack(69, i, at, token)
        case api.HealthCheck(node):
            return _PROBE.pack(70, i, node)
        case api.Log(text):
            return _text(73, i, text)
        case api.WatchNodeList(active):
            return _WATCH.pack(75, i, active)
        case api.FetchNodeList():
            return _FETCH.pack(76, i)
        case api.Evict(task):
            return _FAIL.pack(77, i, task)
    raise TypeError(f"not an action: {action!r}")


def encode_broken(i: int, text: str) -> bytes:
    return _text(74, i, text)


def reply(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body)) + body


def flattened(nested: Mapping[str, Any]) -> dict[str, str]:
    """Nested settings as the paths and values of the settings text."""
    out: dict[str, str] = {}

    def plain(value: Any) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value).replace(" ", "_").replace(",", "_")

    def walk(path: str, value: Any) -> None:
        if isinstance(value, Mapping):
            for key, inner in value.items():
                walk(f"{path}.{key}" if path else str(key), inner)
        elif isinstance(value, (list, tuple)) and any(isinstance(item, Mapping) for item in value):
            out[f"{path}.count"] = str(len(value))
            for i, item in enumerate(value):
                walk(f"{path}.{i}", item)
        elif isinstance(value, (list, tuple)):
            out[path] = ",".join(plain(item) for item in value)
        else:
            out[path] = plain(value)

    walk("", nested)
    return out


class Options:
    """The settings text as typed look-ups; a missing or unreadable required key is named in the error."""

    def __init__(self, source: str | Mapping[str, str]) -> None:
        if isinstance(source, str):
            source = dict(line.split("=", 1) for line in source.splitlines() if "=" in line)
        self.values = source

    def _read(self, key: str, convert: Callable[[str], Any], default: Any) -> Any:
        raw = self.values.get(key)
        if raw is None or raw == "":
            if default is None:
                raise ValueError(f"settings: required key {key} is {'missing' if raw is None else 'empty'}")
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError):
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}") from None

    def whole(self, key: str, default: int | None = None) -> int:
        return self._read(key, lambda raw: int(float(raw)), default)

    def number(self, key: str, default: float | None = None) -> float:
        return self._read(key, float, default)

    def flag(self, key: str, default: bool = False) -> bool:
        return self._read(key, lambda raw: {"true": True, "false": False}[raw.lower()], default)

    def text(self, key: str, default: str | None = None) -> str:
        return self._read(key, str, default)

    def choice(self, key: str, names: Mapping[str, Any], default: str | None = None) -> Any:
        raw = self.text(key, default)
        if raw not in names:
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}")
        return names[raw]

    def items(
        self, key: str, convert: Callable[[str], Any], size: int | None = None, default: Any = None
    ) -> tuple[Any, ...]:
        raw = self.values.get(key, "")
        if raw == "" and default is not None:
            return (default,) * (size or 0)
        try:
            out = tuple(convert(x) for x in raw.split(",") if x != "")
        except (ValueError, KeyError):
            raise ValueError(f"settings: key {key} has an unreadable value {raw!r}") from None
        if size is not None and len(out) != size:
            raise ValueError(f"settings: key {key} has {len(out)} values, not {size}: {raw!r}")
        return out


def settings_from(source: str | Options) -> api.Settings:
    """The settings of an instance, from their text or read already; keys that are not known are passed
    over."""
    o = source if isinstance(source, Options) else Options(source)
    n = o.whole("classes.count")
    spread = o.items("family_info.spread_by", _SCOPES.__getitem__, n, api.Scope.NONE)
    most = o.items("family_info.class_most", lambda x: int(float(x)), n, 0)
    start = o.items("family_info.class_start_s", float, n, 0.0)
    kind = o.items("family_info.class_kind", lambda x: int(float(x)), n, -1)
    priority = o.items("family_info.priority_by_class", lambda x: int(float(x)), n, 0)
    calm = o.items("family_info.easy_until", float, n, 1.0)
    lost = o.items("family_info.lost_after", float, n, 1.0)
    classes = []
    for c in range(n):
        p = f"classes.{c}."
        effect = o.choice(p + "effect", _EFFECTS)
        classes.append(
            api.TaskClass(
                name=o.text(p + "name", str(c)),
                effect=effect,
                dedup_scope=o.choice(p + "dedup_scope", _SCOPES, "all"),
                dedup_window_us=o.whole(
                    p + "window_us", None if effect is api.Effect.IDEMPOTENT_BY_KEY else 0
                ),
                latency_objective_us=o.whole(p + "promise_us"),
                deadline_us=o.whole(p + "deadline_us"),
                priority_weight=o.number(p + "worth", 1.0),
                late_start_weight=o.number(p + "late_worth", 0.0),
                start_bonus_s=start[c],
                spread=spread[c],
                max_per_place=most[c],
                node_type=kind[c] if kind[c] >= 0 else None,
                priority=priority[c],
                full_service_utilization=calm[c],
                service_loss_range=lost[c],
            )
        )
    kinds = o.items("kinds", str)
    cores = o.items("family_info.size_cores", float, len(kinds))
    memory = o.items("family_info.mem_of_kind", float, len(kinds))
    parties = o.whole("parties.count", 0)
    return api.Settings(
        planners=o.whole("group_size"),
        position=o.whole("position"),
        zone=o.whole("zone", 0),
        classes=tuple(classes),
        node_types=tuple(api.NodeType(*k) for k in zip(kinds, cores, memory, strict=True)),
        mean_cores=o.number("family_info.unit_cores"),
        mean_memory=o.number("family_info.unit_memory"),
        cores_limit=o.number("family_info.accepts_cores"),
        memory_limit=o.number("family_info.mem_booking"),
        confirms_running=o.text("family_info.confirms", "running") == "running",
        preempts=o.flag("family_info.preempts"),
        max_attempts=o.whole("limits.max_attempts"),
        answer_slack_us=o.whole("contract.answer_slack_us"),
        drain_grace_us=o.whole("contract.drain_grace_us"),
        slow_start_share=o.number("contract.cold_from"),
        slow_start_us=o.whole("contract.ramp_time_us"),
        overload_multiple=o.number("contract.fall_multiple"),
        overload_window_us=o.whole("contract.fall_us"),
        slow_start_offers=o.number("family_info.fresh_offers", 0.0),
        polls_node_list=o.text("registry_mode") == "ask",
        poll_within_us=o.whole("contract.ask_within_us", 0),
        tick_us=o.whole("quantum_us", 1),
        lists_free_capacity=o.flag("family_info.shows_free"),
        may_check_health=o.flag("limits.probes"),
        may_cancel=o.flag("limits.may_cancel"),
        max_retry_after_us=o.whole("limits.max_retry_after_us", 0) if o.flag("limits.retry_after") else 0,
        client_wait_us=o.whole("family_info.owner_wait_us", 0),
        report_fields=o.items("report.fields", lambda name: _FIELDS.get(name, name)),
        reports_in_answers=o.text("report.via", "none") == "answers",
        tenant_share=tuple(o.number(f"parties.{t}.portion", 0.0) for t in range(parties)),
        tenant_quota_cores=o.items("family_info.quota_cores", float),
        over_quota_weight=o.number("over_share_worth", 1.0),
        price_fleet=o.number("penalties.fleet", 0.0),
        price_migration=o.number("penalties.moves", 0.0),
        price_waste=o.number("penalties.waste", 0.0),
        price_health_check=o.number("penalties.probe", 0.0),
        price_list=o.number("penalties.registry_mode", 0.0),
        price_rejection=o.number("family_info.turned_down_price", 0.0),
    )
