"""Hosts many independent planners on the simulator's wire (standard input and output). Decides nothing."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import interface as api
from . import wire
from .decisions import Planner


class Host:
    """The planners of one process; they share nothing."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.planners: dict[int, Planner] = {}
        self.broken: set[int] = set()

    def answer(self, frame: bytes) -> bytes:
        now, records = self.decoder.records(frame)
        out: list[bytes] = []
        for i, event in records:
            if i in self.broken and not isinstance(event, wire.NewInstance):
                continue
            try:
                out += [wire.encode(i, action) for action in self._feed(i, now, event)]
            except wire.WireError:
                raise
            except Exception as error:
                self.broken.add(i)
                self.planners.pop(i, None)
                reason = " ".join(f"{type(error).__name__}: {error}".split())
                out.append(wire.encode_broken(i, reason))
        return wire.reply(out)

    def _feed(self, i: int, now: int, event: object) -> list[api.Action]:
        if event is None:
            self.planners.pop(i, None)
            return []
        if isinstance(event, wire.NewInstance):
            self.broken.discard(i)
            self.planners[i] = Planner(wire.settings_from(event.options), event.seed)
            return self.planners[i].handle(now, api.Started())
        planner = self.planners.get(i)
        if planner is None:  # killed meanwhile: what was on its way to it concerns nobody
            return []
        return planner.handle(now, event)  # type: ignore[arg-type]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every frame until the end of input."""
    host = Host()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"stairplank.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
