"""A configuration file that is read again: what comes into force, what is refused, and what it disturbs."""

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
from desk import Desk, name, row, set_up
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


def written(folder: Path, edit: Edit = lambda value: None) -> config.Config:
    value = copy.deepcopy(CONFIG)
    edit(value)
    path = folder / "edited.json"
    path.write_text(json.dumps(value))
    return config.load(str(path))


def put(*path: Any, value: Any) -> Edit:
    def edit(whole: dict[str, Any]) -> None:
        at: Any = whole
        for key in path[:-1]:
            at = at[key]
        at[path[-1]] = value

    return edit


def add_class(whole: dict[str, Any], called: str = "fresh") -> None:
    settings = whole["settings"]
    settings["classes"].append(settings["classes"][0] | {"name": called})
    for key, value in (("class_kind", -1), ("class_most", 0), ("class_start_s", 8.0), ("spread_by", "none")):
        settings["family_info"][key] = [*settings["family_info"][key], value]


def add_kind(whole: dict[str, Any]) -> None:
    settings = whole["settings"]
    settings["kinds"] = [*settings["kinds"], "node-96"]
    settings["family_info"]["size_cores"] = [*settings["family_info"]["size_cores"], 96]
    settings["family_info"]["mem_of_kind"] = [*settings["family_info"]["mem_of_kind"], 300.0]


# The rules


@pytest.mark.parametrize(
    ("edit", "fields"),
    [
        (lambda value: None, ()),
        (put("board", value="127.0.0.1:9"), ()),
        (put("known", value={"rev": 7, "notices": []}), ()),
        (
            put("settings", "classes", 0, "promise_us", value=2_000_000),
            ("classes.worker.latency_objective_us",),
        ),
        (put("settings", "classes", 0, "deadline_us", value=5_000_000), ("classes.worker.deadline_us",)),
        (put("settings", "classes", 0, "worth", value=3.0), ("classes.worker.priority_weight",)),
        (put("settings", "penalties", "probe", value=0.5), ("price_health_check",)),
        (put("settings", "penalties", "handshake", value=0.5), ("handshake_price",)),
        (put("settings", "limits", "max_attempts", value=5), ("max_attempts",)),
        (put("settings", "limits", "max_retry_after_us", value=5), ("max_retry_after_us",)),
        (put("settings", "limits", "dial_timeout_us", value=400_000), ("dial_timeout_us",)),
        (put("settings", "family_info", "accepts_cores", value=3.0), ("cores_limit",)),
        (put("settings", "family_info", "quota_cores", value=[5.0]), ("tenant_quota_cores",)),
        (put("settings", "parties", value=[{"name": "a", "portion": 1.0}]), ("tenant_share", "tenants")),
        (put("settings", "dcs", value=["hall 1", "hall 2"]), ("zones",)),
        (add_class, ("classes",)),
        (add_kind, ("node_types",)),
    ],
)
def test_what_comes_into_force(tmp_path: Path, edit: Edit, fields: tuple[str, ...]) -> None:
    old, new = written(tmp_path), written(tmp_path, edit)
    change = reload.live_change(old, new)
    assert (change.changed if change else ()) == fields


