"""Builds captures for the checker's tests: real HTTP/2 bytes of invented calls, with or without a breach."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import h2.config
import h2.connection

from stairplank.proto import common_pb2, directory_pb2, node_pb2, placement_pb2
from stairplank.rehearsal import capture
from stairplank.rehearsal.checker import Breach, Checker
from stairplank.rehearsal.run import judge

MS = 1_000
SECOND = 1_000_000
CLASSES = [
    ("worker", "repeatable", "all", 0, "node", 1),
    ("ingest", "keyed", "group", 8 * SECOND, "group", 3),
    ("spread-all", "keyed", "all", 8 * SECOND, "none", 0),
    ("report", "once", "all", 0, "zone", 2),
]
FACTS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "effect": effect,
            "scope": scope,
            "window_us": window,
            "deadline_us": 6 * SECOND,
            "aim_us": SECOND,
            "spread": spread,
            "spread_most": most,
        }
        for name, effect, scope, window, spread, most in CLASSES
    ],
    "answer_slack_us": 50 * MS,
    "drain_grace_us": 250 * MS,
    "cold_us": 10 * SECOND,
    "cold_share": 0.2,
    "fall_us": 1500 * MS,
    "fall_multiple": 2.0,
    "fresh_offers": 5.0,
    "max_attempts": 3,
    "planners": 2,
    "starts_per_s": {str(n): 2.0 for n in range(1, 9)},
    "begin_us": 0,
}


class CaptureBuilder:
    """Writes a capture; ``at`` is the time of the next message."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.at = 100 * SECOND
        self.held: set[tuple[int, int]] = (
            set()
        )  # link and direction in which bytes that are read are not forwarded
        self.file = path.open("wb")
        self.writer = capture.Writer(self.file, FACTS)
        self.links = 0

    def link(self, to: str, path: str) -> Link:
        self.links += 1
        return Link(self, self.links, to, path)

    def wait(self, us: int) -> None:
        self.at += us

    def judge(self) -> Checker:
        """Close the capture, check it and return the checker."""
        self.file.close()
        checker, problems, _ = judge(self.path)
        assert not problems
        return checker

    def breaches(self) -> list[tuple[int, str]]:
        return [(b.rule, b.clause) for b in self.judge().breaches]

    def only(self) -> Breach:
        """Check the capture and return its single breach."""
        (breach,) = self.judge().breaches
        assert breach.evidence
        return breach


class Link:
    """A connection with one call; h2 implements both of its ends."""

    def __init__(self, builder: CaptureBuilder, number: int, to: str, path: str) -> None:
        self.builder, self.number = builder, number
        self.read_bytes = {capture.FROM_DIALLER: 0, capture.FROM_LISTENER: 0}
        builder.writer.write(capture.OPEN, builder.at, number, b'{"to": "%s"}' % to.encode())
        self.near = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self.far = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self.near.initiate_connection()
        self.far.initiate_connection()
        headers = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x")]
        self.near.send_headers(1, [*headers, ("content-type", "application/grpc")])
        self.flush()
        self.far.send_headers(1, [(":status", "200"), ("content-type", "application/grpc")])
        self.flush()

    def flush(self) -> None:
        for _ in range(2):
            for end, other, kind in (
                (self.near, self.far, capture.FROM_DIALLER),
                (self.far, self.near, capture.FROM_LISTENER),
            ):
                data = end.data_to_send()
                if data:
                    self.builder.writer.write(kind, self.builder.at, self.number, data)
                    self.read_bytes[kind] += len(data)
                    if (self.number, kind) not in self.builder.held:
                        self.forward(kind)
                    other.receive_data(data)

    def forward(self, kind: int) -> None:
        self.builder.writer.counted(capture.HANDED[kind], self.builder.at, self.number, self.read_bytes[kind])

    def hold(self, kind: int) -> None:
        """Do not forward what is sent in this direction until ``release``."""
        self.builder.held.add((self.number, kind))

    def release(self, kind: int) -> None:
        self.builder.held.discard((self.number, kind))
        self.forward(kind)

    def send_from_dialler(self, message: Any) -> None:
        self._send(self.near, message)

    def send_from_listener(self, message: Any) -> None:
        self._send(self.far, message)

    def _send(self, end: Any, message: Any) -> None:
        raw = message.SerializeToString()
        end.send_data(1, b"\0" + len(raw).to_bytes(4, "big") + raw)
        self.flush()
        self.builder.wait(MS)

    def close(self) -> None:
        self.builder.writer.write(capture.DIALLER_CLOSED, self.builder.at, self.number)
        self.builder.writer.write(capture.LISTENER_CLOSED, self.builder.at, self.number)


def task(key: int, class_name: str, service: int = 5) -> Any:
    return common_pb2.Task(owner="o", key=key, task_class=class_name, service=service, cores=1, memory=1)


