"""Derives the settings of the core and the server from a planner's configuration. No I/O.

Used at the start and after each change of the configuration.
"""

from __future__ import annotations

from ..configuration.changes import compare_configurations
from ..rpc import Limits
from ..settings import PlannerConfig
from ..settings.planner import merge_site
from ..settings.site import load_site_text
from .admission import Bounds
from .core_config import CoreConfig

CONNECTIONS_PER_CLIENT = 2  # a client that reconnects has two until its old connection is closed
EPOCHS_PER_CLIENT = 4  # number of sessions per client whose stream epochs are remembered


def core_config(config: PlannerConfig) -> CoreConfig:
    """Return the bounds and time-outs of the core."""
    return CoreConfig(
        bounds=Bounds(
            config.max_open_requests,
            config.max_open_requests_per_client,
            config.max_running_tasks,
            config.max_wait_us,
        ),
        tenants=tuple(name for name, _ in config.cluster.tenants),
        zones=config.cluster.zones,
        dial_timeout_us=config.dial_timeout_us,
        dial_retry_us=config.reconnect_delay_us,
        max_dial_retry_us=config.max_reconnect_delay_us,
        link_grace_us=config.link_grace_us,
        stop_grace_us=config.shutdown_grace_us,
        max_nodes=config.max_nodes,
        max_dials=config.max_concurrent_dials,
    )


def server_limits(config: PlannerConfig) -> Limits:
    """Return the limits of new connections, and the bound on their number."""
    return Limits(
        max_message_bytes=config.max_message_bytes,
        max_unsent_bytes=config.send_buffer_bytes,
        keepalive_interval_s=config.keepalive_us[0] / 1e6,
        keepalive_timeout_s=config.keepalive_us[1] / 1e6,
        max_connections=config.max_clients * CONNECTIONS_PER_CLIENT,
    )


def max_session_epochs(config: PlannerConfig) -> int:
    """Return for how many client sessions the newest stream epoch is remembered."""
    return config.max_clients * EPOCHS_PER_CLIENT


def prepare_config(config: PlannerConfig, text: str, name: str) -> PlannerConfig:
    """Return the configuration of a planner with a site's text applied.

    Raises SettingsError if the text is invalid, RestartRequiredError if a running planner cannot apply it.
    """
    new = merge_site(config, load_site_text(text, name), name)
    compare_configurations(config, new).raise_if_restart_required()
    return new
