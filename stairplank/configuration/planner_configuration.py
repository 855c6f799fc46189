"""Loads the configuration of a gRPC-form planner at startup and applies new revisions while it runs."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Protocol

import structlog

from ..settings import PlannerConfig, SettingsError
from ..settings.planner import merge_site
from ..settings.site import load_site_text
from . import startup, state_files
from .changes import RestartRequiredError
from .errors import RevisionRejectedError, StateFileError
from .revision import NO_REVISION, Revision
from .store import RevisionText
from .watch import ConfigurationWatch


class ConfiguredPlanner(Protocol):
    """The interface of a planner that checks and applies a site configuration."""

    config: PlannerConfig
    incarnation: int

    def prepare_site(self, text: str, name: str) -> PlannerConfig:
        """Return the configuration with this site text. Raises SettingsError or RestartRequiredError."""

    def apply_site(self, config: PlannerConfig) -> Any:
        """Put a prepared configuration into force."""


def watch_configuration(planner: ConfiguredPlanner, in_force: Revision) -> ConfigurationWatch[PlannerConfig]:
    """Return a watch that keeps the planner at the newest revision, starting from ``in_force``."""

    def check(text: str, revision: Revision) -> PlannerConfig:
        try:
            return planner.prepare_site(text, source_name(revision))
        except SettingsError as error:
            raise RevisionRejectedError(str(error.problems[0])) from None
        except RestartRequiredError as error:
            raise RevisionRejectedError(f"needs a restart: {error}", usable_after_restart=True) from None

    config = planner.config
    return ConfigurationWatch(
        config.configuration,
        config.settings.position,
        planner.incarnation,
        check,
        planner.apply_site,
        cache_file_of(config),
        in_force,
    )


def initial_config(config: PlannerConfig) -> tuple[PlannerConfig, Revision]:
    """Return the configuration with the newest usable revision; without one, the planner's own file."""
    if not config.configuration:
        return config, NO_REVISION
    log = structlog.get_logger("configuration").bind(planner=config.settings.position)
    cache_file = cache_file_of(config)
    for stored in startup.startup_candidates(config.configuration, cache_file):
        source = source_name(stored.revision)
        try:
            started = merge_site(config, load_site_text(stored.text, source), source)
        except SettingsError as error:
            # A revision with invalid settings must not keep the planner from starting: try the next one.
            log.warning("configuration not taken", revision=str(stored.revision), reason=str(error))
        else:
            _cache_revision(cache_file, stored)
            return started, stored.revision
    return config, NO_REVISION


def _cache_revision(cache_file: Path | None, stored: RevisionText) -> None:
    """Write the revision to the cache file for the next start.

    Without it, the next start would use an older revision if no replica can be reached.
    """
    if cache_file is None:
        return
    try:
        state_files.write_cached_revision(cache_file, stored)
    except StateFileError as error:
        structlog.get_logger("configuration").error("copy of the configuration not written", error=str(error))


def cache_file_of(config: PlannerConfig) -> Path | None:
    """Return the path of the planner's cached revision, or None if it caches none."""
    return Path(config.configuration_copy) if config.configuration_copy else None


def source_name(revision: Revision) -> str:
    """Return the name that replaces the file name in errors about a revision's text."""
    return f"revision-{revision.number}"
