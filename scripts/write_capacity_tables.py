"""Writes the tables of docs/CAPACITY.md from results files of the scale run.

    python scripts/write_capacity_tables.py [RESULTS [RESULTS]]

The first file is the run, the second one another run of the same state. Without files those of
docs/results/scale are taken. ``--page`` and ``--target`` name another page and another site's target.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stairplank.scale.page import PageError
from stairplank.scale.page_files import results_in, write_page
from stairplank.scale.results import ResultsError
from stairplank.scale.target import SHIPPED
from stairplank.settings import SettingsError

DOCS = Path(__file__).resolve().parents[1] / "docs"
PAGE = DOCS / "CAPACITY.md"
FOLDER = DOCS / "results" / "scale"


@click.command(help=__doc__)
@click.argument("results", nargs=-1, type=click.Path(exists=True, path_type=Path))
@click.option("--page", type=click.Path(exists=True, path_type=Path), default=PAGE)
@click.option("--target", type=click.Path(exists=True, path_type=Path), default=SHIPPED)
def main(results: tuple[Path, ...], page: Path, target: Path) -> None:
    try:
        changed = write_page(page, results or results_in(FOLDER), target, FOLDER)
    except (PageError, ResultsError, SettingsError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(f"{page}: {', '.join(changed) or 'nothing'} changed")


if __name__ == "__main__":
    main()
