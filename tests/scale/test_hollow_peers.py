"""Hollow workers and the hollow list speak the protocol, and count what they exchange."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from stairplank.platform import jsonlines
from stairplank.platform.messages import Cause, Kind, Message
from stairplank.scale.hollow_list import HollowList
from stairplank.scale.hollow_workers import WorkerHost, description, life_of
from stairplank.scale.loopback import Listener, address_for, planner_at

WAIT_S = 5.0
TASK, CHECK = "00000000000000a1", "80000000000000b2"


class Planner:
    """A scripted planner's connection to a peer."""

    def __init__(self, number: int, port: int) -> None:
        self.sock = socket.create_connection((address_for(number), port), WAIT_S)
        self.sock.settimeout(WAIT_S)
        self.read_bytes = self.written_bytes = 0
        self._data = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)
        self.written_bytes += len(data)

    def say(self, message: Message) -> None:
        self.send(jsonlines.encode(message))

    def line(self) -> bytes:
        while b"\n" not in self._data:
            data = self.sock.recv(65_536)
            assert data, "the connection has ended"
            self._data += data
        line, _, self._data = self._data.partition(b"\n")
        self.read_bytes += len(line) + 1
        return line

    def message(self) -> Message:
        return jsonlines.decode(self.line())

    def set_up(self, life_s: float = 0.0, id: str = TASK) -> None:
        fields = {"class": "task", "key": id, "left": "5000"}
        self.say(Message(Kind.PLACE, id, fields, body=description(life_s)))


def until(reached: Callable[[], Any]) -> None:
    with gevent.Timeout(WAIT_S):
        while not reached():
            gevent.sleep(0.01)


@pytest.fixture
def host() -> Iterator[WorkerHost]:
    host = WorkerHost()
    yield host
    host.crash(list(host._workers))


def port_of(host: WorkerHost, count: int = 1) -> int:
    return int(host.start(0, count, zones=2, rack_size=2)[0]["port"])


def test_every_planner_has_a_loopback_address_of_its_own() -> None:
    planners = range(600)
    assert len({address_for(planner) for planner in planners}) == len(planners)
    assert [planner_at(address_for(planner)) for planner in planners] == list(planners)


def test_a_conversation_is_answered_and_counted_for_its_planner(host: WorkerHost) -> None:
    planner = Planner(3, port_of(host))
    planner.say(Message(Kind.HEALTH_CHECK, CHECK, cause=1))
    checked = planner.message()
    assert (checked.kind, checked.id, checked.cause) == (Kind.HEALTH_CHECK_RESULT, CHECK, 1)
    assert checked.fields["load"].startswith("x0:30;x1:90;utilization:")
    control_bytes = planner.read_bytes + planner.written_bytes
    planner.set_up()
    answer = planner.message()
    assert (answer.kind, answer.body) == (Kind.ANSWER, "worker-00000")
    assert host.snapshot()["task_machines"] == {3: 1}
    planner.say(Message(Kind.RELEASE, TASK, cause=int(Cause.CANCELLED)))
    assert planner.message().kind is Kind.ACKNOWLEDGEMENT
    snapshot = host.snapshot()
    counts = snapshot["traffic"][3]
    assert snapshot["tasks"] == 0 and list(snapshot["traffic"]) == [3]
    assert (counts["dials"], counts["control_messages"], counts["task_messages"]) == (1, 2, 4)
    assert counts["control_bytes"] == control_bytes
    assert counts["task_bytes"] == planner.read_bytes + planner.written_bytes - control_bytes
    assert counts["connection_seconds"] > 0


