"""State machines as tables of transitions; a transition that is not in the table is an error. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .errors import IllegalTransitionError


class TransitionTable:
    """The legal transitions of one state machine: the next state by state and event."""

    def __init__(self, name: str, rows: Mapping[tuple[Any, str], Any]) -> None:
        """Create a table; ``name`` is the name of the state machine in errors and in the documentation."""
        self.name = name
        self.rows = dict(rows)

    def after(self, state: Any, event: str) -> Any:
        """Return the state after the event.

        Raises:
            IllegalTransitionError: the table has no such row.
        """
        try:
            return self.rows[state, event]
        except KeyError:
            message = f"{self.name}: {str(event)!r} while {state.value!r}"
            raise IllegalTransitionError(message) from None

    def markdown(self) -> str:
        """Return the table in Markdown, as the documentation shows it."""
        lines = [f"| {self.name} | event | becomes |", "| --- | --- | --- |"]
        lines += [
            f"| {state.value} | {event} | {next_state.value} |"
            for (state, event), next_state in self.rows.items()
        ]
        return "\n".join(lines)
