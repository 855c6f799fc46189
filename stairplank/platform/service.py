"""The platform's planner on its sockets: blocking style, a greenlet for each connection. Decides nothing."""

from __future__ import annotations

import errno
import gc
import time
import traceback
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event as Flag

from ..planner.clock import now_us
from ..planner.pulse import Pulse
from ..rpc import address
from . import binary, config, descriptors, jsonlines
from . import events as ev
from .core import Core
from .event_queue import EventQueue
from .logs import log
from .messages import Kind, Unreadable
from .node_list import NodeList
from .node_watch import NodeWatch
from .streams import Stream

BACKLOG = 1024
CLIENT_READ = 16_384  # at once of one connection: a burst of one delays the others by no more than reading it
MACHINE_READ = DRAIN_READ = 65_536
READS = 4  # of one connection in a row: one that sends at full speed would be read for ever, and nobody else
SLICE_S = 0.02  # of turns, before all that has come meanwhile is read: far under the grace that drains have
# A wait between slices. Danger: sleep(0) may come back without a look at the sockets.
POLL_S = 0.001
PARTIAL_S = 2.0  # a message that has begun comes whole by then, or its connection is of no use
LINE_S = 1.0  # the same of a machine's line
CATCH_UP_S = 1.5  # the node list service sends its revision each second
LIST_QUIET_S = 0.1  # it sends at once all later updates: well under the grace that drains have
RELOAD_S, RELOADS = 0.1, 10  # between looks at a file that cannot be used, and how many
LOGGED_US = 1_000_000  # a stall of so long is worth a line
LEAVE_MOST_S = 60.0
LEAVE_CLOSE_S = 0.3
PART_S = 0.2  # for machines to close what we have closed
BEGUN_US = 1_200_000  # after SIGTERM set-ups come for 0.6 s; one that has begun by then is waited for so long
NO_MEANS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})


def clocks() -> tuple[int, int]:
    """Unix time and our own, in microseconds."""
    return time.time_ns() // 1000, now_us()


def receive(sock: Any, most: int, until: float | None) -> bytes:
    """What has come, at most so many bytes. Raises TimeoutError after ``until`` (monotonic, in seconds).

    Danger: after a stall the timer is ready together with the bytes, and the connection would be closed under
    all that is open on it.
    """
    sock.settimeout(None if until is None else max(0.01, until - time.monotonic()))
    try:
        return sock.recv(most)
    except TimeoutError:
        sock.settimeout(0.0)
        try:
            return sock.recv(most)
        except BlockingIOError:
            raise TimeoutError("a message has begun and does not go on") from None


