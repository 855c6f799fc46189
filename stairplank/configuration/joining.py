"""How a planner of the gRPC form takes a configuration: at its start, and while it runs."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Protocol

import structlog

from ..settings import PlannerConfig, SettingsError
from ..settings.site import load_site_text, with_site
from . import files, startup
from .live import NeedsRestartError
from .revision import NO_REVISION, Revision
from .store import Stored
from .watch import ConfigurationWatch, NotTaken


class ConfiguredPlanner(Protocol):
    """What a configuration is put into force at."""

    config: PlannerConfig
    incarnation: int

    def prepare_site(self, text: str, name: str) -> PlannerConfig:
        """The planner's configuration with that text. Raises SettingsError and NeedsRestartError."""

    def apply_site(self, config: PlannerConfig) -> Any:
        """Put it into force."""


def follow(planner: ConfiguredPlanner, in_force: Revision) -> ConfigurationWatch[PlannerConfig]:
    """The watch that keeps the planner at the newest revision; ``in_force`` is the one it started with."""

    def check(text: str, revision: Revision) -> PlannerConfig:
        try:
            return planner.prepare_site(text, source_of(revision))
        except SettingsError as error:
            raise NotTaken(str(error.problems[0])) from None
        except NeedsRestartError as error:
            raise NotTaken(f"needs a restart: {error}", at_start=True) from None

    config = planner.config
    return ConfigurationWatch(
        config.configuration,
        config.settings.position,
        planner.incarnation,
        check,
        planner.apply_site,
        copy_file_of(config),
        in_force,
    )


def starting_config(config: PlannerConfig) -> tuple[PlannerConfig, Revision]:
    """The planner's configuration with the newest usable revision; its own file where there is none."""
    if not config.configuration:
        return config, NO_REVISION
    log = structlog.get_logger("configuration").bind(planner=config.settings.position)
    copy_file = copy_file_of(config)
    for stored in startup.candidates(config.configuration, copy_file):
        source = source_of(stored.revision)
        try:
            started = with_site(config, load_site_text(stored.text, source), source)
        except SettingsError as error:
            # Danger: a planner that does not start for a text that others have refused serves nobody.
            log.warning("configuration not taken", revision=str(stored.revision), reason=str(error))
        else:
            _keep_copy(copy_file, stored)
            return started, stored.revision
    return config, NO_REVISION


def _keep_copy(copy_file: Path | None, stored: Stored) -> None:
    """Danger: the next start, with no replica within reach, would begin with an older revision."""
    if copy_file is None:
        return
    try:
        files.write_copy(copy_file, stored)
    except files.FileError as error:
        structlog.get_logger("configuration").error("copy of the configuration not written", error=str(error))


def copy_file_of(config: PlannerConfig) -> Path | None:
    """Where the planner keeps its copy of the revision in force."""
    return Path(config.configuration_copy) if config.configuration_copy else None


def source_of(revision: Revision) -> str:
    """What stands for the file in errors of a revision's text."""
    return f"revision-{revision.number}"
