"""A site's text at a planner on real sockets: applied live, or rejected as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from test_daemon import _REQUEST, PLANNER_CONF, WAIT_S, PlannerHarness, next_event, place_request

from stairplank.configuration.changes import RestartRequiredError
from stairplank.planner import events as ev
from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import open_call
from stairplank.rpc import Channel, Code, RpcError
from stairplank.settings import SettingsError

PLANNER_LINES = ("planner", "listen", "directory")
SITE = "\n".join(line for line in PLANNER_CONF.splitlines() if not line.startswith(PLANNER_LINES))
FRESH_CLASS = "class fresh\n effect repeatable\n aim 1s\n deadline 6s\nend\nkind std"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[PlannerHarness]:
    harness = PlannerHarness(tmp_path)
    yield harness
    harness.close()


def site_text(*pairs: tuple[str, str]) -> str:
    result = SITE
    for old, new in pairs:
        assert result.count(old) == 1, old
        result = result.replace(old, new)
    return result


def apply_site(harness: PlannerHarness, *pairs: tuple[str, str]) -> Any:
    return harness.daemon.apply_site(harness.daemon.prepare_site(site_text(*pairs), "revision-1"))


def test_a_class_and_a_tenant_are_added_while_clients_are_connected(harness: PlannerHarness) -> None:
    call = harness.connect_client()
    call.send(place_request(1, "fresh"))
    assert next_event(call, "rejected").field == "task.task_class"
    changes = apply_site(harness, ("kind std", f"tenant web share 1\n{FRESH_CLASS}"))
    assert sorted(changes.keys) == ["class", "tenant"]
    call.send(place_request(2, "fresh", tenant="web"))
    assert next_event(call, "placed", "rejected").ask == 2
    assert len(harness.offers()) == 1


def test_preparing_changes_nothing(harness: PlannerHarness) -> None:
    before = (harness.daemon.config, harness.daemon.core.context.settings, harness.daemon.server.limits)
    prepared = harness.daemon.prepare_site(site_text(("open-most 50", "open-most 51")), "revision-1")
    assert prepared.max_open_requests == 51
    assert (
        harness.daemon.config,
        harness.daemon.core.context.settings,
        harness.daemon.server.limits,
    ) == before


def test_a_text_can_be_prepared_in_another_thread(harness: PlannerHarness) -> None:
    prepare = harness.daemon.prepare_site
    prepared = gevent.get_hub().threadpool.apply(
        prepare,
        (
            site_text(("aim 1s\n    deadline 6s\nend\nkind", "aim 2s\n    deadline 6s\nend\nkind")),
            "revision-1",
        ),
    )
    assert prepared.settings.classes[1].latency_objective_us == 2_000_000


def test_a_text_that_removes_a_class_is_rejected_as_a_whole(harness: PlannerHarness) -> None:
    daemon = harness.daemon
    before = (daemon.config, daemon.core.context.settings, daemon.core.module.settings, daemon.server.limits)
    report = "class report\n    effect once\n    aim 1s\n    deadline 6s\nend\n"
    with pytest.raises(RestartRequiredError, match="class: report would be removed"):
        harness.daemon.prepare_site(site_text((report, ""), ("open-most 50", "open-most 1")), "revision-1")
    assert (
        daemon.config,
        daemon.core.context.settings,
        daemon.core.module.settings,
        daemon.server.limits,
    ) == before
    call = harness.connect_client()
    for n in (1, 2):
        call.send(place_request(n, "report"))
        assert next_event(call, "placed").ask == n


def test_an_invalid_text_is_rejected_with_its_position(harness: PlannerHarness) -> None:
    with pytest.raises(SettingsError, match="revision-7:1:1: seed: unknown keyword"):
        harness.daemon.prepare_site("seed 1\n" + SITE.strip(), "revision-7")


def test_a_prepared_configuration_is_compared_again_when_it_is_applied(harness: PlannerHarness) -> None:
    """Both are valid when they are prepared, but after the first the second would remove a class."""
    first = harness.daemon.prepare_site(site_text(("kind std", FRESH_CLASS)), "revision-1")
    second = harness.daemon.prepare_site(
        site_text(("kind std", FRESH_CLASS.replace("fresh", "other"))), "revision-2"
    )
    harness.daemon.apply_site(first)
    with pytest.raises(RestartRequiredError, match="fresh would be removed"):
        harness.daemon.apply_site(second)
    assert harness.daemon.config is first


def test_unchanged_settings_send_no_event_to_the_core(harness: PlannerHarness) -> None:
    events: list[ev.Event] = []
    handle = harness.daemon.handle
    harness.daemon.handle = lambda event: (events.append(event), handle(event))[0]  # type: ignore[assignment,func-returns-value]
    before = harness.daemon.config
    assert apply_site(harness).is_empty
    assert harness.daemon.config is before
    assert [e for e in events if isinstance(e, ev.SettingsChanged)] == []


def test_a_lower_client_bound_rejects_new_clients_and_keeps_connected_ones(harness: PlannerHarness) -> None:
    calls = [harness.connect_client(f"o{n}") for n in range(2)]
    apply_site(harness, ("owners-most 4", "owners-most 2"))
    third = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place")
    third.send(_REQUEST(hello=_REQUEST.Hello(owner="third")))
    with pytest.raises(RpcError) as caught:
        third.recv(WAIT_S)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED
    for n, call in enumerate(calls, 1):
        call.send(place_request(n))
        assert next_event(call, "placed").ask == n


def test_a_higher_client_bound_admits_more_clients(harness: PlannerHarness) -> None:
    apply_site(harness, ("owners-most 4", "owners-most 20"))
    calls = [harness.connect_client(f"o{n}") for n in range(12)]
    assert len(calls) == len(harness.daemon.placement_service.sessions)


def test_epochs_of_connected_clients_are_kept_when_the_client_bound_shrinks(harness: PlannerHarness) -> None:
    """If the epoch of a session were dropped, an old stream of the session would count as a new one."""

    def hello(session: int, epoch: int) -> Any:
        call = open_call(Channel(harness.address), PLACEMENT_SERVICE, "Place")
        call.send(_REQUEST(hello=_REQUEST.Hello(owner="o", session=session, epoch=epoch)))
        return call

    apply_site(harness, ("owners-most 4", "owners-most 8"))
    calls = [hello(session, 5) for session in range(1, 9)]
    for call in calls:
        assert call.recv(WAIT_S).WhichOneof("kind") == "welcome"
    apply_site(harness, ("owners-most 4", "owners-most 1"))
    harness.daemon.placement_service.epochs.accept(("other", 1), 1)
    assert [harness.daemon.placement_service.epochs.accept(("o", session), 5) for session in range(1, 9)] == [
        False
    ] * 8


def test_a_connection_keeps_the_limits_that_it_was_opened_with(harness: PlannerHarness) -> None:
    old = harness.connect_client("old")
    apply_site(harness, ("send-buffer 64k", "send-buffer 1m"), ("message-most 64k", "message-most 256k"))
    new = harness.connect_client("new")
    harness.wait_until(lambda: len(harness.daemon.placement_service.sessions) == 2)
    limits = [
        session.call.stream.connection.limits
        for session in harness.daemon.placement_service.sessions.values()
    ]
    assert [(x.max_unsent_bytes, x.max_message_bytes) for x in limits] == [
        (1 << 16, 1 << 16),
        (1 << 20, 1 << 18),
    ]
    for n, call in enumerate((old, new), 1):
        call.send(place_request(n))
        assert next_event(call, "placed").ask == n


def test_progress_is_dropped_by_the_bound_of_its_own_connection(harness: PlannerHarness) -> None:
    """By the new, larger bound the connection would be closed because of messages that may be dropped."""
    harness.connect_client()
    (session,) = harness.daemon.placement_service.sessions
    call = harness.daemon.placement_service.sessions[session].call
    apply_site(harness, ("send-buffer 64k", "send-buffer 1m"))
    call.stream.unsent_bytes += 40_000  # more than half of this connection's send buffer
    try:
        harness.daemon.placement_service.send(ev.SendToClient(session, ev.Offered(1, 1, 0)))
    finally:
        call.stream.unsent_bytes -= 40_000
    assert harness.daemon.placement_service.dropped_messages == 1


def test_a_changed_list_silence_applies_to_the_open_watch(harness: PlannerHarness) -> None:
    """The stand-in node list service sends a message every half second."""
    watching = harness.daemon.node_list_watch._watch
    assert watching is not None
    apply_site(harness, ("list-silence 2s", "list-silence 100ms"))
    harness.wait_until(lambda: harness.daemon.node_list_watch._watch is not watching)
    assert harness.daemon.core.counts["list_failures"] >= 1


def test_offers_of_a_changed_class_carry_its_new_settings(harness: PlannerHarness) -> None:
    call = harness.connect_client()
    apply_site(harness, ("effect once\n    aim 1s", "effect once\n    priority 3\n    aim 1s"))
    call.send(place_request(1, "report"))
    assert next_event(call, "placed").ask == 1
    (offer,) = harness.offers()
    assert (offer.priority, offer.once) == (3, True)
