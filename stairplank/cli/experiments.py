"""The command ``stairplank experiment``, which runs a grid of simulated clusters."""

from __future__ import annotations

import os

import click

EXPERIMENTS = ("groups",)  # names of the experiment files in the package


@click.command()
@click.argument("file", default="groups")
@click.option("--out", type=click.Path(file_okay=False), default="experiment", show_default=True)
@click.option("--processes", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def experiment(file: str, out: str, processes: int) -> None:
    """Run a grid of simulated rooms by FILE (or a shipped one by name); write table and charts to --out."""
    from importlib import resources
    from pathlib import Path

    from ..emulator import experiment as grid

    path = str(resources.files("stairplank") / "experiments" / file) if file in EXPERIMENTS else file
    rows = grid.run_experiment(
        path, processes, lambda done, total: click.echo(f"\r{done} of {total}", err=True, nl=False)
    )
    click.echo("", err=True)
    grid.write_results(rows, path, Path(out))
    click.echo(grid.markdown_table(rows), nl=False)
    click.echo(f"results in {out}", err=True)
