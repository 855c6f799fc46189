"""State machines as tables. What is not in a table is an error. No I/O or state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .errors import IllegalTransitionError


class TransitionTable:
    """Rows of state and event, each with the state that follows."""

    def __init__(self, name: str, rows: Mapping[tuple[Any, str], Any]) -> None:
        """``name`` is what the machine describes, as errors and pages show it."""
        self.name = name
        self.rows = dict(rows)

    def after(self, state: Any, event: str) -> Any:
        """The state that follows.

        Raises:
            IllegalTransitionError: the table has no such row.
        """
        try:
            return self.rows[state, event]
        except KeyError:
            message = f"{self.name}: {str(event)!r} while {state.value!r}"
            raise IllegalTransitionError(message) from None

    def markdown(self) -> str:
        """The table as a page shows it."""
        lines = [f"| {self.name} | event | becomes |", "| --- | --- | --- |"]
        lines += [
            f"| {state.value} | {event} | {next_state.value} |"
            for (state, event), next_state in self.rows.items()
        ]
        return "\n".join(lines)
