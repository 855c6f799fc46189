"""Formats figures and tables as Markdown. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .figures import Unit

NOT_MEASURED = "not measured"
SIGNIFICANT_DIGITS = 3


def number(value: float) -> str:
    """Formats a number with at least three significant digits and no exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{value:,.0f}"
    text = f"{value:.{SIGNIFICANT_DIGITS}g}"
    return f"{value:.6f}".rstrip("0").rstrip(".") if "e" in text else text


def amount(value: float | None, unit: Unit) -> str:
    """Formats a figure with its unit; None becomes ``not measured``."""
    if value is None:
        return NOT_MEASURED
    if unit is Unit.SHARE:
        return f"{number(100 * value)}%"
    if unit is Unit.PER_S:
        return f"{number(value)}/s"
    return f"{number(value)} {unit.value}".rstrip()


def share(value: float) -> str:
    """Formats a share as a percentage."""
    return f"{number(100 * value)}%"


def factor(value: float | None) -> str:
    """Formats the ratio of a figure to its allowance; None becomes empty."""
    return "" if value is None else f"{value:.2f}"


def table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Formats a table; without rows, returns the line ``none``."""
    lines = [_line(row) for row in rows]
    if not lines:
        return "none\n"
    return "\n".join([_line(headings), _line(["---"] * len(headings)), *lines]) + "\n"


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"
