"""How a planner of our own gRPC form takes a configuration: at its start, and while it runs."""

from __future__ import annotations

from pathlib import Path

import structlog

from ..settings import PlannerConfig, SettingsError
from ..settings.site import load_site_text, with_site
from . import startup
from .revision import NO_REVISION, Revision


def starting_config(config: PlannerConfig) -> tuple[PlannerConfig, Revision]:
    """The planner's configuration with the newest usable revision; its own file where there is none."""
    if not config.configuration:
        return config, NO_REVISION
    log = structlog.get_logger("configuration").bind(planner=config.settings.position)
    copy_file = copy_file_of(config)
    for stored in startup.candidates(config.configuration, copy_file):
        try:
            site = load_site_text(stored.text, source_of(stored.revision))
            return with_site(config, site, source_of(stored.revision)), stored.revision
        except SettingsError as error:
            # Danger: a planner that does not start for a text that others have refused serves nobody.
            log.warning("configuration not taken", revision=str(stored.revision), reason=str(error))
    return config, NO_REVISION


def copy_file_of(config: PlannerConfig) -> Path | None:
    """Where the planner keeps its copy of the revision in force."""
    return Path(config.configuration_copy) if config.configuration_copy else None


def source_of(revision: Revision) -> str:
    """What stands for the file in errors of a revision's text."""
    return f"revision-{revision.number}"
