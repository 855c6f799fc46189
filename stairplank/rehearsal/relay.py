"""Relays that stand on every link and record what passes. By script they do what networks do.

| fault | what the relay does to a path |
| --- | --- |
| hold | bytes of a direction wait and are delivered when it ends, the end of a link behind them |
| hold-reset | the same, but when it ends every link is reset and what waited is lost |
| delay | each byte of a direction comes so much later, in order |
| rate | a direction passes so many bytes a second |
| half-open | links are reset; new ones are accepted with nobody behind them, and reset when it ends |
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

THERE, BACK, BOTH = "there", "back", "both"  # from the dialling end; to it
DIAL_S = 5.0


class Link:
    """One accepted connection, and the one behind it once it stands."""

    def __init__(self, relay: Relay, near: Any) -> None:
        self.relay = relay
        self.near = near
        self.far: Any = None
        writer = relay.recorder.writer
        self.number = relay.recorder.opened(relay.name)
        self.there = RelayChannel(near, self.number, capture.FROM_DIALLER, relay.weather[THERE], writer)
        self.back: RelayChannel | None = None

    def run(self) -> None:
        """Dial the far end as the path allows; hand on until both ends have said their last."""
        relay = self.relay
        while not (relay.weather[THERE].passing and relay.weather[BACK].passing) or relay.half_open:
            relay.stirred.wait()
            if self.there.broken:
                return
        if self.there.source_ended:
            self.there.drop()  # who dialled has given up: a handshake never came about
            abort(self.near)
            return
        try:
            self.far = address.dial(relay.target, DIAL_S)
        except OSError:
            self.there.drop()
            abort(self.near)  # nobody listens behind it: so it is for who dialled
            return
        if self.there.broken:
            abort(self.far)
            return
        writer = relay.recorder.writer
        self.back = RelayChannel(self.far, self.number, capture.FROM_LISTENER, relay.weather[BACK], writer)
        self.there.on_forward = self.back.on_forward = relay.on_piece
        self.back.join(self.near)
        self.there.join(self.far)
        self.there.finished.wait()
        self.back.finished.wait()
        self.near.close()
        self.far.close()

    def cut(self) -> None:
        """Reset both ends; what is on the way is lost."""
        for way in (self.there, self.back):
            if way is not None:
                way.drop()
        writer = self.relay.recorder.writer
        for sock, closed in ((self.near, capture.DIALLER_CLOSED), (self.far, capture.LISTENER_CLOSED)):
            if sock is not None:
                writer.write(closed, now_us(), self.number)
                abort(sock)


class Relay:
    """One listening address in front of one real one."""

    def __init__(self, recorder: Recorder, name: str, target: str) -> None:
        self.recorder = recorder
        self.name = name
        self.target = target
        self.listener, self.address = address.listen("127.0.0.1:0")
        self.links: set[Link] = set()
        self.weather = {THERE: PathConditions(), BACK: PathConditions()}
        self.half_open = 0
        self.on_piece: Callable[[], None] | None = None  # told of each piece that passes, either way
        self.stirred = gevent.event.Event()
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

    def _stir(self) -> None:
        for weather in self.weather.values():
            weather.change()
        self._wake()

    def _wake(self) -> None:
        old, self.stirred = self.stirred, gevent.event.Event()
        old.set()

    def _ways(self, direction: str) -> list[PathConditions]:
        return [w for name, w in self.weather.items() if direction in (BOTH, name)]

    def begin(self, what: str, direction: str = BOTH, value: int = 0) -> None:
        """Begin a fault of the table above; ``end`` takes the same words."""
        for weather in self._ways(direction):
            if what in ("hold", "hold-reset"):
                weather.holds += 1
            elif what == "delay":
                weather.delays.append(value)
            elif what == "rate":
                weather.rates.append(value)
        if what == "half-open":
            self.half_open += 1
            self.cut()
        self._stir()

    def end(self, what: str, direction: str = BOTH, value: int = 0) -> None:
        if what in ("hold-reset", "half-open"):
            self.cut()
        if what == "half-open":
            self.half_open -= 1
        for weather in self._ways(direction):
            if what in ("hold", "hold-reset"):
                weather.holds -= 1
            elif what == "delay":
                weather.delays.remove(value)
            elif what == "rate":
                weather.rates.remove(value)
        self._stir()

    def cut(self) -> None:
        """Reset every link through this relay."""
        for link in list(self.links):
            link.cut()
        self._wake()

    def close(self) -> None:
        self.listener.close()
        self.cut()


class Recorder:
    """All relays of a rehearsal, writing one capture."""

    def __init__(self, writer: capture.Writer) -> None:
        self.writer = writer
        self.relays: dict[str, Relay] = {}
        self.links = 0

    def relay(self, name: str, target: str, key: str = "") -> str:
        """Put a relay in front of an address; where to dial instead. ``key`` names it among several."""
        made = self.relays[key or name] = Relay(self, name, target)
        return made.address

    def opened(self, name: str) -> int:
        self.links += 1
        self.writer.write(capture.OPEN, now_us(), self.links, json.dumps({"to": name}).encode())
        return self.links

    def note(self, text: str) -> None:
        self.writer.write(capture.SCRIPT, now_us(), 0, text.encode())

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
        self.writer.flush()
