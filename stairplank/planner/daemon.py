"""The planner's process: sockets, greenlets, the clock. It feeds the core and carries out what it returns.

One greenlet an owner's stream reads it, one a node's link, one waits on the clock, one watches the node list.
None of them blocks while the core works, so the core needs no locks. A stalled process is felt as one late
batch: what came meanwhile is read in order, and what fell due is done before it.
"""

from __future__ import annotations

import contextlib
import gc
import os
import random
import signal
import time
from collections import deque
from typing import Any

import gevent
import structlog
from gevent.event import Event as Flag

from ..configuration.joining import follow
from ..configuration.live import LiveChanges, live_changes
from ..configuration.revision import NO_REVISION, Revision
from ..fence import Epochs, Grants, StepWatch
from ..proto import (
    directory_pb2,
    method_path,
    node_pb2,
    open_call,
    placement_pb2,
    server_methods,
)
from ..proto.standard import Health, Reflection
from ..rpc import Channel, Code, Limits, RpcError, Server, ServerCall
from ..settings import PlannerConfig
from . import convert
from . import events as ev
from .clock import now_us as now_us
from .clock import raw_us
from .core import Core
from .events import AttemptId
from .link_state import Heard
from .live_settings import core_config, epochs_most, prepared, server_limits
from .node_connection import NODE as NODE
from .node_connection import WORK_BATCH, NodeLink
from .stall_detector import Pulse

PLACEMENT = placement_pb2.DESCRIPTOR.services_by_name["Placement"]
DIRECTORY = directory_pb2.DESCRIPTOR.services_by_name["Directory"]
HELLO_S = 5.0  # an owner's stream must say whose it is by then
UNKNOWN_AGE_US = 1 << 62  # what an ask under no grant of its stream proves: nothing


