"""Receives the numbered messages of a node once each and in order, and detects gaps. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class Receipt(NamedTuple):
    """What to do with a numbered message."""

    accepted: bool  # the message is the next in order: handle it
    request_resend: bool  # earlier messages are missing: request them again


ACCEPTED = Receipt(accepted=True, request_resend=False)
IGNORED = Receipt(accepted=False, request_resend=False)
GAP = Receipt(accepted=False, request_resend=True)


class ReceivedMessages:
    """Tracks the numbered messages of one node's incarnation."""

    def __init__(self) -> None:
        """Start before the first message."""
        self.last_number = 0  # all messages up to this number were accepted
        self.acknowledged = 0  # the last number that was acknowledged
        self._resend_requested_after = -1  # the value of last_number at the last resend request

    def receive(self, number: int) -> Receipt:
        """Record a message. Of the messages after a gap only the first requests a resend."""
        if number == self.last_number + 1:
            self.last_number = number
            return ACCEPTED
        if number <= self.last_number or self._resend_requested_after == self.last_number:
            return IGNORED
        self._resend_requested_after = self.last_number
        return GAP

    def stream_opened(self) -> None:
        """Expect the node to send the messages that were not received, as it does on a new stream."""
        self._resend_requested_after = -1
