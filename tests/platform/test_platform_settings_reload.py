"""A configuration file that is read again: which changes are applied or rejected, and that tasks go on."""

from __future__ import annotations

import copy
import json
import random
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from core_harness import CoreHarness, machine_row, placement_request, task_id
from helpers import SECOND
from platform_config import CONFIG
from platform_standins import (
    FakeClient,
    FakeMachine,
    FakeNodeListService,
    LiveService,
    PlannerProcess,
    wait_until,
)

from stairplank import interface as api
from stairplank.platform import config, logs, reload
from stairplank.platform import events as ev
from stairplank.platform.core import Core
from stairplank.platform.event_queue import EventQueue
from stairplank.platform.messages import Cause, Kind
from stairplank.platform.node_list import NodeList

Edit = Callable[[dict[str, Any]], None]


def edited_config(folder: Path, edit: Edit = lambda value: None) -> config.Config:
    value = copy.deepcopy(CONFIG)
    edit(value)
    path = folder / "edited.json"
    path.write_text(json.dumps(value))
    return config.load(str(path))


def set_value(*path: Any, value: Any) -> Edit:
    def edit(config_value: dict[str, Any]) -> None:
        parent: Any = config_value
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = value

    return edit


def add_class(config_value: dict[str, Any], class_name: str = "fresh") -> None:
    settings = config_value["settings"]
    settings["classes"].append(settings["classes"][0] | {"name": class_name})
    for key, value in (("class_kind", -1), ("class_most", 0), ("class_start_s", 8.0), ("spread_by", "none")):
        settings["family_info"][key] = [*settings["family_info"][key], value]


def add_node_type(config_value: dict[str, Any]) -> None:
    settings = config_value["settings"]
    settings["kinds"] = [*settings["kinds"], "node-96"]
    settings["family_info"]["size_cores"] = [*settings["family_info"]["size_cores"], 96]
    settings["family_info"]["mem_of_kind"] = [*settings["family_info"]["mem_of_kind"], 300.0]


# Changes that can be applied to a running planner, and those that need a restart


@pytest.mark.parametrize(
    ("edit", "fields"),
    [
        (lambda value: None, ()),
        (set_value("board", value="127.0.0.1:9"), ()),
        (set_value("known", value={"rev": 7, "notices": []}), ()),
        (
            set_value("settings", "classes", 0, "promise_us", value=2_000_000),
            ("classes.worker.latency_objective_us",),
        ),
        (
            set_value("settings", "classes", 0, "deadline_us", value=5_000_000),
            ("classes.worker.deadline_us",),
        ),
        (set_value("settings", "classes", 0, "worth", value=3.0), ("classes.worker.priority_weight",)),
        (set_value("settings", "penalties", "probe", value=0.5), ("price_health_check",)),
        (set_value("settings", "penalties", "handshake", value=0.5), ("handshake_price",)),
        (set_value("settings", "limits", "max_attempts", value=5), ("max_attempts",)),
        (set_value("settings", "limits", "max_retry_after_us", value=5), ("max_retry_after_us",)),
        (set_value("settings", "limits", "dial_timeout_us", value=400_000), ("dial_timeout_us",)),
        (set_value("settings", "family_info", "accepts_cores", value=3.0), ("cores_limit",)),
        (set_value("settings", "family_info", "quota_cores", value=[5.0]), ("tenant_quota_cores",)),
        (
            set_value("settings", "parties", value=[{"name": "a", "portion": 1.0}]),
            ("tenant_share", "tenants"),
        ),
        (set_value("settings", "dcs", value=["hall 1", "hall 2"]), ("zones",)),
        (add_class, ("classes",)),
        (add_node_type, ("node_types",)),
    ],
)
def test_a_live_change_names_the_changed_fields(tmp_path: Path, edit: Edit, fields: tuple[str, ...]) -> None:
    old, new = edited_config(tmp_path), edited_config(tmp_path, edit)
    change = reload.live_change(old, new)
    assert (change.changed if change else ()) == fields