class Service:
    def __init__(self, path: str) -> None:
        self.path = path
        self.config = config.load(path)
        c = self.config
        kinds = tuple(k.name for k in c.settings.kinds)
        self.node_list = NodeList(c.zones, kinds, clocks)
        priced = c.handshake_price > 0
        dial_us = c.dial_timeout_us
        sockets = descriptors.usable(c.sockets, descriptors.process_limit())
        self.core = Core(c.settings, c.fields, c.seed, sockets, dial_us, priced, c.idle_us, c.tenants)
        self.node_watch = NodeWatch(self.node_list, c.board, self.enqueue, self.core.loop.count)
        self.client_streams: dict[int, Stream] = {}
        self.machine_streams: dict[int, Stream] = {}
        self.dialling: dict[int, gevent.Greenlet] = {}
        self.accepted: set[Stream] = set()  # clients' connections, those that are closing included
        # clients hold a third; half is for machines, the rest is ours
        self.client_streams_most = sockets * 2 // 5
        self.where = ""  # it listens there
        self._number = 0
        self._dirty: dict[Stream, None] = {}
        # connections of which the core's turn has something
        self._connections_in_turn: frozenset[int] = frozenset()
        self._event_queue = EventQueue()
        self._turn = Flag()
        self._unwritten: dict[int, set[str]] = {}  # for connections whose loss waits in the event queue
        self.core.survives_faults = True
        self.core.requests.has_unread = self._has_unread
        self.pulse = Pulse(self._event_queue, self._resume_after_stall)
        self._rearm = Flag()
        self._armed: int | None = None
        self._stop = Flag()
        self._stopped_at = 0
        self._reloads = 0

    # Life

    def run(self) -> int:
        """Serve until ``stop``; the exit code."""
        c = self.config
        known = []
        for value in c.known:
            try:
                update, _ = self.node_list.apply(value)
            except (Unreadable, AttributeError) as error:
                raise config.ConfigError(f"known: {error}") from None
            if update is not None:
                known.append(update)
        listener, self.where = address.listen(c.listen, BACKLOG)
        self._execute_all(self.core.start(now_us(), known))
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.pulse.start()
        for loop in (self._turns, self._clock, self.node_watch.run):
            gevent.spawn(loop)
        self._wait_for_node_list()
        accepting = gevent.spawn(self._accept, listener)
        log("serves", name=c.name, listen=self.where, machines=len(self.core.links.machines))
        self._stop.wait()
        log("leaves", open=self.core.requests.open_tasks, standing=len(self.core.requests.tasks))
        self.enqueue(ev.StopRequested(self._stopped_at))
        with gevent.Timeout(LEAVE_MOST_S, False):  # type: ignore[arg-type]
            while not self._is_done():
                self.enqueue(ev.Due())
                gevent.sleep(0.02)
            self._close_machines()
            while not self._is_done():  # a connection that was accepted meanwhile
                gevent.sleep(0.02)
        accepting.kill()
        listener.close()
        # The last answers leave: a plain exit may reset what is under way.
        for number in list(self.client_streams):
            self._end_client(number)
        with gevent.Timeout(LEAVE_CLOSE_S, False):  # type: ignore[arg-type]
            while any(not stream.closed for stream in self.accepted):
                gevent.sleep(0.02)
        log("has left", unusable_entries=self.node_list.unusable_entries, **self.core.counts)
        return 0

    def _is_done(self) -> bool:
        """Danger: what has been read and waits its turn is owed an answer as well, and so is what still lies
        in a socket: the turns look at those until nothing comes."""
        if self._event_queue or not self.core.requests.is_done():
            return False
        # Danger: of a set-up that has begun to come the rest is on its way. When it does harm: one that never
        # comes keeps us, so not for long.
        begun = any(stream.half for stream in self.client_streams.values())
        if begun and now_us() < self.core.requests.leaving_at + BEGUN_US:
            return False
        for _ in range(2):
            gevent.sleep(POLL_S)
            gevent.sleep(0)
        return not self._event_queue and self.core.requests.is_done()

    def _close_machines(self) -> None:
        """Danger: once clients' connections have gone, what a machine reports of a task that stands is
        received here and forwarded to nobody. Sent on no connection, it comes on the next that opens, to the
        next life."""
        self.enqueue(ev.MachinesClosing())
        with gevent.Timeout(PART_S, False):  # type: ignore[arg-type]
            while (
                self._event_queue or self.dialling or any(not s.closed for s in self.machine_streams.values())
            ):
                gevent.sleep(POLL_S)

    def stop(self) -> None:
        self._stopped_at = self._stopped_at or now_us()
        self._stop.set()

    def reload(self) -> None:
        """Take another node list service, if the file names one; a file that cannot be used changes nothing.
        Danger: read as it is being written, it would never be taken; so it is looked at again for a
        second."""
        self._reloads += 1
        mine = self._reloads
        for left in reversed(range(RELOADS)):
            try:
                found = config.board_of(config.read(self.path))
            except config.ConfigError as error:
                if not left:
                    log("configuration not taken", error=str(error))
                    return
                gevent.sleep(RELOAD_S)
                if mine != self._reloads:
                    return  # a later signal looks
            else:
                log("configuration read", board=found)
                self.node_watch.set_address(found)
                return

    # The core

    def enqueue(self, *events: ev.Event) -> None:
        """Have the core take these with its next turns."""
        for event in events:
            self._event_queue.add(event)
        self._turn.set()

    def _turns(self) -> None:
        """Read all that can be read, then handle it in the event queue's order, a slice of time at once.

        Danger: handled as it is read, a burst of set-ups would keep a drain, a machine's last message or
        an adopted task waiting in its socket, and be placed against them.
        """
        while True:
            self._turn.wait()
            self._turn.clear()
            while len(self._event_queue) and not self.pulse.late():
                until = time.monotonic() + SLICE_S
                while (batch := self._event_queue.take()) and self._handle(batch) < until:
                    pass
                if len(self._event_queue):
                    gevent.sleep(POLL_S)
                    gevent.sleep(0)
            self._arm()

    def _handle(self, batch: list[ev.Event], after_stall: bool = False) -> float:
        """One turn of the core, with its actions; the time afterwards."""
        for i, event in enumerate(batch):
            if isinstance(event, ev.LinkLost) and event.link in self._unwritten:
                unsent = event.unsent | self._unwritten.pop(event.link)
                batch[i] = ev.LinkLost(event.link, unsent)
        self._connections_in_turn = frozenset(
            event.conn for event in batch if isinstance(event, ev.ClientMessage)
        )
        self._execute_all(
            (self.core.handle_after_stall if after_stall else self.core.handle)(now_us(), batch)
        )
        self._connections_in_turn = frozenset()
        self._flush()
        return time.monotonic()

    def _arm(self) -> None:
        due = self.core.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._rearm.set()

    def _resume_after_stall(self, stood: int) -> None:
        """The process stood still; what came meanwhile is read by now. New set-ups wait for their slices.

        Danger: hundreds of them placed in one turn are a stall of their own, during which no drain is read.
        """
        events = self._event_queue.take_all(placements=False)
        self.core.loop.count("stood_still")
        if stood > LOGGED_US:
            log("stood still", ms=stood // 1000, came=len(events))
        self._handle(events, after_stall=True)
        self.enqueue(ev.Due())

    def _clock(self) -> None:
        while True:
            due = self.core.next_due()
            self._armed = due
            self._rearm.clear()
            left = None if due is None else max(0, due - now_us()) / 1e6
            if not self._rearm.wait(left):
                self.enqueue(ev.Due())

    def _execute_all(self, actions: list[ev.Action]) -> None:
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                # Danger: a message that cannot be sent would take along all that the turn has still to send.
                self.core.loop.count("faults")
                log("fault", at=traceback.format_exc(limit=-3))

    def _execute(self, action: ev.Action) -> None:
        match action:
            case ev.SendToClient():
                self._put(self.client_streams.get(action.conn), binary.encode(action.message))
            case ev.SendToMachine():
                mark = action.message.id if action.message.kind in (Kind.SET_UP, Kind.TEST) else ""
                stream = self.machine_streams.get(action.link)
                # Danger: kept for one whose loss the core has handled already, it would be kept for good.
                if stream is None and mark and action.link in self.core.links.links:
                    self._unwritten.setdefault(action.link, set()).add(mark)
                self._put(stream, jsonlines.encode(action.message), mark)
                if stream is not None and action.message.kind is Kind.RELEASE:
                    # Danger: left to the turn's end, a set-up that is given up here may be out elsewhere
                    # before this line leaves: connections are written in the order of their first message.
                    stream.flush()
            case ev.CloseClient():
                self._end_client(action.conn)
            case ev.Dial():
                self.dialling[action.link] = gevent.spawn(self._serve_machine, action.link, action.address)
            case ev.CloseLink():
                self._close_link(action.link)
            case ev.WatchNodeList():
                self.node_watch.ensure_connected()
            case ev.Report():
                log(action.event, **action.fields)

    def _put(self, stream: Stream | None, data: bytes, mark: str = "") -> None:
        if stream is not None:
            stream.put(data, mark)
            self._dirty[stream] = None

    def _flush(self) -> None:
        """The messages of one turn to one side leave in one piece."""
        while self._dirty:
            dirty, self._dirty = self._dirty, {}
            for stream in dirty:
                stream.flush()

    def _next(self) -> int:
        self._number += 1
        return self._number

    # Clients

    def _accept(self, listener: Any) -> None:
        while True:
            try:
                sock, peer = listener.accept()
            except OSError as error:
                if error.errno in NO_MEANS:
                    # Danger: out of descriptors, accepting would spin and nothing else would run.
                    self._make_room()
                    gevent.sleep(0.02)
                    continue
                if error.errno in (errno.ECONNABORTED, errno.EPROTO, errno.EINTR):
                    continue
                return
            if len(self.accepted) >= self.client_streams_most and not self._make_room():
                address.abort(sock)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(sock, self._next(), self._client_gone)
            self.accepted.add(stream)
            self.client_streams[stream.number] = stream
            self.enqueue(ev.ClientConnected(stream.number, peer[0]))
            gevent.spawn(self._serve_client, stream)
            # Danger: hundreds come at once, and those that are here would not be read until all are in.
            gevent.sleep(0)

    def _make_room(self) -> bool:
        """Danger: silent connections would keep good clients, machines and the node list service out."""
        number = self.core.requests.idlest_connection()
        stream = self.client_streams.get(number) if number is not None else None
        if stream is None:
            return False
        stream.close(hard=True)
        self.accepted.discard(stream)
        self._client_gone(stream)
        return True

    def _has_unread(self, number: int) -> bool:
        """Whether something of that client waits: read and not handled, begun, or still in its socket.
        Danger: a set-up that lies there would be lost with a connection that is closed as idle, or for
        room."""
        if number in self._connections_in_turn or self._event_queue.has_pending(number):
            return True
        stream = self.client_streams.get(number)
        return stream is not None and (stream.half or stream.is_readable())

    def _serve_client(self, stream: Stream) -> None:
        try:
            self._read_client(stream)
        except (OSError, TimeoutError):
            pass
        finally:
            stream.read_out.set()
            self._end_client(stream.number)
            while not stream.closed:
                gevent.sleep(0.05)
            self.accepted.discard(stream)

    def _read_client(self, stream: Stream) -> None:
        sock, reader, began, reads = stream.sock, binary.Reader(), 0.0, 0
        while not stream.closed:
            waits = reader.waiting and not stream.ending
            data = receive(
                sock, DRAIN_READ if stream.ending else CLIENT_READ, began + PARTIAL_S if waits else None
            )
            if not waits:
                began = time.monotonic()
            if stream.ending:
                if not stream.drained(len(data)):
                    return
            elif not data:
                return
            else:
                try:
                    if messages := reader.feed(data):
                        began = time.monotonic()  # what is left has begun with these bytes
                        self._received(stream, messages)
                except Unreadable as error:
                    self.core.loop.count("unreadable_owners")
                    self._received(stream, error.messages)  # type: ignore[attr-defined]
                    self._end_client(stream.number)
            stream.half = bool(reader.waiting)
            # Danger: one that sends at full speed would be read for ever, and nobody else.
            reads += 1
            if reads % READS == 0:
                gevent.sleep(0)
            # Danger: not read at all while set-ups wait, a client that gives up, or leaves, is not seen to.
            slow = self._event_queue.is_full()
            while (slow or self._event_queue.is_overloaded()) and not stream.ending:
                gevent.sleep(SLICE_S)
                began = time.monotonic()  # the rest of a message may lie unread meanwhile
                slow = False

    def _received(self, stream: Stream, messages: list[Any]) -> None:
        now = now_us()
        self.enqueue(*[ev.ClientMessage(stream.number, message, now) for message in messages])

    def _end_client(self, number: int) -> None:
        stream = self.client_streams.get(number)
        if stream is not None:
            stream.end()
            self._client_gone(stream)

    def _client_gone(self, stream: Stream) -> None:
        if self.client_streams.pop(stream.number, None) is not None:
            self.enqueue(ev.ClientDisconnected(stream.number))

    # Machines

    def _serve_machine(self, link: int, where: str) -> None:
        try:
            sock = address.dial(where, self.config.dial_timeout_us / 1e6)
        except (OSError, TimeoutError, ValueError) as error:
            if self.dialling.pop(link, None) is not None:
                ours = isinstance(error, OSError) and error.errno in NO_MEANS
                self.enqueue(ev.LinkFailed(link, isinstance(error, ConnectionRefusedError), ours))
            return
        if self.dialling.pop(link, None) is None:
            sock.close()
            return
        stream = Stream(sock, link, self._machine_gone, self._may_leave, self._dropped)
        self.machine_streams[link] = stream
        self.enqueue(ev.LinkUp(link))
        lines = jsonlines.Lines()
        began, reads = 0.0, 0
        try:
            while not stream.closed:
                waits = lines.waiting
                data = receive(sock, MACHINE_READ, began + LINE_S if waits else None)
                if not data:
                    break
                bad = False
                try:
                    whole = lines.feed(data)
                    if whole or not waits:
                        began = time.monotonic()  # what is left has begun with these bytes
                except Unreadable as error:
                    whole, bad = error.lines, True  # type: ignore[attr-defined]
                events: list[ev.Event] = []
                try:
                    for line in whole:
                        events.append(ev.MachineMessage(link, jsonlines.decode(line)))
                except Unreadable:
                    bad = True
                self.enqueue(*events)
                if bad:
                    self.core.loop.count("spoilt_links")
                    break
                reads += 1
                if reads % READS == 0:  # else the next read mostly waits, and the others have their turn
                    gevent.sleep(0)
        except (OSError, TimeoutError):
            pass
        finally:
            stream.read_out.set()
            # Danger: notified first, the core would send what was out on it elsewhere while it is still open.
            stream.close()
            self._machine_gone(stream)

    def _machine_gone(self, stream: Stream) -> None:
        if self.machine_streams.pop(stream.number, None) is not None:
            self.enqueue(ev.LinkLost(stream.number, stream.unsent()))

    def _may_leave(self, stream: Stream, mark: str) -> bool:
        return self.core.may_leave(now_us(), stream.number, mark)

    def _dropped(self, stream: Stream, marks: frozenset[str]) -> None:
        self.core.loop.count("taken_out_unsent")
        self.enqueue(ev.Unsent(stream.number, marks))

    def _close_link(self, link: int) -> None:
        dialling = self.dialling.pop(link, None)
        if dialling is not None:
            dialling.kill(block=False)  # its descriptor is free at once
        stream = self.machine_streams.get(link)
        if stream is not None:
            stream.end()

    # The node list

    def _wait_for_node_list(self) -> None:
        """Danger: ``known`` was written before the process had loaded; later updates, drains among them, come
        with the list service's first lines, and a task placed before them may go to a machine that leaves.
        Connections wait unaccepted meanwhile, not longer than the service may be silent: one that never sends
        must not keep a planner out of service.
        """
        until = time.monotonic() + CATCH_UP_S
        while not self._stop.is_set() and (now := time.monotonic()) < until:
            quiet = now - self.node_watch.last_heard if self.node_watch.last_heard else 0.0
            if quiet >= LIST_QUIET_S:
                return
            gevent.sleep(min(LIST_QUIET_S - quiet, until - now))
        self.core.loop.count("began_without_board")