@pytest.mark.parametrize(
    ("edit", "field"),
    [
        (put("name", value="n1"), "name"),
        (put("listen", value="127.0.0.1:1"), "listen"),
        (put("seed", value="9"), "seed"),
        (put("limits", "sockets", value=64), "sockets"),
        (put("settings", "limits", "conn_idle_us", value=1_000_000), "idle_us"),
        (put("settings", "report", "fields", value=["x0", "x1"]), "fields"),
        (put("settings", "position", value=1), "position"),
        (put("settings", "group_size", value=2), "planners"),
        (put("settings", "zone", value=1), "zone"),
        (put("settings", "registry_mode", value="ask"), "polls_node_list"),
        (put("settings", "limits", "probes", value=False), "may_check_health"),
        (put("settings", "family_info", "confirms", value="accepted"), "confirms_running"),
        (put("settings", "contract", "fall_us", value=2_000_000), "overload_window_us"),
        (put("settings", "classes", 0, "effect", value="once"), "classes.worker.effect"),
        (put("settings", "classes", 1, "window_us", value=9_000_000), "classes.ingest.dedup_window_us"),
        (put("settings", "classes", 1, "dedup_scope", value="all"), "classes.ingest.dedup_scope"),
        (put("settings", "classes", 0, "name", value="other"), "classes"),
        (put("settings", "family_info", "spread_by", value=["machine", "cell"]), "classes.worker.spread"),
        (put("settings", "family_info", "size_cores", value=[37, 57]), "node_types.node-64.cores"),
        (put("settings", "kinds", value=["node-64", "node-32"]), "node_types"),
        (put("settings", "dcs", value=["hall 2"]), "zones"),
    ],
)
def test_what_needs_a_restart_blocks_the_whole_change(tmp_path: Path, edit: Edit, field: str) -> None:
    def both(value: dict[str, Any]) -> None:
        edit(value)
        put("settings", "limits", "max_attempts", value=5)(value)

    if field == "position":  # of two, as it must be below their number
        old = written(tmp_path, put("settings", "group_size", value=2))
        new = written(tmp_path, lambda v: (both(v), put("settings", "group_size", value=2)(v))[0])
    else:
        old, new = written(tmp_path), written(tmp_path, both)
    with pytest.raises(reload.RestartRequiredError) as caught:
        reload.live_change(old, new)
    assert field in [str(change) for change in caught.value.changes]
    assert f"{field}: " in str(caught.value)


def test_tenants_may_only_be_added_at_the_end(tmp_path: Path) -> None:
    def parties(*names: str) -> config.Config:
        value = [{"name": called, "portion": 0.5} for called in names]
        return written(tmp_path, put("settings", "parties", value=value))

    assert reload.live_change(parties("a"), parties("a", "b")) is not None
    for names in (("b", "a"), ("b",), ()):
        with pytest.raises(reload.RestartRequiredError, match="tenants"):
            reload.live_change(parties("a"), parties(*names))


# Revisions


def test_a_revision_is_the_files_number_or_the_beginning_of_its_digest(tmp_path: Path) -> None:
    def revision(**more: Any) -> str:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(CONFIG | more))
        return config.load(str(path)).revision

    assert revision(revision=41) == "41"
    digest = revision()
    assert len(digest) == 12 and int(digest, 16) >= 0
    assert revision() == digest != revision(name="other")
    assert len(revision(revision=True)) == 12


# The core


def change_of(desk: Desk, tenants: tuple[str, ...] = (), **settings: Any) -> ev.SettingsChanged:
    new = replace(desk.core.requests.settings, **settings)
    return ev.SettingsChanged("2", tuple(settings), new, tenants, ("east",), 250_000, False)


def with_class(settings: api.Settings, called: str, **fields: Any) -> tuple[api.TaskClass, ...]:
    return tuple(replace(c, **fields) if c.name == called else c for c in settings.classes)


def test_a_task_in_flight_keeps_its_wait() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.send(conn, 1, "once")
    desk.feed(
        change_of(
            desk, classes=with_class(desk.settings, "once", deadline_us=SECOND, latency_objective_us=SECOND)
        )
    )
    desk.passes(4 * SECOND)
    assert desk.replies(1) == []
    desk.passes(3 * SECOND)
    assert desk.replies(1) == [(conn, Kind.RELEASE, int(Cause.RESET))]
    desk.send(conn, 2, "once")
    desk.passes(SECOND)
    assert desk.replies(2) == [(conn, Kind.RELEASE, int(Cause.RESET))]


