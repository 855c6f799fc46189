"""A site's text at a planner on real sockets: taken live, or refused as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from test_daemon import _REQUEST, ROOM, WAIT, World, ask, word

from stairplank.configuration.changes import RestartRequiredError
from stairplank.planner import events as ev
from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import open_call
from stairplank.rpc import Channel, Code, RpcError
from stairplank.settings import SettingsError

OWN = ("planner", "listen", "directory")
SITE = "\n".join(line for line in ROOM.splitlines() if not line.startswith(OWN))
FRESH = "class fresh\n effect repeatable\n aim 1s\n deadline 6s\nend\nkind std"


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


def text(*pairs: tuple[str, str]) -> str:
    out = SITE
    for old, new in pairs:
        assert out.count(old) == 1, old
        out = out.replace(old, new)
    return out


def apply(world: World, *pairs: tuple[str, str]) -> Any:
    return world.daemon.apply_site(world.daemon.prepare_site(text(*pairs), "revision-1"))


def test_a_class_and_a_tenant_come_while_clients_are_connected(world: World) -> None:
    call = world.owner()
    call.send(ask(1, "fresh"))
    assert word(call, "rejected").field == "task.task_class"
    changes = apply(world, ("kind std", f"tenant web share 1\n{FRESH}"))
    assert sorted(changes.keys) == ["class", "tenant"]
    call.send(ask(2, "fresh", tenant="web"))
    assert word(call, "placed", "rejected").ask == 2
    assert len(world.offers()) == 1


def test_preparing_changes_nothing(world: World) -> None:
    before = (world.daemon.config, world.daemon.core.context.settings, world.daemon.server.limits)
    prepared = world.daemon.prepare_site(text(("open-most 50", "open-most 51")), "revision-1")
    assert prepared.max_open_requests == 51
    assert (world.daemon.config, world.daemon.core.context.settings, world.daemon.server.limits) == before


def test_a_text_is_prepared_in_another_thread(world: World) -> None:
    prepare = world.daemon.prepare_site
    prepared = gevent.get_hub().threadpool.apply(
        prepare,
        (text(("aim 1s\n    deadline 6s\nend\nkind", "aim 2s\n    deadline 6s\nend\nkind")), "revision-1"),
    )
    assert prepared.settings.classes[1].latency_objective_us == 2_000_000


def test_a_class_that_is_removed_is_refused_with_all_that_came_with_it(world: World) -> None:
    daemon = world.daemon
    before = (daemon.config, daemon.core.context.settings, daemon.core.module.settings, daemon.server.limits)
    report = "class report\n    effect once\n    aim 1s\n    deadline 6s\nend\n"
    with pytest.raises(RestartRequiredError, match="class: report would be removed"):
        world.daemon.prepare_site(text((report, ""), ("open-most 50", "open-most 1")), "revision-1")
    assert (
        daemon.config,
        daemon.core.context.settings,
        daemon.core.module.settings,
        daemon.server.limits,
    ) == before
    call = world.owner()
    for n in (1, 2):
        call.send(ask(n, "report"))
        assert word(call, "placed").ask == n


def test_a_text_that_is_wrong_says_where(world: World) -> None:
    with pytest.raises(SettingsError, match="revision-7:1:1: seed: unknown keyword"):
        world.daemon.prepare_site("seed 1\n" + SITE.strip(), "revision-7")


def test_a_configuration_that_was_prepared_beside_another_is_looked_at_again(world: World) -> None:
    """Danger: both were good by what was in force; one after the other they would exchange a class."""
    first = world.daemon.prepare_site(text(("kind std", FRESH)), "revision-1")
    second = world.daemon.prepare_site(text(("kind std", FRESH.replace("fresh", "other"))), "revision-2")
    world.daemon.apply_site(first)
    with pytest.raises(RestartRequiredError, match="fresh would be removed"):
        world.daemon.apply_site(second)
    assert world.daemon.config is first


def test_the_same_settings_disturb_nothing(world: World) -> None:
    fed: list[ev.Event] = []
    feed = world.daemon.handle
    world.daemon.handle = lambda event: (fed.append(event), feed(event))[0]  # type: ignore[assignment,func-returns-value]
    before = world.daemon.config
    assert apply(world).is_empty
    assert world.daemon.config is before
    assert [e for e in fed if isinstance(e, ev.SettingsChanged)] == []


def test_fewer_clients_are_let_in_and_those_that_are_here_stay(world: World) -> None:
    calls = [world.owner(f"o{n}") for n in range(2)]
    apply(world, ("owners-most 4", "owners-most 2"))
    third = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place")
    third.send(_REQUEST(hello=_REQUEST.Hello(owner="third")))
    with pytest.raises(RpcError) as caught:
        third.recv(WAIT)
    assert caught.value.code is Code.RESOURCE_EXHAUSTED
    for n, call in enumerate(calls, 1):
        call.send(ask(n))
        assert word(call, "placed").ask == n


def test_more_clients_are_let_in(world: World) -> None:
    apply(world, ("owners-most 4", "owners-most 20"))
    calls = [world.owner(f"o{n}") for n in range(12)]
    assert len(calls) == len(world.daemon.placement_service.sessions)


def test_streams_of_connected_clients_are_known_when_fewer_are_let_in(world: World) -> None:
    """Danger: the old stream of a session that is forgotten would be taken for a new one."""

    def hello(session: int, epoch: int) -> Any:
        call = open_call(Channel(world.address), PLACEMENT_SERVICE, "Place")
        call.send(_REQUEST(hello=_REQUEST.Hello(owner="o", session=session, epoch=epoch)))
        return call

    apply(world, ("owners-most 4", "owners-most 8"))
    calls = [hello(session, 5) for session in range(1, 9)]
    for call in calls:
        assert call.recv(WAIT).WhichOneof("kind") == "welcome"
    apply(world, ("owners-most 4", "owners-most 1"))
    world.daemon.placement_service.epochs.accept(("other", 1), 1)
    assert [world.daemon.placement_service.epochs.accept(("o", session), 5) for session in range(1, 9)] == [
        False
    ] * 8


def test_what_a_connection_was_made_with_stays_with_it(world: World) -> None:
    old = world.owner("old")
    apply(world, ("send-buffer 64k", "send-buffer 1m"), ("message-most 64k", "message-most 256k"))
    new = world.owner("new")
    world.until(lambda: len(world.daemon.placement_service.sessions) == 2)
    limits = [
        session.call.stream.connection.limits for session in world.daemon.placement_service.sessions.values()
    ]
    assert [(x.max_unsent_bytes, x.max_message_bytes) for x in limits] == [
        (1 << 16, 1 << 16),
        (1 << 20, 1 << 18),
    ]
    for n, call in enumerate((old, new), 1):
        call.send(ask(n))
        assert word(call, "placed").ask == n


def test_progress_is_dropped_by_the_bound_of_its_own_connection(world: World) -> None:
    """Danger: by the newer, larger bound the connection would be closed for messages that may be dropped."""
    world.owner()
    (session,) = world.daemon.placement_service.sessions
    call = world.daemon.placement_service.sessions[session].call
    apply(world, ("send-buffer 64k", "send-buffer 1m"))
    call.stream.unsent_bytes += 40_000  # more than half of what this connection may hold
    try:
        world.daemon.placement_service.send(ev.SendToClient(session, ev.Offered(1, 1, 0)))
    finally:
        call.stream.unsent_bytes -= 40_000
    assert world.daemon.placement_service.dropped_messages == 1


def test_a_list_that_is_silent_is_given_up_by_the_new_time(world: World) -> None:
    """The stand-in's list sends a message each half second."""
    watching = world.daemon.node_list_watch._watch
    assert watching is not None
    apply(world, ("list-silence 2s", "list-silence 100ms"))
    world.until(lambda: world.daemon.node_list_watch._watch is not watching)
    assert world.daemon.core.counts["list_failures"] >= 1


def test_offers_of_a_changed_class_carry_its_terms(world: World) -> None:
    call = world.owner()
    apply(world, ("effect once\n    aim 1s", "effect once\n    priority 3\n    aim 1s"))
    call.send(ask(1, "report"))
    assert word(call, "placed").ask == 1
    (offer,) = world.offers()
    assert (offer.priority, offer.once) == (3, True)
