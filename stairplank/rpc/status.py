"""gRPC status codes and the exception that carries one."""

from __future__ import annotations

from enum import IntEnum

from .errors import TransportError


class Code(IntEnum):
    """The status codes, with the numbers that the gRPC specification assigns."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class RpcError(TransportError):
    """A call did not end with OK.

    ``never_ran`` is set only if the peer's HTTP/2 frames, or the lack of a connection, prove that no handler
    received the call; a call that failed in any other way may have run.
    """

    def __init__(
        self,
        code: Code,
        message: str = "",
        *,
        never_ran: bool = False,
        trailers: tuple[tuple[str, str | bytes], ...] = (),
    ) -> None:
        """Store the status; ``trailers`` is the metadata received with it."""
        super().__init__(f"{code.name}: {message}" if message else code.name)
        self.code = code
        self.message = message
        self.never_ran = never_ran
        self.trailers = trailers


# Maps HTTP/2 error codes (RFC 9113, section 7) to status codes, as the gRPC HTTP/2 protocol document does.
_CODE_OF_H2_ERROR = {
    0x7: Code.UNAVAILABLE,  # REFUSED_STREAM
    0x8: Code.CANCELLED,  # CANCEL
    0xB: Code.RESOURCE_EXHAUSTED,  # ENHANCE_YOUR_CALM
    0xC: Code.PERMISSION_DENIED,  # INADEQUATE_SECURITY
}
REFUSED_STREAM = 0x7

_CODE_OF_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def error_from_reset(error_code: int) -> RpcError:
    """Return the error of a call whose stream the peer reset with ``error_code``."""
    code = _CODE_OF_H2_ERROR.get(error_code, Code.INTERNAL)
    return RpcError(
        code,
        f"stream reset by the peer (HTTP/2 error {error_code})",
        never_ran=error_code == REFUSED_STREAM,
    )


def error_from_http_status(status: int) -> RpcError:
    """Return the error of a response without grpc-status, derived from its HTTP status."""
    return RpcError(
        _CODE_OF_HTTP_STATUS.get(status, Code.UNKNOWN), f"HTTP status {status} without grpc-status"
    )
