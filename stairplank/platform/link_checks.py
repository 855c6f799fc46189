"""Periodic checks that renew and close connections and detect unreachable machines. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A machine with running tasks has a connection. A new one is dialled when nothing has been received for
   ``refresh_us``, and every ``renew_us``: a machine sends messages that were lost on an old connection again
   on the next one, and a failed dial shows that the machine has vanished.
2. A machine counts as unreachable only if dials or, where none may be begun, health checks on its connections
   fail for ``UNREACHABLE_US`` while nothing is received from it, or if it refuses connections for
   ``REFUSED_US`` and no connection is up.
3. A connection with an outstanding request is not closed as idle.
4. A machine with an unconfirmed release that must arrive is checked in every round.
5. How soon a machine with running tasks counts as lost does not depend on the requests that are open there.
6. The tasks of a process that is gone are released by ``REPORT_DUE_US`` after its last message, whatever
   answers at its address by then (``incarnations``).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import events as ev
from .links import IDLE_LINK_US, Links
from .messages import Cause
from .tables import Link, Machine

CHECK_INTERVAL_US = 100_000
CHECK_ROUNDS = 5  # a machine that needs no attention is checked in one of this many rounds
# Clients must learn within 8 s that their tasks ended with a machine that vanished. Three intervals must
# therefore add up to at most REPORT_DUE_US, which leaves time for the checks: the refresh interval (counted
# from the last message of the machine), the dial time-out and UNREACHABLE_US. Shorter refresh intervals cost
# more, because each planner dials nearly every machine once per interval.
REPORT_DUE_US = 7_300_000
REFRESH_US = 4_000_000
# A machine that still answers is dialled anew this often: it sends messages that were lost again on a new
# connection, and clients must have those within 8 s too.
RENEW_US = 6_000_000
MIN_REFRESH_US = 1_000_000
UNREACHABLE_US = 2_500_000
REFUSED_US = 100_000  # a machine that refuses connections for longer has lost its tasks
REMOVAL_GRACE_US = (
    3_000_000  # how long a machine that was removed from the list may still send messages on its tasks
)


class Attempts(Protocol):
    """The methods of the attempts at machines that the checks use."""

    def machine_lost(self, machine: int, before: int | None = None) -> None: ...
    def process_lost(self, machine: int, incarnation: int) -> int: ...


class HealthChecks(Protocol):
    """The methods of the health checks that the link checks use."""

    def check_link(self, link: Link) -> None: ...


class LinkChecks:
    """Checks machines in turn; machines that need attention are checked in every round."""

    def __init__(
        self,
        loop: EventLoop,
        links: Links,
        attempts: Attempts,
        health_checks: HealthChecks,
        idle_us: int,
    ) -> None:
        """``idle_us``: when machines close an idle connection."""
        self.loop = loop
        self.links = links
        self.pool = links.pool
        self.releases = links.releases
        self.incarnations = links.incarnations
        self.attempts = attempts
        self.health_checks = health_checks
        self.forget: Callable[[Machine], None]
        self.idle_timeout_us = min(IDLE_LINK_US, idle_us // 2)
        self.set_dial_timeout(links.dial_timeout_us)
        self._check_count = 0

    def set_dial_timeout(self, dial_timeout_us: int) -> None:
        """Set the time-out of dials, and adapt the refresh intervals to it."""
        # With a long time-out of dials and unchanged intervals, clients would learn too late that their tasks
        # ended with a machine that vanished.
        renewal_due_us = REPORT_DUE_US - dial_timeout_us
        self.refresh_us = max(MIN_REFRESH_US, min(REFRESH_US, renewal_due_us - UNREACHABLE_US))
        self.renew_us = max(MIN_REFRESH_US, min(RENEW_US, renewal_due_us))

    def start(self) -> None:
        """Start the checks, one round every ``CHECK_INTERVAL_US``."""
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)

    def _check_machines(self, _: None) -> None:
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)
        self._check_count += 1
        round_number = self._check_count % CHECK_ROUNDS
        for machine in list(self.pool.machines.values()):
            if self._needs_attention(machine) or machine.id % CHECK_ROUNDS == round_number:
                self._check_machine(machine)
        self.pool.restore_free_share()
        self.pool.dial_queued()
        for number in list(self.pool.dial_queue):
            self.links.expire_waiting(self.pool.machines[number])

    @staticmethod
    def _needs_attention(machine: Machine) -> bool:
        """Return whether the machine must be checked in every round.

        A machine that merely has no connection is not included: each planner would then check nearly all
        machines of a large cluster in every round, with nothing to do.
        """
        process = machine.process
        if machine.running_count and (not machine.links or process.candidate or process.checked_at):
            return True
        return bool(machine.waiting or machine.failing_since or machine.removed_at or machine.order_retry_at)

    def _check_machine(self, machine: Machine) -> None:
        has_tasks = machine.running_count > 0 or machine.order_retry_at > 0
        if machine.status is api.NodeStatus.GONE and (machine.removed_at or not has_tasks):
            # The list reports the machine as removed, or a complete list omits it and it runs no task.
            if not has_tasks or self.loop.now > self._removal_due_at(machine):
                self._remove(machine)
            return
        if machine.orders:
            self.releases.expire(machine)
            self.releases.retry_if_due(machine)
        if not machine.dials() and self.loop.now >= machine.next_dial_at:
            self._dial_if_due(machine)
        self._close_unused(machine)
        if machine.running_count:
            self._check_process(machine)
        if machine.failing_since:
            self._check_failing(machine)

    @staticmethod
    def _removal_due_at(machine: Machine) -> int:
        """Return when a removed machine has had its time to report the ends of its tasks."""
        heard_at = machine.process.heard_at
        due_at = machine.removed_at + REMOVAL_GRACE_US
        return min(due_at, heard_at + REPORT_DUE_US) if heard_at else due_at

    def _dial_if_due(self, machine: Machine) -> None:
        if machine.running_count and self._is_due(machine):
            self.pool.make_room(machine)
            # Where each connection has a request open, one more shows whether the machine still answers.
            if len(machine.links) <= self.pool.max_pool:
                self.pool.dial_or_queue(machine)
        elif machine.waiting and (not machine.links_up() or self.pool.may_dial(machine)):
            self.pool.dial_or_queue(machine)

    def _is_due(self, machine: Machine) -> bool:
        """Return whether to dial a new connection, on which the machine sends lost messages again."""
        last_contact = max(machine.opened_at, machine.process.heard_at)
        due_at = min(last_contact + self.refresh_us, machine.opened_at + self.renew_us)
        return not machine.opened_at or self.loop.now > due_at

    def _close_unused(self, machine: Machine) -> None:
        links_up = machine.links_up()
        newest = max((link.opened_at for link in links_up), default=0)
        for link in links_up:
            is_spare = link.opened_at < newest or not machine.running_count
            idle_us = self.loop.now - max(link.used_at, link.opened_at)
            is_unused = is_spare and (idle_us > self.idle_timeout_us or link.is_suspect)
            if is_unused and not link.outstanding and not self.incarnations.is_last_member(machine, link):
                self.links.close(link, why="unused")

    def _check_process(self, machine: Machine) -> None:
        """Check whether the process that holds a machine's tasks is still there."""
        now = self.loop.now
        process = machine.process
        is_silent = now > process.heard_at + self.refresh_us or process.is_after_gap
        if is_silent and (process.candidate or not machine.dials()):
            self._check_connections(machine)
        if self.incarnations.is_gone(machine, UNREACHABLE_US, REPORT_DUE_US):
            self.process_ended(machine, "replaced")
        elif machine.id in self.pool.dial_queue and self._is_unanswered(machine):
            self._machine_lost(machine, "no answer")

    def _is_unanswered(self, machine: Machine) -> bool:
        checked_at = machine.process.checked_at
        return checked_at > 0 and self.loop.now - checked_at > UNREACHABLE_US

    def _check_connections(self, machine: Machine) -> None:
        """Send health checks on a connection of the current incarnation and on one of the candidate."""
        now = self.loop.now
        process = machine.process
        if machine.checked_at and now - machine.checked_at <= UNREACHABLE_US // 2:
            return
        witness = self.incarnations.witness(machine)
        newest = max(machine.links_up(), key=lambda link: link.opened_at, default=None)
        # The candidate must be heard only where the witness has not answered, or nothing can be asked of it.
        needs_candidate = process.checked_at or process.is_after_gap or witness is None
        if witness is not None:
            machine.checked_at = now
            self.incarnations.checked(machine, witness)
            self.health_checks.check_link(witness)
        is_candidate = newest is not None and newest.incarnation == process.candidate
        if newest is not None and is_candidate and needs_candidate:
            machine.checked_at = now
            self.health_checks.check_link(newest)

    def _check_failing(self, machine: Machine) -> None:
        """Decide whether a machine is unreachable after dials to it have failed.

        A machine may accept no new connection and still run its tasks, so a health check is sent on an
        existing connection.
        """
        now = self.loop.now
        is_up = bool(machine.links_up())
        if machine.refused_since and now - machine.refused_since > REFUSED_US and not is_up:
            self._machine_lost(machine, "refused")
        elif now - machine.failing_since > UNREACHABLE_US:
            self._machine_lost(machine, "unreachable")
        elif is_up:
            self._check_connections(machine)

    def candidate_up(self, machine: Machine) -> None:
        """Check at once whether a new connection leads to the process that holds the machine's tasks."""
        if machine.running_count:
            self._check_process(machine)

    def process_ended(self, machine: Machine, reason: str) -> None:
        """Release the tasks of the current incarnation, which is gone; the candidate takes its place."""
        heard_at = machine.process.heard_at
        gone = self.incarnations.replaced(machine)
        for link in list(machine.links.values()):
            if link.incarnation == gone:
                self.links.close(link, why="process gone")
        running_count = self.attempts.process_lost(machine.id, gone)
        self.loop.count("processes_replaced")
        self._report("process replaced", machine, running_count, reason, heard_at)

    def _machine_lost(self, machine: Machine, reason: str) -> None:
        process = machine.process
        if machine.running_count:
            self._report("machine lost", machine, machine.running_count, reason, process.heard_at)
        self.links.close_links_to(machine, "machine lost")
        self.attempts.machine_lost(machine.id)
        self.releases.machine_unreachable(machine)
        self.incarnations.replaced(machine)
        machine.failing_since = 0
        machine.refused_since = 0

    def _report(self, event: str, machine: Machine, running: int, reason: str, heard_at: int) -> None:
        fields: dict[str, object] = {
            "machine": machine.name,
            "running": running,
            "reason": reason,
            "silent_ms": (self.loop.now - heard_at) // 1000 if heard_at else None,
        }
        self.loop.emit(ev.Report(event, fields))

    def _remove(self, machine: Machine) -> None:
        """Remove a machine that left the list and has had time to report the ends of its tasks."""
        if machine.running_count:
            self._report("machine lost", machine, machine.running_count, "delisted", machine.process.heard_at)
        self.attempts.machine_lost(machine.id)
        self._hand_over_orders(machine)
        self.links.close_links_to(machine, "delisted")
        self.pool.dial_queue.pop(machine.id, None)
        self.forget(machine)

    def _hand_over_orders(self, machine: Machine) -> None:
        """Order the machine that has taken over the address to end the tasks that it may have been sent."""
        for order in list(machine.orders.values()):
            self.releases.order(machine.successor, order.message.id, Cause.CANCELLED)
