"""Collects the rows of one form of the planner, with what they share filled in. No I/O."""

from __future__ import annotations

from dataclasses import replace

from .figures import Unit
from .target import TargetLine
from .verdicts import Form, Mechanism, Row, Sense


class RowList:
    """``reach`` adds a capacity, ``stay`` a cost, ``missing`` what no part of the program carries."""

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
        """A figure that has to reach its allowance."""
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
        """A figure that has to stay within its allowance."""
        row = Row(line, self.form, figure, unit, allowance, Sense.AT_MOST, mechanism)
        self._add(row, measured, wanted, computed)

    def missing(self, line: TargetLine, figure: str, allowance: float, gap: str) -> None:
        """A capacity that nothing carries; ``gap`` says what is there instead."""
        row = Row(line, self.form, figure, Unit.COUNT, allowance, Sense.AT_LEAST, None, gap=gap)
        self.rows.append(row)

    def missing_within(self, line: TargetLine, figure: str, seconds: float, gap: str) -> None:
        """The same for what has to be done in so many seconds."""
        row = Row(line, self.form, figure, Unit.SECONDS, seconds, Sense.AT_MOST, None, gap=gap)
        self.rows.append(row)

    def _add(self, row: Row, measured: float | None, wanted: str, computed: bool) -> None:
        self.rows.append(replace(row, measured=measured, wanted=wanted, computed=computed))
