"""Hosts many independent planners for a simulator that talks over standard input and output.

The host only translates between wire records and planner events; it makes no decisions.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import interface as api
from . import wire
from .decisions import Planner
from .settings_text import settings_from


class Host:
    """Holds the planners of one process; they share no state."""

    def __init__(self) -> None:
        """Start without planners."""
        self.decoder = wire.Decoder()
        self.planners: dict[int, Planner] = {}
        self.broken: set[int] = set()  # instances that raised an exception

    def answer(self, frame: bytes) -> bytes:
        """Return the reply to one frame of events. Raises a WireError if the frame is malformed."""
        now, records = self.decoder.records(frame)
        encoded: list[bytes] = []
        for instance, event in records:
            if instance in self.broken and not isinstance(event, wire.NewInstance):
                continue
            try:
                encoded += [wire.encode(instance, action) for action in self._feed(instance, now, event)]
            except wire.WireError:
                raise
            except Exception as error:  # noqa: BLE001 - a fault in one planner must not stop the others
                self.broken.add(instance)
                self.planners.pop(instance, None)
                reason = " ".join(f"{type(error).__name__}: {error}".split())
                encoded.append(wire.encode_broken(instance, reason))
        return wire.reply(encoded)

    def _feed(self, instance: int, now: int, event: object) -> list[api.Action]:
        if event is None:
            self.planners.pop(instance, None)
            return []
        if isinstance(event, wire.NewInstance):
            self.broken.discard(instance)
            self.planners[instance] = Planner(settings_from(event.options), event.seed)
            return self.planners[instance].handle(now, api.Started())
        planner = self.planners.get(instance)
        if planner is None:  # the instance was killed, so late events for it are dropped
            return []
        return planner.handle(now, event)  # type: ignore[arg-type]  # the decoder yields api.Event objects


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every frame until the end of input. Raises a WireError if a frame is malformed."""
    host = Host()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Serve standard input and output. Returns the exit code, which is 2 for malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"stairplank.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
