"""How clients of a live service leave or cancel, and machines that do not read; shared by several tests."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent import socket as gsocket
from platform_standins import FakeClient, FakeMachine, LiveService, reset

from stairplank.platform import binary, link_pool
from stairplank.platform import events as ev
from stairplank.platform import service as module
from stairplank.platform.messages import Cause, Kind, Message

LARGE_BODY_BYTES = 9000
STABLE_S = 0.2  # the system takes no more bytes of a connection for so long

# The events by which the service notices that a client has closed its connection.
HANG_UP = (ev.ClientHungUp, ev.ClientDisconnected)


def small_placement_request(number: int, body: str = "b") -> Message:
    """A request that is easily placed; it waits for 6 s at most."""
    id = f"{number:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:0.01;memory:0.01;service:{id}"}
    return Message(Kind.PLACE, id, fields, body=body)


def encoded_placement_request(number: int, body: str = "b") -> bytes:
    """The bytes of such a request."""
    return binary.encode(small_placement_request(number, body))


def leave(client: FakeClient, id: str, how: str) -> None:
    """Cancel the task, or close or reset the connection."""
    if how == "cancel":
        client.send(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    elif how == "close":
        client.sock.close()
    else:
        reset(client.sock)


def is_departure_of(event: ev.Event, id: str, how: str, hang_up: tuple[type, ...] = HANG_UP) -> bool:
    """Whether the event shows the service that the client has cancelled that task, or left."""
    if how == "cancel":
        is_release = isinstance(event, ev.ClientMessage) and event.message.kind is Kind.RELEASE
        return is_release and event.message.id == id  # type: ignore[union-attr]
    return isinstance(event, hang_up)


def leave_and_notice(
    service: LiveService, client: FakeClient, id: str, how: str, hang_up: tuple[type, ...] = HANG_UP
) -> None:
    """The client leaves, and the service has read so."""
    service.run_in_thread(leave, client, id, how)
    service.wait_until(lambda: any(is_departure_of(event, id, how, hang_up) for event in service.events_read))


def shrink_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """What a machine does not read soon lies in our buffer, and there is one connection to each."""
    dial = module.address.dial

    def dialled(where: str, wait: float) -> Any:
        sock = dial(where, wait)
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(module.address, "dial", dialled)
    monkeypatch.setattr(link_pool, "MIN_POOL", 1)
    monkeypatch.setattr(link_pool, "MAX_POOL", 1)


def fill_send_buffer(service: LiveService, machine: FakeMachine, client: FakeClient) -> list[str]:
    """Requests for a machine that does not read, the last of which lie in our buffer to their first byte."""
    machine.reads.clear()
    ids: list[str] = []
    for number in range(10, 400):
        request = small_placement_request(number, f"{number} " + "x" * LARGE_BODY_BYTES)
        service.run_in_thread(client.send, request)
        ids.append(request.id)
        gevent.sleep(0.02)
        stream = next(iter(service.service.machines.streams.values()))
        before = -1
        while (written := stream._buffer.sent_bytes) != before:
            before = written
            gevent.sleep(STABLE_S)
        if sum(message.begin >= written for message in stream._buffer._marked) >= 2:
            return ids
    raise AssertionError("all of it was sent")
