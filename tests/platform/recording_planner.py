"""Runs the platform's planner and logs each message that it sends to a machine for a task below ``FIRST_ID``.

Each log line has the processor time that the planner has used so far.
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

original_execute = ActionExecutor._execute


def processor_time_ms(process: str = "self") -> float:
    """Return a process's processor time as the kernel accounts for it; ``process`` is a process id."""
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[0]) / 1e6


def execute_and_log(executor: ActionExecutor, action: events.Action) -> None:
    original_execute(executor, action)
    if isinstance(action, events.SendToMachine) and 0 < int(action.message.id, 16) < FIRST_ID:
        kind, cpu_ms = action.message.kind.name, processor_time_ms()
        line = json.dumps({"event": "sent", "id": action.message.id, "kind": kind, "cpu_ms": cpu_ms})
        os.write(2, line.encode() + b"\n")


if __name__ == "__main__":
    ActionExecutor._execute = execute_and_log  # type: ignore[method-assign]
    sys.exit(main())
