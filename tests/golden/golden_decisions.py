"""Golden traces of the decision module: replays recorded event streams and traces the planner's actions.

``data/decision-events.json.gz`` holds streams of ``[settings, seed, [[time, event type, event], ...]]`` in
the plain form of ``golden_records``. They come from emulated runs of the gRPC planners, random runs of the
platform and random event sequences, in which ``RecordingPlanner`` took the place of ``Planner``.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

from golden_records import Trace, from_plain, to_plain

from stairplank import interface as api
from stairplank.decisions import Planner

FILE = Path(__file__).resolve().parent / "data" / "decision-events.json.gz"
EVENT_TYPES: tuple[type, ...] = (
    api.Started,
    api.NodeList,
    api.TaskRequested,
    api.TaskAdopted,
    api.Placed,
    api.Outcome,
    api.StatusUpdate,
    api.TaskCancelled,
    api.TimerFired,
    api.HealthChecked,
)
ACTION_TYPES: tuple[type, ...] = (
    api.Bind,
    api.Shed,
    api.Fail,
    api.StopAttempt,
    api.Evict,
    api.SetTimer,
    api.HealthCheck,
    api.WatchNodeList,
    api.FetchNodeList,
)  # Log actions are not traced, so that log texts may be reworded


def load_streams() -> list[Any]:
    """Return the recorded streams; a stream's index is its number in the digests."""
    streams: list[Any] = json.loads(gzip.decompress(FILE.read_bytes()))
    return streams


def replay(stream: Any, trace: Trace) -> None:
    """Feed one recorded stream to a new planner and add its actions to the trace."""
    settings, seed, steps = stream
    planner = Planner(from_plain(api.Settings, settings), seed)
    for now, event_type, event in steps:
        for action in planner.handle(now, from_plain(EVENT_TYPES[event_type], event)):
            if not isinstance(action, api.Log):
                trace.add(now, ACTION_TYPES.index(type(action)), to_plain(action))


class RecordingPlanner(Planner):
    """A planner that records its settings, seed and events as a stream."""

    streams: list[Any] = []

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.steps: list[Any] = []
        self.streams.append([to_plain(settings), seed, self.steps])

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.steps.append([now, EVENT_TYPES.index(type(event)), to_plain(event)])
        return super().handle(now, event)


def write_streams(streams: list[Any]) -> None:
    """Write the streams to the data file; the same streams give the same bytes."""
    text = json.dumps(streams, separators=(",", ":"))
    FILE.write_bytes(gzip.compress(text.encode(), mtime=0))
