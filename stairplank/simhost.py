"""Hosts many independent planners on the simulator's wire (standard input and output). Decides nothing."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import interface as api
from . import wire
from .decisions import Planner
from .settings_text import settings_from


class Host:
    """The planners of one process; they share nothing."""

    def __init__(self) -> None:
        """Start with no planner."""
        self.decoder = wire.Decoder()
        self.planners: dict[int, Planner] = {}
        self.broken: set[int] = set()

    def answer(self, frame: bytes) -> bytes:
        """The reply to one frame of events. Raises a WireError where the frame is malformed."""
        now, records = self.decoder.records(frame)
        out: list[bytes] = []
        for instance, event in records:
            if instance in self.broken and not isinstance(event, wire.NewInstance):
                continue
            try:
                out += [wire.encode(instance, action) for action in self._feed(instance, now, event)]
            except wire.WireError:
                raise
            except Exception as error:  # noqa: BLE001 - a fault of one planner must spare the others
                self.broken.add(instance)
                self.planners.pop(instance, None)
                reason = " ".join(f"{type(error).__name__}: {error}".split())
                out.append(wire.encode_broken(instance, reason))
        return wire.reply(out)

    def _feed(self, instance: int, now: int, event: object) -> list[api.Action]:
        if event is None:
            self.planners.pop(instance, None)
            return []
        if isinstance(event, wire.NewInstance):
            self.broken.discard(instance)
            self.planners[instance] = Planner(settings_from(event.options), event.seed)
            return self.planners[instance].handle(now, api.Started())
        planner = self.planners.get(instance)
        if planner is None:  # killed meanwhile: what was on its way to it concerns nobody
            return []
        return planner.handle(now, event)  # type: ignore[arg-type]  # the decoder makes interface events


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every frame until the end of input. Raises a WireError where one is malformed."""
    host = Host()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Serve standard input and output; returns the exit code, 2 for malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"stairplank.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
