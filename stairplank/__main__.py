"""Runs the ``stairplank`` command as ``python -m stairplank``."""

from .cli import main

main()
