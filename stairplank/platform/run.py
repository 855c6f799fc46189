"""Starts the platform's planner: ``python -m stairplank.platform`` and ``stairplank platform`` share it."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterable

import gevent

from .config import ConfigError
from .logs import log, make_stderr_nonblocking


def main(early_signals: Iterable[int] = (), path: str | None = None) -> int:
    """Serve in the foreground until SIGTERM; ``early``: signals that came before. The exit code: 0 well, 2
    bad input."""
    from .service import Service

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
    early_signals = set(early_signals)  # looked at once the new handlers stand
    if signal.SIGHUP in early_signals:
        service.reload()
    if signal.SIGTERM in early_signals:
        service.stop()
    try:
        return service.run()
    except ConfigError as error:
        log("configuration cannot be used", error=str(error))
        return 2
