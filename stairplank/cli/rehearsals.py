"""The commands ``stairplank rehearse`` (runs scenarios on real processes) and ``judge`` (checks captures)."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from pathlib import Path

    from ..rehearsal.scenario import Scenario

from .parameters import FILE

DEFAULT_SCENARIO = "first-bad-day"
RANDOM_FAULTS_BASE = "drawn-room"  # scenario that --drawn uses by default
# Names of the scenarios in the package.
SHIPPED = ("first-bad-day", "groups-bad-day", "held-bytes", "drawn-room", "one-group")


def _rehearse_random_scenarios(
    scenario: str, count: int, seed: int, jobs: int, shrink: int, report: str | None
) -> None:
    """Generate random scenarios, rehearse them and print the results. Exits with code 1 if one failed."""
    from pathlib import Path

    from ..rehearsal import report as reports
    from ..rehearsal.batch import HEAD, Batch
    from ..rehearsal.run import work_folder

    folder = work_folder(report)
    batch = Batch(folder, jobs, lambda line: click.echo(line, err=True))
    click.echo(f"{count} drawn scenarios, seeds {seed} to {seed + count - 1}; kept in {folder}", err=True)
    runs = batch.drawn(Path(_scenario_path(scenario)), count, seed)
    table = reports.table([HEAD, *(run.row() for run in runs)])
    (folder / "table.txt").write_text(table + "\n")
    click.echo(table)
    failing = [run for run in runs if not run.clean]
    click.echo(f"{count - len(failing)} of {count} without breach")
    if failing and shrink:
        shrunk = batch.shrink(failing[0], shrink)
        click.echo(f"{failing[0].name}, cut down, fails in {shrunk.scenario}")
    sys.exit(1 if failing else 0)


def _scenario_path(name: str) -> str:
    """Return the path of the packaged scenario called ``name``. Another ``name`` is returned as a path."""
    from importlib import resources

    if name in SHIPPED:
        return str(resources.files("stairplank") / "scenarios" / name)
    return name


def _convert_day(day: str, scale: float, speed: float, seed: int, target: str) -> str:
    """Convert a day file of the bench into a scenario file and return its path, ``target``.

    Exits with code 2 if the day file cannot be read or converted.
    """
    import json
    from pathlib import Path

    from ..rehearsal.bench_day import DayError, scenario_from_day

    try:
        converted = scenario_from_day(json.loads(Path(day).read_text()), scale, speed, seed)
    except (OSError, ValueError, DayError) as error:
        click.echo(f"error: {day}: {error}", err=True)
        sys.exit(2)
    Path(target).write_text(converted.text)
    for note in converted.notes:
        click.echo(f"not carried over: {note}", err=True)
    return target


@click.command()
@click.argument("scenario", default=DEFAULT_SCENARIO)
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's own.")
@click.option(
    "--report", type=click.Path(file_okay=False), help="Folder for report.txt, report.json, chart.png."
)
@click.option("--work", type=click.Path(file_okay=False), help="Folder for the capture, files and logs.")
@click.option("--day", type=FILE, help="A day file of the bench, in place of a scenario.")
@click.option("--scale", type=float, default=1.0, show_default=True, help="--day: share of the room.")
@click.option("--speed", type=float, default=1.0, show_default=True, help="--day: so many times faster.")
@click.option(
    "--drawn", type=click.IntRange(1, 10_000), help="So many drawn fault scripts on SCENARIO's room."
)
@click.option("--jobs", type=click.IntRange(1, 64), default=3, show_default=True, help="--drawn: at a time.")
@click.option(
    "--shrink",
    type=click.IntRange(0),
    default=24,
    show_default=True,
    help="--drawn: rehearsals for cutting down.",
)
def rehearse(
    scenario: str,
    seed: int | None,
    report: str | None,
    work: str | None,
    day: str | None,
    scale: float,
    speed: float,
    drawn: int | None,
    jobs: int,
    shrink: int,
) -> None:
    """Rehearse a SCENARIO on real processes; exit 0 without breach, 1 with, 2 for bad input.

    SCENARIO is a file, or the name of a shipped one. By default the shipped first bad day is played. With
    --day a day file of the bench is replayed; what cannot be carried over is said line by line. With --drawn
    scenarios are drawn under --seed and those after it, and a failing one is cut down.
    """
    if drawn is not None:
        base = RANDOM_FAULTS_BASE if scenario == DEFAULT_SCENARIO else scenario
        _rehearse_random_scenarios(base, drawn, seed or 1, jobs, shrink, report)
        return
    from pathlib import Path

    from ..rehearsal.run import work_folder
    from ..rehearsal.scenario import load_scenario

    folder = work_folder(work)
    if day is not None:
        scenario = _convert_day(day, scale, speed, seed or 1, str(folder / "scenario"))
    loaded = load_scenario(_scenario_path(scenario), seed)
    name = Path(day).stem if day is not None else loaded.name
    _rehearse_scenario(loaded, f"{name} (seed {loaded.seed})", folder, report)


def _rehearse_scenario(loaded: Scenario, title: str, folder: Path, report: str | None) -> NoReturn:
    """Rehearse one scenario and print its report. Exits with code 1 if it failed and with 0 otherwise."""
    from pathlib import Path

    from ..rehearsal import report as reports
    from ..rehearsal.run import Rehearsal, RehearsalError

    click.echo(f"rehearsing {title}; work in {folder}", err=True)
    try:
        result = Rehearsal(loaded, folder, lambda line: click.echo(line, err=True)).run()
    except RehearsalError as error:
        raise click.ClickException(str(error)) from None
    click.echo(reports.text(result, title), nl=False)
    if report is not None:
        reports.write(result, Path(report), title)
        click.echo(f"report in {report}", err=True)
    has_failed = bool(result.checker.breaches or result.problems or result.unclean)
    sys.exit(1 if has_failed else 0)


@click.command()
@click.argument("capture", type=FILE)
def judge(capture: str) -> None:
    """Judge a CAPTURE by the five rules; exit 0 without breach, 1 with, 2 where it cannot be read."""
    from pathlib import Path

    from ..rehearsal import report as reports
    from ..rehearsal.capture import CaptureError
    from ..rehearsal.run import judge as judge_file

    try:
        checker, problems, script = judge_file(Path(capture))
    except (OSError, CaptureError) as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(2)
    click.echo(reports.verdict(checker, problems))
    click.echo(reports.counts_text(checker))
    for breach in checker.breaches:
        click.echo("\n" + reports.breach_text(breach, reports.begin_of(script, checker.first_at)))
    for problem in problems:
        click.echo(problem)
    sys.exit(1 if checker.breaches or problems else 0)
