"""Records what a core is fed and what it returns, and feeds the same to another core. No I/O.

A trace is a list of steps, each a method's name and its arguments, with the arguments that the core was
created with. A core is a state machine without clock or randomness of its own, so the same steps give the
same actions, to the last field; ``replay`` names the first step that gives others.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from .core import Core

METHODS = ("start", "handle", "handle_after_stall")


@dataclass
class Trace:
    """What one core was fed; ``core_arguments`` created it."""

    core_arguments: tuple[Any, ...]
    steps: list[tuple[str, tuple[Any, ...]]] = field(default_factory=list)
    digests: list[str] = field(default_factory=list)  # of the actions after each step

    def digest(self, actions: list[Any]) -> str:
        """A digest of the actions of one step."""
        return hashlib.blake2b(repr(actions).encode(), digest_size=8).hexdigest()


def record(core: Core, *core_arguments: Any) -> Trace:
    """Put a recorder around a core that was created with these arguments; it acts as before."""
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
    """Feed a trace to a new core: None if all is equal, else the first step that differs and its actions."""
    core = Core(*trace.core_arguments)
    for number, (name, args) in enumerate(trace.steps):
        actions = getattr(core, name)(*args)
        if trace.digest(actions) != trace.digests[number]:
            return number, actions
    return None
