"""Drives the core: events are queued as they are read from sockets and handled in turns of bounded length.

Readers only queue events. One greenlet runs the core's turns, another waits for the core's timers.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..planner.stall_detector import StallDetector
from ..rpc.supervision import supervise
from . import events as ev
from .core import Core
from .event_queue import EventQueue
from .logs import log, log_fault

# Turns run for this long before the sockets are read again. It must be far less than ``drain_grace_us``.
TURN_SLICE_S = 0.02
# Wait between slices: gevent.sleep(0) may return without polling the sockets.
SOCKET_POLL_S = 0.001
MAX_RESUME_BATCH = 256  # events of one turn after a stall: about as many as fit into TURN_SLICE_S
MAX_RESUME_S = 0.5  # timers run at the latest this long after a stall, even if messages keep arriving
MAX_BACKLOGS_S = 0.02  # after this time, messages beyond their sender's share no longer delay the timers
MIN_LOGGED_STALL_US = 1_000_000  # shorter stalls are counted, not logged

TurnHandler = Callable[[int, list[ev.Event]], list[ev.Action]]


class Executor(Protocol):
    """Carries out the core's actions."""

    def with_unsent(self, events: list[ev.Event]) -> list[ev.Event]:
        """Return the events; a lost link's event also names the messages that could not be sent on it."""

    def execute_all(self, actions: list[ev.Action]) -> None:
        """Carry out actions in order."""

    def flush(self) -> None:
        """Write the messages of a turn to their sockets."""


class CoreDriver:
    """Runs the turns of a core from its event queue and its timers."""

    def __init__(self, core: Core) -> None:
        """Drive ``core``; ``executor`` is set before ``start``."""
        self.core = core
        self.executor: Executor
        self.record_all: Callable[[Iterable[ev.Event | ev.Action]], None] = lambda _items: None
        self.queue = EventQueue()
        self.stall_detector = StallDetector(self.queue, self._resume_after_stall)
        self.clients_in_turn: frozenset[int] = frozenset()  # connections whose messages are in this turn
        # End of the current round of reading from clients, by the monotonic clock; 0: none has begun since
        # the last turn.
        self._round_deadline_s = 0.0
        self._is_resuming = False  # the events of a stall are being handled: no other turns run
        self._turn_wanted = Flag()
        self._timer_changed = Flag()
        self._armed_for_us: int | None = None

    def start(self) -> None:
        """Start the greenlets that run turns and wait for timers."""
        self.stall_detector.start()
        gevent.spawn(supervise, self.run_turns, log_fault)
        gevent.spawn(supervise, self._run_timer, log_fault)

    def enqueue(self, *events: ev.Event) -> None:
        """Queue events for the core's next turns."""
        for event in events:
            self.queue.add(event)
        self._turn_wanted.set()

    def run_turns(self) -> None:
        """Run turns for a slice of time, then let the sockets be read, for ever; the queue orders the events.

        If events were handled as they are read, a burst of placement requests would be placed regardless of a
        drain, a machine's last message or an adopted task that still waits in its socket.
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
        """Return whether clients' messages have been decoded for ``TURN_SLICE_S`` since the last turn."""
        now = time.monotonic()
        if not self._round_deadline_s:
            self._round_deadline_s = now + TURN_SLICE_S
        return now >= self._round_deadline_s

    def _run_slice(self) -> None:
        end_s = time.monotonic() + TURN_SLICE_S
        while batch := self.queue.take():
            self._handle(batch)
            if time.monotonic() >= end_s:
                return

    def _handle(self, batch: list[ev.Event], handler: TurnHandler | None = None) -> None:
        """Run one turn of the core and its actions; ``handler`` replaces the core's method ``handle``."""
        batch = self.executor.with_unsent(batch)
        self.record_all(batch)
        self.clients_in_turn = frozenset(event.conn for event in batch if isinstance(event, ev.ClientMessage))
        actions = (handler or self.core.handle)(now_us(), batch)
        self.record_all(actions)
        self.executor.execute_all(actions)
        self.clients_in_turn = frozenset()
        self.executor.flush()

    def _resume_after_stall(self, stalled_us: int) -> None:
        """Handle the events that arrived during a stall; new placement requests wait for the usual slices.

        Hundreds of requests placed in one turn would be a stall of their own, during which no drain is read.
        So would thousands of messages, during which the planner would not notice that clients disconnect.
        """
        if self._is_resuming:
            return  # another stall while its events are handled: the first call handles the rest
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
        """Handle all events but new placement requests, then the timers that fell due during the stall."""
        began_s = time.monotonic()
        end_s = began_s + MAX_RESUME_S
        backlogs_end_s = began_s + MAX_BACKLOGS_S
        events = self.queue.take_all(placements=False, limit=MAX_RESUME_BATCH)
        while (now_s := time.monotonic()) < end_s and self.queue.has_messages(now_s < backlogs_end_s):
            self._handle(events, self.core.handle_messages)
            self._round_deadline_s = 0.0
            gevent.sleep(SOCKET_POLL_S)
            gevent.sleep(0)
            events = self.queue.take_all(False, now_s < backlogs_end_s, MAX_RESUME_BATCH)
        self._handle(events, self.core.handle_after_stall)

    def _rearm_timer(self) -> None:
        """Wake the timer greenlet if the core has an earlier timer than the one it waits for."""
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
