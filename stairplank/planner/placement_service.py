"""The Placement service: one session for each client stream, its messages to and from the core."""

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

HELLO_TIMEOUT_S = 5.0  # for the first message of a stream, which names the client
UNKNOWN_AGE_US = 1 << 62  # age of a message that was sent under no grant of its stream: it proves nothing
OPEN_REQUESTS_POLL_S = 0.02
MIN_GRANT_WAIT_S = 0.01
MAX_CLIENT_NAME_BYTES = 100

_PlaceEvent = placement_pb2.PlaceEvent


@dataclass(frozen=True, slots=True)
class ClientKey:
    """What a client's streams have in common; of several with one key only the newest is served."""

    client: str
    session: int  # the client's own number; 0: it has none, and its streams stand side by side


@dataclass(frozen=True, slots=True)
class ClientSession:
    """A client's stream."""

    number: int  # unique in this process
    key: ClientKey
    call: ServerCall
    grants: GrantIssuer


class PlacementService:
    """Serves Placement.Place. Takes streams in, reads their requests, sends the core's messages."""

    def __init__(self, process: PlannerProcess) -> None:
        """No client is connected yet."""
        self._process = process
        self.sessions: dict[int, ClientSession] = {}
        self.epochs = StreamEpochs(max_session_epochs(process.config))
        self.dropped_messages = 0  # progress that slow readers were not sent
        self._rng = random.Random(os.urandom(16))
        self._last_session = 0

    def settings_changed(self) -> None:
        """Take the bounds of the configuration in force."""
        self.epochs.raise_limit(max_session_epochs(self._process.config))

    def close_sessions(self) -> None:
        """Finish every client's stream, as the process shuts down."""
        for session in list(self.sessions.values()):
            session.call.finish(Code.UNAVAILABLE, "this planner has left")

    # A stream's life

    def place(self, call: ServerCall) -> None:
        """Handler of Placement.Place; returns when the stream is over. Raises RpcError."""
        session = self._open(call)
        renewing = gevent.spawn(self._renew_grants, session)
        self._process.handle(ev.ClientConnected(session.number, session.key.client))
        try:
            self._read(session)
            while session.number in self.sessions and self._has_open_requests(session):
                gevent.sleep(OPEN_REQUESTS_POLL_S)  # no more requests come, but those that came still run
        finally:
            renewing.kill(block=False)
            if self.sessions.pop(session.number, None) is not None:
                self._process.handle(ev.ClientDisconnected(session.number))

    def _open(self, call: ServerCall) -> ClientSession:
        """Admit a stream and welcome it. Raises RpcError."""
        if len(self.sessions) >= self._process.config.max_clients:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"{len(self.sessions)} owners are here already")
        if self._process.is_leaving:
            raise RpcError(Code.UNAVAILABLE, "this planner is leaving")
        hello = _receive_hello(call)
        self._last_session += 1
        number = self._last_session
        key = ClientKey(hello.owner, hello.session)
        if key.session:
            if not self.epochs.accept((key.client, key.session), hello.epoch):
                raise RpcError(Code.ABORTED, "a newer stream of this session has been here")
            self._end_older_streams(key)
        session = ClientSession(number, key, call, GrantIssuer(now_us(), self._rng))
        self.sessions[number] = session
        welcome = _PlaceEvent.Welcome(planner=self._process.position, life=self._process.incarnation)
        call.send(_PlaceEvent(welcome=welcome, grant=session.grants.issue(now_us())))
        return session

    def _end_older_streams(self, key: ClientKey) -> None:
        """Danger: a request that an old connection kept could come after its cancellation on the new one."""
        for session in [session for session in self.sessions.values() if session.key == key]:
            if self.sessions.pop(session.number, None) is not None:
                error = RpcError(Code.ABORTED, "a newer stream of this session is here")
                session.call.stream.connection.close(error)
                self._process.handle(ev.ClientDisconnected(session.number))

    def _has_open_requests(self, session: ClientSession) -> bool:
        """Whether answers to the stream are still to come, or its requests have not been handled yet."""
        known = self._process.core.requests.sessions.get(session.number)
        return known is None or bool(known.placements or known.groups)

    def _renew_grants(self, session: ClientSession) -> None:
        """Give a stream on which no other message is sent a new grant when one is due."""
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
        """Give the core a client's request. Raises RpcError where the message is none."""
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
                raise RpcError(Code.INVALID_ARGUMENT, "hello: only the first message may be one")
            case _:
                raise RpcError(Code.INVALID_ARGUMENT, "kind: one of ask, ask_group, withdraw is needed")

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
        """How old a client's message is at most; 0 where it does not say when it was sent."""
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
        """Queue a message on a client's stream; ends the stream of a client that does not read."""
        session = self.sessions.get(action.session)
        if session is None:
            return
        if not isinstance(action.message, (ev.Admitted, ev.Offered)):
            kind = type(action.message).__name__
            self._process.log.debug("told", session=session.number, word=kind, ask=action.message.request)
        if isinstance(action.message, ev.Offered) and _is_half_full(session.call):
            self.dropped_messages += 1  # progress is dropped first: no outcome depends on it
            return
        message = convert.client_message_to_proto(action.message)
        message.grant = session.grants.issue_if_due(now_us())
        try:
            sent = session.call.try_send(message)
        except RpcError:
            return  # the stream is ending: its handler removes the session
        if not sent:
            self._end_slow_reader(session)

    def _end_slow_reader(self, session: ClientSession) -> None:
        """Danger: a client that does not read would hold memory without end."""
        self._process.log.warning("owner does not read", session=session.number)
        del self.sessions[session.number]
        session.call.finish(Code.RESOURCE_EXHAUSTED, "too much of what was told has not been read", drop=True)
        session.call.stream.fail(RpcError(Code.RESOURCE_EXHAUSTED, "the owner does not read"))
        self._process.enqueue(ev.ClientDisconnected(session.number))
        self._process.run_queued()


def _receive_hello(call: ServerCall) -> Any:
    """The first message of a stream. Raises RpcError where it does not name a client."""
    first = call.recv(HELLO_TIMEOUT_S)
    if first is None or first.WhichOneof("kind") != "hello":
        raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
    if not 0 < len(first.hello.owner.encode()) <= MAX_CLIENT_NAME_BYTES:
        raise RpcError(Code.INVALID_ARGUMENT, "hello.owner: a name of 1 to 100 bytes is needed")
    return first.hello


def _is_half_full(call: ServerCall) -> bool:
    """By the bound of this connection: it may have been made before send-buffer changed."""
    return bool(call.stream.unsent_bytes > call.stream.connection.limits.max_unsent_bytes // 2)
