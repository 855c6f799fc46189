"""gRPC server of one replica of the configuration service; ``store`` holds its state."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import structlog
from gevent.event import Event

from ..planner.clock import now_us
from ..proto import configuration_pb2 as pb
from ..proto import server_methods
from ..proto.standard import Health, Reflection
from ..rpc import Code, Limits, RpcError, Server, ServerCall
from . import state_files
from .convert import (
    SERVICE,
    planner_status_to_message,
    revision_from_message,
    revision_text_from_message,
    revision_text_to_message,
    revision_to_message,
)
from .errors import StateFileError
from .revision import MAX_TEXT_BYTES
from .store import PhaseResult, ReplicaState, RevisionStore

HEARTBEAT_INTERVAL_S = 2.0  # a planner treats a replica as lost after 2.5 intervals without a message
HELLO_TIMEOUT_S = 5.0  # limit for the first message of a planner's stream, which names the planner
MAX_STREAMS = 4_096  # one stream per planner, and briefly a second one when it reconnects
MAX_REASON_CHARACTERS = 500  # longer rejection reasons of planners are truncated
TextChecker = Callable[[str], list[str]]  # returns the problems of a text; an empty list if it is usable

_RESULTS = {
    PhaseResult.ACCEPTED: pb.PublicationResponse.RESULT_ACCEPTED,
    PhaseResult.CONFLICT: pb.PublicationResponse.RESULT_CONFLICT,
}


class ReplicaServer:
    """Serves publications, planners' streams and status requests."""

    def __init__(self, listen: tuple[str, ...], state_file: Path, check_text: TextChecker) -> None:
        """Read the state file and create the server. Raises StateFileError.

        Args:
            listen: Addresses to serve on.
            state_file: File that keeps the state across restarts.
            check_text: Returns the problems of a text; an empty list if it is usable.
        """
        self.state_file = state_file
        self.check_text = check_text
        self.store = RevisionStore(state_files.read_state(state_file))
        self.log = structlog.get_logger("configuration")
        self._changed = Event()
        self.announcers: set[gevent.Greenlet[..., Any]] = set()  # a greenlet for each planner's stream
        health = Health((SERVICE.full_name,))
        service_names = (SERVICE.full_name, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")
        handlers = server_methods(
            SERVICE,
            Prepare=self._prepare,
            Commit=self._commit,
            Get=self._get,
            Follow=self._follow,
            Status=self._status,
        )
        methods = {**handlers, **health.methods(), **Reflection(service_names).methods()}
        limits = Limits(
            max_message_bytes=2 * MAX_TEXT_BYTES,
            max_unsent_bytes=2 * MAX_TEXT_BYTES,
            max_connections=2 * MAX_STREAMS,
        )
        self.server = Server(listen, methods, limits)

    def start(self) -> None:
        """Listen on the addresses and serve requests."""
        self.server.start()
        self.log.info(
            "replica serves", listen=list(self.server.addresses), revision=str(self.store.committed)
        )

    def stop(self) -> None:
        """Stop the server and close all streams."""
        self.server.stop(0.5)

    # Publications

    def _prepare(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - signature shared by all handlers
        proposal = revision_text_from_message(request.proposal)
        problems = self._problems(proposal.text)
        if problems:
            return self._response(pb.PublicationResponse.RESULT_INVALID, problems)
        before = self.store.state
        result = self.store.prepare(proposal.revision.number, proposal.text)
        self._persist(before)
        return self._response(_RESULTS[result])

    def _commit(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - signature shared by all handlers
        before = self.store.state
        result = self.store.commit(now_us(), revision_from_message(request.revision))
        self._persist(before)
        if self.store.state is not before:
            self._announce()
        return self._response(_RESULTS[result])

    def _problems(self, text: str) -> list[str]:
        if len(text.encode()) > MAX_TEXT_BYTES:
            return [f"larger than {MAX_TEXT_BYTES} bytes"]
        # The check runs in a thread: a long text in the event loop would delay the heartbeats to planners.
        problems: list[str] = gevent.get_hub().threadpool.apply(self.check_text, (text,))
        return problems

    def _persist(self, before: ReplicaState) -> None:
        if self.store.state is before:
            return
        try:
            state_files.write_state(self.state_file, self.store.state)
        except StateFileError as error:
            # Undo the change: kept in memory alone, an accepted revision would be lost when the process ends.
            self.store.state = before
            self.log.error("state not written", error=str(error))  # noqa: TRY400 - the reason needs no traceback
            raise RpcError(Code.UNAVAILABLE, "the state cannot be written") from None

    def _response(self, result: Any, problems: list[str] | None = None) -> Any:
        return pb.PublicationResponse(
            result=result,
            committed=revision_to_message(self.store.committed),
            highest_number=self.store.highest_number,
            problems=problems or [],
        )

    def _announce(self) -> None:
        self.log.info("revision committed", revision=str(self.store.committed))
        self._changed.set()
        self._changed = Event()

    def _get(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - signature shared by all handlers
        return revision_text_to_message(self.store.state.committed)

    # Planners

    def _follow(self, call: ServerCall) -> None:
        """Serve a planner's stream until it ends."""
        if len(self.announcers) >= MAX_STREAMS:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"{MAX_STREAMS} planners' streams are open already")
        first = call.recv(HELLO_TIMEOUT_S)
        if first is None or first.WhichOneof("kind") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
        planner = first.hello.planner
        incarnation = first.hello.life
        self.store.stream_opened(now_us(), planner, incarnation)
        announcer = gevent.spawn(self._announce_to, call)
        self.announcers.add(announcer)
        self.stream_opened(planner, call)
        try:
            while (message := call.recv()) is not None:
                self._handle_message(call, planner, incarnation, message)
        finally:
            self.announcers.discard(announcer)
            announcer.kill(block=False)
            self.stream_closed(planner, call)
            self.store.stream_closed(now_us(), planner, incarnation)

    def stream_opened(self, planner: int, call: ServerCall) -> None:
        """Called when a planner's stream has opened; a subclass may count it."""

    def stream_closed(self, planner: int, call: ServerCall) -> None:
        """Called when a planner's stream has closed; a subclass may count it."""

    def _announce_to(self, call: ServerCall) -> None:
        """Announce each committed revision, and repeat the last one as a heartbeat."""
        while call.stream.error is None:
            changed = self._changed
            call.try_send(pb.FollowResponse(announcement=revision_to_message(self.store.committed)))
            changed.wait(HEARTBEAT_INTERVAL_S)

    def _handle_message(self, call: ServerCall, planner: int, incarnation: int, message: Any) -> None:
        match message.WhichOneof("kind"):
            case "fetch":
                wanted = revision_from_message(message.fetch)
                if wanted == self.store.committed:
                    call.send(
                        pb.FollowResponse(text=revision_text_to_message(self.store.state.committed)), 5.0
                    )
            case "report":
                self._handle_report(planner, incarnation, message.report)
            case _:
                raise RpcError(Code.INVALID_ARGUMENT, "kind: one of fetch, report is needed")

    def _handle_report(self, planner: int, incarnation: int, report: Any) -> None:
        before = self.store.state
        in_force = revision_from_message(report.in_force)
        rejected = revision_from_message(report.rejected)
        reason = report.reason[:MAX_REASON_CHARACTERS]
        if self.store.record_report(now_us(), planner, incarnation, in_force, rejected, reason):
            self._persist(before)
            self._announce()

    def _status(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - signature shared by all handlers
        now = now_us()
        age = 0 if self.store.committed_at is None else now - self.store.committed_at
        return pb.StatusResponse(
            committed=revision_to_message(self.store.committed),
            committed_age_us=age,
            planners=[planner_status_to_message(status, now) for status in self.store.statuses(now)],
            highest_number=self.store.highest_number,
        )