@pytest.mark.parametrize(
    ("edit", "field"),
    [
        (set_value("name", value="n1"), "name"),
        (set_value("listen", value="127.0.0.1:1"), "listen"),
        (set_value("seed", value="9"), "seed"),
        (set_value("limits", "sockets", value=64), "sockets"),
        (set_value("settings", "limits", "conn_idle_us", value=1_000_000), "idle_us"),
        (set_value("settings", "report", "fields", value=["x0", "x1"]), "fields"),
        (set_value("settings", "position", value=1), "position"),
        (set_value("settings", "group_size", value=2), "planners"),
        (set_value("settings", "zone", value=1), "zone"),
        (set_value("settings", "registry_mode", value="ask"), "polls_node_list"),
        (set_value("settings", "limits", "probes", value=False), "may_check_health"),
        (set_value("settings", "family_info", "confirms", value="accepted"), "confirms_running"),
        (set_value("settings", "contract", "fall_us", value=2_000_000), "overload_window_us"),
        (set_value("settings", "classes", 0, "effect", value="once"), "classes.worker.effect"),
        (set_value("settings", "classes", 1, "window_us", value=9_000_000), "classes.ingest.dedup_window_us"),
        (set_value("settings", "classes", 1, "dedup_scope", value="all"), "classes.ingest.dedup_scope"),
        (set_value("settings", "classes", 0, "name", value="other"), "classes"),
        (
            set_value("settings", "family_info", "spread_by", value=["machine", "cell"]),
            "classes.worker.spread",
        ),
        (set_value("settings", "family_info", "size_cores", value=[37, 57]), "node_types.node-64.cores"),
        (set_value("settings", "kinds", value=["node-64", "node-32"]), "node_types"),
        (set_value("settings", "dcs", value=["hall 2"]), "zones"),
    ],
)
def test_a_change_that_needs_a_restart_blocks_the_whole_file(tmp_path: Path, edit: Edit, field: str) -> None:
    def edit_with_live_change(value: dict[str, Any]) -> None:
        edit(value)
        set_value("settings", "limits", "max_attempts", value=5)(value)

    if field == "position":  # needs two planners, as it must be below their number
        old = edited_config(tmp_path, set_value("settings", "group_size", value=2))
        new = edited_config(
            tmp_path, lambda v: (edit_with_live_change(v), set_value("settings", "group_size", value=2)(v))[0]
        )
    else:
        old, new = edited_config(tmp_path), edited_config(tmp_path, edit_with_live_change)
    with pytest.raises(reload.RestartRequiredError) as caught:
        reload.live_change(old, new)
    assert field in [str(change) for change in caught.value.changes]
    assert f"{field}: " in str(caught.value)


def test_tenants_may_only_be_added_at_the_end(tmp_path: Path) -> None:
    def config_with_tenants(*names: str) -> config.Config:
        value = [{"name": tenant, "portion": 0.5} for tenant in names]
        return edited_config(tmp_path, set_value("settings", "parties", value=value))

    assert reload.live_change(config_with_tenants("a"), config_with_tenants("a", "b")) is not None
    for names in (("b", "a"), ("b",), ()):
        with pytest.raises(reload.RestartRequiredError, match="tenants"):
            reload.live_change(config_with_tenants("a"), config_with_tenants(*names))


# Revisions


def test_a_revision_is_the_files_number_or_the_beginning_of_its_digest(tmp_path: Path) -> None:
    def revision(**changes: Any) -> str:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(CONFIG | changes))
        return config.load(str(path)).revision

    assert revision(revision=41) == "41"
    digest = revision()
    assert len(digest) == 12 and int(digest, 16) >= 0
    assert revision() == digest != revision(name="other")
    assert len(revision(revision=True)) == 12


# The core applies changed settings


