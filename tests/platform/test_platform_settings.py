"""Other customers' settings: what the file may contain, and what it may leave out or have wrong."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from desk import Desk, name, set_up
from platform_config import CONFIG

from stairplank.platform import config, validation
from stairplank.platform import events as ev
from stairplank.platform.core import Core
from stairplank.platform.messages import Kind
from stairplank.platform.node_list import NodeList

ABSENT = object()
VALUES: list[Any] = [ABSENT, None, 0, -1, 1, 10**18, 1e308, float("nan"), "", "x", [], {}, True]


def leaves(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    if path:
        yield path
    for key in value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ():
        yield from leaves(value[key], (*path, key))


def with_value(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    out = copy.deepcopy(value)
    at = out
    for key in path[:-1]:
        at = at[key]
    if new is ABSENT:
        del at[path[-1]]
    else:
        at[path[-1]] = new
    return out


def serves(c: config.Config) -> None:
    """A moment of a day: two machines, a few tasks of each class, time passes."""
    priced = c.handshake_price > 0
    core = Core(c.settings, c.fields, c.seed, c.sockets, c.dial_timeout_us, priced, c.idle_us, c.tenants)
    node_list = NodeList(c.zones, tuple(k.name for k in c.settings.node_types), lambda: (10**15, 10**9))
    rows = [
        {"host": f"s-{n}", "dial": f"127.8.1.{n}:1", "site": "hall 1", "class": "node-32", "block": 1}
        | {"health": "SERVING", "born_ms": 0, "spare": [30.0, 90.0]}
        for n in (1, 2)
    ]
    update, _ = node_list.apply({"rev": 1, "pool": {"whole": True, "hosts": rows}})
    assert update is not None
    now = 10**9
    actions = core.start(now, [update])
    actions += core.handle(now, [ev.ClientConnected(1, "c")])
    for number, sort in enumerate(c.settings.classes, 1):
        message = set_up(number, sort.name, idem="5c0f6e1a2b3d4c59a8b7c6d5e4f30211", left="900")
        actions += core.handle(now, [ev.ClientMessage(1, message)])
    owed = [a.message.id for a in actions if isinstance(a, ev.SendToClient)]
    for _ in range(12):
        now += 100_000
        actions = core.handle(now, [ev.TimerDue()])
        actions += core.handle(now, [ev.LinkUp(a.link) for a in actions if isinstance(a, ev.Dial)])
        owed += [a.message.id for a in actions if isinstance(a, ev.SendToClient)]
    assert set(owed) == {name(n) for n in range(1, len(c.settings.classes) + 1)}


@pytest.mark.parametrize("path", list(leaves(CONFIG)), ids=lambda path: ".".join(map(str, path)))
def test_a_file_is_used_or_rejected_with_its_reason(tmp_path: Path, path: tuple[Any, ...]) -> None:
    """Each field in turn absent, zero, huge, of another kind: nothing else than these two comes of it."""
    file = tmp_path / "config.json"
    loaded = 0
    for new in VALUES:
        file.write_text(json.dumps(with_value(CONFIG, path, new)))
        try:
            got = config.load(str(file))
        except config.ConfigError as error:
            assert str(error)
            continue
        loaded += 1
        serves(got)
    if path[0] in ("name", "seed"):
        assert loaded


def test_tasks_count_for_the_tenant_that_they_name() -> None:
    desk = Desk(tenants=("casa", "rua"), tenant_share=(0.6, 0.4), tenant_quota_cores=(9.0, 6.0))
    conn = desk.owner()
    seen: list[int] = []
    take = desk.core.module.handle

    def handle(now: int, event: Any) -> Any:
        if hasattr(event, "task") and hasattr(event.task, "tenant"):
            seen.append(event.task.tenant)
        return take(now, event)

    desk.core.module.handle = handle  # type: ignore[method-assign]
    desk.ask(conn, 1, tenant="casa")
    desk.ask(conn, 2, tenant="rua")
    desk.ask(conn, 3)
    desk.ask(conn, 4, at="s-00000001", tenant="rua")
    desk.ask(conn, 5, tenant="nobody")
    assert seen == [0, 1, 0, 1]
    assert [w[1:] for w in desk.replies(5)] == [(Kind.RELEASE, 100)]


def test_where_there_are_no_tenants_none_is_looked_for() -> None:
    assert validation.validate_request(set_up(1, tenant="casa"), "c", Desk().settings).tenant == 0
