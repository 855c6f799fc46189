"""Health checks of machines, started by the decision module or by the links. No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. A health check that the decision module requested gets one result: the machine's, or a failure after
   ``HEALTH_CHECK_TIMEOUT_US``.
2. The result of a health check that the links started is not reported: any answer shows that the machine is
   reachable.

Table: ``pending`` by the health check's id.
"""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..planner.event_loop import EventLoop
from . import validation
from .messages import Kind, Message
from .tables import HealthCheck, Link, OutboundRequest

HEALTH_CHECK_TIMEOUT_US = 500_000
_HEALTH_CHECK_ID_BIT = 1 << 63  # set in every health check's id; no task's number is large enough to set it


class Links(Protocol):
    """The methods of the connections to machines that health checks use."""

    def send(self, request: OutboundRequest) -> None: ...
    def send_on(self, link: Link, request: OutboundRequest) -> None: ...
    def complete(self, request: OutboundRequest, *, unanswered: bool = False) -> None: ...


class HealthChecks:
    """Starts health checks, tracks them by id and reports their results."""

    def __init__(self, loop: EventLoop, report_fields: tuple[str, ...]) -> None:
        """``report_fields``: the field names of load reports, in the order of the settings."""
        self.loop = loop
        self.report_fields = report_fields
        self.links: Links
        self.pending: dict[str, HealthCheck] = {}

    def requested(self, action: api.HealthCheck) -> None:
        """Start a health check that the decision module requested."""
        check = self._new(action.node, is_requested=True)
        self.loop.count("probes")
        self._start(check)

    def check_link(self, link: Link) -> None:
        """Start a health check on a given connection: the machine must show that it reads there."""
        check = self._new(link.machine, is_requested=False)
        self._add(check)
        self.links.send_on(link, check)
        link.last_check_id = check.id
        link.last_check_number = check.write_number

    def is_pending(self, check: HealthCheck) -> bool:
        """Return whether the health check still waits for its result."""
        return check.id in self.pending

    def message_of(self, check: HealthCheck) -> Message:
        """Return the message of a health check; cause 1 requests a load report too."""
        return Message(Kind.HEALTH_CHECK, check.id, cause=int(check.is_requested))

    def received(self, machine: int, message: Message) -> None:
        """Finish the health check that a machine answered; ignore an answer that is not expected."""
        check = self.pending.get(message.id)
        if check is not None and check.machine == machine:
            self._finish(check, message.cause == 1, validation.load_report_in(message, self.report_fields))

    def failed(self, check: HealthCheck) -> None:
        """Fail a health check that was not sent, or whose connection broke."""
        self._finish(check, False)

    def _new(self, machine: int, is_requested: bool) -> HealthCheck:
        check_id = f"{self.loop.next_number() | _HEALTH_CHECK_ID_BIT:016x}"
        return HealthCheck(check_id, machine, self.loop.now, is_requested)

    def _start(self, check: HealthCheck) -> None:
        self._add(check)
        self.links.send(check)

    def _add(self, check: HealthCheck) -> None:
        self.pending[check.id] = check
        self.loop.call_at(check.started_at + HEALTH_CHECK_TIMEOUT_US, self._timed_out, check)

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