def settings_change(
    harness: CoreHarness, tenants: tuple[str, ...] = (), **settings: Any
) -> ev.SettingsChanged:
    new = replace(harness.core.requests.settings, **settings)
    return ev.SettingsChanged("2", tuple(settings), new, tenants, ("east",), 250_000, False)


def with_class(settings: api.Settings, class_name: str, **fields: Any) -> tuple[api.TaskClass, ...]:
    return tuple(replace(c, **fields) if c.name == class_name else c for c in settings.classes)


def test_a_task_in_flight_keeps_its_wait() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_and_send(conn, 1, "once")
    harness.feed(
        settings_change(
            harness,
            classes=with_class(harness.settings, "once", deadline_us=SECOND, latency_objective_us=SECOND),
        )
    )
    harness.advance(4 * SECOND)
    assert harness.replies(1) == []
    harness.advance(3 * SECOND)
    assert harness.replies(1) == [(conn, Kind.RELEASE, int(Cause.RESET))]
    harness.request_and_send(conn, 2, "once")
    harness.advance(SECOND)
    assert harness.replies(2) == [(conn, Kind.RELEASE, int(Cause.RESET))]


def test_a_new_class_and_a_new_tenant_are_used_in_the_same_turn() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_placement(conn, 1, "fresh")
    assert harness.replies(1) == [(conn, Kind.RELEASE, int(Cause.INVALID))]
    fresh = replace(harness.settings.classes[0], name="fresh")
    change = settings_change(
        harness, ("a", "b"), classes=(*harness.settings.classes, fresh), tenant_share=(0.5, 0.5)
    )
    harness.feed(change, ev.ClientMessage(conn, placement_request(2, "fresh", tenant="b")))
    harness.bring_links_up()
    assert len(harness.placements_sent(2)) == 1
    (task,) = harness.core.tasks.by_id.values()
    assert (task.request.class_index, task.request.tenant) == (len(harness.settings.classes), 1)


def test_the_dial_timeout_and_the_limit_of_requests_per_connection_are_applied() -> None:
    harness = CoreHarness()
    harness.feed(replace(settings_change(harness), dial_timeout_us=900_000, priced=True))
    links = harness.core.links
    assert (links.dial_timeout_us, links.max_outstanding) == (900_000, 4)
    started = CoreHarness(dial_timeout_us=900_000).core.link_checks
    checks = harness.core.link_checks
    assert (checks.refresh_us, checks.renew_us) == (started.refresh_us, started.renew_us)


def test_the_attempts_use_the_tick_in_force() -> None:
    """The tick is part of the check of a deduplication window before a message is written."""
    harness = CoreHarness()
    harness.feed(settings_change(harness, tick_us=20_000))
    assert harness.core.attempts.settings.tick_us == 20_000


def test_a_task_of_a_new_class_is_answered_during_the_shutdown() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    fresh = replace(harness.settings.classes[0], name="fresh")
    harness.feed(settings_change(harness, classes=(*harness.settings.classes, fresh)))
    harness.request_and_send(conn, 1, "fresh")
    harness.feed(ev.ShutdownRequested())
    harness.advance(4 * SECOND)
    assert harness.replies(1) == [(conn, Kind.RELEASE, int(Cause.BUSY))]


def test_the_time_of_sigkill_follows_from_the_deadlines_in_force() -> None:
    harness = CoreHarness()
    short = tuple(
        replace(c, latency_objective_us=SECOND, deadline_us=SECOND) for c in harness.settings.classes
    )
    harness.feed(settings_change(harness, classes=short), ev.ShutdownRequested())
    started = CoreHarness(deadline_us=SECOND)
    started.feed(ev.ShutdownRequested())
    assert harness.core.shutdown.killed_at == started.core.shutdown.killed_at


