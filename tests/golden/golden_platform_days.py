"""Golden traces of the platform planner: its messages, dials and closes in random simulated runs."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "platform"))

from golden_records import Trace  # noqa: E402
from random_days import RandomDay  # noqa: E402

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
STEPS = 1500  # steps of ten simulated milliseconds, each with random events


class TracedDay(RandomDay):
    """A simulated run that adds every action of the planner to a trace."""

    def __init__(self, seed: int, uses_random_settings: bool, trace: Trace) -> None:
        self.trace = trace
        super().__init__(seed, uses_random_settings=uses_random_settings)

    def _record_actions(self, actions: list[ev.Action]) -> None:
        for action in actions:
            self._trace_action(action)
        super()._record_actions(actions)

    def _trace_action(self, action: ev.Action) -> None:
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
                pass  # these actions only cause log lines, which are not traced
            case _:
                raise TypeError(f"no trace format for action {action!r}")


def record_trace(settings: str, seed: int, trace: Trace) -> None:
    """Run one simulation from the seed, with the tests' "usual" settings or with random, "strange" ones."""
    faults = TracedDay(seed, settings == "strange", trace).play(STEPS)
    trace.add("faults", faults)
