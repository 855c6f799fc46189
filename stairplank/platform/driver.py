"""Drives the core: events are queued as they are read, and handled in turns of bounded length.

Readers only queue events; one greenlet takes the core's turns, one waits for the core's timers.
"""

from __future__ import annotations

import time
from typing import Protocol

import gevent
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..planner.pulse import Pulse
from . import events as ev
from .core import Core
from .event_queue import EventQueue
from .logs import log

SLICE_S = 0.02  # of turns, before all that has come meanwhile is read: far under the grace that drains have
# A wait between slices. Danger: sleep(0) may come back without a look at the sockets.
POLL_S = 0.001
LOGGED_US = 1_000_000  # a stall of so long is worth a line


class Executor(Protocol):
    """Carries out what the core wants done."""

    def with_unwritten(self, events: list[ev.Event]) -> list[ev.Event]: ...
    def execute_all(self, actions: list[ev.Action]) -> None: ...
    def flush(self) -> None: ...


class CoreDriver:
    """The core's event queue, turns and timer."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.executor: Executor
        self.queue = EventQueue()
        self.pulse = Pulse(self.queue, self._resume_after_stall)
        self.clients_in_turn: frozenset[int] = frozenset()  # of whose messages the current turn has some
        self._turn = Flag()
        self._rearm = Flag()
        self._armed: int | None = None

    def start(self) -> None:
        """Start the greenlets of turns and timer."""
        self.pulse.start()
        gevent.spawn(self.run_turns)
        gevent.spawn(self._run_timer)

    def enqueue(self, *events: ev.Event) -> None:
        """Have the core handle these with its next turns."""
        for event in events:
            self.queue.add(event)
        self._turn.set()

    def run_turns(self) -> None:
        """Read all that can be read, then handle it in the event queue's order, a slice of time at once.

        Danger: handled as it is read, a burst of set-ups would keep a drain, a machine's last message or
        an adopted task waiting in its socket, and be placed against them.
        """
        while True:
            self._turn.wait()
            self._turn.clear()
            while len(self.queue) and not self.pulse.late():
                self._run_slice()
                if len(self.queue):
                    gevent.sleep(POLL_S)
                    gevent.sleep(0)
            self._arm()

    def _run_slice(self) -> None:
        until = time.monotonic() + SLICE_S
        while batch := self.queue.take():
            self._handle(batch)
            if time.monotonic() >= until:
                return

    def _handle(self, batch: list[ev.Event], after_stall: bool = False) -> None:
        """One turn of the core, with its actions."""
        batch = self.executor.with_unwritten(batch)
        self.clients_in_turn = frozenset(event.conn for event in batch if isinstance(event, ev.ClientMessage))
        handle = self.core.handle_after_stall if after_stall else self.core.handle
        self.executor.execute_all(handle(now_us(), batch))
        self.clients_in_turn = frozenset()
        self.executor.flush()

    def _resume_after_stall(self, stood: int) -> None:
        """The process stood still; what came meanwhile is read by now. New set-ups wait for their slices.

        Danger: hundreds of them placed in one turn are a stall of their own, during which no drain is read.
        """
        events = self.queue.take_all(placements=False)
        self.core.loop.count("stood_still")
        if stood > LOGGED_US:
            log("stood still", ms=stood // 1000, came=len(events))
        self._handle(events, after_stall=True)
        self.enqueue(ev.Due())

    def _arm(self) -> None:
        """Have the timer look again where the core wants to be woken sooner."""
        due = self.core.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._rearm.set()

    def _run_timer(self) -> None:
        while True:
            due = self.core.next_due()
            self._armed = due
            self._rearm.clear()
            left = None if due is None else max(0, due - now_us()) / 1e6
            if not self._rearm.wait(left):
                self.enqueue(ev.Due())
