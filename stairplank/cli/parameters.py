"""Types of arguments that several commands take."""

from __future__ import annotations

import click

FILE = click.Path(exists=False, dir_okay=False)  # read by the settings, which name what is wrong with it
