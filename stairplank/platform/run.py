"""Starts the platform's planner: ``python -m stairplank.platform`` and ``stairplank platform`` share it."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterable

import gevent

from .config import ConfigError
from .logs import log, make_stderr_nonblocking


def main(early_signals: Iterable[int] = (), path: str | None = None) -> int:
    """Serve in the foreground until SIGTERM.

    Args:
        early_signals: Signals that came before this call.
        path: The configuration file; that of ``GW_CONFIG`` by default.

    Returns:
        The exit code: 0 after a shutdown, 2 for a configuration that cannot be used.
    """
    from .service import Service  # after the signal handlers of ``__main__``: it takes long to load

    make_stderr_nonblocking()
    path = path or os.environ.get("GW_CONFIG", "")
    try:
        service = Service(path)
    except ConfigError as error:
        log("configuration cannot be used", error=str(error))
        return 2
    gevent.signal_handler(signal.SIGHUP, service.reload)
    gevent.signal_handler(signal.SIGTERM, service.stop)
    gevent.signal_handler(signal.SIGINT, service.stop)
    signals_so_far = set(early_signals)  # read only now that the new handlers are installed
    if signal.SIGHUP in signals_so_far:
        service.reload()
    if signal.SIGTERM in signals_so_far:
        service.stop()
    try:
        return service.run()
    except ConfigError as error:
        log("configuration cannot be used", error=str(error))
        return 2