def test_changed_settings_are_handled_before_queued_messages() -> None:
    harness = CoreHarness()
    queue = EventQueue()
    queue.add(ev.ClientMessage(1, placement_request(1)))
    queue.add(ev.LinkLost(1, frozenset()))
    change = settings_change(harness)
    queue.add(change)
    assert queue.take() == [change]


def test_after_a_stall_changed_settings_are_handled_before_client_messages() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    fresh = replace(harness.settings.classes[0], name="fresh")
    change = settings_change(harness, classes=(*harness.settings.classes, fresh))
    message = placement_request(1, "fresh", at="s-00000001")  # an adoption, not a new placement request
    harness._record_actions(
        harness.core.handle_after_stall(harness.now, [ev.ClientMessage(conn, message), change])
    )
    assert harness.core.tasks.by_id[task_id(1)].request.spec.task_class == "fresh"


def test_hundreds_of_changes_leave_no_timers_behind() -> None:
    harness = CoreHarness()
    conn = harness.add_client()
    harness.request_and_send(conn, 1)
    timers = len(harness.core.loop._timers)
    for n in range(400):
        harness.feed(settings_change(harness, max_attempts=1 + n % 5, cores_limit=1.0 + n % 3))
    assert len(harness.core.loop._timers) == timers
    assert harness.core.counts["settings_changed"] == 400


def actions_for_random_requests(core: Core, now: int, seed: int) -> list[Any]:
    """Send 59 random placement requests to a core; return its actions. Dials succeed, no machine answers."""
    rng = random.Random(seed)
    all_actions: list[Any] = []
    links: list[int] = []

    def feed(*events: ev.Event) -> None:
        actions = core.handle(now, events)
        all_actions.extend(actions)
        links.extend(a.link for a in actions if isinstance(a, ev.Dial))

    feed(ev.ClientConnected(1, "c"))
    for number in range(1, 60):
        now += rng.randrange(100_000)
        task_class = rng.choice(["repeat", "once", "fresh"])
        tenant = rng.choice(["", "a", "b"])
        feed(ev.ClientMessage(1, placement_request(number, task_class, left="2000", tenant=tenant)))
        while links:
            feed(ev.LinkUp(links.pop()))
    return all_actions


