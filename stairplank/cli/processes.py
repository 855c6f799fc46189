"""How a command runs as a long-lived process: until a signal, or until its starter ends."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

EXIT_STARTER_ENDED = 3


def end_with_stdin() -> None:
    """End this process when standard input ends, as it does with its starter, also one that was killed."""
    import gevent
    from gevent.os import nb_read

    def watch() -> None:
        from gevent.os import make_nonblocking

        make_nonblocking(0)
        while nb_read(0, 100):
            pass
        os._exit(EXIT_STARTER_ENDED)

    gevent.spawn(watch)


def serve_until_signal(start: Callable[[], None], end: Callable[[], None]) -> None:
    """Start, wait for SIGTERM or SIGINT, end."""
    import gevent
    from gevent.event import Event

    done = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, done.set)
    start()
    done.wait()
    end()
