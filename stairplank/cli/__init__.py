"""The command line: ``stairplank --help``."""

from .main import main

__all__ = ["main"]
