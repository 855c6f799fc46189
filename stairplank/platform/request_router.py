"""Routes what connections to machines carry: attempts and health checks, and the machines' messages. No I/O.

The links know requests only by their machine, their id and their start; what becomes of one is up to the
component that sent it.
"""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempts
from .health_checks import HealthChecks
from .messages import Kind, Message
from .tables import HealthCheck, OutboundRequest


class RequestRouter:
    """The links' view of the components that send requests."""

    def __init__(self, attempts: Attempts, health_checks: HealthChecks) -> None:
        self.attempts = attempts
        self.health_checks = health_checks

    def may_send(self, request: OutboundRequest) -> bool:
        """Whether it may still go to its machine, now."""
        return isinstance(request, HealthCheck) or self.attempts.may_send(request)

    def message_of(self, request: OutboundRequest) -> Message:
        """The message that is written for it, now."""
        if isinstance(request, HealthCheck):
            return self.health_checks.message_of(request)
        return self.attempts.message_of(request)

    def written(self, request: OutboundRequest, link: int) -> None:
        """It was written to that connection."""
        request.link = link
        if not isinstance(request, HealthCheck):
            self.attempts.written(request)

    def not_written(self, request: OutboundRequest) -> bool:
        """Not every byte of it left: whether it is to be sent again."""
        request.link = 0
        if isinstance(request, HealthCheck):
            return self.health_checks.is_pending(request)
        return self.attempts.not_written(request)

    def unreachable(self, request: OutboundRequest, result: api.Result = api.Result.UNREACHABLE) -> None:
        """It never left."""
        if isinstance(request, HealthCheck):
            self.health_checks.failed(request)
        else:
            self.attempts.unreachable(request, result)

    def recall(self, request: OutboundRequest) -> None:
        """Its connection is about to be closed: its machine is notified that it is abandoned."""
        if not isinstance(request, HealthCheck):
            self.attempts.recall(request)

    def broken(self, request: OutboundRequest) -> None:
        """Its connection broke after a complete write."""
        if isinstance(request, HealthCheck):
            self.health_checks.failed(request)
        else:
            self.attempts.broken(request)

    def received(self, machine: int, link: int, message: Message) -> None:
        """A machine's message, on that connection."""
        if message.kind is Kind.HEALTH_CHECK_RESULT:
            self.health_checks.received(machine, message)
        else:
            self.attempts.received(machine, link, message)
