"""Classes the errors of socket calls: the peer's end, this process for a moment, or the socket for good.

Source: the Linux manual pages of accept(2), socket(2), connect(2), recv(2) and send(2).
"""

from __future__ import annotations

import errno
from enum import Enum


class ErrorClass(Enum):
    """What an error of a socket call says, and so what to do."""

    PEER = "peer"  # the connection is over or was never made; others are not affected
    EXHAUSTED = "exhausted"  # this process or system lacks a resource for a moment: wait and try again
    INTERRUPTED = "interrupted"  # nothing happened: try again
    UNUSABLE = "unusable"  # the socket itself cannot be used any more


_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})
_INTERRUPTED = frozenset({errno.EINTR, errno.EAGAIN, errno.EWOULDBLOCK})
_UNUSABLE = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EFAULT})


def classify(error: OSError) -> ErrorClass:
    """Return the class of an error; one that no table names is the peer's end."""
    if error.errno in _EXHAUSTED:
        return ErrorClass.EXHAUSTED
    if error.errno in _INTERRUPTED:
        return ErrorClass.INTERRUPTED
    if error.errno in _UNUSABLE:
        return ErrorClass.UNUSABLE
    return ErrorClass.PEER


def is_ours(error: BaseException) -> bool:
    """Return whether a call failed for want of a resource of this process, or did nothing."""
    if not isinstance(error, OSError) or isinstance(error, TimeoutError):
        return False
    return classify(error) in (ErrorClass.EXHAUSTED, ErrorClass.INTERRUPTED)


def error_name(error: BaseException) -> str:
    """Return a short name of an error for the log, such as ECONNRESET."""
    number = error.errno if isinstance(error, OSError) else None
    return errno.errorcode.get(number, type(error).__name__) if number else type(error).__name__
