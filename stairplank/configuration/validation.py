"""Checks whether a text is a usable site configuration."""

from __future__ import annotations

from ..settings import SettingsError
from ..settings.site import load_site_text


def text_problems(text: str) -> list[str]:
    """Return one line for each problem of a configuration; an empty list if it is usable."""
    try:
        load_site_text(text, "configuration")
    except SettingsError as error:
        return [str(problem) for problem in error.problems]
    return []
