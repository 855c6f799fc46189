"""How old a message is, without a common clock; which of two connections is the newer. No I/O.

``grants`` has the receiver's and the sender's half of the fence by age, ``epochs`` the order of streams.
docs/design/held-bytes.md compares the alternatives and has the proof.
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
