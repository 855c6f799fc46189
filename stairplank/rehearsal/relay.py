"""Relays that stand on every link and record what passes. They change nothing; they cut by script."""

from __future__ import annotations

import json
from typing import Any

import gevent
from gevent.event import Event as Flag

from ..planner.daemon import now_us
from ..rpc import address
from . import capture


class Relay:
    """One listening address in front of one real one."""

    def __init__(self, recorder: Recorder, name: str, target: str) -> None:
        self.recorder = recorder
        self.name = name
        self.target = target
        self.listener, self.address = address.listen("127.0.0.1:0")
        self.pairs: set[tuple[Any, Any]] = set()
        self.passing = Flag()  # cleared while the path is cut: bytes wait, as on a network that drops them
        self.passing.set()
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if not self.passing.is_set():
                gevent.spawn(self._join_later, sock)
                continue
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            gevent.spawn(self._join, sock)

    def _join_later(self, near: Any) -> None:
        """A dial over a cut path: nothing is heard; one that waits on gets through after the cut."""
        self.passing.wait()
        self._join(near)

    def block(self, on: bool) -> None:
        """Cut the path, or let it pass again: nothing is lost that was written, nothing comes through."""
        if on:
            self.passing.clear()
        else:
            self.passing.set()

    def _join(self, near: Any) -> None:
        try:
            far = address.dial(self.target, 5.0)
        except OSError:
            near.close()  # nobody listens behind it: so it is for who dialled
            return
        link = self.recorder.opened(self.name)
        pair = (near, far)
        self.pairs.add(pair)
        there = gevent.spawn(self._pump, near, far, link, capture.FROM_DIALLER, capture.DIALLER_CLOSED)
        back = gevent.spawn(self._pump, far, near, link, capture.FROM_LISTENER, capture.LISTENER_CLOSED)
        gevent.joinall([there, back])
        self.pairs.discard(pair)

    def _pump(self, source: Any, sink: Any, link: int, kind: int, closed: int) -> None:
        write = self.recorder.writer.write
        try:
            while data := source.recv(65_536):
                # What a dialler sends counts from then on; what it is told, from when it gets through.
                if kind == capture.FROM_DIALLER:
                    write(kind, now_us(), link, data)
                    self.passing.wait()
                else:
                    self.passing.wait()
                    write(kind, now_us(), link, data)
                sink.sendall(data)
        except OSError:
            pass
        write(closed, now_us(), link)
        for sock in (source, sink):
            try:
                sock.shutdown(gevent.socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def cut(self) -> None:
        """Break every link through this relay."""
        for near, far in list(self.pairs):
            for sock in (near, far):
                try:
                    sock.shutdown(gevent.socket.SHUT_RDWR)
                except OSError:
                    pass

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
