"""One replica of the configuration service on its sockets; ``store`` decides what it stores."""

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

HEARTBEAT_INTERVAL_S = 2.0  # a planner takes a replica that sends nothing for 2.5 of these for lost
HELLO_TIMEOUT_S = 5.0  # until a planner's stream has named its planner
MAX_STREAMS = 4_096  # each planner has one, and a second for a moment when it reconnects
MAX_REASON_CHARACTERS = 500  # of a planner's reason that are stored
TextChecker = Callable[[str], list[str]]  # the problems of a text, none where it is usable

_RESULTS = {
    PhaseResult.ACCEPTED: pb.PublicationResponse.RESULT_ACCEPTED,
    PhaseResult.CONFLICT: pb.PublicationResponse.RESULT_CONFLICT,
}


class ReplicaServer:
    """Serves publications, planners' streams and the status."""

    def __init__(self, listen: tuple[str, ...], state_file: Path, check_text: TextChecker) -> None:
        """Read the state and make the server. Raises StateFileError.

        Args:
            listen: Addresses to serve on.
            state_file: Where the state is stored between two runs.
            check_text: Returns the problems of a text, none for a usable one.
        """
        self.state_file = state_file
        self.check_text = check_text
        self.store = RevisionStore(state_files.read_state(state_file))
        self.log = structlog.get_logger("configuration")
        self._changed = Event()
        self.announcers: set[gevent.Greenlet[..., Any]] = set()  # one a planner's stream
        health = Health((SERVICE.full_name,))
        names = (SERVICE.full_name, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")
        handlers = server_methods(
            SERVICE,
            Prepare=self._prepare,
            Commit=self._commit,
            Get=self._get,
            Follow=self._follow,
            Status=self._status,
        )
        served = {**handlers, **health.methods(), **Reflection(names).methods()}
        limits = Limits(
            max_message_bytes=2 * MAX_TEXT_BYTES,
            max_unsent_bytes=2 * MAX_TEXT_BYTES,
            max_connections=2 * MAX_STREAMS,
        )
        self.server = Server(listen, served, limits)

    def start(self) -> None:
        """Listen and serve."""
        self.server.start()
        self.log.info(
            "replica serves", listen=list(self.server.addresses), revision=str(self.store.committed)
        )

    def stop(self) -> None:
        """Close all streams."""
        self.server.stop(0.5)

    # Publications

    def _prepare(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - as every handler
        proposal = revision_text_from_message(request.proposal)
        problems = self._problems(proposal.text)
        if problems:
            return self._response(pb.PublicationResponse.RESULT_INVALID, problems)
        before = self.store.state
        result = self.store.prepare(proposal.revision.number, proposal.text)
        self._persist(before)
        return self._response(_RESULTS[result])

    def _commit(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - as every handler
        before = self.store.state
        result = self.store.commit(now_us(), revision_from_message(request.revision))
        self._persist(before)
        if self.store.state is not before:
            self._announce()
        return self._response(_RESULTS[result])

    def _problems(self, text: str) -> list[str]:
        if len(text.encode()) > MAX_TEXT_BYTES:
            return [f"larger than {MAX_TEXT_BYTES} bytes"]
        # Danger: a long text read in the event loop would keep every planner's heartbeat waiting.
        found: list[str] = gevent.get_hub().threadpool.apply(self.check_text, (text,))
        return found

    def _persist(self, before: ReplicaState) -> None:
        if self.store.state is before:
            return
        try:
            state_files.write_state(self.state_file, self.store.state)
        except StateFileError as error:
            # Danger: kept in memory alone, it would be forgotten with the process though it was promised.
            self.store.state = before
            self.log.error("state not written", error=str(error))  # noqa: TRY400 - the reason says enough
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

    def _get(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - as every handler
        return revision_text_to_message(self.store.state.committed)

    # Planners

    def _follow(self, call: ServerCall) -> None:
        """A planner's stream."""
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
        """Count a planner's stream that has begun; does nothing here."""

    def stream_closed(self, planner: int, call: ServerCall) -> None:
        """Count a planner's stream that has ended; does nothing here."""

    def _announce_to(self, call: ServerCall) -> None:
        """Announce each committed revision, and repeat the last as a heartbeat."""
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

    def _status(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - as every handler
        now = now_us()
        age = 0 if self.store.committed_at is None else now - self.store.committed_at
        return pb.StatusResponse(
            committed=revision_to_message(self.store.committed),
            committed_age_us=age,
            planners=[planner_status_to_message(status, now) for status in self.store.statuses(now)],
            highest_number=self.store.highest_number,
        )
