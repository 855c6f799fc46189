"""What a revision of the configuration is: a number and the digest of its text. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

MAX_TEXT_BYTES = 1_000_000  # bytes of a configuration; above it a message would not fit the gRPC limit


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """``number`` grows with each publication; ``digest`` tells two texts under one number apart."""

    number: int = 0
    digest: bytes = b""

    def __str__(self) -> str:
        """Return the number and the start of the digest, as logs and the status show them."""
        return f"{self.number} ({self.digest.hex()[:12]})" if self.number else "0 (own file)"


NO_REVISION = Revision()


def digest_of(text: str) -> bytes:
    """Return the SHA-256 of the text in UTF-8."""
    return sha256(text.encode()).digest()


def make_revision(number: int, text: str) -> Revision:
    """Return the identity of this text when it is published under this number."""
    return Revision(number, digest_of(text))
