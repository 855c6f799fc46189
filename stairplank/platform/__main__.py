"""``python -m stairplank.platform``: one planner of the platform, in the foreground."""

import signal
import sys
from types import FrameType

_received: set[int] = set()


def _record(signal_number: int, _frame: FrameType | None) -> None:
    """Remember a signal until the service can handle it.

    Danger: without a handler SIGHUP ends the process, and SIGTERM ends it with its answers unsent.
    """
    _received.add(signal_number)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, _record)
    signal.signal(signal.SIGTERM, _record)

    from .run import main

    sys.exit(main(_received))
