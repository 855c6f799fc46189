"""The commands ``stairplank scale`` and ``stairplank scale-compare``, which measure a planner's costs."""

from __future__ import annotations

import sys
from importlib import resources
from importlib.metadata import version
from pathlib import Path

import click

SHIPPED = ("site", "small")  # names of the scale files in the package
RESULTS_FILE = "results.json"
CHART_FILE = "chart.png"


def scale_file_path(name: str) -> str:
    """Return the path of the packaged scale file called ``name``. Another ``name`` is returned as a path."""
    if name in SHIPPED:
        return str(resources.files("stairplank") / "scales" / f"{name}.conf")
    return name


@click.command()
@click.argument("file", default="site")
@click.option("--out", type=click.Path(file_okay=False), default="scale", show_default=True)
@click.option("--label", help="What is measured: the state of the program. By default its version.")
def scale(file: str, out: str, label: str | None) -> None:
    """Measure what a planner costs at the sizes that FILE names (or a shipped one: site, small).

    Real planners run beside hollow workers, planners, clients and a hollow node list, all on loopback. Bytes
    are payload at the sockets; the figure with headers adds an estimate: seven packets for a dial and its
    close, a segment and an acknowledgement for a message, 52 bytes of IP and TCP headers each (60 for SYN).

    Exit code 0 where all samples were taken, 1 where not (an interrupted run keeps those it has, marked
    partial), 2 for bad input.
    """
    from ..scale import report
    from ..scale.bounds import load_checked
    from ..scale.run import Run

    plan = load_checked(scale_file_path(file))
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    label = label or f"stairplank {version('stairplank')}, {plan.name}"
    results = Run(plan, folder / RESULTS_FILE, label, lambda line: click.echo(line, err=True)).run()
    report.chart(results, folder / CHART_FILE)
    click.echo(report.table(results), nl=False)
    click.echo(f"results in {folder}", err=True)
    sys.exit(1 if results.partial else 0)


@click.command("scale-compare")
@click.argument("first", type=click.Path(dir_okay=False))
@click.argument("second", type=click.Path(dir_okay=False))
def scale_compare(first: str, second: str) -> None:
    """Print two results files of `scale` side by side with the difference of each figure."""
    from ..scale import results
    from ..scale.compare import compare

    try:
        runs = [results.read(path) for path in (first, second)]
    except results.ResultsError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(2)
    click.echo(compare(*runs), nl=False)
