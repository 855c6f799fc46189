"""Argument types that several commands share."""

from __future__ import annotations

import click

# click does not check that the file exists: the settings loader reports a missing file among its own errors.
FILE = click.Path(exists=False, dir_okay=False)
