"""Converts the reports of simulated nodes to the events of a planner's core."""

from __future__ import annotations

from ..planner import events as ev
from ..standin.node_events import Reported

LAST_REPORTS = ("refused", "error", "ended")  # an attempt has no report after one of these kinds


def is_last_report(report: Reported) -> bool:
    """Whether a report is the last one about its attempt."""
    return report.kind in LAST_REPORTS


def event_from_report(node: int, report: Reported) -> ev.Event:
    """Return the event that the planner's daemon would create from the message of this report."""
    match report.kind:
        case "accepted":
            return ev.NodeAccepted(node, report.id)
        case "ready":
            return ev.NodeReady(node, report.id)
        case "running":
            return ev.NodeRunning(node, report.id)
        case "refused":
            return ev.NodeRejected(node, report.id, report.reason, report.is_late)
        case "error":
            return ev.NodeError(node, report.id)
        case "usage":
            return ev.NodeUsage(node, report.id, report.cores, report.memory, 0.0, 0.0)
    assert report.result is not None
    return ev.NodeEnded(node, report.id, report.result, report.reason)
