"""``python -m stairplank.platform``: one planner of the platform, in the foreground."""

import signal
import sys
from types import FrameType

_got: set[int] = set()


def _early(number: int, frame: FrameType | None) -> None:
    """Danger: until a handler stands, SIGHUP ends the process and SIGTERM ends it without its answers."""
    _got.add(number)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, _early)
    signal.signal(signal.SIGTERM, _early)

    from .run import main

    sys.exit(main(_got))
