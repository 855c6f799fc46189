"""Exceptions of the transport: a base class, and a class for each kind of malformed input."""

from __future__ import annotations


class TransportError(Exception):
    """Base class of the exceptions that ``stairplank.rpc`` defines."""


class AddressError(TransportError, ValueError):
    """An endpoint address is malformed."""

    def __init__(self, address: str, problem: str) -> None:
        """Store the address as given and a description of the problem."""
        super().__init__(f"address {address!r}: {problem}")
        self.address = address
        self.problem = problem


class TimeoutFormatError(TransportError, ValueError):
    """A ``grpc-timeout`` header does not follow the gRPC protocol."""

    def __init__(self, header: str) -> None:
        """Store the value of the header."""
        super().__init__(f"grpc-timeout {header!r} is not 1 to 8 digits and a unit of H M S m u n")
        self.header = header


class MetadataKeyError(TransportError, ValueError):
    """A metadata key is malformed or reserved."""

    def __init__(self, key: str) -> None:
        """Store the metadata key."""
        super().__init__(f"metadata key {key!r} is malformed or reserved")
        self.key = key


class MetadataValueError(TransportError, ValueError):
    """A metadata value is not printable ASCII, which a key without the suffix ``-bin`` requires."""

    def __init__(self, key: str) -> None:
        """Store the metadata key of the value."""
        super().__init__(
            f"metadata value of {key!r} is not printable ASCII; binary values need the key {key}-bin"
        )
        self.key = key


class HandlersMismatchError(TransportError, ValueError):
    """The handlers given for a service do not match its methods."""

    def __init__(self, service: str, names: list[str]) -> None:
        """Store the service's full name and the names that have a handler or a method but not both."""
        super().__init__(f"{service}: missing or unknown handlers: {names}")
        self.service = service
        self.names = names
