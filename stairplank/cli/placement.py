"""The command ``stairplank place``, which parses its options and calls ``submission.submit``."""

from __future__ import annotations

import sys

import click


@click.command()
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
    from .submission import Submission, submit

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
    submission = Submission(
        address=address,
        client=owner,
        task=task,
        count=count,
        wait_s=wait,
        until_ended=follow,
        dial_s=dial,
    )
    sys.exit(submit(submission))
