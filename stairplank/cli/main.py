"""Sub-commands. Exit codes: 0 well, 1 not well (a breach, an unclean end), 2 bad input."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from typing import Any

import click

from ..settings import SettingsError
from . import logs
from .configuration import configuration
from .scale import scale, scale_compare


class Group(click.Group):
    """Settings errors are bad input: each on a line of its own, exit code 2."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except SettingsError as error:
            for problem in error.problems:
                click.echo(f"error: {problem}", err=True)
            ctx.exit(2)


@click.group(cls=Group, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="stairplank")
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
@click.option("--log-level", type=click.Choice(logs.LEVELS), default="info", show_default=True)
@click.option("--end-with-stdin", is_flag=True, help="End when standard input ends, as its starter does.")
def main(log_format: str, log_level: str, end_with_stdin: bool) -> None:
    """A cluster scheduler of which many planners run side by side, sharing nothing."""
    logs.set_up(log_format, log_level)
    if end_with_stdin:
        _end_with_stdin()


def _end_with_stdin() -> None:
    """Children end with their starter, also when that was killed outright."""
    import gevent
    from gevent.os import nb_read

    def watch() -> None:
        from gevent.os import make_nonblocking

        make_nonblocking(0)
        while nb_read(0, 100):
            pass
        os._exit(3)

    gevent.spawn(watch)


def _serve(start: Callable[[], None], end: Callable[[], None]) -> None:
    """Start, wait for a signal to end, end."""
    import gevent
    from gevent.event import Event

    done = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, done.set)
    start()
    done.wait()
    end()


FILE = click.Path(exists=False, dir_okay=False)


@main.command("platform")
@click.option("--config", envvar="GW_CONFIG", required=True, help="The platform's JSON file (GW_CONFIG).")
def on_platform(config: str) -> None:
    """Run one planner in service on the platform, in the foreground."""
    from ..platform.run import main as run

    sys.exit(run(path=config))


@main.command()
@click.argument("file", type=FILE)
def planner(file: str) -> None:
    """Run a planner by its settings FILE until SIGTERM."""
    from ..settings import load_planner

    config = load_planner(file)
    from ..configuration.joining import starting_config
    from ..planner.daemon import Daemon

    config, revision = starting_config(config)
    try:
        daemon = Daemon(config, revision)
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from None
    sys.exit(daemon.run())


@main.command()
@click.argument("file", type=FILE)
def node(file: str) -> None:
    """Run the stand-in nodes of FILE."""
    from ..standin.config import load_farm

    config = load_farm(file)
    from ..standin.farm import Farm

    farm = Farm(config)

    def start() -> None:
        import gevent

        gevent.signal_handler(signal.SIGUSR1, farm.signalled)
        farm.start()

    _serve(start, lambda: None)


@main.command()
@click.argument("file", type=FILE)
def directory(file: str) -> None:
    """Run the stand-in node list of FILE."""
    from ..standin.config import load_listing

    config = load_listing(file)
    from ..standin.listing import Listing

    _serve(Listing(config).start, lambda: None)


@main.command()
@click.argument("file", type=FILE)
def owners(file: str) -> None:
    """Run the stand-in owners of FILE; their report is written at the end."""
    from ..standin.config import load_crowd

    config = load_crowd(file)
    from ..standin.crowd import Crowd

    crowd = Crowd(config)
    _serve(crowd.start, crowd.write_report)


CHECKS = ("planner", "node", "directory", "owners", "scenario", "scale")


@main.command()
@click.argument("file", type=FILE)
@click.option("--as", "kind", type=click.Choice(CHECKS), help="In place of what its content says.")
def check(file: str, kind: str | None) -> None:
    """Check a settings FILE and say what is wrong with it, all of it.

    What it is, a planner's, node's, directory's or owners' file, a scenario or a scale run's, is told by its
    content.
    """
    from ..rehearsal.scenario import SCENARIO, load_scenario
    from ..scale.bounds import load_checked
    from ..scale.plan import SCALE
    from ..settings import load_planner
    from ..settings.kinds import Schema, another, likely
    from ..settings.planner import PLANNER
    from ..settings.schema import lines_of
    from ..standin import config

    known: dict[str, tuple[Schema, Callable[[str], object]]] = {
        "planner": (PLANNER, load_planner),
        "node": (config.FARM, config.load_farm),
        "directory": (config.LISTING, config.load_listing),
        "owners": (config.CROWD, config.load_crowd),
        "scenario": (SCENARIO, load_scenario),
        "scale": (SCALE, load_checked),
    }
    schemas = {name: schema for name, (schema, _) in known.items()}
    lines = lines_of(file)
    if kind is None:
        found = likely(lines, schemas)
        if len(found) > 1:
            which = " or ".join(f"`{name}`" for name in found)
            raise click.ClickException(f"{file} could be a file for {which}: say --as")
        (kind,) = found
    wrong: SettingsError | None = another(file, kind, lines, schemas)
    if wrong is not None:
        raise wrong
    known[kind][1](file)
    click.echo(f"{file}: good, a file for `{kind}`")


SHIPPED = ("first-bad-day", "groups-bad-day", "held-bytes", "drawn-room", "one-group")


