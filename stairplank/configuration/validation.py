"""Whether a text is a usable configuration of a site."""

from __future__ import annotations

from ..settings import SettingsError
from ..settings.site import load_site_text


def text_problems(text: str) -> list[str]:
    """Describe each problem of a configuration in a line of its own; empty for a usable text."""
    try:
        load_site_text(text, "configuration")
    except SettingsError as error:
        return [str(problem) for problem in error.problems]
    return []
