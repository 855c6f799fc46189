"""Lists the state and the cost of each role of a site at the target's size.

The descriptions of state are constants, not measurements. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from . import figures as fig
from .event_names import SETTINGS_FOLLOWED
from .figures import Figure
from .results import Size
from .target_site import Site
from .verdicts import Form


@dataclass(frozen=True, slots=True)
class RoleCost:
    """The state and figures of one role; a figure that was not measured is None."""

    role: str
    state: str
    messages_per_s: float | None = None
    bytes_per_s: float | None = None
    cpu_share: float | None = None
    memory_mb: float | None = None
    wanted: str = ""  # the measurement that would give the missing figures


PLANNER_STATE = {
    Form.PLATFORM: "every listed machine; its own tasks, attempts and connections; nothing on disk",
    Form.GRPC: "every listed node and a link to each; its own tasks, attempts and gangs; nothing on disk",
}
LIST_STATE = {
    Form.PLATFORM: "numbered updates of machines; planners watch it",
    Form.GRPC: "entries of nodes with revisions; nodes announce themselves, planners watch it",
}
WORKER_STATE = {
    Form.PLATFORM: "its tasks, and their ends until acknowledged; connections of planners with tasks there",
    Form.GRPC: "its tasks, and numbered final messages for each life of a planner; a link of each planner",
}
CLIENT_STATE = "its tasks by id; connections to the planners that it asks"
CONFIGURATION_STATE = {
    Form.PLATFORM: "a file of each planner, read at its start and on SIGHUP",
    Form.GRPC: "replicas keep the committed and the prepared text and each planner's last report; a planner "
    "keeps a copy of what it has in force",
}
CONFIGURATION_WANTED = {
    Form.PLATFORM: "all: a run in which a planner's file changes",
    Form.GRPC: "processor time, memory of a replica: counted at a process of its own; the figures here are a "
    "planner's with nothing published, those of a change are in the table of changes",
}


def _configuration(site: Site) -> RoleCost:
    """Return the cost to a planner of following the configuration while nothing is published."""
    followed = [sample.planner for sample in site.samples if sample.load == SETTINGS_FOLLOWED]
    messages = [cost.messages_per_s for cost in followed if cost.messages_per_s is not None]
    sent = [cost.bytes_per_s for cost in followed if cost.bytes_per_s is not None]
    return RoleCost(
        "configuration",
        CONFIGURATION_STATE[site.form],
        max(messages, default=None),
        max(sent, default=None),
        wanted=CONFIGURATION_WANTED[site.form],
    )


def role_costs(site: Site, size: Size) -> list[RoleCost]:
    """Return the costs of a planner, the node list, a worker, a client and the configuration.

    No sample measures the clients, so their figures are None.
    """

    def measured(figure: Figure) -> float | None:
        return site.worst(figure, size)

    return [
        RoleCost(
            f"planner, {site.form.value}",
            PLANNER_STATE[site.form],
            measured(fig.ALL_MESSAGES),
            measured(fig.ALL_BYTES),
            measured(fig.CPU),
            measured(fig.MEMORY),
        ),
        RoleCost(
            "node list",
            LIST_STATE[site.form],
            None,
            measured(fig.LIST_BYTES),
            measured(fig.LIST_CPU),
            wanted="messages, memory: counted at the list's process",
        ),
        RoleCost(
            "a worker's side",
            WORKER_STATE[site.form],
            measured(fig.WORKER_MESSAGES),
            measured(fig.WORKER_BYTES),
            wanted="processor time, memory: a worker's process on its own instead of hollow ones",
        ),
        RoleCost("a client's side", CLIENT_STATE, wanted="all: counted at the process of clients"),
        _configuration(site),
    ]
