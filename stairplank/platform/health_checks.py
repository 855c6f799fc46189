"""Health checks of machines: those of the decision module and those of the links. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. A health check that the decision module requested gets one result: the machine's, or a failure after
   ``HEALTH_CHECK_TIMEOUT_US``.
2. One of the links' own is reported to nobody: its answer, whatever it is, shows that the machine is there.

Table: ``pending`` by id.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import validation
from .messages import Kind, Message
from .tables import HealthCheck, OutboundRequest

HEALTH_CHECK_TIMEOUT_US = 500_000
_OWN_IDS = 1 << 63  # set in the ids of health checks, which no task's number reaches


class Links(Protocol):
    """What health checks need of the connections to machines."""

    def send(self, request: OutboundRequest) -> None: ...
    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None: ...


class HealthChecks:
    """The health checks that are in flight."""

    def __init__(self, loop: EventLoop, report_fields: tuple[str, ...]) -> None:
        """``report_fields``: of load reports, in the settings' order."""
        self.loop = loop
        self.report_fields = report_fields
        self.links: Links
        self.pending: dict[str, HealthCheck] = {}

    def requested(self, action: api.HealthCheck) -> None:
        """The decision module requests a health check."""
        check = self._new(action.node, is_requested=True)
        self.loop.count("probes")
        self._start(check)

    def check_machine(self, machine: int) -> None:
        """Check for the links whether a machine to which dials fail still answers."""
        self._start(self._new(machine, is_requested=False))

    def is_pending(self, check: HealthCheck) -> bool:
        """Whether its result is still awaited."""
        return check.id in self.pending

    def message_of(self, check: HealthCheck) -> Message:
        """The message to the machine; cause 1 requests the load report too."""
        return Message(Kind.HEALTH_CHECK, check.id, cause=int(check.is_requested))

    def received(self, machine: int, message: Message) -> None:
        """A machine's answer; one that nothing here awaits is ignored."""
        check = self.pending.get(message.id)
        if check is not None and check.machine == machine:
            self._finish(check, message.cause == 1, validation.load_report_in(message, self.report_fields))

    def failed(self, check: HealthCheck) -> None:
        """It did not reach its machine, or its connection broke."""
        self._finish(check, False)

    def _new(self, machine: int, is_requested: bool) -> HealthCheck:
        check_id = f"{self.loop.next_number() | _OWN_IDS:016x}"
        return HealthCheck(check_id, machine, self.loop.now, is_requested)

    def _start(self, check: HealthCheck) -> None:
        self.pending[check.id] = check
        self.loop.call_at(check.started_at + HEALTH_CHECK_TIMEOUT_US, self._timed_out, check)
        self.links.send(check)

    def _finish(self, check: HealthCheck, is_healthy: bool, report: tuple[float, ...] = ()) -> None:
        if self.pending.pop(check.id, None) is None:
            return
        self.links.complete(check)
        if check.is_requested:
            took_us = self.loop.now - check.started_at
            load = report if is_healthy else ()
            self.loop.notify_module(api.HealthChecked(check.machine, is_healthy, took_us, load))

    def _timed_out(self, check: HealthCheck) -> None:
        if check.id in self.pending:
            self.links.complete(check, unanswered=True)
            self._finish(check, False)
