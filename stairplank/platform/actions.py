"""Carries out the core's actions: sends messages, opens and closes connections, writes log lines."""

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

# The core is notified if a message of these kinds is not written completely.
TRACKED_KINDS = (Kind.PLACE, Kind.HEALTH_CHECK)


# Reports after which the last events are written to the log.
INCIDENTS = frozenset({"machine lost", "process replaced", "fault"})


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
        """Create an executor for these connections.

        ``confirm_settings`` is called with a change of settings once the core has applied it.
        """
        self._core = core
        self._clients = clients
        self._machines = machines
        self._node_watch = node_watch
        self._confirm_settings = confirm_settings
        self.on_incident: Callable[[str], None] = lambda _event: None
        self._unflushed: dict[Stream, None] = {}  # in the order of their first message

    def with_unsent(self, events: list[ev.Event]) -> list[ev.Event]:
        """Return the events; the unsent ids of a lost link include messages sent after its socket closed."""
        return [
            self._machines.with_unsent(event) if isinstance(event, ev.LinkLost) else event for event in events
        ]

    def execute_all(self, actions: list[ev.Action]) -> None:
        """Carry out actions in order. An action that fails is logged and does not stop the others."""
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # noqa: BLE001 - a failed action must not stop the other actions
                # Without this, one message that cannot be sent would lose the turn's remaining messages.
                self._core.loop.count("faults")
                log("fault", at=traceback.format_exc(limit=-3))

    def flush(self) -> None:
        """Write the messages of a turn, those for one peer in a single write."""
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
                if action.event in INCIDENTS:
                    self.on_incident(action.event)

    def _send_to_machine(self, action: ev.SendToMachine) -> None:
        message = action.message
        mark = message.id if message.kind in TRACKED_KINDS else ""
        stream = self._machines.stream_for(action.link, mark)
        self._write(stream, jsonlines.encode(message), mark)
        if stream is not None and message.kind is Kind.RELEASE:
            # Connections are flushed in the order of their first message. If the release waited for the end
            # of the turn, the task's next attempt could be sent to another machine before this release.
            stream.flush()

    def _write(self, stream: Stream | None, data: bytes, mark: str = "") -> None:
        if stream is not None:
            stream.put(data, mark)
            self._unflushed[stream] = None
