"""Health checks of unresponsive nodes, and of nodes in the own partition whose state is least recent."""

from __future__ import annotations

from .. import interface as api
from .context import Context
from .load import LoadModel
from .node_state import Node
from .node_table import NodeTable
from .outlier_ejection import MAX_EJECTION_US, UNRESPONSIVE_EJECTION_US

MIN_REPORT_AGE_US = 300_000  # nodes refresh their report no faster, so a sooner check gains nothing
MAX_CHECK_PRICE = 0.01  # in points; at a higher price no checks are sent with task requests


class HealthChecks:
    """Requests health checks and applies their results."""

    def __init__(self, context: Context, table: NodeTable, load: LoadModel) -> None:
        """Check nodes of ``table`` and pass their load reports to ``load``."""
        self._context = context
        self._table = table
        self._load = load

    def record_result(self, event: api.HealthChecked) -> None:
        """Apply the result of a health check.

        An unresponsive node returns to use when a check succeeds and is ejected for longer when one fails.
        A single missing answer does not show that a node has failed, so the checks decide.
        """
        node = self._table.nodes.get(event.node)
        if node is None:
            return
        self._load.record_report(node, event.report)
        now = self._context.now
        health = node.health
        if event.ok:
            health.record_answer(now)
        if not health.unresponsive:
            return
        if event.ok:
            health.unresponsive = False
            health.ejected_until = now
        else:
            health.eject(now, UNRESPONSIVE_EJECTION_US, MAX_EJECTION_US)
            self._context.set_timer(health.ejected_until, lambda: self._check_unresponsive(event.node))

    def record_unresponsive(self, node: Node) -> None:
        """Eject a node that did not answer, and start checking it if the settings allow health checks."""
        node.health.record_unresponsive(self._context.now)
        if self._context.settings.may_check_health and not node.health.unresponsive:
            node.health.unresponsive = True
            self._check_unresponsive(node.entry.id)

    def check_least_recent(self) -> None:
        """Check the home partition's node with the oldest state; called once for each requested task."""
        settings = self._context.settings
        if not settings.may_check_health or settings.price_health_check > MAX_CHECK_PRICE:
            return
        home = self._table.home_partition()
        node = min(home, key=lambda n: (max(n.as_of, n.health_checked_at), n.entry.id), default=None)
        now = self._context.now
        if node is not None and max(node.as_of, node.health_checked_at) < now - MIN_REPORT_AGE_US:
            node.health_checked_at = now
            self._context.actions.append(api.HealthCheck(node.entry.id))

    def _check_unresponsive(self, node_id: int) -> None:
        """Request a health check of an unresponsive node, so that no task is risked on it."""
        node = self._table.nodes.get(node_id)
        if node is None or not node.health.unresponsive:
            return
        if node.entry.status is api.NodeStatus.READY:
            self._context.actions.append(api.HealthCheck(node_id))
