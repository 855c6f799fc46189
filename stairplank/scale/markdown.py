"""Figures and tables as text of a Markdown page. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .figures import Unit

NOT_MEASURED = "not measured"
DIGITS = 3


def number(value: float) -> str:
    """Three digits that matter, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 10 ** (DIGITS - 1):
        return f"{value:,.0f}"
    text = f"{value:.{DIGITS}g}"
    return f"{value:.6f}".rstrip("0").rstrip(".") if "e" in text else text


def amount(value: float | None, unit: Unit) -> str:
    """A figure with its unit, or that it was not measured."""
    if value is None:
        return NOT_MEASURED
    if unit is Unit.SHARE:
        return f"{number(100 * value)}%"
    if unit is Unit.PER_S:
        return f"{number(value)}/s"
    return f"{number(value)} {unit.value}".rstrip()


def share(value: float) -> str:
    """A share in percent."""
    return f"{number(100 * value)}%"


def factor(value: float | None) -> str:
    """A ratio, as figures over their allowances are written."""
    return "" if value is None else f"{value:.2f}"


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table, or a line that says that there is nothing to show."""
    lines = [_line(row) for row in rows]
    if not lines:
        return "none\n"
    return "\n".join([_line(heads), _line(["---"] * len(heads)), *lines]) + "\n"


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"
