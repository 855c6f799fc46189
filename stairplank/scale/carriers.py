"""Names the class or function that implements each line of the target, by form of the planner. No I/O.

Where nothing implements a line, a ``*_GAP`` text describes what the code does instead. The tests of the
capacity page check that each named part exists and that each feature a gap calls missing is still missing.
"""

from __future__ import annotations

from dataclasses import dataclass

from .verdicts import Form, Mechanism


@dataclass(frozen=True, slots=True)
class Carriers:
    """The implementing parts of one planner form; None where nothing in the program implements the line."""

    workers: Mechanism
    starts: Mechanism
    running: Mechanism
    gangs: Mechanism | None
    urgent_with_room: Mechanism
    zones: Mechanism
    settings: Mechanism | None
    list_address: Mechanism | None
    machine_lost: Mechanism
    restarted_workers: Mechanism
    control: Mechanism


_PLACEMENT = Mechanism("stairplank.decisions", "Planner")
_COLD_NODES = Mechanism("stairplank.decisions.slow_start", "slow_start_turn")

CARRIERS = {
    Form.PLATFORM: Carriers(
        workers=Mechanism("stairplank.platform.machines", "Machines"),
        starts=_PLACEMENT,
        running=Mechanism("stairplank.platform.client_requests", "ClientRequests"),
        gangs=None,
        urgent_with_room=_PLACEMENT,
        zones=_PLACEMENT,
        settings=Mechanism("stairplank.platform.reload", "ConfigInForce"),
        list_address=Mechanism("stairplank.platform.service", "Service"),
        machine_lost=Mechanism("stairplank.platform.links", "Links"),
        restarted_workers=_COLD_NODES,
        control=Mechanism("stairplank.platform.links", "Links"),
    ),
    Form.GRPC: Carriers(
        workers=Mechanism("stairplank.planner.node_list", "NodeList"),
        starts=_PLACEMENT,
        running=Mechanism("stairplank.planner.client_requests", "ClientRequests"),
        gangs=Mechanism("stairplank.groups.coordinator", "Coordinator"),
        urgent_with_room=_PLACEMENT,
        zones=_PLACEMENT,
        settings=Mechanism("stairplank.configuration.watch", "ConfigurationWatch"),
        list_address=None,
        machine_lost=Mechanism("stairplank.planner.node_links", "NodeLinks"),
        restarted_workers=_COLD_NODES,
        control=Mechanism("stairplank.planner.node_links", "NodeLinks"),
    ),
}

ACCELERATORS_GAP = (
    "a machine has cores and memory; a class may be bound to a kind of machine, devices are not counted"
)
QUOTAS_GAP = "shares and quotas of tenants are read into the settings, and no decision looks at them"
URGENT_GAP = (
    "held tasks go by the worth of their class; no running task is stopped to make room for an urgent one"
)
REGIONS_GAP = "the settings know zones; nothing knows which zones make a region"
GANGS_GAP = "the platform's protocol has no gangs; those of the gRPC planner are not offered there"
SETTINGS_GAP = "settings are read once, at the start of a process; a change is a restart"
LIST_ADDRESS_GAP = "the address of the node list is read once, at the start of a process"
REGION_CUT_GAP = (
    "machines beyond the cut count as lost and their tasks as ended, while they run on there; "
    "nothing tells a cut from machines that have died"
)
