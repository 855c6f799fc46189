"""A light stand-in node: it answers an offer with `running` at once; many fit in one process."""

from __future__ import annotations

from typing import Any, Protocol

import gevent

from ..planner.services import NODE_SERVICE
from ..proto import common_pb2, directory_pb2, node_pb2, server_methods
from ..rpc import RpcError, Server

EVENT = node_pb2.OfferEvent
FREE = 1e6  # cores and memory: it never runs short
GRANT = 1  # every offer is stamped, as in service
US_PER_S = 1e6
NODES_PER_RACK = 8


class Observer(Protocol):
    """Who counts the traffic of light nodes."""

    def opened(self, planner: int, connection: Any) -> None:
        """A planner's stream was opened."""

    def closed(self, planner: int, connection: Any) -> None:
        """A planner's stream has ended."""

    def task_message(self, planner: int, message: Any) -> None:
        """A message about a task was sent or received."""


class LightNode:
    """``life_s``: of every task; None takes the life that its offer names. 0 is no end in both."""

    def __init__(
        self, id: int, life_s: float | None, observer: Observer | None = None, zone: str = "a", rack: str = ""
    ) -> None:
        self.id, self.life_s = id, life_s
        self.zone, self.rack = zone, rack or f"r{id // NODES_PER_RACK}"
        self.held: dict[Any, int] = {}  # attempts that run, and their planners
        self._observer = observer
        handlers = server_methods(NODE_SERVICE, Offers=self.offers, Probe=self.probe, Held=self.held_by)
        self.server = Server(["127.0.0.1:0"], handlers)
        self.server.start()

    def entry(self) -> Any:
        """Its line of the node list."""
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

    # Calls

    def offers(self, call: Any) -> None:
        """Handler of Node.Offers."""
        planner = call.recv().hello.planner
        connection = call.stream.connection
        if self._observer is not None:
            self._observer.opened(planner, connection)
        try:
            call.send(EVENT(welcome=EVENT.Welcome(node=self.id), grant=GRANT))
            while (request := call.recv()) is not None:
                self._take(call, planner, request)
        finally:
            if self._observer is not None:
                self._observer.closed(planner, connection)

    def probe(self, request: Any, call: Any) -> Any:
        """Handler of Node.Probe."""
        return node_pb2.ProbeResponse(node=self.id, report=_report())

    def held_by(self, request: Any, call: Any) -> Any:
        """Handler of Node.Held: it reports no tasks."""
        return node_pb2.HeldResponse(node=self.id)

    # Messages

    def _take(self, call: Any, planner: int, request: Any) -> None:
        match request.WhichOneof("kind"):
            case "probe":
                sampled = EVENT.Sampled(probe=request.probe.probe, report=_report())
                call.try_send(EVENT(sampled=sampled))
            case "offer":
                self._count(planner, request)
                self._run(call, planner, request.offer)

    def _run(self, call: Any, planner: int, offer: Any) -> None:
        self._say(call, planner, EVENT(running=EVENT.Running(id=offer.id)))
        attempt = offer.id.SerializeToString()
        self.held[planner, attempt] = planner
        life_s = offer.task.life_us / US_PER_S if self.life_s is None else self.life_s
        if life_s:
            gevent.spawn_later(life_s, self._end, call, planner, offer.id)

    def _end(self, call: Any, planner: int, id: Any) -> None:
        self.held.pop((planner, id.SerializeToString()), None)
        if call.stream.error is None:
            self._say(call, planner, EVENT(ended=EVENT.Ended(id=id, how=EVENT.Ended.HOW_FINISHED)))

    def _say(self, call: Any, planner: int, event: Any) -> None:
        try:
            call.try_send(event)
        except RpcError:
            return  # its planner has gone
        self._count(planner, event)

    def _count(self, planner: int, message: Any) -> None:
        if self._observer is not None:
            self._observer.task_message(planner, message)


def _report() -> Any:
    return common_pb2.Report(free_cores=FREE, free_memory=FREE, util=0.1)
