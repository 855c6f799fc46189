"""Reads results files and rewrites the tables of the capacity page; all its file access is here."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .page import differing, with_tables
from .results import Results, read
from .tables import CapacityTables
from .target import SHIPPED, load_target

RESULTS_NAMES = ("results.json", "results-2.json")  # two runs of the same program version
# Runs of an earlier program version and of this one; each pair ran in parallel on the same machine.
BEFORE_NAMES = ("before.json", "before-2.json")
AFTER_NAMES = ("after.json", "after-2.json")


def results_in(folder: Path, names: Sequence[str] = RESULTS_NAMES) -> list[Path]:
    """Returns the results files that exist in ``folder``, in the order of ``names``."""
    return [path for name in names if (path := folder / name).exists()]


def tables_from(
    results: Sequence[Path], target: Path = SHIPPED, pairs_folder: Path | None = None
) -> dict[str, str]:
    """Returns each table of the page by its name. Raises ResultsError or SettingsError.

    ``pairs_folder`` contains the pairs of runs from before and after a change.
    """
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
    """Rewrites the tables of the page and returns the names of the tables that changed.

    Raises PageError, ResultsError or SettingsError.
    """
    tables = tables_from(results, target, pairs_folder)
    text = page.read_text(encoding="utf-8")
    changed = differing(text, tables)
    page.write_text(with_tables(text, tables), encoding="utf-8")
    return changed