@pytest.mark.parametrize("seed", range(4))
def test_a_core_with_changed_settings_decides_like_one_started_with_them(seed: int) -> None:
    harness = CoreHarness()
    old = harness.settings
    new = replace(
        old,
        classes=(
            *with_class(old, "repeat", deadline_us=SECOND, latency_objective_us=SECOND // 2),
            replace(old.classes[0], name="fresh"),
        ),
        max_attempts=2,
        cores_limit=0.5,
        tenant_share=(0.5, 0.5),
    )
    rows = [machine_row(n) for n in range(1, 6)]
    runs = []
    for settings, change in ((new, False), (old, True), (old, False)):
        node_list = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, harness.now))
        initial_update, _ = node_list.apply({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": rows}})
        assert initial_update is not None
        tenants = () if settings is old else ("a", "b")
        core = Core(settings, ("x0", "x1", "utilization"), seed, 256, tenants=tenants)
        core.start(harness.now, [initial_update])
        if change:
            core.handle(
                harness.now, [ev.SettingsChanged("2", (), new, ("a", "b"), ("east",), 250_000, False)]
            )
        runs.append(actions_for_random_requests(core, harness.now, seed))
    assert runs[0] == runs[1] != runs[2]
    assert any(isinstance(a, ev.SendToMachine) for a in runs[0])


# Machines of a node type that a later configuration adds


def node_list_with(*rows: dict[str, Any]) -> NodeList:
    node_list = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    node_list.apply({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": list(rows)}})
    return node_list


def apply_update(node_list: NodeList, *rows: dict[str, Any], whole: bool = False) -> None:
    rev = node_list.revision + 1
    node_list.apply({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": list(rows)}})


def machines_with_new_type(node_list: NodeList) -> list[tuple[str, int]]:
    update = node_list.set_names(("east",), ("std", "huge"))
    return [(m.name, m.entry.node_type) for m in update.machines] if update is not None else []


HUGE = {"class": "huge"}


def test_machines_are_listed_once_their_node_type_is_configured() -> None:
    node_list = node_list_with(machine_row(1), machine_row(2, **HUGE), machine_row(3, **{"class": "other"}))
    assert machines_with_new_type(node_list) == [("s-00000002", 1)]
    assert machines_with_new_type(node_list) == []
    assert len(node_list._unknown) == 1


@pytest.mark.parametrize(
    "change",
    [
        lambda node_list: apply_update(node_list, machine_row(2, "DELETED", **HUGE)),
        # Only the state of this entry can be used.
        lambda node_list: apply_update(node_list, machine_row(2, "DRAINING", **HUGE, spare=[1])),
        lambda node_list: apply_update(node_list, machine_row(1), whole=True),
        lambda node_list: apply_update(node_list, machine_row(2)),
        lambda node_list: apply_update(node_list, machine_row(2, dial="127.8.1.77:2905")),
        # Another machine takes over the address.
        lambda node_list: apply_update(node_list, machine_row(9, dial="127.8.1.2:2905")),
    ],
)
def test_an_outdated_entry_of_a_deleted_or_changed_machine_is_not_listed(change: Any) -> None:
    node_list = node_list_with(machine_row(1), machine_row(2, **HUGE))
    change(node_list)
    assert machines_with_new_type(node_list) == []
    assert (len(node_list._unknown), node_list._unknown._by_address) == (0, {})


def test_a_machine_with_a_changed_address_is_listed_with_the_new_one() -> None:
    node_list = node_list_with(machine_row(2, **HUGE))
    apply_update(node_list, machine_row(2, **HUGE, dial="127.8.1.77:2905"))
    assert list(node_list._unknown._by_address) == ["127.8.1.77:2905"]
    update = node_list.set_names(("east",), ("std", "huge"))
    assert update is not None and [m.address for m in update.machines] == ["127.8.1.77:2905"]


def test_a_draining_machine_is_listed_as_draining() -> None:
    node_list = node_list_with(machine_row(2, **HUGE))
    apply_update(node_list, machine_row(2, "DRAINING", **HUGE))
    update = node_list.set_names(("east",), ("std", "huge"))
    assert update is not None and update.machines[0].entry.status is api.NodeStatus.DRAINING


def test_a_zone_that_an_update_has_named_keeps_its_number() -> None:
    node_list = node_list_with(machine_row(1, site="north"))
    node_list.set_names(("east", "west", "north"), ("std",))
    rows = [machine_row(n, site=site) for n, site in enumerate(("east", "west", "north"), 1)]
    update, _ = node_list.apply({"rev": 2, "pool": {"seq": 2, "whole": True, "hosts": rows}})
    assert update is not None and [m.entry.zone for m in update.machines] == [0, 2, 1]


# The service reloads its configuration file


class LogRecorder:
    """Records the log lines of the service and of reloads instead of writing them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lines: list[dict[str, Any]] = []
        for module in ("service", "reload"):
            monkeypatch.setattr(f"stairplank.platform.{module}.log", self._log)

    def _log(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def with_event(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> LogRecorder:
    return LogRecorder(monkeypatch)


@pytest.fixture
def live(tmp_path: Path, log_lines: LogRecorder) -> Iterator[LiveService]:
    service = LiveService(tmp_path, 2)
    yield service
    service.close()


def reload_with(live: LiveService, edit: Edit, **changes: Any) -> None:
    value = copy.deepcopy(live.config) | changes
    edit(value)
    Path(live.service.path).write_text(json.dumps(value))
    live.service.reload()


def test_changed_settings_are_applied_and_their_revision_is_logged(
    live: LiveService, log_lines: LogRecorder
) -> None:
    (start,) = live.wait_until(lambda: log_lines.with_event("configuration in force"))
    assert start["revision"] == live.service.config.revision
    client = live.connect_client()
    live.place(client, 1)
    reload_with(live, add_class, revision=17)
    live.wait_until(lambda: len(log_lines.with_event("configuration in force")) == 2)
    assert log_lines.with_event("configuration in force")[-1] == {
        "event": "configuration in force",
        "revision": "17",
        "changed": ("classes",),
    }
    live.place(client, 2, "fresh")
    assert live.service.core.counts["configurations_in_force"] == 2
    assert live.service.config.revision == "17"


def test_a_changed_dial_timeout_is_applied(live: LiveService) -> None:
    reload_with(live, set_value("settings", "limits", "dial_timeout_us", value=400_000))
    live.wait_until(lambda: live.service.machines._dial_timeout_s == 0.4)


def test_a_removed_class_is_rejected_and_the_node_list_address_is_applied(
    live: LiveService, log_lines: LogRecorder
) -> None:
    before = (live.service.config, live.service.core.module.settings)
    other_service = FakeNodeListService([machine.row() for machine in live.machines])

    def edit(value: dict[str, Any]) -> None:
        set_value("settings", "classes", 0, "name", value="other")(value)
        set_value("settings", "limits", "max_attempts", value=9)(value)

    reload_with(live, edit, board=other_service.address, revision=18)
    (line,) = log_lines.with_event("configuration not taken")
    assert "worker would be removed" in line["error"]
    assert (line["revision"], line["in_force"]) == ("18", before[0].revision)
    assert (live.service.config, live.service.core.module.settings) == before
    assert live.service.core.counts["configurations_not_taken"] == 1
    live.wait_until(lambda: other_service.watches)
    live.place(live.connect_client(), 1)
    other_service.close()


@pytest.mark.parametrize(
    "edit",
    [
        set_value("settings", "classes", 0, "deadline_us", value="x"),
        set_value("settings", "classes", 0, "deadline_us", value=float("inf")),
        set_value("settings", "classes", value=[]),
        lambda value: value.pop("settings"),
    ],
)
def test_unreadable_settings_are_rejected_and_the_node_list_address_is_applied(
    live: LiveService, log_lines: LogRecorder, edit: Edit
) -> None:
    before = live.service.config
    reload_with(live, edit, board="127.0.0.1:9")
    assert len(log_lines.with_event("configuration not taken")) == 1
    assert live.service.config is before
    assert live.service.node_watch.address == "127.0.0.1:9"


def test_a_file_that_cannot_be_read_changes_nothing(live: LiveService, log_lines: LogRecorder) -> None:
    before, address = live.service.config, live.service.node_watch.address
    Path(live.service.path).write_text("{")
    live.service.reload()
    (line,) = log_lines.with_event("configuration not taken")
    assert line["in_force"] == before.revision
    assert (live.service.config, live.service.node_watch.address) == (before, address)


def test_a_reload_of_the_same_settings_changes_nothing(live: LiveService, log_lines: LogRecorder) -> None:
    client = live.connect_client()
    live.place(client, 1)
    watches, links = len(live.node_list_service.watches), set(live.service.machines.streams)
    handled: list[ev.Event] = []
    handle = live.service.core._handlers[ev.SettingsChanged]
    live.service.core._handlers[ev.SettingsChanged] = lambda event: (handled.append(event), handle(event))[0]
    module = live.service.core.module.settings
    for _ in range(20):
        reload_with(live, lambda value: None)
    gevent.sleep(0.1)
    assert (handled, live.service.core.module.settings is module) == ([], True)
    assert set(live.service.machines.streams) == links
    assert len(live.node_list_service.watches) <= watches + 1
    assert [line["changed"] for line in log_lines.with_event("configuration in force")] == [()] * 21
    live.place(client, 2)


def test_machines_of_a_new_node_type_are_used_without_delay(tmp_path: Path, log_lines: LogRecorder) -> None:
    live = LiveService(tmp_path, 1)
    huge = FakeMachine("s-0000beef")
    live.node_list_service.publish(huge.row() | {"class": "node-96", "spare": [96.0, 300.0]})
    live.wait_until(lambda: live.service.node_list.revision == 2)
    live.node_list_service.publish(live.machines[0].row("DRAINING"))
    live.wait_until(lambda: live.service.node_list.revision == 3)
    reload_with(live, add_node_type)
    client = live.connect_client()
    live.place(client, 1)
    assert [m.id for m in huge.placement_requests()] == [f"{1:016x}"]
    huge.close()
    live.close()


def test_a_reload_before_the_start_applies_to_the_known_updates(
    tmp_path: Path, log_lines: LogRecorder
) -> None:
    """The known node list updates are first read with the node types that the process was created with."""
    huge = FakeMachine("s-0000beef")
    node_list_service = FakeNodeListService([huge.row() | {"class": "node-96", "spare": [96.0, 300.0]}])
    known_updates = {"rev": 1, "notices": [json.loads(node_list_service.lines[0])]}
    value = copy.deepcopy(CONFIG) | {"board": node_list_service.address, "known": known_updates}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(value))
    from stairplank.platform.service import Service

    service = Service(str(path))
    add_node_type(value)
    path.write_text(json.dumps(value))
    service.reload()
    greenlet = gevent.spawn(service.run)
    with gevent.Timeout(10):
        while not service.core.module.table.ready and not service.core.module.table.nodes:
            gevent.sleep(0.01)
    assert [node.cores for node in service.core.module.table.nodes.values()] == [96]
    greenlet.kill()
    node_list_service.close()
    huge.close()


def test_sighup_makes_the_process_apply_its_configuration_file(tmp_path: Path) -> None:
    machine = FakeMachine("s-00000001")
    node_list_service = FakeNodeListService([machine.row()])
    process = PlannerProcess(tmp_path, node_list_service)
    try:
        client = FakeClient(process.address)
        assert client.replies(client.request_placement(1))[0].kind is Kind.ANSWER
        value = json.loads(process.path.read_text()) | {"revision": 5}
        add_class(value)
        process.path.write_text(json.dumps(value))
        started_s = time.monotonic()
        process.child.send_signal(signal.SIGHUP)
        wait_until(
            lambda: [line for line in process.events("configuration in force") if line["revision"] == "5"]
        )
        assert time.monotonic() - started_s < 15
        assert client.replies(client.request_placement(2, "fresh"))[0].kind is Kind.ANSWER
        value["settings"]["position"] = 1
        value["settings"]["group_size"] = 2
        process.path.write_text(json.dumps(value))
        process.child.send_signal(signal.SIGHUP)
        wait_until(lambda: process.events("configuration not taken"))
        assert process.events("configuration not taken")[0]["in_force"] == "5"
        assert client.replies(client.request_placement(3, "fresh"))[0].kind is Kind.ANSWER
        assert process.events("fault") == []
    finally:
        process.close()
        node_list_service.close()
        machine.close()


# The limit of log lines


def test_a_burst_of_lines_is_limited_and_lines_become_available_over_time() -> None:
    budget = logs.LineBudget(3, 30.0)
    assert [budget.take(100.0) for _ in range(4)] == [True, True, True, False]
    assert [budget.take(now_s) for now_s in (115.0, 131.0, 132.0)] == [False, True, False]
    assert sum(budget.take(10_000.0) for _ in range(10)) == 3


def test_2600_configuration_changes_a_day_are_all_logged() -> None:
    budget = logs.LineBudget(logs.MAX_BURST_LINES, logs.LINE_INTERVAL_S)
    interval_s = 86_400 / 2_600
    assert all(budget.take(n * interval_s) for n in range(7 * 2_600))
