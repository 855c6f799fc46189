"""Routes attempts, health checks and machines' messages between the links and their components. No I/O.

The links know a request only by its machine, its id and its start time; the component that sent it decides
what follows from its result.
"""

from __future__ import annotations

from .. import interface as api
from .attempts import Attempts
from .health_checks import HealthChecks
from .messages import Kind, Message
from .tables import HealthCheck, OutboundRequest


class RequestRouter:
    """Forwards the links' calls to the component that sent the request."""

    def __init__(self, attempts: Attempts, health_checks: HealthChecks) -> None:
        self.attempts = attempts
        self.health_checks = health_checks

    def may_send(self, request: OutboundRequest) -> bool:
        """Return whether a request may still be sent to its machine."""
        return isinstance(request, HealthCheck) or self.attempts.may_send(request)

    def message_of(self, request: OutboundRequest) -> Message:
        """Return the message to write for a request at this moment."""
        if isinstance(request, HealthCheck):
            return self.health_checks.message_of(request)
        return self.attempts.message_of(request)

    def written(self, request: OutboundRequest, link: int) -> None:
        """Record that a request was written to a connection."""
        request.link = link
        if not isinstance(request, HealthCheck):
            self.attempts.written(request)

    def not_written(self, request: OutboundRequest) -> bool:
        """Handle a request that was not written completely. Return whether it is to be sent again."""
        request.link = 0
        if isinstance(request, HealthCheck):
            return self.health_checks.is_pending(request)
        return self.attempts.not_written(request)

    def unreachable(self, request: OutboundRequest, result: api.Result = api.Result.UNREACHABLE) -> None:
        """Notify the component of a request that was never sent to its machine."""
        if isinstance(request, HealthCheck):
            self.health_checks.failed(request)
        else:
            self.attempts.unreachable(request, result)

    def recall(self, request: OutboundRequest) -> None:
        """Notify the machine that an attempt is abandoned, before its connection is closed."""
        if not isinstance(request, HealthCheck):
            self.attempts.recall(request)

    def broken(self, request: OutboundRequest) -> None:
        """Notify the component of a request whose connection broke after a complete write."""
        if isinstance(request, HealthCheck):
            self.health_checks.failed(request)
        else:
            self.attempts.broken(request)

    def received(self, machine: int, link: int, message: Message) -> None:
        """Pass a message that was received from a machine to the component that it answers."""
        if message.kind is Kind.HEALTH_CHECK_RESULT:
            self.health_checks.received(machine, message)
        else:
            self.attempts.received(machine, link, message)
