"""One replica of the configuration service on its sockets. What it keeps is decided by ``store``."""

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
from . import files
from .convert import SERVICE, revision_from, revision_to, status_to, stored_from, stored_to
from .revision import TEXT_MOST
from .store import Result, State, Store

HEARTBEAT_S = 2.0  # a planner takes a replica that it does not hear for lost after 2.5 of these
HELLO_S = 5.0  # a planner's stream says whose it is by then
STREAMS_MOST = 4_096  # each planner has one, and a second for a moment when it dials anew
REASON_MOST = 500  # characters of a planner's reason that are kept
CheckText = Callable[[str], list[str]]  # the faults of a text, none where it is usable

_RESULTS = {
    Result.ACCEPTED: pb.PublicationResponse.RESULT_ACCEPTED,
    Result.CONFLICT: pb.PublicationResponse.RESULT_CONFLICT,
}


class Replica:
    """Serves publications, planners' streams and the status."""

    def __init__(self, listen: tuple[str, ...], state_file: Path, check_text: CheckText) -> None:
        """Raises files.FileError for a state file that cannot be read."""
        self.state_file = state_file
        self.check_text = check_text
        self.store = Store(files.read_state(state_file))
        self.log = structlog.get_logger("configuration")
        self._changed = Event()
        self.announcers: set[gevent.Greenlet] = set()  # one a planner's stream
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
            max_message_bytes=2 * TEXT_MOST, max_unsent_bytes=2 * TEXT_MOST, max_connections=2 * STREAMS_MOST
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

    def _prepare(self, request: Any, call: ServerCall) -> Any:
        proposal = stored_from(request.proposal)
        problems = self._problems(proposal.text)
        if problems:
            return self._response(pb.PublicationResponse.RESULT_INVALID, problems)
        before = self.store.state
        result = self.store.prepare(proposal.revision.number, proposal.text)
        self._persist(before)
        return self._response(_RESULTS[result])

    def _commit(self, request: Any, call: ServerCall) -> Any:
        before = self.store.state
        result = self.store.commit(now_us(), revision_from(request.revision))
        self._persist(before)
        if self.store.state is not before:
            self._announce()
        return self._response(_RESULTS[result])

    def _problems(self, text: str) -> list[str]:
        if len(text.encode()) > TEXT_MOST:
            return [f"larger than {TEXT_MOST} bytes"]
        # Danger: a long text read in the event loop would keep every planner's heartbeat waiting.
        found: list[str] = gevent.get_hub().threadpool.apply(self.check_text, (text,))
        return found

    def _persist(self, before: State) -> None:
        if self.store.state is before:
            return
        try:
            files.write_state(self.state_file, self.store.state)
        except files.FileError as error:
            # Danger: kept in memory alone, it would be forgotten with the process though it was promised.
            self.store.state = before
            self.log.error("state not written", error=str(error))
            raise RpcError(Code.UNAVAILABLE, "the state cannot be written") from None

    def _response(self, result: Any, problems: list[str] | None = None) -> Any:
        return pb.PublicationResponse(
            result=result,
            committed=revision_to(self.store.committed),
            highest_number=self.store.highest_number,
            problems=problems or [],
        )

    def _announce(self) -> None:
        self.log.info("revision committed", revision=str(self.store.committed))
        self._changed.set()
        self._changed = Event()

    def _get(self, request: Any, call: ServerCall) -> Any:
        return stored_to(self.store.state.committed)

    # Planners

    def _follow(self, call: ServerCall) -> None:
        """A planner's stream."""
        if len(self.announcers) >= STREAMS_MOST:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"{STREAMS_MOST} planners' streams are open already")
        first = call.recv(HELLO_S)
        if first is None or first.WhichOneof("kind") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
        planner, life = first.hello.planner, first.hello.life
        self.store.joined(now_us(), planner, life)
        announcer = gevent.spawn(self._announce_to, call)
        self.announcers.add(announcer)
        self.stream_opened(planner, call)
        try:
            while (message := call.recv()) is not None:
                self._take(call, planner, life, message)
        finally:
            self.announcers.discard(announcer)
            announcer.kill(block=False)
            self.stream_closed(planner, call)
            self.store.left(now_us(), planner, life)

    def stream_opened(self, planner: int, call: ServerCall) -> None:
        """A planner's stream has begun; for those that count."""

    def stream_closed(self, planner: int, call: ServerCall) -> None:
        """A planner's stream has ended."""

    def _announce_to(self, call: ServerCall) -> None:
        """Announce each committed revision, and repeat the last as a heartbeat."""
        while call.stream.error is None:
            changed = self._changed
            call.try_send(pb.FollowResponse(announcement=revision_to(self.store.committed)))
            changed.wait(HEARTBEAT_S)

    def _take(self, call: ServerCall, planner: int, life: int, message: Any) -> None:
        match message.WhichOneof("kind"):
            case "fetch":
                wanted = revision_from(message.fetch)
                if wanted == self.store.committed:
                    call.send(pb.FollowResponse(text=stored_to(self.store.state.committed)), 5.0)
            case "report":
                self._take_report(planner, life, message.report)
            case _:
                raise RpcError(Code.INVALID_ARGUMENT, "kind: one of fetch, report is needed")

    def _take_report(self, planner: int, life: int, report: Any) -> None:
        before = self.store.state
        in_force, rejected = revision_from(report.in_force), revision_from(report.rejected)
        reason = report.reason[:REASON_MOST]
        if self.store.reported(now_us(), planner, life, in_force, rejected, reason):
            self._persist(before)
            self._announce()

    def _status(self, request: Any, call: ServerCall) -> Any:
        now = now_us()
        age = 0 if self.store.committed_at is None else now - self.store.committed_at
        return pb.StatusResponse(
            committed=revision_to(self.store.committed),
            committed_age_us=age,
            planners=[status_to(status, now) for status in self.store.statuses(now)],
            highest_number=self.store.highest_number,
        )
