"""What simulated nodes report, as the events that a planner's core takes."""

from __future__ import annotations

from ..planner import events as ev
from ..standin.node_events import Reported

LAST_REPORTS = ("refused", "error", "ended")  # nothing follows them on an attempt


def is_last_report(report: Reported) -> bool:
    """Whether a report is the last on its attempt."""
    return report.kind in LAST_REPORTS


def event_from_report(node: int, report: Reported) -> ev.Event:
    """The event of a report, as the daemon makes it from a message."""
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
