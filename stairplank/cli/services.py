"""Commands that run a long-lived process: ``platform``, ``planner``, ``node``, ``directory``, ``owners``."""

from __future__ import annotations

import signal
import sys

import click

from .parameters import FILE
from .processes import serve_until_signal


@click.command("platform")
@click.option("--config", envvar="GW_CONFIG", required=True, help="The platform's JSON file (GW_CONFIG).")
def on_platform(config: str) -> None:
    """Run one planner in service on the platform, in the foreground."""
    from ..platform.run import main as run

    sys.exit(run(path=config))


@click.command()
@click.argument("file", type=FILE)
def planner(file: str) -> None:
    """Run a planner by its settings FILE until SIGTERM."""
    from ..settings import load_planner

    config = load_planner(file)
    from ..configuration.planner_configuration import initial_config
    from ..planner.daemon import Daemon

    config, revision = initial_config(config)
    try:
        daemon = Daemon(config, revision)
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from None
    sys.exit(daemon.run())


@click.command()
@click.argument("file", type=FILE)
def node(file: str) -> None:
    """Run the stand-in nodes of FILE."""
    from ..standin.config import load_node_pool

    config = load_node_pool(file)
    from ..standin.node_pool import NodePool

    node_pool = NodePool(config)

    def start() -> None:
        import gevent

        gevent.signal_handler(signal.SIGUSR1, node_pool.run_signal_faults)
        node_pool.start()

    serve_until_signal(start, lambda: None)


@click.command()
@click.argument("file", type=FILE)
def directory(file: str) -> None:
    """Run the stand-in node list of FILE."""
    from ..standin.config import load_node_list

    config = load_node_list(file)
    from ..standin.node_list_server import NodeListServer

    serve_until_signal(NodeListServer(config).start, lambda: None)


@click.command()
@click.argument("file", type=FILE)
def owners(file: str) -> None:
    """Run the stand-in owners of FILE; their report is written at the end."""
    from ..standin.config import load_client_pool

    config = load_client_pool(file)
    from ..standin.client_pool import ClientPool

    client_pool = ClientPool(config)
    serve_until_signal(client_pool.start, client_pool.write_report)
