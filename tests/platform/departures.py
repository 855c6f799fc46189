"""Helpers for tests in which clients cancel or disconnect, or machines do not read."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent import socket as gsocket
from platform_standins import FakeClient, FakeMachine, LiveService, reset

from stairplank.platform import binary, link_pool
from stairplank.platform import events as ev
from stairplank.platform import service as service_module
from stairplank.platform.messages import Cause, Kind, Message

LARGE_BODY_BYTES = 9000
STABLE_S = 0.2  # a socket that accepts no byte for this long counts as full

# The events by which the service notices that a client has closed its connection.
HANG_UP = (ev.ClientHungUp, ev.ClientDisconnected)


def small_placement_request(number: int, body: str = "b") -> Message:
    """Return a placement request for a small task with a deadline of 6 s."""
    id = f"{number:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:0.01;memory:0.01;service:{id}"}
    return Message(Kind.PLACE, id, fields, body=body)


def encoded_placement_request(number: int, body: str = "b") -> bytes:
    """Return a small placement request as bytes of the binary protocol."""
    return binary.encode(small_placement_request(number, body))


def disconnect_or_cancel(client: FakeClient, id: str, how: str) -> None:
    """Cancel the task, or close or reset the client's connection. ``how`` selects which."""
    if how == "cancel":
        client.send(Message(Kind.RELEASE, id, cause=int(Cause.ENDED)))
    elif how == "close":
        client.sock.close()
    else:
        reset(client.sock)


def is_departure_of(event: ev.Event, id: str, how: str, hang_up: tuple[type, ...] = HANG_UP) -> bool:
    """Return whether the event reports that the client has cancelled the task or disconnected."""
    if how == "cancel":
        is_release = isinstance(event, ev.ClientMessage) and event.message.kind is Kind.RELEASE
        return is_release and event.message.id == id  # type: ignore[union-attr]
    return isinstance(event, hang_up)


def disconnect_and_wait(
    service: LiveService, client: FakeClient, id: str, how: str, hang_up: tuple[type, ...] = HANG_UP
) -> None:
    """Have the client cancel or disconnect, and wait until the service has read that."""
    service.run_in_thread(disconnect_or_cancel, client, id, how)
    service.wait_until(lambda: any(is_departure_of(event, id, how, hang_up) for event in service.events_read))


def shrink_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit the service to one connection per machine, with a small socket buffer.

    Messages that a machine does not read then soon stay in the service's send buffer.
    """
    dial = service_module.address.dial

    def dial_with_small_buffer(target: str, timeout_s: float) -> Any:
        sock = dial(target, timeout_s)
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(service_module.address, "dial", dial_with_small_buffer)
    monkeypatch.setattr(link_pool, "MIN_POOL", 1)
    monkeypatch.setattr(link_pool, "MAX_POOL", 1)


def fill_send_buffer(service: LiveService, machine: FakeMachine, client: FakeClient) -> list[str]:
    """Stop the machine from reading, and send requests to it until two of them are entirely unsent.

    Returns the ids of the requests. The last two wait in the service's send buffer.
    """
    machine.may_read.clear()
    ids: list[str] = []
    for number in range(10, 400):
        request = small_placement_request(number, f"{number} " + "x" * LARGE_BODY_BYTES)
        service.run_in_thread(client.send, request)
        ids.append(request.id)
        gevent.sleep(0.02)
        stream = next(iter(service.service.machines.streams.values()))
        previous = -1
        while (written := stream._buffer.sent_bytes) != previous:
            previous = written
            gevent.sleep(STABLE_S)
        if sum(message.begin >= written for message in stream._buffer._marked) >= 2:
            return ids
    raise AssertionError("the socket accepted all requests; none stayed in the send buffer")
