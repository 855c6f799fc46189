"""Handles clients' requests, from a placement request to its one answer. No I/O or clock.

A task that ran gets one release too.

Invariants (tests/platform/test_platform_core.py):

1. An accepted task gets one answer (placed, shed or failed), or none if its client has cancelled it or has
   disconnected.
2. A running task does not depend on a connection. Its one release is sent by ``client_sessions``.
3. ``ClientConnection.open`` holds the open tasks that were requested on the connection.
4. The id of an open or running task is not accepted a second time, and another client that sends the same id
   does not end the first client's wait.
5. A client's wait is limited to the deadline of its task class, so that a client cannot make the planner
   keep state for longer than that.
6. A task that was withdrawn while one of its attempts may have run, and that must not run twice, is not
   placed again: a new request with its id fails at once.

Tables: ``task_table`` holds the tasks, ``client_sessions`` the connections.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol

from .. import interface as api
from ..planner import admission
from ..planner.abandoned_attempts import PlacementState
from ..planner.event_loop import EventLoop
from . import events as ev
from .client_sessions import ClientConnection, ClientSessions
from .messages import Cause, Kind, Message
from .shutdown import Shutdown
from .tables import TASK_TRANSITIONS, AttemptState, Task, TaskState
from .task_table import TaskTable
from .validation import InvalidRequestError, PlacementRequest, validate_request

SWEEP_US = 250_000
ANSWER_MARGIN_US = 30_000  # from the module's deadline to the client's, for sending the answer
ADOPTED_TIMEOUT_US = 3_600_000_000  # an adopted task without a message from a machine is released
ADOPTED_SWEEP_US = 60_000_000


class Attempts(Protocol):
    """The part of the attempts' interface that client requests use."""

    def withdrawn(self, task: Task) -> None: ...
    def release(self, task: Task) -> None: ...
    def is_full(self) -> bool: ...


class Adoption(Protocol):
    """The part of the adoption's interface that client requests use."""

    def take(self, task: Task) -> None: ...


