"""Periodic checks of machines and their connections: what is due, idle or unreachable. No I/O or clock.

Invariants (tests/platform/test_platform_links.py):

1. A machine at which tasks run has a connection, made anew once nothing has been received for ``refresh_us``,
   and every ``renew_us``: a machine sends on the next one what got lost on an old one, and one that has
   vanished lets no new one come up.
2. A machine is held to be unreachable only where dials fail for ``UNREACHABLE_US`` and nothing is received
   from it meanwhile, or where it refuses connections for ``REFUSED_US`` and none is up.
3. A connection with a request outstanding is not closed for idleness.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import events as ev
from .links import IDLE_LINK_US, Links
from .tables import Link, Machine

CHECK_INTERVAL_US = 100_000
CHECK_ROUNDS = 5  # a machine of which nothing is awaited is checked in one of so many
# What ran at a machine that has vanished is due to its clients 8 s after its end: REFRESH_US since it was
# last received from, a dial's time-out, UNREACHABLE_US and the checks come to less, by this much. Danger:
# each planner dials nearly every machine so often.
REPORT_DUE_US = 7_300_000
REFRESH_US = 4_000_000
RENEW_US = 6_000_000  # the same where it answers: what got lost is sent on a new connection, due in 8 s too
MIN_REFRESH_US = 1_000_000
UNREACHABLE_US = 2_500_000
REFUSED_US = 100_000  # so long a machine refuses connections before what ran there is over
REMOVAL_GRACE_US = (
    3_000_000  # a machine that the list reports as removed may still send messages on its tasks
)


class Attempts(Protocol):
    """What the checks need of the attempts at machines."""

    def machine_lost(self, machine: int, before: int | None = None) -> None: ...


class HealthChecks(Protocol):
    """What the checks need of the health checks."""

    def check_machine(self, machine: int) -> None: ...


class LinkChecks:
    """Checks every machine in turn, and those of which something is due in every turn."""

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
        self.attempts = attempts
        self.health_checks = health_checks
        self.forget: Callable[[Machine], None]
        self.idle_timeout_us = min(IDLE_LINK_US, idle_us // 2)
        self.set_dial_timeout(links.dial_timeout_us)
        self._check_count = 0

    def set_dial_timeout(self, dial_timeout_us: int) -> None:
        """How long a dial may take, from now on."""
        # Danger: where dials take long, the end of what ran at a machine that has vanished would be reported
        # too late.
        renewal_due_us = REPORT_DUE_US - dial_timeout_us
        self.refresh_us = max(MIN_REFRESH_US, min(REFRESH_US, renewal_due_us - UNREACHABLE_US))
        self.renew_us = max(MIN_REFRESH_US, min(RENEW_US, renewal_due_us))

    def start(self) -> None:
        """Check machines every ``CHECK_INTERVAL_US`` from now on."""
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)

    def _check_machines(self, _: None) -> None:
        self.loop.call_at(self.loop.now + CHECK_INTERVAL_US, self._check_machines)
        self._check_count += 1
        turn = self._check_count % CHECK_ROUNDS
        for machine in list(self.pool.machines.values()):
            if self._needs_attention(machine) or machine.id % CHECK_ROUNDS == turn:
                self._check_machine(machine)
        self.pool.restore_free_share()
        self.pool.dial_queued()
        for number in list(self.pool.dial_queue):
            self.links.expire_waiting(self.pool.machines[number])

    @staticmethod
    def _needs_attention(machine: Machine) -> bool:
        """Whether something is due there soon. Danger: counted among these for having no connection, nearly
        the whole list of a large site would be checked each time, by each planner, with nothing to do.
        """
        if machine.running_count and not machine.links:
            return True
        return bool(machine.waiting or machine.failing_since or machine.removed_at)

    def _check_machine(self, machine: Machine) -> None:
        now = self.loop.now
        if machine.status is api.NodeStatus.GONE and (machine.removed_at or not machine.running_count):
            # The list reports it, or a full list left it out and what ran there is over.
            if not machine.running_count or now > machine.removed_at + REMOVAL_GRACE_US:
                self._remove(machine)
            return
        links_up = machine.links_up()
        if not machine.dials() and now >= machine.next_dial_at:
            self._dial_if_due(machine, links_up)
        self._close_unused(machine, links_up)
        if machine.failing_since:
            self._check_failing(machine, bool(links_up))

    def _dial_if_due(self, machine: Machine, links_up: list[Link]) -> None:
        if machine.running_count and self._is_due(machine):
            idle = [k for k in links_up if not k.outstanding]
            if idle and len(machine.links) >= self.pool.max_pool:
                self.links.close(min(idle, key=lambda k: k.opened_at))
            if not links_up or len(machine.links) < self.pool.max_pool:
                self.pool.dial_or_queue(machine)
        elif machine.waiting and (not links_up or self.pool.may_dial(machine)):
            self.pool.dial_or_queue(machine)

    def _is_due(self, machine: Machine) -> bool:
        """Whether a new connection is due: on it the machine sends what got lost."""
        last_contact = max(machine.opened_at, machine.last_received_at)
        due_at = min(last_contact + self.refresh_us, machine.opened_at + self.renew_us)
        return not machine.opened_at or self.loop.now > due_at

    def _close_unused(self, machine: Machine, links_up: list[Link]) -> None:
        newest = max((k.opened_at for k in links_up), default=0)
        for link in links_up:
            is_spare = link.opened_at < newest or not machine.running_count
            idle_us = self.loop.now - max(link.used_at, link.opened_at)
            if not link.outstanding and is_spare and idle_us > self.idle_timeout_us:
                self.links.close(link)

    def _check_failing(self, machine: Machine, is_up: bool) -> None:
        """Dials fail. Danger: a machine may let no new connection come up and still run all it has."""
        now = self.loop.now
        is_unreachable = now - machine.failing_since > UNREACHABLE_US
        refuses = machine.refused_since and now - machine.refused_since > REFUSED_US and not is_up
        if refuses or is_unreachable:
            self._machine_lost(machine)
        elif is_up and now - machine.checked_at > UNREACHABLE_US // 2:
            machine.checked_at = now
            self.health_checks.check_machine(machine.id)

    def _machine_lost(self, machine: Machine) -> None:
        if machine.running_count:
            fields: dict[str, object] = {"machine": machine.name, "running": machine.running_count}
            self.loop.emit(ev.Report("machine lost", fields))
        self.links.close_links_to(machine)
        self.attempts.machine_lost(machine.id)
        machine.failing_since = 0
        machine.refused_since = 0

    def _remove(self, machine: Machine) -> None:
        """It is gone from the list, and has had its time to report what became of its tasks."""
        self.attempts.machine_lost(machine.id)
        self.links.close_links_to(machine)
        self.pool.dial_queue.pop(machine.id, None)
        self.forget(machine)
