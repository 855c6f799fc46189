"""The platform's planner, with log lines of what it sends to machines for clients that may leave.

Each has the processor time that the planner has used by then.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

from flooding_client import FIRST_ID

from stairplank.platform import events
from stairplank.platform.actions import ActionExecutor
from stairplank.platform.run import main

execute = ActionExecutor._execute


def processor_time_ms(process: str = "self") -> float:
    """As the system accounts for it, in the same way for whoever asks."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[0]) / 1e6


def record(executor: ActionExecutor, action: events.Action) -> None:
    execute(executor, action)
    if isinstance(action, events.SendToMachine) and 0 < int(action.message.id, 16) < FIRST_ID:
        kind, cpu_ms = action.message.kind.name, processor_time_ms()
        line = json.dumps({"event": "sent", "id": action.message.id, "kind": kind, "cpu_ms": cpu_ms})
        os.write(2, line.encode() + b"\n")


if __name__ == "__main__":
    ActionExecutor._execute = record  # type: ignore[method-assign]
    sys.exit(main())
