"""``stairplank configuration``: a replica of the service, a publication, and what is in force where."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..configuration.client import PlannerSummary, SiteStatus

REPLICAS_MOST = 5  # a planner holds a stream to each
POLL_S = 0.2  # between looks at the status while waiting

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
    from .main import _serve

    outside = [address for address in listen if not is_loopback(address)]
    if outside and not beyond_loopback:
        raise click.UsageError(f"--listen: {outside[0]} is not loopback; --beyond-loopback allows it")
    try:
        replica = ReplicaServer(listen, Path(state), text_problems)
    except StateFileError as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from None
    _serve(replica.start, replica.stop)


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

    _bounded(replicas)
    load_site(file)  # its faults are printed with file, line and column
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
        _wait(replicas, planners, wait_s)


@configuration.command()
@replicas_option
@planners_option
@wait_option
def status(replicas: tuple[str, ...], planners: int, wait_s: float) -> None:
    """Show which revision is in force where. Exit code 1 where it is not in force everywhere."""
    from ..configuration import client

    _bounded(replicas)
    if wait_s:
        _wait(replicas, planners, wait_s)
        return
    found = client.site_status(replicas)
    _show(found)
    if len(found.unreachable) == len(replicas):
        raise click.ClickException("no replica can be reached")
    sys.exit(0 if found.in_force_everywhere(planners) else 1)


def _bounded(replicas: tuple[str, ...]) -> None:
    if len(replicas) > REPLICAS_MOST:
        raise click.UsageError(f"--replica: {len(replicas)} are given, at most {REPLICAS_MOST} are allowed")


def _wait(replicas: tuple[str, ...], planners: int, wait_s: float) -> None:
    from ..configuration import client

    began = time.monotonic()
    while True:
        found = client.site_status(replicas)
        took = time.monotonic() - began
        if found.in_force_everywhere(planners):
            click.echo(f"in force at {len(found.planners)} planners after {took:.1f} s")
            return
        if took >= wait_s:
            _show(found)
            raise click.ClickException(f"not in force everywhere after {took:.1f} s")
        time.sleep(POLL_S)


def _show(found: SiteStatus) -> None:
    click.echo(f"committed: {found.committed}")
    for address in found.unreachable:
        click.echo(f"replica {address}: out of reach")
    for line in found.planners:
        click.echo(_line(line))


def _line(line: PlannerSummary) -> str:
    parts = [f"planner {line.planner}: {line.in_force}"]
    if line.delay_us is not None:
        parts.append(f"in force {line.delay_us / 1e6:.2f} s after the commit")
    if line.rejected.number > line.in_force.number:
        parts.append(f"{line.rejected.number} not taken: {line.reason}")
    if not line.connected:
        parts.append(f"not connected, last heard {line.report_age_us / 1e6:.0f} s ago")
    return ", ".join(parts)
