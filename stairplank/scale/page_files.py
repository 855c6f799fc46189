"""Reads results files and a page, and writes the page's tables anew. The only I/O of the capacity page."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .page import differing, with_tables
from .results import Results, read
from .tables import CapacityTables
from .target import SHIPPED, load_target

RESULTS_NAMES = ("results.json", "results-2.json")  # the run, and a second one of the same state
# Runs of an earlier state and of this one, each pair side by side on the same machine at the same time.
BEFORE_NAMES = ("before.json", "before-2.json")
AFTER_NAMES = ("after.json", "after-2.json")


def results_in(folder: Path, names: Sequence[str] = RESULTS_NAMES) -> list[Path]:
    """The results files that are there, the first run first."""
    return [path for name in names if (path := folder / name).exists()]


def tables_from(
    results: Sequence[Path], target: Path = SHIPPED, pairs_folder: Path | None = None
) -> dict[str, str]:
    """Each table of the page by its name; ``pairs_folder`` has the pairs of runs before and after a change.
    Raises ResultsError, SettingsError."""
    runs: list[Results] = [read(path) for path in results]
    return CapacityTables(load_target(target), runs, *_pairs_in(pairs_folder)).all()


def _pairs_in(folder: Path | None) -> tuple[list[Results], list[Results]]:
    if folder is None:
        return [], []
    before, after = (results_in(folder, names) for names in (BEFORE_NAMES, AFTER_NAMES))
    return [read(path) for path in before], [read(path) for path in after]


def write_page(
    page: Path, results: Sequence[Path], target: Path = SHIPPED, pairs_folder: Path | None = None
) -> list[str]:
    """Write the page with its tables made anew; the names of those that changed. Raises PageError too."""
    tables = tables_from(results, target, pairs_folder)
    text = page.read_text(encoding="utf-8")
    changed = differing(text, tables)
    page.write_text(with_tables(text, tables), encoding="utf-8")
    return changed
