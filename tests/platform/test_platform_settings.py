"""Configuration files with missing, wrong or unusual values, and settings with tenants."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from core_harness import CoreHarness, placement_request, task_id
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
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    if new is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = new
    return changed


def assert_every_task_is_answered(c: config.Config) -> None:
    """Run a core with this configuration, two machines and a task of each class for 1.2 s of its time."""
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
    for number, task_class in enumerate(c.settings.classes, 1):
        message = placement_request(
            number, task_class.name, idem="5c0f6e1a2b3d4c59a8b7c6d5e4f30211", left="900"
        )
        actions += core.handle(now, [ev.ClientMessage(1, message)])
    answered = [a.message.id for a in actions if isinstance(a, ev.SendToClient)]
    for _ in range(12):
        now += 100_000
        actions = core.handle(now, [ev.TimerDue()])
        actions += core.handle(now, [ev.LinkUp(a.link) for a in actions if isinstance(a, ev.Dial)])
        answered += [a.message.id for a in actions if isinstance(a, ev.SendToClient)]
    assert set(answered) == {task_id(n) for n in range(1, len(c.settings.classes) + 1)}


@pytest.mark.parametrize("path", list(leaves(CONFIG)), ids=lambda path: ".".join(map(str, path)))
def test_a_file_is_used_or_rejected_with_its_reason(tmp_path: Path, path: tuple[Any, ...]) -> None:
    """Each field in turn is absent, zero, huge or of another type: the file is rejected or served."""
    file = tmp_path / "config.json"
    loaded = 0
    for new in VALUES:
        file.write_text(json.dumps(with_value(CONFIG, path, new)))
        try:
            loaded_config = config.load(str(file))
        except config.ConfigError as error:
            assert str(error)
            continue
        loaded += 1
        assert_every_task_is_answered(loaded_config)
    if path[0] in ("name", "seed"):
        assert loaded


def test_a_task_is_assigned_to_the_tenant_that_it_names() -> None:
    harness = CoreHarness(tenants=("casa", "rua"), tenant_share=(0.6, 0.4), tenant_quota_cores=(9.0, 6.0))
    conn = harness.add_client()
    tenants_seen: list[int] = []
    original_handle = harness.core.module.handle

    def handle(now: int, event: Any) -> Any:
        if hasattr(event, "task") and hasattr(event.task, "tenant"):
            tenants_seen.append(event.task.tenant)
        return original_handle(now, event)

    harness.core.module.handle = handle  # type: ignore[method-assign]
    harness.request_placement(conn, 1, tenant="casa")
    harness.request_placement(conn, 2, tenant="rua")
    harness.request_placement(conn, 3)
    harness.request_placement(conn, 4, at="s-00000001", tenant="rua")
    harness.request_placement(conn, 5, tenant="nobody")
    assert tenants_seen == [0, 1, 0, 1]
    assert [reply[1:] for reply in harness.replies(5)] == [(Kind.RELEASE, 100)]


def test_without_tenants_in_the_settings_a_tenant_name_is_ignored() -> None:
    assert (
        validation.validate_request(placement_request(1, tenant="casa"), "c", CoreHarness().settings).tenant
        == 0
    )
