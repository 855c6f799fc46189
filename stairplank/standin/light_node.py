"""A light stand-in node: it answers each offer with `running` at once, and many fit in one process."""

from __future__ import annotations

from typing import Any, Protocol

import gevent

from ..planner.services import NODE_SERVICE
from ..proto import common_pb2, directory_pb2, node_pb2, server_methods
from ..rpc import RpcError, Server

EVENT = node_pb2.OfferEvent
FREE = 1e6  # reported free cores and memory, more than any load uses
GRANT = 1  # a grant, so that the planner stamps every offer as it does for a real node
US_PER_S = 1e6
NODES_PER_RACK = 8


class Observer(Protocol):
    """Counts the traffic of light nodes."""

    def opened(self, planner: int, connection: Any) -> None:
        """Record that a planner's stream was opened."""

    def closed(self, planner: int, connection: Any) -> None:
        """Record that a planner's stream has ended."""

    def task_message(self, planner: int, message: Any) -> None:
        """Record that a message about a task was sent or received."""


class LightNode:
    """A node that runs any number of tasks.

    ``duration_s`` is the duration of every task; None uses the duration in its offer. In both cases 0 means
    that the task does not end.
    """

    def __init__(
        self,
        id: int,
        duration_s: float | None,
        observer: Observer | None = None,
        zone: str = "a",
        rack: str = "",
    ) -> None:
        self.id, self.duration_s = id, duration_s
        self.zone, self.rack = zone, rack or f"r{id // NODES_PER_RACK}"
        self.held: dict[Any, int] = {}  # the planner of each running attempt
        self._observer = observer
        handlers = server_methods(NODE_SERVICE, Offers=self.offers, Probe=self.probe, Held=self.list_tasks)
        self.server = Server(["127.0.0.1:0"], handlers)
        self.server.start()

    def entry(self) -> Any:
        """Return the node's entry for the node list."""
        return directory_pb2.NodeEntry(
            id=self.id,
            addresses=self.server.addresses,
            zone=self.zone,
            rack=self.rack,
            kind="std",
            state=directory_pb2.NodeEntry.STATE_READY,
            free_cores=FREE,
            free_memory=FREE,
        )

    # Handlers of the node service

    def offers(self, call: Any) -> None:
        """Handler of Node.Offers: serves the stream of one planner."""
        planner = call.recv().hello.planner
        connection = call.stream.connection
        if self._observer is not None:
            self._observer.opened(planner, connection)
        try:
            call.send(EVENT(welcome=EVENT.Welcome(node=self.id), grant=GRANT))
            while (request := call.recv()) is not None:
                self._handle_message(call, planner, request)
        finally:
            if self._observer is not None:
                self._observer.closed(planner, connection)

    def probe(self, request: Any, call: Any) -> Any:
        """Handler of Node.Probe: returns a constant load report."""
        return node_pb2.ProbeResponse(node=self.id, report=_report())

    def list_tasks(self, request: Any, call: Any) -> Any:
        """Handler of Node.Held: always reports that no tasks are here."""
        return node_pb2.HeldResponse(node=self.id)

    # Messages of a planner's stream

    def _handle_message(self, call: Any, planner: int, request: Any) -> None:
        match request.WhichOneof("kind"):
            case "probe":
                sampled = EVENT.Sampled(probe=request.probe.probe, report=_report())
                call.try_send(EVENT(sampled=sampled))
            case "offer":
                self._count(planner, request)
                self._run(call, planner, request.offer)

    def _run(self, call: Any, planner: int, offer: Any) -> None:
        self._send(call, planner, EVENT(running=EVENT.Running(id=offer.id)))
        attempt = offer.id.SerializeToString()
        self.held[planner, attempt] = planner
        duration_s = offer.task.life_us / US_PER_S if self.duration_s is None else self.duration_s
        if duration_s:
            gevent.spawn_later(duration_s, self._end, call, planner, offer.id)

    def _end(self, call: Any, planner: int, id: Any) -> None:
        self.held.pop((planner, id.SerializeToString()), None)
        if call.stream.error is None:
            self._send(call, planner, EVENT(ended=EVENT.Ended(id=id, how=EVENT.Ended.HOW_FINISHED)))

    def _send(self, call: Any, planner: int, event: Any) -> None:
        try:
            call.try_send(event)
        except RpcError:
            return  # the planner has closed the stream
        self._count(planner, event)

    def _count(self, planner: int, message: Any) -> None:
        if self._observer is not None:
            self._observer.task_message(planner, message)


def _report() -> Any:
    return common_pb2.Report(free_cores=FREE, free_memory=FREE, util=0.1)
