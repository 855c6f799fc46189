"""Errors of the transport: one base, and one type for each kind of malformed input."""

from __future__ import annotations


class TransportError(Exception):
    """Base of every error that ``stairplank.rpc`` raises itself."""


class AddressError(TransportError, ValueError):
    """An endpoint address that cannot be used."""

    def __init__(self, address: str, problem: str) -> None:
        """Keep the address as it was written and what is wrong with it."""
        super().__init__(f"address {address!r}: {problem}")
        self.address = address
        self.problem = problem


class TimeoutFormatError(TransportError, ValueError):
    """A ``grpc-timeout`` header that the protocol does not allow."""

    def __init__(self, header: str) -> None:
        """Keep the value of the header."""
        super().__init__(f"grpc-timeout {header!r} is not 1 to 8 digits and a unit of H M S m u n")
        self.header = header


class MetadataKeyError(TransportError, ValueError):
    """A metadata key that is malformed or reserved."""

    def __init__(self, key: str) -> None:
        """Keep the key."""
        super().__init__(f"metadata key {key!r} cannot be sent")
        self.key = key


class MetadataValueError(TransportError, ValueError):
    """A metadata value that is not printable ASCII under a key without ``-bin``."""

    def __init__(self, key: str) -> None:
        """Keep the key of the value."""
        super().__init__(f"metadata value of {key!r} is not printable ASCII; name the key {key}-bin")
        self.key = key


class HandlersMismatchError(TransportError, ValueError):
    """A service whose handlers and methods are not the same."""

    def __init__(self, service: str, names: list[str]) -> None:
        """Keep the service's full name and the names that only one side has."""
        super().__init__(f"{service}: handlers and methods differ in {names}")
        self.service = service
        self.names = names
