"""Tests that hollow workers and the hollow node list speak the protocol and count their traffic."""

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
    """Connects to a hollow peer as a planner and sends scripted messages."""

    def __init__(self, number: int, port: int) -> None:
        self.sock = socket.create_connection((address_for(number), port), WAIT_S)
        self.sock.settimeout(WAIT_S)
        self.read_bytes = self.written_bytes = 0
        self._data = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)
        self.written_bytes += len(data)

    def send_message(self, message: Message) -> None:
        self.send(jsonlines.encode(message))

    def read_line(self) -> bytes:
        while b"\n" not in self._data:
            data = self.sock.recv(65_536)
            assert data, "the peer closed the connection"
            self._data += data
        line, _, self._data = self._data.partition(b"\n")
        self.read_bytes += len(line) + 1
        return line

    def read_message(self) -> Message:
        return jsonlines.decode(self.read_line())

    def send_placement(self, duration_s: float = 0.0, id: str = TASK) -> None:
        fields = {"class": "task", "key": id, "left": "5000"}
        self.send_message(Message(Kind.PLACE, id, fields, body=description(duration_s)))


def wait_until(condition: Callable[[], Any]) -> None:
    with gevent.Timeout(WAIT_S):
        while not condition():
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


def test_a_planners_messages_are_answered_and_counted(host: WorkerHost) -> None:
    planner = Planner(3, port_of(host))
    planner.send_message(Message(Kind.HEALTH_CHECK, CHECK, cause=1))
    checked = planner.read_message()
    assert (checked.kind, checked.id, checked.cause) == (Kind.HEALTH_CHECK_RESULT, CHECK, 1)
    assert checked.fields["load"].startswith("x0:30;x1:90;utilization:")
    control_bytes = planner.read_bytes + planner.written_bytes
    planner.send_placement()
    answer = planner.read_message()
    assert (answer.kind, answer.body) == (Kind.ANSWER, "worker-00000")
    assert host.snapshot()["task_machines"] == {3: 1}
    planner.send_message(Message(Kind.RELEASE, TASK, cause=int(Cause.CANCELLED)))
    assert planner.read_message().kind is Kind.ACKNOWLEDGEMENT
    snapshot = host.snapshot()
    counts = snapshot["traffic"][3]
    assert snapshot["tasks"] == 0 and list(snapshot["traffic"]) == [3]
    assert (counts["dials"], counts["control_messages"], counts["task_messages"]) == (1, 2, 4)
    assert counts["control_bytes"] == control_bytes
    assert counts["task_bytes"] == planner.read_bytes + planner.written_bytes - control_bytes
    assert counts["connection_seconds"] > 0


