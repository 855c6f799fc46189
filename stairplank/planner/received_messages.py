"""Numbered messages of a node: each is taken once and in order, and a gap is reported once. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class Receipt(NamedTuple):
    """What to do about a numbered message."""

    accepted: bool  # it is the next one: handle it
    request_resend: bool  # messages before it are missing: request them


ACCEPTED = Receipt(accepted=True, request_resend=False)
IGNORED = Receipt(accepted=False, request_resend=False)
GAP = Receipt(accepted=False, request_resend=True)


class ReceivedMessages:
    """Tracks the numbered messages of one node's incarnation."""

    def __init__(self) -> None:
        """No message has been received yet."""
        self.last_number = 0  # all up to this one were accepted
        self.acknowledged = 0
        self._resend_requested_after = -1  # the last number when messages were requested again

    def receive(self, number: int) -> Receipt:
        """Take note of a message; of several after one gap only the first requests a resend."""
        if number == self.last_number + 1:
            self.last_number = number
            return ACCEPTED
        if number <= self.last_number or self._resend_requested_after == self.last_number:
            return IGNORED
        self._resend_requested_after = self.last_number
        return GAP

    def stream_opened(self) -> None:
        """On a new stream the node begins with what was not received."""
        self._resend_requested_after = -1
