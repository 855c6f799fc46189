"""One direction of one link through a relay: bytes are read, wait as the script says, go on or are dropped.

A channel reads whatever its source sends, also while nothing may pass, and notes when; up to
``MAX_HELD_BYTES`` bytes wait in it. At that bound it stops reading, which is to the source as a peer that
does not read: its kernel's buffers fill, then its writes wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..rpc.address import abort
from . import capture

MAX_HELD_BYTES = 1 << 20  # bytes of one direction of one link
SLICE_US = 20_000  # a slow path hands on what it may in so long, at a time


@dataclass
class PathConditions:
    """What the script does to one direction of a path at the moment. Overlapping faults add up."""

    holds: int = 0  # while above 0 nothing passes
    delays: list[int] = field(default_factory=list)  # microseconds; the sum counts
    rates: list[int] = field(default_factory=list)  # bytes a second; the least counts
    changed: Flag = field(default_factory=Flag)

    def change(self) -> None:
        """Wake all that wait; who waits from now on waits for the next change."""
        old, self.changed = self.changed, Flag()
        old.set()

    @property
    def passing(self) -> bool:
        return self.holds == 0


class RelayChannel:
    """Reads ``source`` and hands on to ``sink`` once there is one."""

    def __init__(
        self, source: Any, link: int, kind: int, weather: PathConditions, writer: capture.Writer
    ) -> None:
        self.source = source
        self.sink: Any = None
        self.link = link
        self.kind = kind
        self.weather = weather
        self.writer = writer
        self.queue: deque[tuple[int, bytes]] = deque()  # when read, and what
        self.held_bytes = 0  # bytes in the queue
        self.forwarded_bytes = 0
        self.source_ended = False  # the source has said its last
        self.reset = False  # and that was a reset
        self.broken = False  # the sink takes nothing any more
        self.finished = Flag()
        self.on_forward: Callable[[], None] | None = None  # told of each piece as it is handed on
        self._sender_wake = Flag()  # for the sender: there is more to look at
        self._capacity = Flag()  # for the reader: there is room again
        self._reader = gevent.spawn(self._read)
        self._sender = gevent.spawn(self._send)

    def join(self, sink: Any) -> None:
        """The far end is connected: what waits may be forwarded."""
        self.sink = sink
        self._sender_wake.set()

    def drop(self) -> None:
        """The link is broken by script: what waits in it is lost."""
        self.broken = self.source_ended = self.reset = True
        self._drop_held()
        gevent.killall([self._reader, self._sender], block=False)
        self.finished.set()

    def _read(self) -> None:
        try:
            while True:
                while self.held_bytes >= MAX_HELD_BYTES:
                    self._capacity.clear()
                    self._capacity.wait()
                data = self.source.recv(min(65_536, MAX_HELD_BYTES - self.held_bytes))
                if not data:
                    break
                at = now_us()
                self.writer.write(self.kind, at, self.link, data)
                self.queue.append((at, data))
                self.held_bytes += len(data)
                self._sender_wake.set()
        except OSError:
            self.reset = True
        self.writer.write(capture.CLOSED[self.kind], now_us(), self.link)
        self.source_ended = True
        self._sender_wake.set()

    def _send(self) -> None:
        while not (self.source_ended and not self.queue):
            if not self.queue or (self.sink is None and not self.broken):
                self._sender_wake.clear()
                self._sender_wake.wait()
                continue
            if self.broken:
                self._drop_held()
                continue
            if self._may_forward():
                self._forward()
        # The end travels as the bytes do: not before them, and not through a path that is held.
        while not self.weather.passing and not self.broken:
            self.weather.changed.wait()
        if self.sink is not None and not self.broken:
            try:
                if self.reset:
                    abort(self.sink)
                else:
                    self.sink.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        self.finished.set()

    def _may_forward(self) -> bool:
        """Stand until the first piece may go; False where it must be looked at anew."""
        weather = self.weather
        if not weather.passing:
            weather.changed.wait()
            return False
        left = self.queue[0][0] + sum(weather.delays) - now_us()
        if weather.delays and left > 0:
            weather.changed.wait(left / 1e6)
            return False
        return True

    def _forward(self) -> None:
        at, data = self.queue[0]
        rates = self.weather.rates
        most = max(1, min(rates) * SLICE_US // 1_000_000) if rates else len(data)
        piece, rest = data[:most], data[most:]
        if rest:
            self.queue[0] = (at, rest)
        else:
            self.queue.popleft()
        self.held_bytes -= len(piece)
        # Noted before it is written: who is told may answer before this greenlet runs again.
        self.forwarded_bytes += len(piece)
        self.writer.counted(capture.HANDED[self.kind], now_us(), self.link, self.forwarded_bytes)
        if self.on_forward is not None:
            self.on_forward()
        try:
            self.sink.sendall(piece)
        except OSError:
            self.broken = True
        self._capacity.set()
        if rates:
            gevent.sleep(len(piece) / max(1, min(rates)))

    def _drop_held(self) -> None:
        if self.held_bytes:
            self.writer.counted(capture.DROPPED[self.kind], now_us(), self.link, self.held_bytes)
        self.queue.clear()
        self.held_bytes = 0
        self._capacity.set()
