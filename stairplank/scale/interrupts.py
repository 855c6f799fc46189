"""Turns SIGINT and SIGTERM into an exception, deferred during critical sections, for the whole process."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import FrameType

SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Interrupted(Exception):
    """Raised on SIGINT or SIGTERM; the text is the name of the signal."""


@dataclass(slots=True)
class _State:
    deferrals: int = 0  # nested deferred() blocks that are active
    pending: str = ""  # name of the signal that arrived in a deferred() block


_state = _State()


@contextmanager
def signals_raise() -> Iterator[None]:
    """Raises Interrupted on the first signal in this block; later signals must not disturb the cleanup."""
    before = {number: signal.signal(number, _handle) for number in SIGNALS}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        _state.pending = ""


@contextmanager
def deferred() -> Iterator[None]:
    """Defers Interrupted to the end of the block.

    An exception between the start of a process and its registration would leave the process running.
    """
    _state.deferrals += 1
    try:
        yield
    finally:
        _state.deferrals -= 1
    if _state.pending and not _state.deferrals:
        name, _state.pending = _state.pending, ""
        raise Interrupted(name)


def _handle(number: int, frame: FrameType | None) -> None:
    for each in SIGNALS:
        signal.signal(each, signal.SIG_IGN)
    name = signal.Signals(number).name
    if _state.deferrals:
        _state.pending = name
    else:
        raise Interrupted(name)