def test_a_class_and_a_tenant_are_used_in_the_turn_after_their_coming() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.ask(conn, 1, "fresh")
    assert desk.replies(1) == [(conn, Kind.RELEASE, int(Cause.INVALID))]
    fresh = replace(desk.settings.classes[0], name="fresh")
    change = change_of(desk, ("a", "b"), classes=(*desk.settings.classes, fresh), tenant_share=(0.5, 0.5))
    desk.feed(change, ev.ClientMessage(conn, set_up(2, "fresh", tenant="b")))
    desk.connect()
    assert len(desk.sent(2)) == 1
    (task,) = desk.core.tasks.by_id.values()
    assert (task.request.class_index, task.request.tenant) == (len(desk.settings.classes), 1)


def test_the_time_and_the_sharing_of_dials_follow() -> None:
    desk = Desk()
    desk.feed(replace(change_of(desk), dial_timeout_us=900_000, priced=True))
    links = desk.core.links
    assert (links.dial_timeout_us, links.max_outstanding) == (900_000, 4)
    started = Desk(dial_timeout_us=900_000).core.link_checks
    checks = desk.core.link_checks
    assert (checks.refresh_us, checks.renew_us) == (started.refresh_us, started.renew_us)


def test_a_window_is_looked_at_with_the_settings_in_force() -> None:
    """The tick counts as a message is about to be written."""
    desk = Desk()
    desk.feed(change_of(desk, tick_us=20_000))
    assert desk.core.attempts.settings.tick_us == 20_000


def test_a_task_of_a_class_that_came_later_is_answered_as_the_process_ends() -> None:
    desk = Desk()
    conn = desk.owner()
    fresh = replace(desk.settings.classes[0], name="fresh")
    desk.feed(change_of(desk, classes=(*desk.settings.classes, fresh)))
    desk.send(conn, 1, "fresh")
    desk.feed(ev.ShutdownRequested())
    desk.passes(4 * SECOND)
    assert desk.replies(1) == [(conn, Kind.RELEASE, int(Cause.BUSY))]


def test_the_end_of_the_process_is_counted_by_the_deadlines_in_force() -> None:
    desk = Desk()
    short = tuple(replace(c, latency_objective_us=SECOND, deadline_us=SECOND) for c in desk.settings.classes)
    desk.feed(change_of(desk, classes=short), ev.ShutdownRequested())
    started = Desk(deadline_us=SECOND)
    started.feed(ev.ShutdownRequested())
    assert desk.core.shutdown.killed_at == started.core.shutdown.killed_at


def test_changed_settings_come_before_what_waits() -> None:
    desk = Desk()
    queue = EventQueue()
    queue.add(ev.ClientMessage(1, set_up(1)))
    queue.add(ev.LinkLost(1, frozenset()))
    change = change_of(desk)
    queue.add(change)
    assert queue.take() == [change]


def test_after_a_stall_changed_settings_come_before_the_clients() -> None:
    desk = Desk()
    conn = desk.owner()
    fresh = replace(desk.settings.classes[0], name="fresh")
    change = change_of(desk, classes=(*desk.settings.classes, fresh))
    message = set_up(1, "fresh", at="s-00000001")  # one that is no new placement
    desk._take(desk.core.handle_after_stall(desk.now, [ev.ClientMessage(conn, message), change]))
    assert desk.core.tasks.by_id[name(1)].request.spec.task_class == "fresh"


def test_hundreds_of_changes_leave_nothing_behind() -> None:
    desk = Desk()
    conn = desk.owner()
    desk.send(conn, 1)
    timers = len(desk.core.loop._timers)
    for n in range(400):
        desk.feed(change_of(desk, max_attempts=1 + n % 5, cores_limit=1.0 + n % 3))
    assert len(desk.core.loop._timers) == timers
    assert desk.core.counts["settings_changed"] == 400