class PlaceStream:
    """An owner's Place stream to a planner."""

    def __init__(self, builder: CaptureBuilder, planner: int = 0, life: int = 70) -> None:
        self.link = builder.link(f"planner {planner}", "/stairplank.v1.Placement/Place")
        self.life = life
        self.event = placement_pb2.PlaceEvent
        self.request = placement_pb2.PlaceRequest
        self.link.send_from_dialler(self.request(hello=self.request.Hello(owner="o")))
        self.link.send_from_listener(self.event(welcome=self.event.Welcome(planner=planner, life=life)))

    def ask(
        self,
        n: int,
        class_name: str = "worker",
        wait: int = 6 * SECOND,
        key: int = 0,
        take: bool = True,
        stamped: bool = True,
    ) -> None:
        sent = common_pb2.Sent(grant=1) if stamped else None
        ask = self.request.Ask(ask=n, task=task(key or n, class_name), wait_us=wait, sent=sent)
        self.link.send_from_dialler(self.request(ask=ask))
        if take:
            self.send("taken", n, placing=n)

    def ask_group(self, n: int, count: int, wait: int = 6 * SECOND) -> None:
        members = [task(100 * n + i, "worker", 50 + i) for i in range(count)]
        self.link.send_from_dialler(
            self.request(ask_group=self.request.AskGroup(ask=n, members=members, wait_us=wait))
        )
        self.send("taken", n, placing=n)

    def send_group(self, kind: str, n: int, **fields: Any) -> None:
        name = "".join(part.capitalize() for part in kind.split("_"))
        self.link.send_from_listener(self.event(**{kind: getattr(self.event, name)(ask=n, **fields)}))

    def send(self, kind: str, n: int, **fields: Any) -> None:
        part = getattr(self.event, kind[0].upper() + kind[1:])(ask=n, **fields)
        self.link.send_from_listener(self.event(**{kind: part}))

    def withdraw(self, n: int) -> None:
        self.link.send_from_dialler(self.request(withdraw=self.request.Withdraw(ask=n)))


class OfferStream:
    """A planner's Offers stream to a node."""

    def __init__(
        self,
        builder: CaptureBuilder,
        node: int,
        planner: int = 0,
        life: int = 70,
        started: int = 0,
        draining: bool = False,
    ) -> None:
        self.node, self.life, self.builder = node, life, builder
        self.link = builder.link(f"node {node}", "/stairplank.v1.Node/Offers")
        self.event = node_pb2.OfferEvent
        self.request = node_pb2.OfferRequest
        self.link.send_from_dialler(self.request(hello=self.request.Hello(planner=planner, life=life)))
        welcome = self.event.Welcome(node=node, started_unix_us=started, draining=draining)
        self.link.send_from_listener(self.event(welcome=welcome))

    def id(self, placing: int, attempt: int, life: int | None = None) -> Any:
        return common_pb2.AttemptId(life=life or self.life, placing=placing, attempt=attempt)

    def offer(
        self,
        placing: int,
        attempt: int = 0,
        class_name: str = "worker",
        wait: int = 5 * SECOND,
        service: int = 5,
        key: int = 0,
        life: int | None = None,
    ) -> None:
        offer = self.request.Offer(
            id=self.id(placing, attempt, life), task=task(key or placing, class_name, service), wait_us=wait
        )
        self.link.send_from_dialler(self.request(offer=offer))

    def member(self, group: int, member: int, size: int, placing: int, wait: int = 2 * SECOND) -> None:
        tag = node_pb2.GroupMember(life=self.life, group=group, size=size, member=member, lease_us=SECOND)
        offer = self.request.Offer(
            id=self.id(placing, 0), task=task(100 + member, "worker", 50 + member), wait_us=wait, group=tag
        )
        self.link.send_from_dialler(self.request(offer=offer))

    def commit(self, *placings: int) -> None:
        ids = [self.id(p, 0) for p in placings]
        self.link.send_from_dialler(self.request(commit=self.request.Commit(ids=ids, lease_us=SECOND)))

    def stop(self, placing: int, attempt: int = 0) -> None:
        self.link.send_from_dialler(self.request(stop=self.request.Stop(id=self.id(placing, attempt))))

    def send(self, kind: str, placing: int, attempt: int = 0, life: int | None = None, **fields: Any) -> None:
        part = getattr(self.event, kind[0].upper() + kind[1:])
        self.link.send_from_listener(self.event(**{kind: part(id=self.id(placing, attempt, life), **fields)}))

    def send_draining(self) -> None:
        self.link.send_from_listener(self.event(draining=self.event.Draining()))

    def report_tasks(
        self,
        placing: int,
        life: int,
        class_name: str,
        service: int,
        complete: bool = False,
        nothing: bool = False,
    ) -> None:
        """Write a Held call on the same connection and its response."""
        held = node_pb2.HeldResponse(node=self.node, complete=complete)
        if not nothing:
            held.tasks.add(
                id=self.id(placing, 0, life), task=task(placing, class_name, service), running=True
            )
        headers = [(":method", "POST"), (":scheme", "http"), (":path", "/stairplank.v1.Node/Held")]
        link = self.link
        link.near.send_headers(3, [*headers, (":authority", "x"), ("content-type", "application/grpc")])
        raw = node_pb2.HeldRequest(life=self.life).SerializeToString()
        link.near.send_data(3, b"\0" + len(raw).to_bytes(4, "big") + raw)
        link.flush()
        link.far.send_headers(3, [(":status", "200"), ("content-type", "application/grpc")])
        raw = held.SerializeToString()
        link.far.send_data(3, b"\0" + len(raw).to_bytes(4, "big") + raw)
        link.flush()
        self.builder.wait(MS)


class NodeListStream:
    """A planner's subscription to the node list: nodes 1 to 4 in rack r1 of zone z1, 5 to 8 in r2 of z2."""

    STATES = {"gone": 1, "draining": 2, "ready": 3}

    def __init__(self, builder: CaptureBuilder, planner: int = 0) -> None:
        self.builder = builder
        self.link = builder.link("list", "/stairplank.v1.Directory/Watch")
        self.link.send_from_dialler(directory_pb2.WatchRequest(planner=planner))

    def send(self, *nodes: int, state: str = "ready", full: bool = False, started: int = 0) -> None:
        message = directory_pb2.NodeList(revision=1, full=full, now_unix_us=self.builder.at + 5_000_000_000)
        for node in nodes:
            zone = 1 if node <= 4 else 2
            message.nodes.add(
                id=node,
                zone=f"z{zone}",
                rack=f"r{zone}",
                state=self.STATES[state],
                started_unix_us=started + 5_000_000_000 if started else 0,
            )
        self.link.send_from_listener(message)
