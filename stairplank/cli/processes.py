"""Runs a command as a long-lived process, until a signal arrives or its parent process ends."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

EXIT_PARENT_ENDED = 3


def end_with_stdin() -> None:
    """Start a greenlet that exits this process when standard input reaches its end.

    Standard input is a pipe from the parent process. It is closed when the parent ends, even if the parent
    was killed.
    """
    import gevent
    from gevent.os import nb_read

    def watch_stdin() -> None:
        from gevent.os import make_nonblocking

        make_nonblocking(0)
        while nb_read(0, 100):
            pass
        os._exit(EXIT_PARENT_ENDED)

    gevent.spawn(watch_stdin)


def serve_until_signal(start: Callable[[], None], stop: Callable[[], None]) -> None:
    """Call ``start``, wait for SIGTERM or SIGINT, then call ``stop``."""
    import gevent
    from gevent.event import Event

    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    start()
    stop_requested.wait()
    stop()
