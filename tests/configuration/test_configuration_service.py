"""Tests replicas, planners' watches and the operator's client over loopback connections."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from stairplank.configuration import client, startup, state_files, watch
from stairplank.configuration.convert import SERVICE
from stairplank.configuration.errors import RevisionRejectedError
from stairplank.configuration.follower import FETCH_TIMEOUT_US
from stairplank.configuration.publication import PublicationOutcome
from stairplank.configuration.revision import MAX_TEXT_BYTES, NO_REVISION, Revision, make_revision
from stairplank.configuration.server import ReplicaServer
from stairplank.configuration.store import ReplicaState, RevisionText
from stairplank.configuration.watch import ConfigurationWatch
from stairplank.proto import configuration_pb2 as pb
from stairplank.proto import method_path, open_call
from stairplank.rpc import Channel, RpcError

WAIT_S = 20.0
ALLOWED_S = 15.0  # required limit until a change is in force everywhere
TICK_S = 1.0  # allowance for the planner's clock greenlet and for busy threads


def wait_until(condition: Callable[[], Any], wait_s: float = WAIT_S) -> Any:
    """Return the first true result of the condition. Raises AssertionError after ``wait_s``."""
    end = time.monotonic() + wait_s
    while not (result := condition()):
        assert time.monotonic() < end, "the condition did not become true in time"
        gevent.sleep(0.01)
    return result


def text_problems(text: str) -> list[str]:
    return ["1:1: bad"] if text.startswith("bad") else []


class Site:
    """Runs replicas, each with its state file, and planners' watches."""

    def __init__(self, directory: Path, replicas: int) -> None:
        self.directory = directory
        self.replicas = [self.start_replica(n) for n in range(replicas)]
        self.addresses = tuple(replica.server.addresses[0] for replica in self.replicas)
        self.planners: list[Planner] = []

    def start_replica(self, number: int, listen: str = "127.0.0.1:0") -> ReplicaServer:
        replica = ReplicaServer((listen,), self.directory / f"replica-{number}.json", text_problems)
        replica.start()
        return replica

    def kill(self, number: int) -> None:
        self.replicas[number].server.stop(0.0)

    def restart(self, number: int) -> None:
        self.replicas[number] = wait_until(lambda: self._try_restart(number))

    def _try_restart(self, number: int) -> ReplicaServer | None:
        try:
            return self.start_replica(number, self.addresses[number])
        except OSError:
            return None

    def planner(self, number: int, **options: Any) -> Planner:
        planner = Planner(self.addresses, number, **options)
        self.planners.append(planner)
        return planner

    def close(self) -> None:
        for planner in self.planners:
            planner.watch.stop()
        for replica in self.replicas:
            replica.server.stop(0.0)


class Planner:
    """Runs a planner's watch and collects the texts that it puts into force."""

    def __init__(self, replicas: tuple[str, ...], number: int, incarnation: int = 1, **options: Any) -> None:
        self.texts: list[str] = []
        self.watch = ConfigurationWatch(
            replicas, number, incarnation, self.check, self.texts.append, **options
        )
        self.watch.start()

    @staticmethod
    def check(text: str, revision: Revision) -> str:
        if text.startswith("restart"):
            raise RevisionRejectedError("classes may only be added at the end", usable_after_restart=True)
        return text

    @property
    def in_force(self) -> Revision:
        return self.watch.follower.in_force


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    running_site = Site(tmp_path, 3)
    yield running_site
    running_site.close()


def publish(site: Site, text: str, **options: Any) -> Revision:
    result = client.publish(site.addresses, text, **options)
    assert result.outcome is PublicationOutcome.PUBLISHED, result
    return result.revision


def test_a_publication_comes_into_force_at_every_planner_and_the_status_shows_it(site: Site) -> None:
    planners = [site.planner(number) for number in range(7)]
    revision = publish(site, "first")
    wait_until(lambda: all(planner.in_force == revision for planner in planners))
    assert all(planner.texts == ["first"] for planner in planners), (
        "three replicas announce it, but it must be applied once"
    )
    status = wait_until(lambda: _status_if_in_force_everywhere(site, 7))
    assert status.committed == revision == make_revision(1, "first")
    assert len(status.planners) == 7
    assert all(
        summary.delay_us is not None and summary.delay_us < ALLOWED_S * 1e6 for summary in status.planners
    )


