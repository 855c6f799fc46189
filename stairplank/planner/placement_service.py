"""The Placement service: passes messages between client streams and the core, one session per stream."""

from __future__ import annotations

import contextlib
import os
import random
from dataclasses import dataclass
from typing import Any

import gevent

from ..fence import GrantIssuer, StreamEpochs
from ..proto import placement_pb2
from ..rpc import Code, RpcError, ServerCall
from . import convert
from . import events as ev
from .clock import now_us
from .live_settings import max_session_epochs
from .node_connection import READ_BATCH
from .process import PlannerProcess

HELLO_TIMEOUT_S = 5.0  # wait for the first message of a stream, which names the client
UNKNOWN_AGE_US = 1 << 62  # age of a message whose stamp names no valid grant of its stream
OPEN_REQUESTS_POLL_S = 0.02
MIN_GRANT_WAIT_S = 0.01
MAX_CLIENT_NAME_BYTES = 100

_PlaceEvent = placement_pb2.PlaceEvent


@dataclass(frozen=True, slots=True)
class ClientKey:
    """Identifies a client's session. Of several streams with one key only the newest is served."""

    client: str
    session: int  # the client's number for the session; 0 if it has none, then all its streams are served


@dataclass(frozen=True, slots=True)
class ClientSession:
    """A client's stream and its grants."""

    number: int  # unique in this process
    key: ClientKey
    call: ServerCall
    grants: GrantIssuer


