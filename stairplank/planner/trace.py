"""Records the calls of a core and digests of their results, and replays the calls on a new core. No I/O.

A trace contains the arguments with which the core was created, and the steps: the name and the arguments of
each method call. A core has no clock, and its random numbers depend only on its seed, so the same steps give
equal actions; ``replay`` returns the first step whose actions differ.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from .core import Core

METHODS = ("start", "handle", "handle_after_stall")


@dataclass
class Trace:
    """The recorded calls of one core; ``core_arguments`` are the arguments that created it."""

    core_arguments: tuple[Any, ...]
    steps: list[tuple[str, tuple[Any, ...]]] = field(default_factory=list)
    digests: list[str] = field(default_factory=list)  # digests of the actions of each step

    def digest(self, actions: list[Any]) -> str:
        """Return a digest of the actions of one step."""
        return hashlib.blake2b(repr(actions).encode(), digest_size=8).hexdigest()


def record(core: Core, *core_arguments: Any) -> Trace:
    """Record all calls of a core, which was created with these arguments; return the trace."""
    trace = Trace(core_arguments)
    for name in METHODS:
        inner = getattr(core, name)

        def step(*args: Any, _name: str = name, _inner: Any = inner) -> Any:
            actions = _inner(*args)
            trace.steps.append((_name, args))
            trace.digests.append(trace.digest(actions))
            return actions

        setattr(core, name, step)
    return trace


def replay(trace: Trace) -> tuple[int, list[Any]] | None:
    """Replay a trace on a new core; return the first step that differs and its actions, or None."""
    core = Core(*trace.core_arguments)
    for number, (name, args) in enumerate(trace.steps):
        actions = getattr(core, name)(*args)
        if trace.digest(actions) != trace.digests[number]:
            return number, actions
    return None
