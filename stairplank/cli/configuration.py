"""The command group ``stairplank configuration``: runs a replica, publishes a revision, shows the status."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..settings.planner import MAX_REPLICAS
from .processes import serve_until_signal

if TYPE_CHECKING:
    from ..configuration.client import PlannerSummary, SiteStatus

POLL_INTERVAL_S = 0.2  # pause between two status queries while waiting

replicas_option = click.option(
    "--replica", "replicas", multiple=True, required=True, help="Address of a replica; name all of them."
)
planners_option = click.option(
    "--planners", type=click.IntRange(0), default=0, help="So many planners must have it in force."
)
wait_option = click.option(
    "--wait", "wait_s", type=click.FloatRange(0), default=0.0, help="Seconds to wait until it is in force."
)


@click.group("configuration")
def configuration() -> None:
    """One configuration for all planners of a site."""


@configuration.command()
@click.option("--listen", required=True, multiple=True, help="Address to serve on.")
@click.option(
    "--state", type=click.Path(dir_okay=False), required=True, help="File that keeps the revisions."
)
@click.option("--beyond-loopback", is_flag=True, help="Allow an address that is not loopback.")
def serve(listen: tuple[str, ...], state: str, beyond_loopback: bool) -> None:
    """Run one replica until SIGTERM."""
    from ..configuration.errors import StateFileError
    from ..configuration.server import ReplicaServer
    from ..configuration.validation import text_problems
    from ..rpc.address import is_loopback

    non_loopback = [address for address in listen if not is_loopback(address)]
    if non_loopback and not beyond_loopback:
        raise click.UsageError(f"--listen: {non_loopback[0]} is not loopback; --beyond-loopback allows it")
    try:
        replica = ReplicaServer(listen, Path(state), text_problems)
    except StateFileError as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from None
    serve_until_signal(replica.start, replica.stop)


@configuration.command()
@click.argument("file", type=click.Path(dir_okay=False))
@replicas_option
@planners_option
@wait_option
@click.option("--base", type=click.IntRange(0), help="Refuse unless this revision is the committed one.")
def publish(file: str, replicas: tuple[str, ...], planners: int, wait_s: float, base: int | None) -> None:
    """Publish FILE as the next revision."""
    from ..configuration import client
    from ..configuration.publication import PublicationOutcome
    from ..settings.site import load_site

    _check_replica_count(replicas)
    load_site(file)  # raises a SettingsError, which is printed with file, line and column
    text = Path(file).read_text(encoding="utf-8")
    result = client.publish(replicas, text, base=base)
    for problem in result.problems:
        click.echo(problem, err=True)
    for address in result.unreachable:
        click.echo(f"{address}: out of reach", err=True)
    if result.outcome is not PublicationOutcome.PUBLISHED:
        raise click.ClickException(f"revision {result.revision}: {result.outcome.value}")
    click.echo(f"revision {result.revision}: published")
    if wait_s:
        _wait_until_in_force(replicas, planners, wait_s)


@configuration.command()
@replicas_option
@planners_option
@wait_option
def status(replicas: tuple[str, ...], planners: int, wait_s: float) -> None:
    """Show which revision is in force where. Exit code 1 where it is not in force everywhere."""
    from ..configuration import client

    _check_replica_count(replicas)
    if wait_s:
        _wait_until_in_force(replicas, planners, wait_s)
        return
    site_status = client.site_status(replicas)
    _print_status(site_status)
    if len(site_status.unreachable) == len(replicas):
        raise click.ClickException("no replica can be reached")
    sys.exit(0 if site_status.in_force_everywhere(planners) else 1)


def _check_replica_count(replicas: tuple[str, ...]) -> None:
    """Raise a usage error if more replicas are given than a planner accepts."""
    if len(replicas) > MAX_REPLICAS:
        raise click.UsageError(f"--replica: {len(replicas)} are given, at most {MAX_REPLICAS} are allowed")


def _wait_until_in_force(replicas: tuple[str, ...], planners: int, wait_s: float) -> None:
    """Poll the replicas until the committed revision is in force everywhere, or fail after ``wait_s``."""
    from ..configuration import client

    started_at = time.monotonic()
    while True:
        site_status = client.site_status(replicas)
        elapsed_s = time.monotonic() - started_at
        if site_status.in_force_everywhere(planners):
            click.echo(f"in force at {len(site_status.planners)} planners after {elapsed_s:.1f} s")
            return
        if elapsed_s >= wait_s:
            _print_status(site_status)
            raise click.ClickException(f"not in force everywhere after {elapsed_s:.1f} s")
        time.sleep(POLL_INTERVAL_S)


def _print_status(site_status: SiteStatus) -> None:
    """Print the committed revision, the unreachable replicas and a line for each planner."""
    click.echo(f"committed: {site_status.committed}")
    for address in site_status.unreachable:
        click.echo(f"replica {address}: out of reach")
    for planner in site_status.planners:
        click.echo(_planner_line(planner))


def _planner_line(planner: PlannerSummary) -> str:
    """Return the status line of one planner."""
    parts = [f"planner {planner.planner}: {planner.in_force}"]
    if planner.delay_us is not None:
        parts.append(f"in force {planner.delay_us / 1e6:.2f} s after the commit")
    if planner.rejected.number > planner.in_force.number:
        parts.append(f"{planner.rejected.number} not taken: {planner.reason}")
    if not planner.connected:
        parts.append(f"not connected, last heard {planner.report_age_us / 1e6:.0f} s ago")
    return ", ".join(parts)
