"""Real planner processes that follow the configuration service.

A revision comes into force at all planners, despite kills, restarts and unreachable replicas.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from stairplank.configuration import client
from stairplank.configuration.publication import PublicationOutcome
from stairplank.configuration.revision import Revision
from stairplank.configuration.server import ReplicaServer
from stairplank.configuration.validation import text_problems
from stairplank.planner.services import PLACEMENT_SERVICE
from stairplank.proto import common_pb2, open_call, placement_pb2
from stairplank.rpc import Channel, RpcError

PLANNERS = 3
REPLICAS = 3
PROPAGATION_LIMIT_S = 15.0
WAIT_S = 30.0
SITE = """
class worker
    effect repeatable
    aim 2s
    deadline 6s
end
{more}kind std cores 8 memory 16
zone a
mean-cores 1
mean-memory 2
"""
FRESH_CLASS = "class fresh\n    effect repeatable\n    aim 2s\n    deadline 6s\nend\n"
KEYED_WORKER = (
    "class worker\n    effect keyed\n    group all\n    window 5s\n    aim 2s\n    deadline 6s\nend\n"
)


def wait_until(condition: Callable[[], Any], wait_s: float = WAIT_S) -> Any:
    """Wait until the condition is true and return its value. Raises AssertionError after ``wait_s``."""
    end = time.monotonic() + wait_s
    while not (value := condition()):
        assert time.monotonic() < end, "the condition did not become true in time"
        gevent.sleep(0.02)
    return value


class Site:
    """A site whose replicas run in this process, and each planner in a process of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.replicas = [self._replica(number) for number in range(REPLICAS)]
        self.addresses = tuple(replica.server.addresses[0] for replica in self.replicas)
        self.planners: dict[int, subprocess.Popen[bytes]] = {}

    def _replica(self, number: int) -> ReplicaServer:
        replica = ReplicaServer(("127.0.0.1:0",), self.folder / f"replica-{number}.json", text_problems)
        replica.start()
        return replica

    def start(self, number: int) -> None:
        """Start a planner in a process that ends when this one does."""
        lines = [
            f"planner {number} of {PLANNERS}",
            f"listen {self.socket_address(number)}",
            f"directory unix:{self.folder}/nobody.sock",
            f"configuration-copy {self.folder}/planner-{number}.copy",
            *(f"configuration {address}" for address in self.addresses),
            SITE.format(more=""),
        ]
        file = self.folder / f"planner-{number}.conf"
        file.write_text("\n".join(lines))
        command = [sys.executable, "-m", "stairplank", "--log-level", "error", "--end-with-stdin"]
        command += ["planner", str(file)]
        self.planners[number] = subprocess.Popen(command, stdin=subprocess.PIPE)

    def socket_address(self, number: int) -> str:
        return f"unix:{self.folder}/p{number}.sock"

    def kill(self, number: int) -> None:
        process = self.planners.pop(number)
        process.send_signal(signal.SIGKILL)
        process.wait(10)

    def publish(self, extra_classes: str = "") -> Revision:
        result = client.publish(self.addresses, SITE.format(more=extra_classes))
        assert result.outcome is PublicationOutcome.PUBLISHED, result
        return result.revision

    def status_if_in_force(self, planners: int = PLANNERS) -> client.SiteStatus | None:
        status = client.site_status(self.addresses)
        return status if status.in_force_everywhere(planners) else None

    def first_answer(self, number: int, task_class: str) -> str:
        """Request a task of a class from a planner. Returns ``rejected``, ``taken`` or the error text."""
        channel = Channel(self.socket_address(number))
        try:
            call = open_call(channel, PLACEMENT_SERVICE, "Place")
            request = placement_pb2.PlaceRequest
            call.send(request(hello=request.Hello(owner="test")))
            assert call.recv(WAIT_S).WhichOneof("kind") == "welcome"
            task = common_pb2.Task(key=7, task_class=task_class, service=1, cores=1, memory=1)
            call.send(request(ask=request.Ask(ask=1, task=task, wait_us=5_000_000)))
            while (kind := call.recv(WAIT_S).WhichOneof("kind")) not in ("taken", "rejected"):
                pass
            return str(kind)
        except RpcError as error:
            return str(error)
        finally:
            channel.close()

    def close(self) -> None:
        for number in list(self.planners):
            self.kill(number)
        for replica in self.replicas:
            replica.server.stop(0.0)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    site.close()


def test_a_change_comes_into_force_at_all_planners_despite_kills_restarts_and_lost_replicas(
    site: Site,
) -> None:
    for number in range(PLANNERS):
        site.start(number)
    wait_until(lambda: site.status_if_in_force())
    assert site.first_answer(0, "fresh") == "rejected"
    # A change is published while all planners run.
    published_at = time.monotonic()
    site.publish(FRESH_CLASS)
    wait_until(lambda: site.status_if_in_force(), PROPAGATION_LIMIT_S)
    assert time.monotonic() - published_at < PROPAGATION_LIMIT_S
    assert {site.first_answer(number, "fresh") for number in range(PLANNERS)} == {"taken"}
    # One planner is killed, a change is published without it, and it starts again.
    site.kill(1)
    later_revision = site.publish(FRESH_CLASS + FRESH_CLASS.replace("fresh", "later"))
    site.start(1)
    status = wait_until(lambda: site.status_if_in_force(), PROPAGATION_LIMIT_S)
    assert status.committed == later_revision
    assert {site.first_answer(number, "later") for number in range(PLANNERS)} == {"taken"}
    # All replicas are stopped and all planners start again: each planner uses its copy of the configuration.
    copies = [site.folder / f"planner-{number}.copy" for number in range(PLANNERS)]
    wait_until(lambda: all(_copied_revision(copy) == later_revision.number for copy in copies))
    for replica in site.replicas:
        replica.server.stop(0.0)
    for number in range(PLANNERS):
        site.kill(number)
        site.start(number)
    for number in range(PLANNERS):
        wait_until(lambda number=number: site.first_answer(number, "later") == "taken")


def _copied_revision(copy_file: Path) -> int:
    try:
        return int(json.loads(copy_file.read_text())["number"])
    except (OSError, ValueError):
        return 0


def test_a_restart_only_change_is_reported_and_applied_at_the_restart(site: Site) -> None:
    site.start(0)
    wait_until(lambda: site.status_if_in_force(1))
    text = SITE.format(more="").replace(SITE[: SITE.index("{more}")], "\n" + KEYED_WORKER)
    result = client.publish(site.addresses, text)
    assert result.outcome is PublicationOutcome.PUBLISHED
    planner_status = wait_until(
        lambda: next((p for p in client.site_status(site.addresses).planners if p.reason), None)
    )
    assert (
        planner_status.rejected == result.revision
        and "needs a restart" in planner_status.reason
        and "effect" in planner_status.reason
    )
    site.kill(0)
    site.start(0)
    wait_until(lambda: site.status_if_in_force(1), PROPAGATION_LIMIT_S)
