"""How old a message is, known without a common clock; which of two connections is the newer. No I/O.

``grants`` is the receiver's half and the sender's half of the fence by age, ``epochs`` the order of streams.
docs/design/held-bytes.md has the ways weighed and the proof.
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