def test_a_task_ends_after_its_life_until_its_planner_has_confirmed(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.set_up(life_s=0.05)
    assert planner.message().kind is Kind.ANSWER
    ended = planner.message()
    assert (ended.kind, ended.id, ended.cause) == (Kind.RELEASE, TASK, Cause.ENDED)
    again = Planner(0, port)
    assert again.message() == ended
    again.say(Message(Kind.ACKNOWLEDGEMENT, TASK))
    until(lambda: not any(host._workers["worker-00000"]._unconfirmed.values()))
    last = Planner(0, port)
    last.say(Message(Kind.HEALTH_CHECK, CHECK, cause=0))
    assert last.message().kind is Kind.HEALTH_CHECK_RESULT


def test_an_end_is_said_to_the_tasks_own_planner(host: WorkerHost) -> None:
    port = port_of(host)
    first, other = Planner(0, port), Planner(1, port)
    first.set_up(life_s=0.05)
    assert first.message().kind is Kind.ANSWER
    assert first.message().kind is Kind.RELEASE
    other.sock.settimeout(0.1)
    with pytest.raises(TimeoutError):
        other.line()


def test_a_crash_resets_connections_and_refuses_dials_until_it_starts_again(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.set_up()
    planner.message()
    host.crash(["worker-00000"])
    with pytest.raises(OSError):
        planner.line()
    with pytest.raises(ConnectionRefusedError):
        Planner(0, port)
    (row,) = host.start_again(["worker-00000"])
    assert row["port"] == port and row["born_ms"] > 0
    Planner(0, port).set_up()
    until(lambda: host.snapshot()["tasks"] == 1)


def test_a_silent_worker_answers_neither_dials_nor_messages(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.set_up()
    planner.message()
    host.fall_silent(["worker-00000"])
    planner.say(Message(Kind.HEALTH_CHECK, CHECK, cause=0))
    planner.sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        planner.line()
    with pytest.raises(TimeoutError):
        socket.create_connection((address_for(0), port), 0.3)
    host.speak_again(["worker-00000"])
    planner.sock.settimeout(WAIT_S)
    assert planner.message().kind is Kind.HEALTH_CHECK_RESULT
    assert host.snapshot()["tasks"] == 1
    Planner(0, port)


def test_a_line_that_cannot_be_read_ends_its_connection(host: WorkerHost) -> None:
    planner = Planner(0, port_of(host))
    planner.send(b"nonsense\n")
    assert planner.sock.recv(10) == b""


def test_life_of_a_description() -> None:
    assert life_of(description(2.5)) == 2.5
    assert life_of(None) == life_of("something else") == 0.0


def test_a_listener_is_for_this_machine_alone() -> None:
    listener = Listener()
    sock = listener._sock
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, 16).rstrip(b"\0") == b"lo"
    listener.close()


ROW = {"host": "w", "port": 4100, "health": "SERVING", "spare": [30.0, 90.0]}


def test_the_list_tells_each_planner_its_own_addresses_and_then_changes() -> None:
    node_list = HollowList()
    node_list.publish([ROW])
    planner = Planner(5, node_list.start())
    planner.send(b"watch 0\n")
    whole = json.loads(planner.line())
    assert whole["pool"]["whole"] and whole["rev"] == 1
    assert whole["pool"]["hosts"][0]["dial"] == f"{address_for(5)}:4100"
    node_list.publish([ROW | {"health": "DRAINING"}])
    change = json.loads(planner.line())
    assert (change["rev"], change["pool"]["whole"]) == (2, False)
    assert json.loads(planner.line()) == {"rev": 2}
    counts = node_list.snapshot()["traffic"][5]
    assert counts["control_bytes"] == planner.read_bytes + planner.written_bytes
    assert counts["control_messages"] == 4


def test_a_later_watch_is_told_what_came_after_its_number() -> None:
    node_list = HollowList()
    for spare in (1.0, 2.0, 3.0):
        node_list.publish([ROW | {"spare": [spare, 1.0]}])
    planner = Planner(0, node_list.start())
    planner.send(b"watch 2\n")
    notice = json.loads(planner.line())
    assert notice["rev"] == 3 and not notice["pool"]["whole"]
    assert notice["pool"]["hosts"][0]["spare"] == [3.0, 1.0]


def test_a_delisted_worker_is_in_no_whole_list_any_more() -> None:
    node_list = HollowList()
    node_list.publish([ROW, ROW | {"host": "v"}])
    node_list.publish([ROW | {"health": "DELETED"}])
    planner = Planner(0, node_list.start())
    planner.send(b"watch 0\n")
    assert [row["host"] for row in json.loads(planner.line())["pool"]["hosts"]] == ["v"]


def test_the_list_changes_at_the_rate_that_is_asked_for() -> None:
    node_list = HollowList()
    node_list.publish([ROW])
    node_list.change(per_s=100.0, seconds=0.2)
    until(lambda: node_list._revision == 21)
