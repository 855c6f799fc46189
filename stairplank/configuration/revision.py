"""Identity of a configuration revision: a number and the digest of its text. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

MAX_TEXT_BYTES = 1_000_000  # a larger configuration would not fit into a gRPC message


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Identity of a published text.

    ``number`` grows with each publication; ``digest`` distinguishes two texts with the same number.
    """

    number: int = 0
    digest: bytes = b""

    def __str__(self) -> str:
        """Return the number and the start of the digest, as shown in logs and in the status."""
        return f"{self.number} ({self.digest.hex()[:12]})" if self.number else "0 (own file)"


NO_REVISION = Revision()


def digest_of(text: str) -> bytes:
    """Return the SHA-256 of the text in UTF-8."""
    return sha256(text.encode()).digest()


def make_revision(number: int, text: str) -> Revision:
    """Return the identity of a text that is published under a number."""
    return Revision(number, digest_of(text))