def test_a_tasks_end_is_sent_again_until_its_planner_acknowledges_it(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.send_placement(duration_s=0.05)
    assert planner.read_message().kind is Kind.ANSWER
    ended = planner.read_message()
    assert (ended.kind, ended.id, ended.cause) == (Kind.RELEASE, TASK, Cause.ENDED)
    reconnected = Planner(0, port)
    assert reconnected.read_message() == ended
    reconnected.send_message(Message(Kind.ACKNOWLEDGEMENT, TASK))
    wait_until(lambda: not any(host._workers["worker-00000"]._unconfirmed.values()))
    last = Planner(0, port)
    last.send_message(Message(Kind.HEALTH_CHECK, CHECK, cause=0))
    assert last.read_message().kind is Kind.HEALTH_CHECK_RESULT


def test_a_tasks_end_is_sent_only_to_its_own_planner(host: WorkerHost) -> None:
    port = port_of(host)
    first, other = Planner(0, port), Planner(1, port)
    first.send_placement(duration_s=0.05)
    assert first.read_message().kind is Kind.ANSWER
    assert first.read_message().kind is Kind.RELEASE
    other.sock.settimeout(0.1)
    with pytest.raises(TimeoutError):
        other.read_line()


def test_a_crash_resets_connections_and_refuses_dials_until_it_starts_again(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.send_placement()
    planner.read_message()
    host.crash(["worker-00000"])
    with pytest.raises(OSError):
        planner.read_line()
    with pytest.raises(ConnectionRefusedError):
        Planner(0, port)
    (row,) = host.start_again(["worker-00000"])
    assert row["port"] == port and row["born_ms"] > 0
    Planner(0, port).send_placement()
    wait_until(lambda: host.snapshot()["tasks"] == 1)


def test_a_silent_worker_answers_neither_dials_nor_messages(host: WorkerHost) -> None:
    port = port_of(host)
    planner = Planner(0, port)
    planner.send_placement()
    planner.read_message()
    host.fall_silent(["worker-00000"])
    planner.send_message(Message(Kind.HEALTH_CHECK, CHECK, cause=0))
    planner.sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        planner.read_line()
    with pytest.raises(TimeoutError):
        socket.create_connection((address_for(0), port), 0.3)
    host.speak_again(["worker-00000"])
    planner.sock.settimeout(WAIT_S)
    assert planner.read_message().kind is Kind.HEALTH_CHECK_RESULT
    assert host.snapshot()["tasks"] == 1
    Planner(0, port)


def test_an_invalid_line_closes_its_connection(host: WorkerHost) -> None:
    planner = Planner(0, port_of(host))
    planner.send(b"nonsense\n")
    assert planner.sock.recv(10) == b""


def test_a_description_gives_the_tasks_duration() -> None:
    assert life_of(description(2.5)) == 2.5
    assert life_of(None) == life_of("something else") == 0.0


def test_a_listener_is_bound_to_the_loopback_device() -> None:
    listener = Listener()
    sock = listener._sock
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, 16).rstrip(b"\0") == b"lo"
    listener.close()


ROW = {"host": "w", "port": 4100, "health": "SERVING", "spare": [30.0, 90.0]}


def test_the_list_sends_each_planner_its_own_addresses_and_later_changes() -> None:
    node_list = HollowList()
    node_list.publish([ROW])
    planner = Planner(5, node_list.start())
    planner.send(b"watch 0\n")
    whole = json.loads(planner.read_line())
    assert whole["pool"]["whole"] and whole["rev"] == 1
    assert whole["pool"]["hosts"][0]["dial"] == f"{address_for(5)}:4100"
    node_list.publish([ROW | {"health": "DRAINING"}])
    change = json.loads(planner.read_line())
    assert (change["rev"], change["pool"]["whole"]) == (2, False)
    assert json.loads(planner.read_line()) == {"rev": 2}
    counts = node_list.snapshot()["traffic"][5]
    assert counts["control_bytes"] == planner.read_bytes + planner.written_bytes
    assert counts["control_messages"] == 4


def test_a_watch_receives_only_changes_after_its_revision() -> None:
    node_list = HollowList()
    for spare in (1.0, 2.0, 3.0):
        node_list.publish([ROW | {"spare": [spare, 1.0]}])
    planner = Planner(0, node_list.start())
    planner.send(b"watch 2\n")
    notice = json.loads(planner.read_line())
    assert notice["rev"] == 3 and not notice["pool"]["whole"]
    assert notice["pool"]["hosts"][0]["spare"] == [3.0, 1.0]


def test_a_whole_list_omits_a_delisted_worker() -> None:
    node_list = HollowList()
    node_list.publish([ROW, ROW | {"host": "v"}])
    node_list.publish([ROW | {"health": "DELETED"}])
    planner = Planner(0, node_list.start())
    planner.send(b"watch 0\n")
    assert [row["host"] for row in json.loads(planner.read_line())["pool"]["hosts"]] == ["v"]


def test_the_list_changes_at_the_requested_rate() -> None:
    node_list = HollowList()
    node_list.publish([ROW])
    node_list.change(per_s=100.0, seconds=0.2)
    wait_until(lambda: node_list._revision == 21)
