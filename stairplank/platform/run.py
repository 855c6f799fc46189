"""Runs the platform's planner, for both ``python -m stairplank.platform`` and ``stairplank platform``."""

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
        early_signals: Signals received before this call.
        path: Path of the configuration file; by default the value of the environment variable ``GW_CONFIG``.

    Returns:
        The exit code: 0 after a shutdown, 2 for a configuration that cannot be used.
    """
    from .service import Service  # slow to load: ``__main__`` sets its signal handlers first

    make_stderr_nonblocking()
    path = path or os.environ.get("GW_CONFIG", "")
    try:
        service = Service(path)
    except ConfigError as error:
        log("configuration cannot be used", error=str(error))
        return 2
    gevent.signal_handler(signal.SIGHUP, service.reload)
    gevent.signal_handler(signal.SIGUSR1, service.write_events)
    gevent.signal_handler(signal.SIGTERM, service.stop)
    gevent.signal_handler(signal.SIGINT, service.stop)
    signals_so_far = set(early_signals)  # after the handlers above: no signal is lost between
    if signal.SIGHUP in signals_so_far:
        service.reload()
    if signal.SIGTERM in signals_so_far:
        service.stop()
    try:
        return service.run()
    except ConfigError as error:
        log("configuration cannot be used", error=str(error))
        return 2