def _drawn_series(scenario: str, count: int, seed: int, jobs: int, shrink: int, report: str | None) -> None:
    """Draw, rehearse, tell; exit 1 where one failed."""
    from pathlib import Path

    from ..rehearsal import report as reports
    from ..rehearsal.run import work_folder
    from ..rehearsal.series import HEAD, Series

    folder = work_folder(report)
    series = Series(folder, jobs, lambda line: click.echo(line, err=True))
    click.echo(f"{count} drawn scenarios, seeds {seed} to {seed + count - 1}; kept in {folder}", err=True)
    runs = series.drawn(Path(_shipped(scenario)), count, seed)
    table = reports.table([HEAD, *(run.row() for run in runs)])
    (folder / "table.txt").write_text(table + "\n")
    click.echo(table)
    failing = [run for run in runs if not run.clean]
    click.echo(f"{count - len(failing)} of {count} without breach")
    if failing and shrink:
        least = series.shrink(failing[0], shrink)
        click.echo(f"{failing[0].name}, cut down, fails in {least.scenario}")
    sys.exit(1 if failing else 0)


def _shipped(name: str) -> str:
    """A shipped scenario by its name, or the path as it is."""
    from importlib import resources

    if name in SHIPPED:
        return str(resources.files("stairplank") / "scenarios" / name)
    return name


def _day_scenario(day: str, scale: float, speed: float, seed: int, target: str) -> str:
    """Turn a day file into a scenario file; exit 2 where it is none."""
    import json
    from pathlib import Path

    from ..rehearsal.day import DayError, scenario_from_day

    try:
        made = scenario_from_day(json.loads(Path(day).read_text()), scale, speed, seed)
    except (OSError, ValueError, DayError) as error:
        click.echo(f"error: {day}: {error}", err=True)
        sys.exit(2)
    Path(target).write_text(made.text)
    for note in made.notes:
        click.echo(f"not carried over: {note}", err=True)
    return target


@main.command()
@click.argument("scenario", default="first-bad-day")
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
        _drawn_series(
            "drawn-room" if scenario == "first-bad-day" else scenario, drawn, seed or 1, jobs, shrink, report
        )
        return
    from pathlib import Path

    from ..rehearsal import report as reports
    from ..rehearsal.run import Rehearsal, RehearsalError, work_folder
    from ..rehearsal.scenario import load_scenario

    folder = work_folder(work)
    if day is not None:
        scenario = _day_scenario(day, scale, speed, seed or 1, str(folder / "scenario"))
    loaded = load_scenario(_shipped(scenario), seed)
    name = Path(day).stem if day is not None else loaded.name
    title = f"{name} (seed {loaded.seed})"
    click.echo(f"rehearsing {title}; work in {folder}", err=True)
    try:
        result = Rehearsal(loaded, folder, lambda line: click.echo(line, err=True)).run()
    except RehearsalError as error:
        raise click.ClickException(str(error)) from None
    click.echo(reports.text(result, title), nl=False)
    if report is not None:
        reports.write(result, Path(report), title)
        click.echo(f"report in {report}", err=True)
    bad = bool(result.checker.breaches or result.problems or result.unclean)
    sys.exit(1 if bad else 0)


@main.command()
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


@main.command()
@click.argument("address")
@click.option("--owner", default="operator", show_default=True, help="Who asks.")
@click.option("--class", "task_class", required=True, help="Class of the task, by its name at the planner.")
@click.option("--tenant", default="")
@click.option("--service", type=click.IntRange(1), default=1, show_default=True)
@click.option("--cores", type=float, default=1.0, show_default=True)
@click.option("--memory", type=float, default=1.0, show_default=True)
@click.option(
    "--life", type=float, default=0.0, help="Seconds that a stand-in node runs it; 0: until stopped."
)
@click.option("--count", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--wait", type=float, default=5.0, show_default=True, help="Seconds to wait for each outcome.")
@click.option("--follow", is_flag=True, help="Go on until the tasks have ended.")
@click.option("--dial", type=float, default=3.0, show_default=True, help="Seconds to wait for the planner.")
def place(
    address: str,
    owner: str,
    task_class: str,
    tenant: str,
    service: int,
    cores: float,
    memory: float,
    life: float,
    count: int,
    wait: float,
    follow: bool,
    dial: float,
) -> None:
    """Have tasks placed by the planner at ADDRESS and print its stream.

    Exit code 0 where all were placed, 1 where not. Tasks run on after this command has ended.
    """
    from ..rpc.address import parse
    from .place import submit

    try:
        parse(address)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    task = {
        "task_class": task_class,
        "tenant": tenant,
        "service": service,
        "cores": cores,
        "memory": memory,
        "life_us": int(life * 1e6),
    }
    sys.exit(submit(address, owner, task, count, wait, follow, dial))


EXPERIMENTS = ("groups",)


@main.command()
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
        path, processes, lambda done, of: click.echo(f"\r{done} of {of}", err=True, nl=False)
    )
    click.echo("", err=True)
    grid.write_results(rows, path, Path(out))
    click.echo(grid.markdown_table(rows), nl=False)
    click.echo(f"results in {out}", err=True)


main.add_command(configuration)
main.add_command(scale)
main.add_command(scale_compare)
