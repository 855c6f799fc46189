"""Entry point of ``python -m stairplank.platform``, which runs one planner in the foreground."""

import signal
import sys
from types import FrameType

_received_signals: set[int] = set()


def _record(signal_number: int, _frame: FrameType | None) -> None:
    """Record a signal until the service can handle it.

    Without a handler, SIGHUP would end the process, and SIGTERM would end it before open tasks are answered.
    """
    _received_signals.add(signal_number)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, _record)
    signal.signal(signal.SIGTERM, _record)
    signal.signal(signal.SIGUSR1, _record)

    from .run import main

    sys.exit(main(_received_signals))
