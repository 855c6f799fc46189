"""Collects the capacity rows of one form of the planner and fills in their common fields. No I/O."""

from __future__ import annotations

from dataclasses import replace

from .figures import Unit
from .target import TargetLine
from .verdicts import Form, Mechanism, Row, Sense


class RowList:
    """Builds capacity rows.

    ``reach`` adds a capacity and ``stay`` a cost. ``missing`` and ``missing_within`` add a figure that no
    part of the program provides.
    """

    def __init__(self, form: Form) -> None:
        self.form = form
        self.rows: list[Row] = []

    def reach(
        self,
        line: TargetLine,
        figure: str,
        allowance: float,
        mechanism: Mechanism,
        measured: float | None,
        wanted: str,
        *,
        computed: bool = False,
    ) -> None:
        """Add a figure that has to be at least its allowance."""
        row = Row(line, self.form, figure, Unit.COUNT, allowance, Sense.AT_LEAST, mechanism)
        self._add(row, measured, wanted, computed)

    def stay(
        self,
        line: TargetLine,
        figure: str,
        unit: Unit,
        allowance: float,
        mechanism: Mechanism,
        measured: float | None,
        wanted: str,
        *,
        computed: bool = False,
    ) -> None:
        """Add a figure that has to be at most its allowance."""
        row = Row(line, self.form, figure, unit, allowance, Sense.AT_MOST, mechanism)
        self._add(row, measured, wanted, computed)

    def missing(self, line: TargetLine, figure: str, allowance: float, gap: str) -> None:
        """Add a capacity that no part of the program provides; ``gap`` describes what exists instead."""
        row = Row(line, self.form, figure, Unit.COUNT, allowance, Sense.AT_LEAST, None, gap=gap)
        self.rows.append(row)

    def missing_within(self, line: TargetLine, figure: str, seconds: float, gap: str) -> None:
        """Add a time limit that no part of the program implements; ``gap`` describes what exists instead."""
        row = Row(line, self.form, figure, Unit.SECONDS, seconds, Sense.AT_MOST, None, gap=gap)
        self.rows.append(row)

    def _add(self, row: Row, measured: float | None, wanted: str, computed: bool) -> None:
        self.rows.append(replace(row, measured=measured, wanted=wanted, computed=computed))
