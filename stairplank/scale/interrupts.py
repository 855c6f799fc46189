"""SIGINT and SIGTERM as an exception, though not amid what must be done whole; of the whole process."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import FrameType

SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Interrupted(Exception):
    """A signal asks for the end; the text names it."""


@dataclass(slots=True)
class _State:
    deferrals: int = 0  # entered and not left
    pending: str = ""  # the signal that came meanwhile


_state = _State()


@contextmanager
def signals_raise() -> Iterator[None]:
    """The first signal raises Interrupted in here; further ones must not disturb what ends then."""
    before = {number: signal.signal(number, _handle) for number in SIGNALS}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        _state.pending = ""


@contextmanager
def deferred() -> Iterator[None]:
    """A signal that comes in here raises at the end. Danger: raised between the start of a process and its
    entry in a list, it would leave that process behind."""
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
