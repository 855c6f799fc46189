"""Drives the core: events are queued as they are read and handled in turns of bounded length.

Readers only queue events; one greenlet takes the core's turns, one waits for the core's timers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..planner.stall_detector import StallDetector
from . import events as ev
from .core import Core
from .event_queue import EventQueue
from .logs import log

TURN_SLICE_S = 0.02  # of turns, before all that has arrived meanwhile is read: far under the grace of drains
# A wait between slices. Danger: sleep(0) may come back without a look at the sockets.
SOCKET_POLL_S = 0.001
MAX_RESUME_BATCH = 256  # of one turn after a stall: about as many as a slice of turns takes
MAX_RESUME_S = 0.5  # after a stall, until timers are due although others flood
MIN_LOGGED_STALL_US = 1_000_000  # a stall of so long is logged

TurnHandler = Callable[[int, list[ev.Event]], list[ev.Action]]


class Executor(Protocol):
    """Carries out what the core wants done."""

    def with_unsent(self, events: list[ev.Event]) -> list[ev.Event]:
        """Return these events, where a lost link also names the messages that found it closed."""

    def execute_all(self, actions: list[ev.Action]) -> None:
        """Carry out actions in order."""

    def flush(self) -> None:
        """Write what a turn has sent."""


class CoreDriver:
    """The core's event queue, turns and timer."""

    def __init__(self, core: Core) -> None:
        """Drive ``core``; ``executor`` is set before ``start``."""
        self.core = core
        self.executor: Executor
        self.queue = EventQueue()
        self.stall_detector = StallDetector(self.queue, self._resume_after_stall)
        self.clients_in_turn: frozenset[int] = frozenset()  # of whose messages the current turn has some
        # When the current round of reading is over, by the monotonic clock; 0: none has begun since the last
        # turns.
        self._round_deadline_s = 0.0
        self._is_resuming = False  # after a stall: no other turns are taken
        self._turn_wanted = Flag()
        self._timer_changed = Flag()
        self._armed_for_us: int | None = None

    def start(self) -> None:
        """Start the greenlets of turns and timer."""
        self.stall_detector.start()
        gevent.spawn(self.run_turns)
        gevent.spawn(self._run_timer)

    def enqueue(self, *events: ev.Event) -> None:
        """Have the core handle these with its next turns."""
        for event in events:
            self.queue.add(event)
        self._turn_wanted.set()

    def run_turns(self) -> None:
        """Read all that can be read, then handle it in the event queue's order, a slice of time at once.

        Danger: handled as they are read, a burst of placement requests would keep a drain, a machine's last
        message or an adopted task waiting in its socket, and be placed against them.
        """
        while True:
            self._turn_wanted.wait()
            self._turn_wanted.clear()
            self._round_deadline_s = 0.0
            while len(self.queue) and not self._is_resuming and not self.stall_detector.is_stalled():
                self._run_slice()
                self._round_deadline_s = 0.0
                if len(self.queue):
                    gevent.sleep(SOCKET_POLL_S)
                    gevent.sleep(0)
            self._rearm_timer()

    def is_round_over(self) -> bool:
        """Return whether what clients sent has been decoded for as long as a slice of turns."""
        now = time.monotonic()
        if not self._round_deadline_s:
            self._round_deadline_s = now + TURN_SLICE_S
        return now >= self._round_deadline_s

    def _run_slice(self) -> None:
        until = time.monotonic() + TURN_SLICE_S
        while batch := self.queue.take():
            self._handle(batch)
            if time.monotonic() >= until:
                return

    def _handle(self, batch: list[ev.Event], handler: TurnHandler | None = None) -> None:
        """Run one turn of the core and its actions; ``handler``: the core's method, else ``handle``."""
        batch = self.executor.with_unsent(batch)
        self.clients_in_turn = frozenset(event.conn for event in batch if isinstance(event, ev.ClientMessage))
        self.executor.execute_all((handler or self.core.handle)(now_us(), batch))
        self.clients_in_turn = frozenset()
        self.executor.flush()

    def _resume_after_stall(self, stalled_us: int) -> None:
        """Handle what arrived during a stall; new placement requests wait for their slices.

        Danger: hundreds of them placed in one turn are a stall of their own, during which no drain is read;
        so are thousands of messages, during which clients leave unnoticed.
        """
        if self._is_resuming:
            return  # a further stall meanwhile: the rest is handled by the first call
        self.core.loop.count("stalls")
        if stalled_us > MIN_LOGGED_STALL_US:
            log("stalled", ms=stalled_us // 1000, came=len(self.queue))
        self._is_resuming = True
        try:
            self._handle_messages()
        finally:
            self._is_resuming = False
        self.enqueue(ev.TimerDue())

    def _handle_messages(self) -> None:
        """Handle all but new placement requests, then the timers that fell due meanwhile."""
        until = time.monotonic() + MAX_RESUME_S
        events = self.queue.take_all(placements=False, limit=MAX_RESUME_BATCH)
        while self.queue.has_messages() and time.monotonic() < until:
            self._handle(events, self.core.handle_messages)
            self._round_deadline_s = 0.0
            gevent.sleep(SOCKET_POLL_S)
            gevent.sleep(0)
            events = self.queue.take_all(placements=False, limit=MAX_RESUME_BATCH)
        self._handle(events, self.core.handle_after_stall)

    def _rearm_timer(self) -> None:
        """Wake the timer's greenlet where the core has an earlier timer than it waits for."""
        due = self.core.next_due()
        if due is not None and (self._armed_for_us is None or due < self._armed_for_us):
            self._timer_changed.set()

    def _run_timer(self) -> None:
        while True:
            due = self.core.next_due()
            self._armed_for_us = due
            self._timer_changed.clear()
            timeout_s = None if due is None else max(0, due - now_us()) / 1e6
            if not self._timer_changed.wait(timeout_s):
                self.enqueue(ev.TimerDue())