class ClientRequests:
    """Handles clients' messages and sends their answers and releases."""

    def __init__(
        self,
        loop: EventLoop,
        settings: api.Settings,
        tenants: tuple[str, ...],
        tasks: TaskTable,
        sessions: ClientSessions,
        shutdown: Shutdown,
    ) -> None:
        self.loop = loop
        self.set_settings(settings, tenants)
        self.tasks = tasks
        self.sessions = sessions
        self.shutdown = shutdown
        self.attempts: Attempts
        self.adoption: Adoption
        self.ready = False

    def set_settings(self, settings: api.Settings, tenants: tuple[str, ...]) -> None:
        """Apply changed settings and tenant names; accepted tasks keep their wait, class and tenant."""
        self.settings = settings
        self.tenants = tenants

    def start(self) -> None:
        """Report "ready" to clients' health checks from now on, and start the periodic sweeps."""
        self.ready = True
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self.loop.call_at(self.loop.now + ADOPTED_SWEEP_US, self._sweep_adopted)

    # Connections

    def connected(self, event: ev.ClientConnected) -> None:
        """Register a client that has connected."""
        self.sessions.add(event.conn, event.client)

    def hung_up(self, event: ev.ClientHungUp) -> None:
        """Withdraw the open tasks of a client that has closed its connection.

        Messages that it sent before it closed may still be received.
        """
        connection = self.sessions.get(event.conn)
        if connection is not None:
            self._withdraw_open(connection)

    def _withdraw_open(self, connection: ClientConnection) -> None:
        for id in list(connection.open):
            self._withdraw(self.tasks.by_id[id])

    def disconnected(self, event: ev.ClientDisconnected) -> None:
        """Remove a client's connection, withdraw its open tasks and resend its unacknowledged releases."""
        connection = self.sessions.remove(event.conn)
        if connection is None:
            return
        self._withdraw_open(connection)
        self.sessions.resend_unacknowledged(connection)

    def _sweep(self, _: None) -> None:
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self.tasks.forget_unproven()
        self.sessions.sweep()

    # Messages of clients

    def received(self, event: ev.ClientMessage) -> None:
        """Handle a client's message."""
        connection = self.sessions.get(event.conn)
        if connection is None or connection.closing:
            return
        message = event.message
        match message.kind:
            case Kind.PLACE:
                self._placement_requested(connection, message, event.at, event.over_limit)
            case Kind.RELEASE | Kind.MIGRATE:
                self._cancelled(connection, message, event.cancelled_unhandled)
            case Kind.HEALTH_CHECK:
                self._answer_health_check(connection, message)
            case Kind.ACKNOWLEDGEMENT:
                self.sessions.acknowledge(connection, message.id)
            case Kind.STATUS_UPDATE if message.id in self.tasks.by_id:
                self.sessions.touch(connection)
            case _:
                self.sessions.handle_unexpected(connection)

    def _answer_health_check(self, connection: ClientConnection, message: Message) -> None:
        self.sessions.touch(connection)
        answer = Message(Kind.HEALTH_CHECK_RESULT, message.id, cause=1 if self.ready else 0)
        self.loop.emit(ev.SendToClient(connection.number, answer))

    def _placement_requested(
        self, connection: ClientConnection, message: Message, read_at: int, over_limit: bool
    ) -> None:
        try:
            request = validate_request(message, connection.client, self.settings, self.tenants)
        except InvalidRequestError:
            self.sessions.reject(connection, message.id, Cause.INVALID, "invalid")
            return
        known = self.tasks.by_id.get(message.id)
        if known is not None:
            self._handle_repeated_id(connection, known, request, message)
        elif request.at:
            self._adopt(connection, request, message)
        elif message.id in self.tasks.unproven:
            # A task that may have run before its connection broke would run twice if it were accepted as new.
            self.sessions.reject(connection, message.id, Cause.RESET, "unproven")
        elif over_limit or not self._has_capacity(connection.client, message):
            self.sessions.reject(connection, message.id, Cause.BUSY, "full", admission.BUSY_RETRY_US)
        else:
            self._open(connection, request, message, read_at)

    def _has_capacity(self, client: str, message: Message) -> bool:
        if self.shutdown.rejects_requests() or self.attempts.is_full():
            return False
        return self.tasks.has_capacity(client, len(message.body or ""))

    def _open(
        self, connection: ClientConnection, request: PlacementRequest, message: Message, read_at: int
    ) -> None:
        """Accept a new task and request its placement from the decision module."""
        task = self._accept(connection, request, message, self._wait_us(request, read_at))
        connection.open[task.id] = None
        self.tasks.count_open(task)
        self.loop.count("taken")
        self.loop.notify_module(api.TaskRequested(task.for_module()))

    def _wait_us(self, request: PlacementRequest, read_at: int) -> int:
        """Return how long the decision module may take to place a task."""
        # Without the limit to the class's deadline, a client that requests a wait of weeks and then cancels
        # would leave a timer in the planner for weeks.
        wait = min(request.wait_us, self.settings.classes[request.class_index].deadline_us)
        wait -= min(ANSWER_MARGIN_US, wait // 10)
        if read_at:
            wait -= max(0, self.loop.now - read_at)
        return self.shutdown.shortened(wait)

    def _accept(
        self, connection: ClientConnection, request: PlacementRequest, message: Message, wait_us: int
    ) -> Task:
        self.sessions.touch(connection)
        body = message.body or ""
        task = Task(
            number=self.loop.next_number(),
            id=message.id,
            client=connection.client,
            conn=connection.number,
            request=request,
            body=body,
            expires_at=self.loop.now + wait_us,
            fingerprint=_fingerprint(body),
        )
        self.tasks.add(task)
        return task

    def _handle_repeated_id(
        self, connection: ClientConnection, task: Task, request: PlacementRequest, message: Message
    ) -> None:
        """Handle a placement request with the id of a task that is open or running."""
        is_same = task.client == connection.client and task.request.key == request.key
        is_same = is_same and task.fingerprint == _fingerprint(message.body or "")
        is_same_connection = task.conn == connection.number
        if is_same and request.at and task.state is TaskState.RUNNING:
            self.sessions.touch(connection)
            self.sessions.reassign(task, connection)
        elif is_same and not request.at and task.state is TaskState.OPEN and not is_same_connection:
            # The client repeats its request on a new connection because the old one broke.
            self.sessions.touch(connection)
            self.sessions.reassign(task, connection)
        elif is_same_connection and task.state is TaskState.OPEN:
            # With two open tasks under one id, the client could not tell which one an answer is for.
            self._withdraw(task)
            self.sessions.reject(connection, message.id, Cause.INVALID, "twice")
        elif not is_same_connection:
            self.sessions.reject(connection, message.id, Cause.INVALID, "taken_id")

    def _adopt(self, connection: ClientConnection, request: PlacementRequest, message: Message) -> None:
        """Adopt a task that already runs on a machine; with a full task table, send its release instead."""
        if self.tasks.is_full():
            self.sessions.touch(connection)
            release = Message(Kind.RELEASE, message.id, cause=int(Cause.RESET))
            self.sessions.send_release(connection, release)
            return
        task = self._accept(connection, request, message, request.wait_us)
        task.state, task.placement_state, task.attempt_count, task.body = (
            TaskState.RUNNING,
            PlacementState.PLACED,
            1,
            "",
        )
        connection.running_count += 1
        self.loop.count("adopted")
        self.adoption.take(task)

    def _sweep_adopted(self, _: None) -> None:
        """Release adopted tasks whose timeout has passed.

        Without the sweep, a task that no machine knows would stay in the table forever.
        """
        self.loop.call_at(self.loop.now + ADOPTED_SWEEP_US, self._sweep_adopted)
        oldest = self.loop.now - ADOPTED_TIMEOUT_US
        for task in list(self.tasks.by_id.values()):
            is_adopted = task.state is TaskState.RUNNING and task.request.at
            if is_adopted and task.attempt is not None and task.attempt.started_at < oldest:
                self.attempts.release(task)

    def _cancelled(self, connection: ClientConnection, message: Message, cancelled_unhandled: bool) -> None:
        task = self.tasks.by_id.get(message.id)
        if cancelled_unhandled:
            self.sessions.touch(connection)
            self.loop.count("cancelled_unhandled")
        if task is None or task.client != connection.client:
            if not connection.last_received_at:
                # The cancellation crossed with the task's release, or its id names no task of this client.
                self.sessions.handle_unexpected(connection)
            return
        self.sessions.touch(connection)
        if task.state is TaskState.OPEN:
            self._withdraw(task)
        elif task.attempt is None:
            self.ended(task, None)  # an adopted task whose machine is not listed yet has no attempt
        else:
            self.attempts.release(task)

    def _withdraw(self, task: Task) -> None:
        """End an open task whose client no longer waits for an answer."""
        self.loop.count("withdrawn")
        is_sent = task.attempt is not None and task.attempt.state is AttemptState.SENT
        effect = self.settings.classes[task.request.class_index].effect
        if effect is not api.Effect.IDEMPOTENT and (is_sent or not task.is_proven_not_run):
            self.tasks.remember_unproven(task.id)
        self._end(task, PlacementState.FAILED)
        self.loop.notify_module(api.TaskCancelled(task.number))
        self.attempts.withdrawn(task)

    # Messages to clients

    def placed(self, task: Task, body: str) -> None:
        """Mark a task as running and forward its machine's answer to the client, unchanged."""
        self._leave_open(task)
        task.state, task.placement_state = (
            self.loop.transition(TASK_TRANSITIONS, task.state, "accepted"),
            PlacementState.PLACED,
        )
        connection = self.sessions.get(task.conn)
        if connection is not None:
            connection.running_count += 1
        self.loop.count("placed")
        self.loop.emit(ev.SendToClient(task.conn, Message(Kind.ANSWER, task.id, body=body)))

    def shed(self, action: api.Shed) -> None:
        """Answer a task that the decision module sheds: its client may retry."""
        task = self.tasks.by_number.get(action.task)
        if task is not None and task.state is TaskState.OPEN:
            fields = {"wait": str(action.retry_after_us // 1000)} if action.retry_after_us else {}
            self._answer(task, PlacementState.SHED, Message(Kind.RELEASE, task.id, fields, int(Cause.BUSY)))

    def fail(self, action: api.Fail) -> None:
        """Answer a task that the decision module fails because it may have run."""
        task = self.tasks.by_number.get(action.task)
        if task is not None and task.state is TaskState.OPEN:
            self._answer(task, PlacementState.FAILED, Message(Kind.RELEASE, task.id, cause=int(Cause.RESET)))

    def _answer(self, task: Task, placement_state: PlacementState, message: Message) -> None:
        self.loop.count(placement_state.value)
        number = task.conn
        self._end(task, placement_state)
        # If the client were answered first, its retry could reach the machine before the machine is notified
        # that this attempt is abandoned.
        self.attempts.withdrawn(task)
        self.loop.emit(ev.SendToClient(number, message))

    def ended(self, task: Task, cause: int | None) -> None:
        """End a running task. Its client is sent a release with ``cause``, or nothing if that is None."""
        self._end(task, task.placement_state)
        if cause is not None:
            release = Message(Kind.RELEASE, task.id, cause=cause)
            self.sessions.release(task.conn, task.client, release)

    def migrated(self, task: Task) -> None:
        """End a running task here and send its client a migrate message; the client requests it again."""
        self._end(task, task.placement_state)
        self.sessions.release(task.conn, task.client, Message(Kind.MIGRATE, task.id))

    def _leave_open(self, task: Task) -> None:
        """Remove a task from the open tasks of its connection and of the table."""
        connection = self.sessions.get(task.conn)
        if connection is not None:
            connection.open.pop(task.id, None)
            self.sessions.touch(connection)
        self.tasks.count_answered(task)

    def _end(self, task: Task, placement_state: PlacementState) -> None:
        if task.state is TaskState.OPEN:
            self._leave_open(task)
        else:
            connection = self.sessions.get(task.conn)
            if connection is not None:
                connection.running_count -= 1
        task.state, task.placement_state = (
            self.loop.transition(TASK_TRANSITIONS, task.state, "ended"),
            placement_state,
        )
        self.tasks.remove(task)


def _fingerprint(body: str) -> bytes:
    return blake2b(body.encode(), digest_size=8).digest()
