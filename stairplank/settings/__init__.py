"""Settings files: one ``keyword value ...`` per line, ``#`` comments, and blocks that ``end`` closes.

``source`` splits the text into words, ``schema`` checks them, ``cluster``, ``site`` and ``planner`` convert
them into typed settings, and ``detect`` determines which kind of file a text is. Every error names the file,
line, column and key.
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
