"""The command ``stairplank check``, which prints the errors of a settings file."""

from __future__ import annotations

from collections.abc import Callable

import click

from .parameters import FILE

CHECKS = ("planner", "node", "directory", "owners", "scenario", "scale")


@click.command()
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
    from ..settings.detect import likely_kinds, wrong_kind_error
    from ..settings.planner import PLANNER_SCHEMA
    from ..settings.schema import Schema, source_lines
    from ..standin import config

    kinds: dict[str, tuple[Schema, Callable[[str], object]]] = {
        "planner": (PLANNER_SCHEMA, load_planner),
        "node": (config.NODE_POOL, config.load_node_pool),
        "directory": (config.NODE_LIST, config.load_node_list),
        "owners": (config.CLIENT_POOL, config.load_client_pool),
        "scenario": (SCENARIO, load_scenario),
        "scale": (SCALE, load_checked),
    }
    schemas = {name: schema for name, (schema, _) in kinds.items()}
    lines = source_lines(file)
    if kind is None:
        likely = likely_kinds(lines, schemas)
        if len(likely) > 1:
            names = " or ".join(f"`{name}`" for name in likely)
            raise click.ClickException(f"{file} could be a file for {names}: say --as")
        (kind,) = likely
    wrong_kind = wrong_kind_error(file, kind, lines, schemas)
    if wrong_kind is not None:
        raise wrong_kind
    _, load = kinds[kind]
    load(file)
    click.echo(f"{file}: good, a file for `{kind}`")