class PlacementService:
    """Serves Placement.Place: accepts streams, reads their requests and sends the core's messages."""

    def __init__(self, process: PlannerProcess) -> None:
        """Start without sessions."""
        self._process = process
        self.sessions: dict[int, ClientSession] = {}
        self.epochs = StreamEpochs(max_session_epochs(process.config))
        self.dropped_messages = 0  # number of progress messages not sent because a client reads slowly
        self._rng = random.Random(os.urandom(16))
        self._last_session = 0

    def settings_changed(self) -> None:
        """Apply the bounds of the configuration in force."""
        self.epochs.raise_limit(max_session_epochs(self._process.config))

    def close_sessions(self) -> None:
        """Finish every client's stream when the process shuts down."""
        for session in list(self.sessions.values()):
            session.call.finish(Code.UNAVAILABLE, "this planner has shut down")

    # Opening and ending streams

    def place(self, call: ServerCall) -> None:
        """Handle a call of Placement.Place. Returns when the stream has ended. Raises RpcError."""
        session = self._open(call)
        grant_renewal = gevent.spawn(self._renew_grants, session)
        self._process.handle(ev.ClientConnected(session.number, session.key.client))
        try:
            self._read(session)
            while session.number in self.sessions and self._has_open_requests(session):
                gevent.sleep(OPEN_REQUESTS_POLL_S)  # the stream is half-closed but has open requests
        finally:
            grant_renewal.kill(block=False)
            if self.sessions.pop(session.number, None) is not None:
                self._process.handle(ev.ClientDisconnected(session.number))

    def _open(self, call: ServerCall) -> ClientSession:
        """Admit a stream, open a session for it and send the welcome. Raises RpcError."""
        if len(self.sessions) >= self._process.config.max_clients:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"{len(self.sessions)} clients are already connected")
        if self._process.is_shutting_down:
            raise RpcError(Code.UNAVAILABLE, "this planner is shutting down")
        hello = _receive_hello(call)
        self._last_session += 1
        number = self._last_session
        key = ClientKey(hello.owner, hello.session)
        if key.session:
            if not self.epochs.accept((key.client, key.session), hello.epoch):
                raise RpcError(Code.ABORTED, "a newer stream of this session was opened earlier")
            self._end_older_streams(key)
        session = ClientSession(number, key, call, GrantIssuer(now_us(), self._rng))
        self.sessions[number] = session
        welcome = _PlaceEvent.Welcome(planner=self._process.position, life=self._process.incarnation)
        call.send(_PlaceEvent(welcome=welcome, grant=session.grants.issue(now_us())))
        return session

    def _end_older_streams(self, key: ClientKey) -> None:
        """End the older streams of a session.

        Otherwise a request delayed on the old connection could arrive after its cancellation on the new one.
        """
        for session in [session for session in self.sessions.values() if session.key == key]:
            if self.sessions.pop(session.number, None) is not None:
                error = RpcError(Code.ABORTED, "a newer stream of this session has been opened")
                session.call.stream.connection.close(error)
                self._process.handle(ev.ClientDisconnected(session.number))

    def _has_open_requests(self, session: ClientSession) -> bool:
        """Return whether the stream still expects answers, or the core has not handled its start yet."""
        known = self._process.core.requests.sessions.get(session.number)
        return known is None or bool(known.placements or known.groups)

    def _renew_grants(self, session: ClientSession) -> None:
        """Send a new grant whenever one is due on a stream that carries no other messages."""
        grants = session.grants
        while session.number in self.sessions:
            gevent.sleep(max(MIN_GRANT_WAIT_S, (grants.next_due() - now_us()) / 1e6))
            if session.number in self.sessions and now_us() >= grants.next_due():
                with contextlib.suppress(RpcError):
                    session.call.try_send(
                        _PlaceEvent(renewed=_PlaceEvent.Grant(), grant=grants.issue(now_us()))
                    )

    # Requests

    def _read(self, session: ClientSession) -> None:
        count = 0
        while (message := session.call.recv()) is not None and session.number in self.sessions:
            self._receive(session, message)
            count += 1
            if count % READ_BATCH == 0:
                gevent.sleep(0)

    def _receive(self, session: ClientSession, message: Any) -> None:
        """Pass a client's request to the core. Raises RpcError if the message is not a request."""
        match message.WhichOneof("kind"):
            case "ask":
                self._receive_task(session, message.ask)
            case "ask_group":
                age_us = self._message_age_us(session, message.ask_group)
                request = convert.group_request_from_proto(
                    session.number, message.ask_group, session.key.client, age_us
                )
                self._process.handle(request)
            case "withdraw":
                cancelled = message.withdraw
                self._process.handle(ev.PlacementCancelled(session.number, cancelled.ask, cancelled.key))
            case "hello":
                raise RpcError(Code.INVALID_ARGUMENT, "hello: only the first message may be hello")
            case _:
                raise RpcError(Code.INVALID_ARGUMENT, "kind: must be one of ask, ask_group, withdraw")

    def _receive_task(self, session: ClientSession, request: Any) -> None:
        client = session.key.client
        if request.task.owner and request.task.owner != client:
            self._reject(session, request.ask, "task.owner", "is not the stream's owner")
            return
        request.task.owner = client
        task = convert.task_from_proto(request.task)
        age_us = self._message_age_us(session, request)
        self._process.handle(
            ev.PlacementRequested(session.number, request.ask, task, request.wait_us, age_us)
        )

    def _message_age_us(self, session: ClientSession, message: Any) -> int:
        """Return an upper bound for the age of a client's message; 0 if the message has no stamp."""
        stamp = convert.stamp_from_proto(message)
        if stamp is None:
            return 0
        now = now_us()
        sent_at = session.grants.earliest_send_time(now, stamp)
        return UNKNOWN_AGE_US if sent_at is None else max(0, now - sent_at)

    def _reject(self, session: ClientSession, request: int, field: str, message: str) -> None:
        rejected = ev.Rejected(request, ev.Rejection("INVALID_ARGUMENT", field, message))
        self.send(ev.SendToClient(session.number, rejected))

    # Messages to clients

    def send(self, action: ev.SendToClient) -> None:
        """Queue a message on a client's stream; end the stream if the client does not read."""
        session = self.sessions.get(action.session)
        if session is None:
            return
        if not isinstance(action.message, (ev.Admitted, ev.Offered)):
            kind = type(action.message).__name__
            self._process.log.debug("told", session=session.number, word=kind, ask=action.message.request)
        if isinstance(action.message, ev.Offered) and _send_buffer_half_full(session.call):
            self.dropped_messages += 1  # progress may be dropped, because no outcome depends on it
            return
        message = convert.client_message_to_proto(action.message)
        message.grant = session.grants.issue_if_due(now_us())
        try:
            sent = session.call.try_send(message)
        except RpcError:
            return  # the stream has failed: its handler removes the session
        if not sent:
            self._end_slow_reader(session)

    def _end_slow_reader(self, session: ClientSession) -> None:
        """End the session of a client that does not read: its unsent messages would fill the memory."""
        self._process.log.warning("owner does not read", session=session.number)
        del self.sessions[session.number]
        session.call.finish(
            Code.RESOURCE_EXHAUSTED, "the send buffer is full, the client does not read", drop=True
        )
        session.call.stream.fail(RpcError(Code.RESOURCE_EXHAUSTED, "the client does not read"))
        self._process.enqueue(ev.ClientDisconnected(session.number))
        self._process.run_queued()


def _receive_hello(call: ServerCall) -> Any:
    """Return the first message of a stream. Raises RpcError if it does not name a client."""
    first = call.recv(HELLO_TIMEOUT_S)
    if first is None or first.WhichOneof("kind") != "hello":
        raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
    if not 0 < len(first.hello.owner.encode()) <= MAX_CLIENT_NAME_BYTES:
        raise RpcError(Code.INVALID_ARGUMENT, "hello.owner: must be a name of 1 to 100 bytes")
    return first.hello


def _send_buffer_half_full(call: ServerCall) -> bool:
    """Return whether half of the send buffer is used.

    The connection's own bound applies: the connection may be older than the last change of ``send-buffer``.
    """
    return bool(call.stream.unsent_bytes > call.stream.connection.limits.max_unsent_bytes // 2)
