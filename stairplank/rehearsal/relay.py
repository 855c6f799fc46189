"""Relays on every link, which record the traffic and inject network faults as the scenario says.

| fault | effect on the links through the relay |
| --- | --- |
| hold | bytes of a direction, and the closing of a link, are delayed until the fault ends |
| hold-reset | bytes of a direction are held; when the fault ends every link is reset and they are lost |
| delay | each byte of a direction is delivered that much later, in order |
| rate | a direction passes at most that many bytes a second |
| half-open | links are reset; new ones are accepted but not connected onwards, and reset when it ends |
| cut | every link is reset at once |
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from ..planner.clock import now_us
from ..rpc import address
from ..rpc.address import abort
from . import capture
from .relay_channel import PathConditions, RelayChannel

THERE, BACK, BOTH = "there", "back", "both"  # directions: from the dialling end, to it, and both
DIAL_S = 5.0


class Link:
    """An accepted connection, and the connection to the target once that is established."""

    def __init__(self, relay: Relay, near: Any) -> None:
        self.relay = relay
        self.near = near
        self.far: Any = None
        writer = relay.recorder.writer
        self.number = relay.recorder.opened(relay.name)
        self.there = RelayChannel(near, self.number, capture.FROM_DIALLER, relay.conditions[THERE], writer)
        self.back: RelayChannel | None = None

    def run(self) -> None:
        """Dial the target once the path passes traffic, then forward until both ends have closed."""
        relay = self.relay
        while not (relay.conditions[THERE].passing and relay.conditions[BACK].passing) or relay.half_open:
            relay.conditions_changed.wait()
            if self.there.broken:
                return
        if self.there.source_ended:
            self.there.drop()  # the dialling end has closed before its connection was established
            abort(self.near)
            return
        try:
            self.far = address.dial(relay.target, DIAL_S)
        except OSError:
            self.there.drop()
            abort(self.near)  # the target does not listen, so the dialling end sees a reset
            return
        if self.there.broken:
            abort(self.far)
            return
        writer = relay.recorder.writer
        self.back = RelayChannel(self.far, self.number, capture.FROM_LISTENER, relay.conditions[BACK], writer)
        self.there.on_forward = self.back.on_forward = relay.on_piece
        self.back.join(self.near)
        self.there.join(self.far)
        self.there.finished.wait()
        self.back.finished.wait()
        self.near.close()
        self.far.close()

    def cut(self) -> None:
        """Reset both ends; bytes that were not yet forwarded are lost."""
        for channel in (self.there, self.back):
            if channel is not None:
                channel.drop()
        writer = self.relay.recorder.writer
        for sock, closed in ((self.near, capture.DIALLER_CLOSED), (self.far, capture.LISTENER_CLOSED)):
            if sock is not None:
                writer.write(closed, now_us(), self.number)
                abort(sock)


class Relay:
    """A listening address in front of the address of one process."""

    def __init__(self, recorder: Recorder, name: str, target: str) -> None:
        self.recorder = recorder
        self.name = name
        self.target = target
        self.listener, self.address = address.listen("127.0.0.1:0")
        self.links: set[Link] = set()
        self.conditions = {THERE: PathConditions(), BACK: PathConditions()}
        self.half_open = 0
        # Called for each piece that is forwarded in either direction.
        self.on_piece: Callable[[], None] | None = None
        self.conditions_changed = gevent.event.Event()
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        link = Link(self, sock)
        self.links.add(link)
        try:
            link.run()
        finally:
            self.links.discard(link)

    def _notify_conditions_changed(self) -> None:
        for conditions in self.conditions.values():
            conditions.change()
        self._wake()

    def _wake(self) -> None:
        old, self.conditions_changed = self.conditions_changed, gevent.event.Event()
        old.set()

    def _conditions_of(self, direction: str) -> list[PathConditions]:
        return [conditions for name, conditions in self.conditions.items() if direction in (BOTH, name)]

    def begin(self, what: str, direction: str = BOTH, value: int = 0) -> None:
        """Begin a fault of the table above; ``end`` takes the same arguments."""
        for conditions in self._conditions_of(direction):
            if what in ("hold", "hold-reset"):
                conditions.holds += 1
            elif what == "delay":
                conditions.delays.append(value)
            elif what == "rate":
                conditions.rates.append(value)
        if what == "half-open":
            self.half_open += 1
            self.cut()
        self._notify_conditions_changed()

    def end(self, what: str, direction: str = BOTH, value: int = 0) -> None:
        """End a fault that ``begin`` began with the same arguments."""
        if what in ("hold-reset", "half-open"):
            self.cut()
        if what == "half-open":
            self.half_open -= 1
        for conditions in self._conditions_of(direction):
            if what in ("hold", "hold-reset"):
                conditions.holds -= 1
            elif what == "delay":
                conditions.delays.remove(value)
            elif what == "rate":
                conditions.rates.remove(value)
        self._notify_conditions_changed()

    def cut(self) -> None:
        """Reset every link through this relay."""
        for link in list(self.links):
            link.cut()
        self._wake()

    def close(self) -> None:
        self.listener.close()
        self.cut()


class Recorder:
    """All relays of a rehearsal, which write one capture."""

    def __init__(self, writer: capture.Writer) -> None:
        self.writer = writer
        self.relays: dict[str, Relay] = {}
        self.links = 0

    def relay(self, name: str, target: str, key: str = "") -> str:
        """Put a relay in front of an address and return the relay's address.

        ``key`` is the relay's key in ``relays``, where several relays have the same ``name``.
        """
        relay = self.relays[key or name] = Relay(self, name, target)
        return relay.address

    def opened(self, name: str) -> int:
        """Record a new link and return its number."""
        self.links += 1
        self.writer.write(capture.OPEN, now_us(), self.links, json.dumps({"to": name}).encode())
        return self.links

    def note(self, text: str) -> None:
        """Record an action of the scenario."""
        self.writer.write(capture.SCRIPT, now_us(), 0, text.encode())

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
        self.writer.flush()