class Daemon:
    """One planner on real sockets."""

    def __init__(self, config: PlannerConfig, revision: Revision = NO_REVISION) -> None:
        """``revision``: of the site's configuration that ``config`` was made with."""
        self.config = config
        self.position = config.settings.position
        self.life = int.from_bytes(os.urandom(8), "big") >> 1 or 1
        self.log = structlog.get_logger("planner").bind(planner=self.position)
        seed = config.seed if config.seed is not None else self.life
        self.core = Core(config.settings, core_config(config), self.life, seed)
        self.health = Health((PLACEMENT.full_name,))
        names = (PLACEMENT.full_name, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection")
        served = {
            **server_methods(PLACEMENT, Place=self._place),
            **self.health.methods(),
            **Reflection(names).methods(),
        }
        self.server = Server(config.listen, served, server_limits(config))
        self.links: dict[int, NodeLink] = {}
        self.heard: dict[int, tuple[int, Heard]] = {}  # node: its life, and its words so far
        self.owners: dict[int, ServerCall] = {}
        self.peers: dict[int, tuple[str, int]] = {}  # owner's stream: its owner and that one's session
        self.epochs = Epochs(epochs_most(config))  # of owners' sessions
        self.grants: dict[int, Grants] = {}  # an owner's stream
        self._rng = random.Random(os.urandom(16))
        self._epoch = 0
        self._step_watch = StepWatch()
        self.dropped_words = 0
        self.core_ns = 0  # time spent in the core and the module
        self._session = 0
        self._pending: deque[ev.Event] = deque()
        self._working = False
        self.pulse = Pulse(self._pending, self._wake)
        self._rearm = Flag()
        self._armed: int | None = None
        self._watch: Any = None
        self._stop = Flag()
        self.configuration = follow(self, revision)

    # The fence

    def next_epoch(self) -> int:
        """Of a link to a node; grows with each of this life."""
        self._epoch += 1
        return self._epoch

    def clock_stepped(self) -> bool:
        """Whether the monotonic clock has jumped against the raw one; all grants are forgotten then."""
        before, raw, after = now_us(), raw_us(), now_us()
        if after - before > 1_000 or not self._step_watch.stepped(before, raw):
            return False  # stood still between the two readings: they say nothing of each other
        for link in self.links.values():
            link.stamps.forget()
        return True

    # Life

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT; the exit code."""
        handlers = [gevent.signal_handler(s, self.stop) for s in (signal.SIGTERM, signal.SIGINT)]
        self.start()
        # What start-up made stays for good: the collector need not look at it again and again, nor at the
        # short-lived messages of each task more than now and then (its pauses are felt as late answers).
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self._stop.wait()
        clean = self._leave()
        for handler in handlers:
            handler.cancel()
        return 0 if clean else 1

    def start(self) -> None:
        self.server.start()
        self.log.info("planner starts", listen=list(self.server.addresses), life=self.life)
        self._carry_out(self.core.start(now_us()))
        gevent.spawn(self._clock)
        self.pulse.start()
        self.configuration.start()

    def stop(self) -> None:
        self._stop.set()

    def _leave(self) -> bool:
        """Take nothing new, answer what is owed, close. Bounded by stop-grace and two seconds."""
        self.log.info("planner leaves", owed=self.core.owners.open_tasks)
        self.health.set(False)
        self.configuration.stop()
        self.server.drain()
        self.feed(ev.ShutdownRequested())
        until = now_us() + self.config.stop_grace_us + 1_000_000
        while not self.core.finished and now_us() < until:
            gevent.sleep(0.01)
        for call in list(self.owners.values()):
            call.finish(Code.UNAVAILABLE, "this planner has left")
        clean = self.server.stop(1.0)
        for link in list(self.links.values()):
            link.hang_up()
        self.log.info("planner has left", owed=self.core.owners.open_tasks, **self.core.counts)
        return self.core.finished and clean

    # Settings

    def prepare_site(self, text: str, name: str) -> PlannerConfig:
        """This planner's configuration once the site's text is in force; ``name`` stands for its file.

        Changes nothing, and may run in another thread. Raises SettingsError and NeedsRestartError.
        """
        return prepared(self.config, text, name)

    def apply_site(self, config: PlannerConfig) -> LiveChanges:
        """Put a prepared configuration into force, at once; what has changed. Raises NeedsRestartError."""
        # Danger: another one may have come into force since it was prepared.
        changes = live_changes(self.config, config)
        changes.check()
        if changes.identical:
            return changes
        self.config = config
        self.server.limits = server_limits(config)
        self.epochs.allow(epochs_most(config))
        self.feed(ev.SettingsChanged(config.settings, core_config(config)))
        self.log.info("settings changed", keys=list(changes.keys))
        return changes

    # The core

    def feed(self, event: ev.Event) -> None:
        """Give the core an event and do what it says. Events that arise meanwhile wait their turn."""
        self._pending.append(event)
        if self._working or self.pulse.late():
            return
        self._working = True
        try:
            while self._pending:
                began = time.perf_counter_ns()
                actions = self.core.handle(now_us(), self._pending.popleft())
                self.core_ns += time.perf_counter_ns() - began
                self._carry_out(actions)
        finally:
            self._working = False
        due = self.core.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._rearm.set()

    def _wake(self, stood: int) -> None:
        """The process stood still, stopped or starved; what came meanwhile is read by now."""
        events = list(self._pending)
        self._pending.clear()
        self.log.info("stood still", ms=stood // 1000, came=len(events))
        self._working = True
        try:
            self._carry_out(self.core.woke(now_us(), events))
        finally:
            self._working = False
        self.feed(ev.TimerDue())

    def _clock(self) -> None:
        """Wake the core when something is due."""
        while True:
            due = self.core.next_due()
            self._armed = due
            self._rearm.clear()
            left = None if due is None else max(0, due - now_us()) / 1e6
            if not self._rearm.wait(left):
                self.feed(ev.TimerDue())

    def _carry_out(self, actions: list[ev.Action]) -> None:
        for action in actions:
            match action:
                case ev.SendToClient():
                    self._tell(action)
                case ev.SendOffer():
                    self._send_offer(action)
                case ev.SendCommit():
                    link = self.links.get(action.node)
                    if link is not None:
                        self._send(link, convert.commit_to(action, link.stamp()), None)
                case ev.SendLeaseRenewal():
                    link = self.links.get(action.node)
                    if link is not None:
                        self._send(link, convert.keep_to(action, link.stamp()), None)
                case ev.SendStop():
                    link = self.links.get(action.node)
                    if link is not None:
                        self._send(link, convert.stop_to(action), None)
                case ev.Dial():
                    self.links[action.node] = NodeLink(self, action.node, action.addresses)
                case ev.CloseLink():
                    if action.node in self.links:
                        self.links[action.node].hang_up()
                case ev.RequestNodeTasks():
                    gevent.spawn(self._ask_held, action.node)
                case ev.CheckHealth():
                    self._probe(action.node)
                case ev.WatchNodeList():
                    if self._watch is not None:
                        self._watch.kill(block=False)
                        self._watch = None
                    if action.active:
                        self._watch = gevent.spawn(self._watch_list, action.revision)
                case ev.FetchNodeList():
                    gevent.spawn(self._fetch_list)
                case ev.Report():
                    self.log.info(action.event, **action.fields)

    # Owners

    def _place(self, call: ServerCall) -> None:
        """Handler of Placement.Place."""
        if len(self.owners) >= self.config.owners_most:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"{len(self.owners)} owners are here already")
        if self.server.draining:
            raise RpcError(Code.UNAVAILABLE, "this planner is leaving")
        first = call.recv(HELLO_S)
        if first is None or first.WhichOneof("kind") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "kind: the first message must be hello")
        owner = first.hello.owner
        if not 0 < len(owner.encode()) <= 100:
            raise RpcError(Code.INVALID_ARGUMENT, "hello.owner: a name of 1 to 100 bytes is needed")
        self._session += 1
        session = self._session
        event = placement_pb2.PlaceEvent
        peer = (owner, first.hello.session)
        if first.hello.session:
            if not self.epochs.take(peer, first.hello.epoch):
                raise RpcError(Code.ABORTED, "a newer stream of this session has been here")
            self._end_older(peer)
        grants = self.grants[session] = Grants(now_us(), self._rng)
        welcome = event.Welcome(planner=self.position, life=self.life)
        self.owners[session] = call
        self.peers[session] = peer
        call.send(event(welcome=welcome, grant=grants.give(now_us())))
        renewing = gevent.spawn(self._renew, session, grants)
        self.feed(ev.ClientConnected(session, owner))
        try:
            self._read_owner(call, session, owner)
            while session in self.owners and self._owes(session):
                gevent.sleep(0.02)  # no more asks come, but what was asked for still runs
        finally:
            renewing.kill(block=False)
            self.grants.pop(session, None)
            self.peers.pop(session, None)
            if self.owners.pop(session, None) is not None:
                self.feed(ev.ClientDisconnected(session))

    def _owes(self, session: int) -> bool:
        """Whether words of an owner's stream are still to come, or what it said has not been looked at."""
        known = self.core.owners.sessions.get(session)
        return known is None or bool(known.asks or known.groups)

    def _end_older(self, peer: tuple[str, int]) -> None:
        """Danger: an ask that an old connection kept could come after its withdrawal on the new one."""
        for session in [s for s, p in self.peers.items() if p == peer]:
            call = self.owners.pop(session, None)
            if call is not None:
                error = RpcError(Code.ABORTED, "a newer stream of this session is here")
                call.stream.connection.close(error)
                self.feed(ev.ClientDisconnected(session))

    def _renew(self, session: int, grants: Grants) -> None:
        """A stream on which nothing is said is given a grant all the same, now and then."""
        event = placement_pb2.PlaceEvent
        while session in self.owners:
            gevent.sleep(max(0.01, (grants.next_due() - now_us()) / 1e6))
            call = self.owners.get(session)
            if call is not None and now_us() >= grants.next_due():
                with contextlib.suppress(RpcError):
                    call.try_send(event(renewed=event.Grant(), grant=grants.give(now_us())))

    def _age(self, session: int, message: Any) -> int:
        """How old a message of an owner's is at most; 0 where it does not say when it was said."""
        stamp = convert.stamp_from(message)
        if stamp is None:
            return 0
        now = now_us()
        at = self.grants[session].said_at(now, stamp)
        return UNKNOWN_AGE_US if at is None else max(0, now - at)

    def _read_owner(self, call: ServerCall, session: int, owner: str) -> None:
        taken = 0
        while (message := call.recv()) is not None and session in self.owners:
            match message.WhichOneof("kind"):
                case "ask":
                    ask = message.ask
                    if ask.task.owner and ask.task.owner != owner:
                        self._reject(session, ask.ask, "task.owner", "is not the stream's owner")
                    else:
                        ask.task.owner = owner
                        spec, age = convert.spec_from(ask.task), self._age(session, ask)
                        self.feed(ev.PlacementRequested(session, ask.ask, spec, ask.wait_us, age))
                case "ask_group":
                    age = self._age(session, message.ask_group)
                    self.feed(convert.group_from(session, message.ask_group, owner, age))
                case "withdraw":
                    self.feed(ev.PlacementCancelled(session, message.withdraw.ask, message.withdraw.key))
                case "hello":
                    raise RpcError(Code.INVALID_ARGUMENT, "hello: only the first message may be one")
                case _:
                    raise RpcError(Code.INVALID_ARGUMENT, "kind: one of ask, ask_group, withdraw is needed")
            taken += 1
            if taken % WORK_BATCH == 0:
                gevent.sleep(0)

    def _reject(self, session: int, ask: int, field: str, message: str) -> None:
        word = ev.Rejected(ask, ev.Rejection("INVALID_ARGUMENT", field, message))
        self._tell(ev.SendToClient(session, word))

    def _tell(self, action: ev.SendToClient) -> None:
        call = self.owners.get(action.session)
        if call is None:
            return
        if not isinstance(action.message, (ev.Admitted, ev.Offered)):
            self.log.debug(
                "told", session=action.session, word=type(action.message).__name__, ask=action.message.request
            )
        # The bound of this connection: it may have been made before send-buffer changed.
        full = call.stream.unsent_bytes > call.stream.connection.limits.max_unsent_bytes // 2
        if full and isinstance(action.message, ev.Offered):
            self.dropped_words += 1  # the first to go where an owner is slow: no outcome hangs on it
            return
        message = convert.word_to(action.message)
        grants = self.grants.get(action.session)
        if grants is not None:
            message.grant = grants.give_if_due(now_us())
        try:
            sent = call.try_send(message)
        except RpcError:
            return  # it is leaving: its handler ends the session
        if not sent:
            # Danger: an owner that does not read would hold memory without end.
            self.log.warning("owner does not read", session=action.session)
            del self.owners[action.session]
            call.finish(Code.RESOURCE_EXHAUSTED, "too much of what was told has not been read", drop=True)
            call.stream.fail(RpcError(Code.RESOURCE_EXHAUSTED, "the owner does not read"))
            self._pending.append(ev.ClientDisconnected(action.session))
            if not self._working:
                self.feed(ev.TimerDue())

    # Nodes

    def _send_offer(self, action: ev.SendOffer) -> None:
        link = self.links.get(action.node)
        if link is not None:
            name = f"{action.task.client}/{action.task.key}"
            number = f"{action.id.placement}.{action.id.attempt}"
            self.log.debug("offered", task=name, attempt=number, node=action.node)
            sort = self.config.settings.classes[action.class_index]
            self._send(link, convert.offer_to(action, sort, link.stamp()), action.id)

    def _send(self, link: NodeLink, message: Any, id: AttemptId | None) -> None:
        if not link.send(message, id):
            self.log.warning("node does not read", node=link.node)
            if id is not None:
                link.sent.append((1 << 62, id))
            link.hang_up()

    def link_over(self, link: NodeLink, event: ev.Event) -> None:
        if self.links.get(link.node) is not link:
            return  # given up, and dialled anew since: what becomes of it says nothing of the newer one
        del self.links[link.node]
        self.feed(event)
        if not self.core.links.is_linked(link.node):
            self.heard.pop(link.node, None)  # a node that has left: its words need not be remembered

    def _unary(self, node: int, method: str, request: Any, answer: Any, timeout_us: int) -> Any:
        link = self.links.get(node)
        if link is None or link.channel is None:
            raise RpcError(Code.UNAVAILABLE, "no link", never_ran=True)
        return link.channel.unary(
            method_path(NODE, method), request, answer.FromString, timeout_s=timeout_us / 1e6
        )

    def _ask_held(self, node: int) -> None:
        request = node_pb2.HeldRequest(planner=self.position, life=self.life)
        link, asked_at = self.links.get(node), now_us()
        try:
            told = self._unary(node, "Held", request, node_pb2.HeldResponse, self.config.link_grace_us + 1)
        except RpcError as error:
            self.log.info("held not told", node=node, error=str(error))
            self.feed(ev.NodeTasksFailed(node))
        else:
            # Last words that were said before this answer may still be on their way, on the other stream.
            until = now_us() + self.config.link_grace_us
            while link is not None and link.heard.number < told.words and now_us() < until:
                if self.links.get(node) is not link:
                    return  # the link broke: the next one asks anew
                gevent.sleep(0.005)
            if link is None or link.heard.number < told.words:
                told.complete = False
            self.feed(convert.held_from(node, told, asked_at))

    def _probe(self, node: int) -> None:
        link = self.links.get(node)
        if link is None or not link.probe():
            self._pending.append(ev.HealthCheckCompleted(node, False, 0))

    # The node list

    def _directory(self) -> Channel:
        limits = Limits(
            keepalive_interval_s=self.config.keepalive_us[0] / 1e6,
            keepalive_timeout_s=self.config.keepalive_us[1] / 1e6,
        )
        return Channel(self.config.directory, limits, self.config.list_silence_us / 2e6)

    def _watch_list(self, revision: int) -> None:
        channel = self._directory()
        try:
            call = open_call(channel, DIRECTORY, "Watch")
            call.send(directory_pb2.WatchRequest(planner=self.position, revision=revision))
            call.close_send()
            while (message := call.recv(self.config.list_silence_us / 1e6)) is not None:
                self.feed(convert.list_from(message))
        except RpcError as error:
            self.log.info("node list out of reach", error=str(error))
        finally:
            channel.close()
        if self._watch is gevent.getcurrent():
            self._watch = None
            self.feed(ev.NodeListFailed())

    def _fetch_list(self) -> None:
        channel = self._directory()
        try:
            request = directory_pb2.ListRequest(planner=self.position)
            timeout = self.config.list_silence_us / 1e6
            told = channel.unary(
                method_path(DIRECTORY, "List"), request, directory_pb2.NodeList.FromString, timeout_s=timeout
            )
        except RpcError as error:
            self.log.info("node list out of reach", error=str(error))
            self.feed(ev.NodeListFailed())
        else:
            self.feed(convert.list_from(told))
        finally:
            channel.close()
