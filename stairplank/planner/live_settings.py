"""A planner's configuration as its core and server take it, at the start and after each change. No I/O."""

from __future__ import annotations

from ..configuration.live import live_changes
from ..rpc import Limits
from ..settings import PlannerConfig
from ..settings.site import load_site_text, with_site
from .admission import Bounds
from .context import CoreConfig

CONNECTIONS_PER_CLIENT = 2  # a client that comes back may be there twice until its old connection is closed
EPOCHS_PER_CLIENT = 4  # sessions that are remembered


def core_config(config: PlannerConfig) -> CoreConfig:
    """Bounds and waits of the core."""
    return CoreConfig(
        bounds=Bounds(config.open_most, config.owner_open_most, config.running_most, config.wait_most_us),
        tenants=tuple(name for name, _ in config.cluster.tenants),
        zones=config.cluster.zones,
        dial_timeout_us=config.dial_timeout_us,
        dial_retry_us=config.dial_retry_us,
        dial_retry_most_us=config.dial_retry_most_us,
        link_grace_us=config.link_grace_us,
        stop_grace_us=config.stop_grace_us,
        nodes_most=config.nodes_most,
        dials_most=config.dials_most,
    )


def server_limits(config: PlannerConfig) -> Limits:
    """Limits of each connection that is made from now on, and how many there may be."""
    return Limits(
        max_message_bytes=config.message_most,
        max_unsent_bytes=config.send_buffer,
        keepalive_interval_s=config.keepalive_us[0] / 1e6,
        keepalive_timeout_s=config.keepalive_us[1] / 1e6,
        max_connections=config.owners_most * CONNECTIONS_PER_CLIENT,
    )


def epochs_most(config: PlannerConfig) -> int:
    """How many sessions of clients are remembered."""
    return config.owners_most * EPOCHS_PER_CLIENT


def prepared(config: PlannerConfig, text: str, name: str) -> PlannerConfig:
    """The configuration of a planner after a site's text comes into force.

    Raises SettingsError where the text is wrong, NeedsRestartError where a running planner cannot take it.
    """
    new = with_site(config, load_site_text(text, name), name)
    live_changes(config, new).check()
    return new