def drawn_life(core: Core, now: int, seed: int) -> list[Any]:
    """What a core does over random placement requests, of which machines accept some."""
    rng = random.Random(seed)
    out: list[Any] = []
    links: list[int] = []

    def feed(*events: ev.Event) -> None:
        actions = core.handle(now, events)
        out.extend(actions)
        links.extend(a.link for a in actions if isinstance(a, ev.Dial))

    feed(ev.ClientConnected(1, "c"))
    for number in range(1, 60):
        now += rng.randrange(100_000)
        sort = rng.choice(["repeat", "once", "fresh"])
        tenant = rng.choice(["", "a", "b"])
        feed(ev.ClientMessage(1, set_up(number, sort, left="2000", tenant=tenant)))
        while links:
            feed(ev.LinkUp(links.pop()))
    return out


@pytest.mark.parametrize("seed", range(4))
def test_a_changed_core_decides_as_one_that_was_started_so(seed: int) -> None:
    desk = Desk()
    old = desk.settings
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
    rows = [row(n) for n in range(1, 6)]
    lives = []
    for settings, change in ((new, False), (old, True), (old, False)):
        node_list = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, desk.now))
        first, _ = node_list.apply({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": rows}})
        assert first is not None
        tenants = () if settings is old else ("a", "b")
        core = Core(settings, ("x0", "x1", "utilization"), seed, 256, tenants=tenants)
        core.start(desk.now, [first])
        if change:
            core.handle(desk.now, [ev.SettingsChanged("2", (), new, ("a", "b"), ("east",), 250_000, False)])
        lives.append(drawn_life(core, desk.now, seed))
    assert lives[0] == lives[1] != lives[2]
    assert any(isinstance(a, ev.SendToMachine) for a in lives[0])


# Machines of a kind that comes later


def node_list_with(*rows: dict[str, Any]) -> NodeList:
    made = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    made.apply({"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": list(rows)}})
    return made


def later(node_list: NodeList, *rows: dict[str, Any], whole: bool = False) -> None:
    rev = node_list.revision + 1
    node_list.apply({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": list(rows)}})


def names_of(node_list: NodeList) -> list[tuple[str, int]]:
    update = node_list.set_names(("east",), ("std", "huge"))
    return [(m.name, m.entry.node_type) for m in update.machines] if update is not None else []


HUGE = {"class": "huge"}


def test_machines_of_a_node_type_that_comes_later_are_listed_with_it() -> None:
    node_list = node_list_with(row(1), row(2, **HUGE), row(3, **{"class": "other"}))
    assert names_of(node_list) == [("s-00000002", 1)]
    assert names_of(node_list) == []
    assert len(node_list._unknown) == 1


@pytest.mark.parametrize(
    "after",
    [
        lambda b: later(b, row(2, "DELETED", **HUGE)),
        lambda b: later(b, row(2, "DRAINING", **HUGE, spare=[1])),  # used for its state alone
        lambda b: later(b, row(1), whole=True),
        lambda b: later(b, row(2)),
        lambda b: later(b, row(2, dial="127.8.1.77:2905")),
        lambda b: later(b, row(9, dial="127.8.1.2:2905")),  # another machine has its address
    ],
)
def test_a_machine_that_has_gone_or_changed_is_not_listed_as_it_was(after: Any) -> None:
    node_list = node_list_with(row(1), row(2, **HUGE))
    after(node_list)
    assert names_of(node_list) == []
    assert (len(node_list._unknown), node_list._unknown._at) == (0, {})


def test_a_machine_that_has_moved_is_listed_where_it_is() -> None:
    node_list = node_list_with(row(2, **HUGE))
    later(node_list, row(2, **HUGE, dial="127.8.1.77:2905"))
    assert list(node_list._unknown._at) == ["127.8.1.77:2905"]
    update = node_list.set_names(("east",), ("std", "huge"))
    assert update is not None and [m.address for m in update.machines] == ["127.8.1.77:2905"]


def test_a_machine_that_drains_is_listed_as_one_that_drains() -> None:
    node_list = node_list_with(row(2, **HUGE))
    later(node_list, row(2, "DRAINING", **HUGE))
    update = node_list.set_names(("east",), ("std", "huge"))
    assert update is not None and update.machines[0].entry.status is api.NodeStatus.DRAINING


def test_a_zone_that_was_named_before_keeps_its_number() -> None:
    node_list = node_list_with(row(1, site="north"))
    node_list.set_names(("east", "west", "north"), ("std",))
    rows = [row(n, site=site) for n, site in enumerate(("east", "west", "north"), 1)]
    update, _ = node_list.apply({"rev": 2, "pool": {"seq": 2, "whole": True, "hosts": rows}})
    assert update is not None and [m.entry.zone for m in update.machines] == [0, 2, 1]


# The service


class Lines:
    """The log of this process, in place of its error output."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lines: list[dict[str, Any]] = []
        for module in ("service", "reload"):
            monkeypatch.setattr(f"stairplank.platform.{module}.log", self._log)

    def _log(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def of(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    return Lines(monkeypatch)


@pytest.fixture
def live(tmp_path: Path, lines: Lines) -> Iterator[LiveService]:
    one = LiveService(tmp_path, 2)
    yield one
    one.close()


def reload_with(one: LiveService, edit: Edit, **more: Any) -> None:
    value = copy.deepcopy(one.config) | more
    edit(value)
    Path(one.service.path).write_text(json.dumps(value))
    one.service.reload()


def test_changed_settings_come_into_force_with_a_line_of_their_revision(
    live: LiveService, lines: Lines
) -> None:
    (start,) = live.wait_until(lambda: lines.of("configuration in force"))
    assert start["revision"] == live.service.config.revision
    client = live.connect_client()
    live.place(client, 1)
    reload_with(live, add_class, revision=17)
    live.wait_until(lambda: len(lines.of("configuration in force")) == 2)
    assert lines.of("configuration in force")[-1] == {
        "event": "configuration in force",
        "revision": "17",
        "changed": ("classes",),
    }
    live.place(client, 2, "fresh")
    assert live.service.core.counts["configurations_in_force"] == 2
    assert live.service.config.revision == "17"


def test_the_time_that_a_dial_may_take_follows(live: LiveService) -> None:
    reload_with(live, put("settings", "limits", "dial_timeout_us", value=400_000))
    live.wait_until(lambda: live.service.machines._dial_timeout_s == 0.4)


def test_a_class_that_is_removed_is_rejected_and_the_lists_address_is_applied(
    live: LiveService, lines: Lines
) -> None:
    before = (live.service.config, live.service.core.module.settings)
    other = FakeNodeListService([machine.row() for machine in live.machines])

    def edit(value: dict[str, Any]) -> None:
        put("settings", "classes", 0, "name", value="other")(value)
        put("settings", "limits", "max_attempts", value=9)(value)

    reload_with(live, edit, board=other.address, revision=18)
    (line,) = lines.of("configuration not taken")
    assert "worker would be removed" in line["error"]
    assert (line["revision"], line["in_force"]) == ("18", before[0].revision)
    assert (live.service.config, live.service.core.module.settings) == before
    assert live.service.core.counts["configurations_not_taken"] == 1
    live.wait_until(lambda: other.watches)
    live.place(live.connect_client(), 1)
    other.close()


@pytest.mark.parametrize(
    "edit",
    [
        put("settings", "classes", 0, "deadline_us", value="x"),
        put("settings", "classes", 0, "deadline_us", value=float("inf")),
        put("settings", "classes", value=[]),
        lambda value: value.pop("settings"),
    ],
)
def test_settings_that_cannot_be_read_are_rejected_and_the_lists_address_is_applied(
    live: LiveService, lines: Lines, edit: Edit
) -> None:
    before = live.service.config
    reload_with(live, edit, board="127.0.0.1:9")
    assert len(lines.of("configuration not taken")) == 1
    assert live.service.config is before
    assert live.service.node_watch.address == "127.0.0.1:9"


def test_a_file_that_cannot_be_read_changes_nothing(live: LiveService, lines: Lines) -> None:
    before, address = live.service.config, live.service.node_watch.address
    Path(live.service.path).write_text("{")
    live.service.reload()
    (line,) = lines.of("configuration not taken")
    assert line["in_force"] == before.revision
    assert (live.service.config, live.service.node_watch.address) == (before, address)


def test_the_same_settings_disturb_nothing(live: LiveService, lines: Lines) -> None:
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
    assert [line["changed"] for line in lines.of("configuration in force")] == [()] * 21
    live.place(client, 2)


def test_machines_of_a_new_node_type_are_used_at_once(tmp_path: Path, lines: Lines) -> None:
    one = LiveService(tmp_path, 1)
    huge = FakeMachine("s-0000beef")
    one.node_list_service.publish(huge.row() | {"class": "node-96", "spare": [96.0, 300.0]})
    one.wait_until(lambda: one.service.node_list.revision == 2)
    one.node_list_service.publish(one.machines[0].row("DRAINING"))
    one.wait_until(lambda: one.service.node_list.revision == 3)
    reload_with(one, add_kind)
    client = one.connect_client()
    one.place(client, 1)
    assert [m.id for m in huge.placement_requests()] == [f"{1:016x}"]
    huge.close()
    one.close()


def test_a_signal_before_the_start_is_taken_with_it(tmp_path: Path, lines: Lines) -> None:
    """The list that the file names is read by the names that the process started with."""
    huge = FakeMachine("s-0000beef")
    node_list_service = FakeNodeListService([huge.row() | {"class": "node-96", "spare": [96.0, 300.0]}])
    first = {"rev": 1, "notices": [json.loads(node_list_service.lines[0])]}
    value = copy.deepcopy(CONFIG) | {"board": node_list_service.address, "known": first}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(value))
    from stairplank.platform.service import Service

    service = Service(str(path))
    add_kind(value)
    path.write_text(json.dumps(value))
    service.reload()
    runs = gevent.spawn(service.run)
    with gevent.Timeout(10):
        while not service.core.module.table.ready and not service.core.module.table.nodes:
            gevent.sleep(0.01)
    assert [node.cores for node in service.core.module.table.nodes.values()] == [96]
    runs.kill()
    node_list_service.close()
    huge.close()


def test_a_signal_to_the_process_brings_the_file_into_force(tmp_path: Path) -> None:
    machine = FakeMachine("s-00000001")
    node_list_service = FakeNodeListService([machine.row()])
    process = PlannerProcess(tmp_path, node_list_service)
    try:
        client = FakeClient(process.address)
        assert client.replies(client.request_placement(1))[0].kind is Kind.ANSWER
        value = json.loads(process.path.read_text()) | {"revision": 5}
        add_class(value)
        process.path.write_text(json.dumps(value))
        began = time.monotonic()
        process.child.send_signal(signal.SIGHUP)
        wait_until(
            lambda: [line for line in process.events("configuration in force") if line["revision"] == "5"]
        )
        assert time.monotonic() - began < 15
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


# The log


def test_lines_are_bounded_at_once_and_go_on_over_time() -> None:
    budget = logs.LineBudget(3, 30.0)
    assert [budget.take(100.0) for _ in range(4)] == [True, True, True, False]
    assert [budget.take(at) for at in (115.0, 131.0, 132.0)] == [False, True, False]
    assert sum(budget.take(10_000.0) for _ in range(10)) == 3


def test_a_site_s_changes_of_a_day_all_have_their_line() -> None:
    budget = logs.LineBudget(logs.MAX_BURST_LINES, logs.LINE_INTERVAL_S)
    span = 86_400 / 2_600
    assert all(budget.take(n * span) for n in range(7 * 2_600))