def _status_if_in_force_everywhere(site: Site, planners: int) -> client.SiteStatus | None:
    status = client.site_status(site.addresses)
    return status if status.in_force_everywhere(planners) else None


def test_a_revision_is_not_in_force_everywhere_while_a_planner_is_missing(site: Site) -> None:
    site.planner(0)
    publish(site, "first")
    wait_until(lambda: _status_if_in_force_everywhere(site, 1))
    assert not client.site_status(site.addresses).in_force_everywhere(2)


def test_changes_in_a_row_end_with_the_last_one(site: Site) -> None:
    planners = [site.planner(number) for number in range(3)]
    for number in range(30):
        revision = publish(site, f"text {number}")
    wait_until(lambda: all(planner.in_force == revision for planner in planners))
    for planner in planners:
        numbers = [int(text.split()[1]) for text in planner.texts]
        assert numbers == sorted(numbers) and numbers[-1] == 29


def test_one_replica_of_three_may_be_down_and_catches_up(site: Site) -> None:
    planner = site.planner(0)
    site.kill(2)
    first = publish(site, "first")
    wait_until(lambda: planner.in_force == first)
    site.restart(2)
    second = publish(site, "second")
    wait_until(lambda: planner.in_force == second)
    assert site.replicas[2].store.committed == second


def test_without_a_majority_nothing_is_published(site: Site) -> None:
    planner = site.planner(0)
    wait_until(lambda: len(planner.watch.follower.replicas) == 3)
    site.kill(1)
    site.kill(2)
    result = client.publish(site.addresses, "first", timeout_s=1.0)
    assert result.outcome is PublicationOutcome.NO_QUORUM
    assert set(result.unreachable) == set(site.addresses[1:])
    assert planner.in_force == NO_REVISION and site.replicas[0].store.committed == NO_REVISION


def test_one_reachable_replica_is_enough_to_get_the_newest_revision(site: Site) -> None:
    revision = publish(site, "first")
    unreachable = "127.0.0.1:1"
    planner = Planner((unreachable, site.addresses[1]), 0)
    site.planners.append(planner)
    wait_until(lambda: planner.in_force == revision)


def test_planners_that_restart_together_apply_the_revision_again(site: Site) -> None:
    first = [site.planner(number) for number in range(10)]
    revision = publish(site, "first")
    wait_until(lambda: all(planner.in_force == revision for planner in first))
    for planner in first:
        planner.watch.stop()
    second = [site.planner(number, incarnation=2) for number in range(10)]
    wait_until(lambda: all(planner.in_force == revision for planner in second))
    status = wait_until(lambda: _status_if_in_force_everywhere(site, 10))
    assert len(status.planners) == 10, "processes that have ended must not stay in the status"


def test_a_prepared_number_survives_a_restart_of_the_replica(site: Site) -> None:
    publish(site, "first")
    site.replicas[0].store.prepare(9, "reserved")
    state_files.write_state(site.replicas[0].state_file, site.replicas[0].store.state)
    site.kill(0)
    site.restart(0)
    assert site.replicas[0].store.committed == make_revision(1, "first")
    assert publish(site, "second").number == 10, "a reserved number must not be used again"


def test_a_replica_that_cannot_write_its_state_prepares_nothing(tmp_path: Path) -> None:
    replica = ReplicaServer(("127.0.0.1:0",), tmp_path / "missing" / "state.json", text_problems)
    replica.start()
    try:
        result = client.publish((replica.server.addresses[0],), "first", timeout_s=2.0)
        assert result.outcome is PublicationOutcome.NO_QUORUM
        assert replica.store.state == ReplicaState()
    finally:
        replica.server.stop(0.0)


def test_a_text_with_problems_is_rejected_before_it_is_prepared_anywhere(site: Site) -> None:
    result = client.publish(site.addresses, "bad text")
    assert result.outcome is PublicationOutcome.INVALID
    assert result.problems == ("1:1: bad",)
    assert all(replica.store.state == ReplicaState() for replica in site.replicas)


