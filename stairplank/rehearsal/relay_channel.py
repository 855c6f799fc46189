"""One direction of one link through a relay: bytes are read, held as the scenario says, forwarded or dropped.

A channel reads and records whatever its source sends, also while nothing may pass, and holds up to
``MAX_HELD_BYTES`` bytes. At that bound it stops reading, so the source sees a peer that does not read: the
kernel's buffers fill up, then the source's writes block.
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

MAX_HELD_BYTES = 1 << 20  # bound on the bytes held by one channel
SLICE_US = 20_000  # under a rate limit, each piece holds the bytes of this much time


@dataclass
class PathConditions:
    """The faults now in force on one direction of a path. Overlapping faults add up."""

    holds: int = 0  # number of holds in force; while it is above 0 nothing passes
    delays: list[int] = field(default_factory=list)  # microseconds; their sum is in force
    rates: list[int] = field(default_factory=list)  # bytes a second; the lowest is in force
    changed: Flag = field(default_factory=Flag)

    def change(self) -> None:
        """Wake all greenlets that wait for a change; a later wait is for the next change."""
        old, self.changed = self.changed, Flag()
        old.set()

    @property
    def passing(self) -> bool:
        return self.holds == 0


class RelayChannel:
    """Reads from ``source`` and forwards to ``sink`` once that is connected."""

    def __init__(
        self, source: Any, link: int, kind: int, conditions: PathConditions, writer: capture.Writer
    ) -> None:
        self.source = source
        self.sink: Any = None
        self.link = link
        self.kind = kind
        self.conditions = conditions
        self.writer = writer
        self.queue: deque[tuple[int, bytes]] = deque()  # time of reading, data
        self.held_bytes = 0  # number of bytes in the queue
        self.forwarded_bytes = 0
        self.source_ended = False  # whether the source has closed
        self.reset = False  # whether the source closed by a reset
        self.broken = False  # whether the sink no longer accepts data
        self.finished = Flag()
        self.on_forward: Callable[[], None] | None = None  # called just before each piece is forwarded
        self._sender_wake = Flag()  # set when the sender has something to do
        self._capacity = Flag()  # set when the queue can hold more
        self._reader = gevent.spawn(self._read)
        self._sender = gevent.spawn(self._send)

    def join(self, sink: Any) -> None:
        """Set the connected sink, so that held bytes may be forwarded."""
        self.sink = sink
        self._sender_wake.set()

    def drop(self) -> None:
        """Break the link as the scenario says; held bytes are lost."""
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
        # The closing of the source is forwarded after all bytes, and not while the path is held.
        while not self.conditions.passing and not self.broken:
            self.conditions.changed.wait()
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
        """Wait for the conditions to allow the first piece.

        Returns False after a wait, so that the caller checks the channel's state anew.
        """
        conditions = self.conditions
        if not conditions.passing:
            conditions.changed.wait()
            return False
        remaining_us = self.queue[0][0] + sum(conditions.delays) - now_us()
        if conditions.delays and remaining_us > 0:
            conditions.changed.wait(remaining_us / 1e6)
            return False
        return True

    def _forward(self) -> None:
        read_at, data = self.queue[0]
        rates = self.conditions.rates
        piece_bytes = max(1, min(rates) * SLICE_US // 1_000_000) if rates else len(data)
        piece, rest = data[:piece_bytes], data[piece_bytes:]
        if rest:
            self.queue[0] = (read_at, rest)
        else:
            self.queue.popleft()
        self.held_bytes -= len(piece)
        # This is recorded before the write, as the receiver may answer before this greenlet runs again.
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
