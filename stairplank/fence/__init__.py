"""Rejection of outdated messages without a common clock, and of streams that a newer one replaced. No I/O.

``grants`` bounds the age of a message, with one class for its receiver and one for its sender. ``epochs``
decides which of a peer's streams is the newest. docs/design/held-bytes.md compares the alternatives and has
the proof.
"""

from .epochs import StreamEpochs
from .grants import MAX_DRIFT_PPM, AgeStamp, ClockStepDetector, GrantIssuer, MessageStamper

__all__ = [
    "MAX_DRIFT_PPM",
    "AgeStamp",
    "ClockStepDetector",
    "GrantIssuer",
    "MessageStamper",
    "StreamEpochs",
]
