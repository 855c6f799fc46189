"""Settings files: ``keyword value ...`` a line, ``#`` comments, blocks that an ``end`` closes.

``source`` splits the text into words, ``schema`` checks them, ``cluster``, ``site`` and ``planner`` turn them
into typed settings, ``detect`` tells which kind of file a text is. Every error names file, line, column and
key.
"""

from .planner import PlannerConfig, load_planner
from .schema import Block, Key, Section, load_section, load_section_text
from .source import SettingsError, SettingsProblem, SourcePosition

__all__ = [
    "Block",
    "Key",
    "PlannerConfig",
    "Section",
    "SettingsError",
    "SettingsProblem",
    "SourcePosition",
    "load_planner",
    "load_section",
    "load_section_text",
]