def test_a_text_that_is_too_large_is_rejected(site: Site) -> None:
    result = client.publish(site.addresses, "x" * (MAX_TEXT_BYTES + 1))
    assert result.outcome is PublicationOutcome.INVALID


def test_a_change_from_an_old_base_is_rejected(site: Site) -> None:
    publish(site, "first", base=0)
    result = client.publish(site.addresses, "second", base=0)
    assert result.outcome is PublicationOutcome.CONFLICT
    assert publish(site, "second", base=1).number == 2


def test_a_revision_that_needs_a_restart_is_reported_and_used_at_the_next_start(
    site: Site, tmp_path: Path
) -> None:
    cache_file = tmp_path / "copy.json"
    planner = site.planner(0, cache_file=cache_file)
    revision = publish(site, "restart me")
    summary = wait_until(
        lambda: next((p for p in client.site_status(site.addresses).planners if p.reason), None)
    )
    assert summary.rejected == revision and "added at the end" in summary.reason
    assert planner.in_force == NO_REVISION
    copy = wait_until(lambda: state_files.read_cached_revision(cache_file))
    assert copy == RevisionText(revision, "restart me")
    assert startup.startup_candidates((), cache_file)[0].revision == revision


def test_the_cached_revision_is_the_last_one_in_force(site: Site, tmp_path: Path) -> None:
    cache_file = tmp_path / "copy.json"
    planner = site.planner(0, cache_file=cache_file)
    for number in range(5):
        revision = publish(site, f"text {number}")
    wait_until(lambda: planner.in_force == revision)
    wait_until(lambda: state_files.read_cached_revision(cache_file) == RevisionText(revision, "text 4"))


def test_a_planner_that_starts_prefers_the_newest_and_tolerates_unreachable_replicas(
    site: Site, tmp_path: Path
) -> None:
    cache_file = tmp_path / "copy.json"
    state_files.write_cached_revision(cache_file, RevisionText(make_revision(1, "old"), "old"))
    started_at = time.monotonic()
    assert [s.text for s in startup.startup_candidates(("127.0.0.1:1",), cache_file)] == ["old"]
    assert time.monotonic() - started_at < 2 * startup.LOOKUP_TIMEOUT_S
    publish(site, "first")
    publish(site, "second")
    assert [s.text for s in startup.startup_candidates(site.addresses, cache_file)] == ["second", "old"]


def test_a_damaged_cache_is_ignored(tmp_path: Path) -> None:
    cache_file = tmp_path / "copy.json"
    cache_file.write_text('{"number": "1"')
    assert startup.startup_candidates((), cache_file) == []


def test_a_silent_replica_is_reconnected_within_the_time_allowed(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stream that stays open without messages would hide every change from the planner."""
    monkeypatch.setattr(watch, "SILENCE_TIMEOUT_S", 0.5)
    planner = site.planner(0)
    wait_until(lambda: len(planner.watch.follower.replicas) == 3)
    for replica in site.replicas:
        gevent.killall(list(replica.announcers))
    revision = publish(site, "first")
    wait_until(lambda: planner.in_force == revision, ALLOWED_S)


def test_the_bounds_on_time_add_up_to_less_than_is_allowed() -> None:
    """In the worst case, a stream goes silent, a dial fails and is repeated, and a fetch is not answered."""
    dials_s = watch.DIAL_TIMEOUT_S + watch.MAX_RECONNECT_DELAY_S + watch.DIAL_TIMEOUT_S
    assert watch.SILENCE_TIMEOUT_S + dials_s + FETCH_TIMEOUT_US / 1e6 + TICK_S < ALLOWED_S


def test_a_stream_must_name_its_planner(site: Site) -> None:
    channel = Channel(site.addresses[0])
    try:
        call = open_call(channel, SERVICE, "Follow")
        call.send(pb.FollowRequest(fetch=pb.Revision(number=1)))
        with pytest.raises(RpcError, match="hello"):
            call.recv(WAIT_S)
        response = channel.unary(
            method_path(SERVICE, "Status"), pb.StatusRequest(), pb.StatusResponse.FromString
        )
        assert not response.planners
    finally:
        channel.close()
