"""State machines as tables. What is not in a table is an error. No I/O or state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class IllegalTransition(RuntimeError):
    """Something happened that cannot in this state; the text names both."""


class Table:
    """Rows of state and event, each with the state that follows."""

    def __init__(self, name: str, rows: Mapping[tuple[Any, str], Any]) -> None:
        self.name = name
        self.rows = dict(rows)

    def after(self, state: Any, event: str) -> Any:
        try:
            return self.rows[state, event]
        except KeyError:
            raise IllegalTransition(f"{self.name}: {event!r} while {state.value!r}") from None

    def markdown(self) -> str:
        """As a page shows it."""
        lines = [f"| {self.name} | event | becomes |", "| --- | --- | --- |"]
        lines += [f"| {state.value} | {event} | {then.value} |" for (state, event), then in self.rows.items()]
        return "\n".join(lines)
