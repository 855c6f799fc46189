"""Carries out the core's actions on the connections: messages, dials, closes, log lines."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from . import binary, jsonlines
from . import events as ev
from .client_connections import ClientConnections
from .core import Core
from .logs import log
from .machine_connections import MachineConnections
from .messages import Kind
from .node_watch import NodeWatch
from .streams import Stream

TRACKED_KINDS = (Kind.PLACE, Kind.HEALTH_CHECK)  # the core is notified where these are not written completely


class ActionExecutor:
    """Carries out actions in order; messages are buffered until ``flush``."""

    def __init__(
        self,
        core: Core,
        clients: ClientConnections,
        machines: MachineConnections,
        node_watch: NodeWatch,
        confirm_settings: Callable[[ev.SettingsChanged], None],
    ) -> None:
        """Act on these connections; ``confirm_settings`` is called once the core runs by changed settings."""
        self._core = core
        self._clients = clients
        self._machines = machines
        self._node_watch = node_watch
        self._confirm_settings = confirm_settings
        self._unflushed: dict[Stream, None] = {}  # in the order of their first message

    def with_unsent(self, events: list[ev.Event]) -> list[ev.Event]:
        """Return these events, where a lost link also names the messages that found it closed."""
        return [
            self._machines.with_unsent(event) if isinstance(event, ev.LinkLost) else event for event in events
        ]

    def execute_all(self, actions: list[ev.Action]) -> None:
        """Carry out actions; one that fails is logged."""
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # noqa: BLE001 - whatever the fault is, the other actions are carried out
                # Danger: with a message that cannot be sent, the rest of what the turn sends would be lost.
                self._core.loop.count("faults")
                log("fault", at=traceback.format_exc(limit=-3))

    def flush(self) -> None:
        """Write what a turn has sent: the messages to one peer in one piece."""
        while self._unflushed:
            streams = self._unflushed
            self._unflushed = {}
            for stream in streams:
                stream.flush()

    def _execute(self, action: ev.Action) -> None:
        match action:
            case ev.SendToClient():
                self._write(self._clients.streams.get(action.conn), binary.encode(action.message))
            case ev.SendToMachine():
                self._send_to_machine(action)
            case ev.CloseClient():
                self._clients.close(action.conn)
            case ev.Dial():
                self._machines.dial(action.link, action.address)
            case ev.CloseLink():
                self._machines.close(action.link)
            case ev.SettingsInForce():
                self._machines.set_dial_timeout(action.change.dial_timeout_us)
                self._confirm_settings(action.change)
            case ev.WatchNodeList():
                self._node_watch.ensure_connected()
            case ev.Report():
                log(action.event, **action.fields)

    def _send_to_machine(self, action: ev.SendToMachine) -> None:
        message = action.message
        mark = message.id if message.kind in TRACKED_KINDS else ""
        stream = self._machines.stream_for(action.link, mark)
        self._write(stream, jsonlines.encode(message), mark)
        if stream is not None and message.kind is Kind.RELEASE:
            # Danger: left to the turn's end, a placement request that is cancelled here may be sent elsewhere
            # before this line is: connections are written in the order of their first message.
            stream.flush()

    def _write(self, stream: Stream | None, data: bytes, mark: str = "") -> None:
        if stream is not None:
            stream.put(data, mark)
            self._unflushed[stream] = None
