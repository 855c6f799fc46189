"""Computes a sample's rates from two snapshots of a site and the time between them. No I/O."""

from __future__ import annotations

from statistics import fmean

from .counts import Counts
from .results import PeerCost, PlannerCost
from .site import Snapshot

# Estimated IP and TCP headers with TCP timestamps: 52 bytes a packet, 60 for each of the two SYN packets.
HEADER_BYTES, SYN_HEADER_BYTES = 52, 60
DIAL_HEADERS = 2 * SYN_HEADER_BYTES + 5 * HEADER_BYTES  # opening and closing a connection takes seven packets
MESSAGE_HEADERS = 2 * HEADER_BYTES  # a message takes one segment and one TCP acknowledgement


def with_headers(control: Counts) -> float:
    """Returns the control bytes plus the estimated packet headers."""
    return control.control_bytes + control.dials * DIAL_HEADERS + control.control_messages * MESSAGE_HEADERS


def planner_cost(before: Snapshot, after: Snapshot, real: int) -> PlannerCost:
    """Returns the mean cost of a real planner; the first ``real`` planners are the real ones."""
    span = after.at - before.at
    positions = range(real)
    at_workers = [_difference(before.workers, after.workers, p) for p in positions]
    at_list = [_difference(before.node_list, after.node_list, p) for p in positions]
    at_clients = [_difference(before.clients, after.clients, p) for p in positions]
    at_all_peers = [w.plus(n).plus(c) for w, n, c in zip(at_workers, at_list, at_clients, strict=True)]
    machines = [before.task_machines.get(p, 0) + after.task_machines.get(p, 0) for p in positions]
    cpu = [b - a for a, b in zip(before.planner_cpu, after.planner_cpu, strict=True)]
    return PlannerCost(
        cpu_share=fmean(cpu) / span,
        memory_mb=fmean(after.planner_memory),
        connections=fmean(c.connection_seconds for c in at_workers) / span,
        dials_per_s=fmean(c.dials for c in at_workers) / span,
        bytes_per_s=fmean(c.bytes for c in at_all_peers) / span,
        control_bytes_per_s=fmean(c.control_bytes for c in at_all_peers) / span,
        messages_per_s=fmean(c.messages for c in at_all_peers) / span,
        control_messages_per_s=fmean(c.control_messages for c in at_all_peers) / span,
        control_bytes_with_headers_per_s=fmean(map(with_headers, at_all_peers)) / span,
        task_machines=fmean(machines) / 2,
    )


def peer_cost(before: Snapshot, after: Snapshot, workers: int) -> PeerCost:
    """Returns the cost of a worker (mean over the hollow workers, for all planners) and of the node list."""
    span = after.at - before.at
    at_workers = _total(after.workers).minus(_total(before.workers))
    at_list = _total(after.node_list).minus(_total(before.node_list))
    return PeerCost(
        worker_connections=at_workers.connection_seconds / span / workers,
        worker_dials_per_s=at_workers.dials / span / workers,
        worker_bytes_per_s=at_workers.bytes / span / workers,
        worker_messages_per_s=at_workers.messages / span / workers,
        list_cpu_share=(after.list_cpu - before.list_cpu) / span,
        list_bytes_per_s=at_list.bytes / span,
        list_connections=at_list.connection_seconds / span,
    )


def _difference(before: dict[int, Counts], after: dict[int, Counts], planner: int) -> Counts:
    return after.get(planner, Counts()).minus(before.get(planner, Counts()))


def _total(counts: dict[int, Counts]) -> Counts:
    total = Counts()
    for planner_counts in counts.values():
        total = total.plus(planner_counts)
    return total
