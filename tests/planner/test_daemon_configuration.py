"""Real planner processes that follow the configuration service: in force at all of them, over kills and
restarts, and with replicas out of reach."""

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
ALLOWED_S = 15.0
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
FRESH = "class fresh\n    effect repeatable\n    aim 2s\n    deadline 6s\nend\n"
KEYED = "class worker\n    effect keyed\n    group all\n    window 5s\n    aim 2s\n    deadline 6s\nend\n"


def until(what: Callable[[], Any], wait_s: float = WAIT_S) -> Any:
    """The first true value. Raises AssertionError after the wait."""
    end = time.monotonic() + wait_s
    while not (found := what()):
        assert time.monotonic() < end, "it did not come about"
        gevent.sleep(0.02)
    return found


class Site:
    """Replicas in this process, planners as processes of their own."""

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
        """Start that planner, in a process that ends with this one."""
        lines = [
            f"planner {number} of {PLANNERS}",
            f"listen {self.socket(number)}",
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

    def socket(self, number: int) -> str:
        return f"unix:{self.folder}/p{number}.sock"

    def kill(self, number: int) -> None:
        process = self.planners.pop(number)
        process.send_signal(signal.SIGKILL)
        process.wait(10)

    def publish(self, more: str = "") -> Revision:
        result = client.publish(self.addresses, SITE.format(more=more))
        assert result.outcome is PublicationOutcome.PUBLISHED, result
        return result.revision

    def everywhere(self, planners: int = PLANNERS) -> client.SiteStatus | None:
        status = client.site_status(self.addresses)
        return status if status.in_force_everywhere(planners) else None

    def answer(self, number: int, task_class: str) -> str:
        """What that planner says to a task of that class: rejected, or taken."""
        channel = Channel(self.socket(number))
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
    made = Site(tmp_path)
    yield made
    made.close()


def test_a_change_is_in_force_everywhere_over_kills_restarts_and_lost_replicas(site: Site) -> None:
    for number in range(PLANNERS):
        site.start(number)
    until(lambda: site.everywhere())
    assert site.answer(0, "fresh") == "rejected"
    # A change while all run.
    began = time.monotonic()
    site.publish(FRESH)
    until(lambda: site.everywhere(), ALLOWED_S)
    assert time.monotonic() - began < ALLOWED_S
    assert {site.answer(number, "fresh") for number in range(PLANNERS)} == {"taken"}
    # One planner is killed, a change is published without it, and it comes back.
    site.kill(1)
    later = site.publish(FRESH + FRESH.replace("fresh", "later"))
    site.start(1)
    status = until(lambda: site.everywhere(), ALLOWED_S)
    assert status.committed == later
    assert {site.answer(number, "later") for number in range(PLANNERS)} == {"taken"}
    # Every replica is gone and all planners start again: each has its copy.
    copies = [site.folder / f"planner-{number}.copy" for number in range(PLANNERS)]
    until(lambda: all(_number(copy) == later.number for copy in copies))
    for replica in site.replicas:
        replica.server.stop(0.0)
    for number in range(PLANNERS):
        site.kill(number)
        site.start(number)
    for number in range(PLANNERS):
        until(lambda number=number: site.answer(number, "later") == "taken")


def _number(copy: Path) -> int:
    try:
        return int(json.loads(copy.read_text())["number"])
    except (OSError, ValueError):
        return 0


def test_what_needs_a_restart_is_reported_by_every_planner_and_taken_as_it_restarts(site: Site) -> None:
    site.start(0)
    until(lambda: site.everywhere(1))
    text = SITE.format(more="").replace(SITE[: SITE.index("{more}")], "\n" + KEYED)
    result = client.publish(site.addresses, text)
    assert result.outcome is PublicationOutcome.PUBLISHED
    line = until(lambda: next((p for p in client.site_status(site.addresses).planners if p.reason), None))
    assert line.rejected == result.revision and "needs a restart" in line.reason and "effect" in line.reason
    site.kill(0)
    site.start(0)
    until(lambda: site.everywhere(1), ALLOWED_S)
