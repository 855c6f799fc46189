"""``python -m stairplank`` is the command ``stairplank``."""

from .cli import main

main()
