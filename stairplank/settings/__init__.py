"""Settings files: ``keyword value ...`` a line, ``#`` comments, blocks that an ``end`` closes.

``lines`` reads the form, ``schema`` checks it, ``room`` and ``planner`` turn it into
typed settings. Every error names file, line, column and key.
"""

from .lines import Position, Problem, SettingsError
from .planner import PlannerConfig, load_planner
from .schema import Block, Key, Section, load, load_text

__all__ = [
    "Block",
    "Key",
    "PlannerConfig",
    "Position",
    "Problem",
    "Section",
    "SettingsError",
    "load",
    "load_planner",
    "load_text",
]
