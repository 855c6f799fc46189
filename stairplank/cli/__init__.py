"""The command line interface of stairplank; ``main`` is its entry point."""

from .main import main

__all__ = ["main"]
