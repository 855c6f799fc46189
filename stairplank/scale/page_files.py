"""Reads results files and a page, and writes the page's tables anew. The only I/O of the capacity page."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .page import differing, with_tables
from .results import Results, read
from .tables import CapacityTables
from .target import SHIPPED, load_target

RESULTS_NAMES = ("results.json", "results-2.json")  # the run, and a second one of the same state
BEFORE_NAMES = ("before.json", "before-2.json")  # the same of the state before the last change


def results_in(folder: Path, names: Sequence[str] = RESULTS_NAMES) -> list[Path]:
    """The results files that are there, the first run first."""
    return [path for name in names if (path := folder / name).exists()]


def tables_from(
    results: Sequence[Path], target: Path = SHIPPED, before: Sequence[Path] = ()
) -> dict[str, str]:
    """Each table of the page by its name. Raises ResultsError, SettingsError."""
    runs: list[Results] = [read(path) for path in results]
    return CapacityTables(load_target(target), runs, [read(path) for path in before]).all()


def write_page(
    page: Path, results: Sequence[Path], target: Path = SHIPPED, before: Sequence[Path] = ()
) -> list[str]:
    """Write the page with its tables made anew; the names of those that changed. Raises PageError too."""
    tables = tables_from(results, target, before)
    text = page.read_text(encoding="utf-8")
    changed = differing(text, tables)
    page.write_text(with_tables(text, tables), encoding="utf-8")
    return changed
