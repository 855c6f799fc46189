"""The command ``stairplank`` and its subcommands.

Exit codes: 0 for success, 1 for failure (a breach, an unclean shutdown), 2 for invalid input.
"""

from __future__ import annotations

from typing import Any

import click

from ..settings import SettingsError
from . import logs
from .checks import check
from .configuration import configuration
from .experiments import experiment
from .placement import place
from .processes import end_with_stdin as end_process_with_stdin
from .rehearsals import judge, rehearse
from .scale import scale, scale_compare
from .services import directory, node, on_platform, owners, planner


class Group(click.Group):
    """Command group that reports a settings error as invalid input: one line per problem, exit code 2."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command and print the problems of an invalid settings file."""
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
        end_process_with_stdin()


for command in (
    on_platform,
    planner,
    node,
    directory,
    owners,
    check,
    rehearse,
    judge,
    place,
    experiment,
    configuration,
    scale,
    scale_compare,
):
    main.add_command(command)
