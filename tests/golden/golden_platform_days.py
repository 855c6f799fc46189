"""What the platform's planner sends on drawn days: bytes to clients and machines, dials and closes."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "platform"))

from drawn_days import DrawnDay  # noqa: E402
from golden_records import Trace  # noqa: E402

from stairplank.platform import binary, jsonlines  # noqa: E402
from stairplank.platform import events as ev  # noqa: E402

DAYS = [
    ("usual", 1),
    ("usual", 2),
    ("usual", 3),
    ("usual", 4),
    ("strange", 1001),
    ("strange", 1007),
    ("strange", 1012),
]
STEPS = 1500  # of ten simulated milliseconds in which something may happen


class TracedDay(DrawnDay):
    """A drawn day that writes down what the planner sends."""

    def __init__(self, seed: int, strange: bool, trace: Trace) -> None:
        self.trace = trace
        super().__init__(seed, strange=strange)

    def _take(self, actions: list[ev.Action]) -> None:
        for action in actions:
            self._write_down(action)
        super()._take(actions)

    def _write_down(self, action: ev.Action) -> None:
        match action:
            case ev.SendToClient(connection, message):
                self.trace.add(self.now, "client", connection, binary.encode(message))
            case ev.SendToMachine(link, message):
                self.trace.add(self.now, "machine", link, jsonlines.encode(message))
            case ev.Dial(link, address):
                self.trace.add(self.now, "dial", link, address)
            case ev.CloseClient(connection):
                self.trace.add(self.now, "close client", connection)
            case ev.CloseLink(link):
                self.trace.add(self.now, "close", link)
            case ev.WatchNodeList():
                self.trace.add(self.now, "watch")
            case ev.SettingsInForce() | ev.Report():
                pass  # nothing of it leaves the process but a log line
            case _:
                raise TypeError(f"an action that no trace has: {action!r}")


def play(settings: str, seed: int, trace: Trace) -> None:
    """One drawn day, with the tests' usual settings or with ``strange`` ones that are drawn as well."""
    faults = TracedDay(seed, settings == "strange", trace).play(STEPS)
    trace.add("faults", faults)
