"""Loops that must not end while the process serves: they are started again, and each end is reported."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

import gevent

from .socket_errors import ErrorClass, classify

RESTART_S = 0.05  # wait before a loop that has ended is started again
ACCEPT_RETRY_S = 0.02  # wait before the next accept after a lack of file descriptors or memory

Report = Callable[[str], None]


def supervise(loop: Callable[[], None], report: Report) -> None:
    """Run a loop for ever: an exception that ends it is reported, and it is started again."""
    while True:
        try:
            loop()
        except Exception:  # noqa: BLE001 - whatever ended the loop, the process goes on serving
            report(traceback.format_exc(limit=-3))
            gevent.sleep(RESTART_S)
        else:
            return


def accept_connections(
    listener: Any,
    serve: Callable[[Any, Any], None],
    is_closing: Callable[[], bool],
    report: Report,
    on_exhausted: Callable[[], None] = lambda: None,
) -> None:
    """Accept connections until the listener is closed.

    Args:
        listener: A listening gevent socket.
        serve: Takes each accepted socket and its peer's address; it must not block.
        is_closing: Returns whether the listener was closed on purpose.
        report: Takes the text of each failure that is not a client's.
        on_exhausted: Called before the next try when file descriptors or memory have run out.
    """
    while not is_closing() and listener.fileno() >= 0:
        try:
            sock, peer = listener.accept()
        except OSError as error:
            # Linux passes errors of the new connection's network to accept; the listener is not affected.
            if classify(error) is ErrorClass.EXHAUSTED:
                on_exhausted()
                gevent.sleep(ACCEPT_RETRY_S)
            elif classify(error) is ErrorClass.UNUSABLE:
                report(f"accept: {error}")
                gevent.sleep(RESTART_S)
            continue
        try:
            serve(sock, peer)
        except OSError:
            sock.close()  # the client has gone meanwhile, or an option of its socket cannot be set
