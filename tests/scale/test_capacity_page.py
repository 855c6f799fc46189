"""Tests that docs/CAPACITY.md has exactly the tables generated from its results files."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from synthetic_results import results

from stairplank.scale.page import PageError, differing, tables_of, with_tables
from stairplank.scale.page_files import RESULTS_NAMES, results_in, tables_from, write_page
from stairplank.scale.results import write
from stairplank.scale.target import TargetLine

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"
FOLDER = DOCS / "results" / "scale"
FIGURE = re.compile(r"\d+(?:\.\d+)?")


@pytest.fixture
def run_twice(tmp_path: Path) -> list[Path]:
    """Returns the paths of the results files of two synthetic runs."""
    for seed, name in enumerate(RESULTS_NAMES, 1):
        write(results(seed), tmp_path / name)
    return results_in(tmp_path)


def test_the_page_has_the_tables_of_its_results() -> None:
    tables = tables_from(results_in(FOLDER), pairs_folder=FOLDER)
    changed = differing(PAGE.read_text(encoding="utf-8"), tables)
    assert changed == [], "python scripts/write_capacity_tables.py regenerates them"


def test_one_figure_altered_by_hand_is_detected(tmp_path: Path, run_twice: list[Path]) -> None:
    page = tmp_path / "page.md"
    page.write_text(PAGE.read_text(encoding="utf-8"), encoding="utf-8")
    write_page(page, run_twice)
    tables = tables_from(run_twice)
    text = page.read_text(encoding="utf-8")
    assert differing(text, tables) == []
    for name, body in tables_of(text).items():
        figure = FIGURE.search(body)
        if figure is None:
            continue  # an empty table has no figure to alter
        altered = body[: figure.start()] + "9" + body[figure.start() :]
        assert differing(text.replace(body, altered, 1), tables) == [name]


def test_one_figure_altered_in_the_results_is_detected(tmp_path: Path, run_twice: list[Path]) -> None:
    page = tmp_path / "page.md"
    page.write_text(PAGE.read_text(encoding="utf-8"), encoding="utf-8")
    write_page(page, run_twice)
    raw = run_twice[0].read_text(encoding="utf-8")
    altered = re.sub(r'("cpu_share": )[0-9.]+', r"\g<1>0.5", raw, count=1)
    assert altered != raw
    run_twice[0].write_text(altered, encoding="utf-8")
    assert differing(page.read_text(encoding="utf-8"), tables_from(run_twice))


def test_tables_are_deterministic(run_twice: list[Path]) -> None:
    assert tables_from(run_twice) == tables_from(run_twice)


def test_the_capacity_table_has_every_line_of_the_target(run_twice: list[Path]) -> None:
    for tables in (tables_from(run_twice), tables_from([])):
        rows = [row.split(" | ")[:2] for row in tables["capacity"].splitlines()[2:]]
        for line in TargetLine:
            forms = " ".join(form for name, form in rows if name == f"| {line.value}")
            assert "platform" in forms and "grpc" in forms, line


def test_with_two_runs_their_differences_are_shown(run_twice: list[Path]) -> None:
    assert "processor time of a planner" in tables_from(run_twice)["noise"]
    assert tables_from(run_twice[:1])["noise"] == "none\n"


def test_prose_around_the_tables_is_kept() -> None:
    page = "# Head\n\n<!-- table: one -->\nold\n<!-- end -->\n\nprose\n"
    assert with_tables(page, {"one": "new\n"}) == page.replace("old", "new")
    assert differing(page, {"one": "old\n"}) == []


@pytest.mark.parametrize(
    "page, tables",
    [
        ("<!-- table: one -->\n<!-- end -->\n", {}),
        ("", {"one": "new\n"}),
        ("<!-- table: one -->\n<!-- end -->\n<!-- table: one -->\n<!-- end -->\n", {"one": "new\n"}),
        ("<!-- table: one -->\nnever closed\n", {"one": "new\n"}),
    ],
)
def test_markers_that_do_not_agree_with_the_tables_are_an_error(page: str, tables: dict[str, str]) -> None:
    with pytest.raises(PageError):
        with_tables(page, tables)


def test_prose_has_no_figures_of_a_run() -> None:
    """Measured figures stand only in the generated tables, so the prose has no number with a unit."""
    prose = re.sub(r"<!-- table: .*?<!-- end -->", "", PAGE.read_text(encoding="utf-8"), flags=re.DOTALL)
    assert re.findall(r"\d[\d.,]*\s?(?:%|MB|KB|B/s|/s|ms|s)\b", prose) == []
