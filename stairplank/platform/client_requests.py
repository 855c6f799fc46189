"""The first table: the requests of clients, from a placement request to the one answer and the one release.
No I/O or clock.

Invariants (tests/platform/test_platform_core.py):

1. A task that was taken gets one answer: it stands, refused, or failed; none once its client has given it up
   or its connection has gone.
2. A task that stands belongs to no connection. Its one release goes out by ``client_sessions``.
3. ``open`` of a connection has the tasks of its own that are open.
4. An id that is open or stands is not taken again, and whoever sends it again does not end the first one's
   wait.
5. A client's wait is cut to its class's deadline: nothing is remembered for longer than that on its word.
6. An id that was withdrawn while an attempt of it may have run, and that may not be repeated, is not placed
   anew: sent again, it is failed at once.

Tables: ``task_table`` has the tasks, ``client_sessions`` the connections.
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
from .validation import InvalidRequest, PlacementRequest, validate_request

SWEEP_US = 250_000
ANSWER_MARGIN_US = 30_000  # the module's deadline is so much before the client's: the answer takes a while
ADOPTED_TIMEOUT_US = 3_600_000_000  # an adopted task of which no machine sent a message is forgotten
ADOPTED_SWEEP_US = 60_000_000


class Attempts(Protocol):
    """What clients' requests need of the attempts at machines."""

    def withdrawn(self, task: Task) -> None: ...
    def release(self, task: Task) -> None: ...
    def is_full(self) -> bool: ...


class Adoption(Protocol):
    """What clients' requests need of the adoption of running tasks."""

    def take(self, task: Task) -> None: ...


class ClientRequests:
    """What clients ask for and what they are owed."""

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
        """Settings and tenants' names from now on; what was taken keeps its wait, class and tenant."""
        self.settings = settings
        self.tenants = tenants

    def start(self) -> None:
        """Answer tests with "ready" from now on."""
        self.ready = True
        self.loop.call_at(self.loop.now + SWEEP_US, self._sweep)
        self.loop.call_at(self.loop.now + ADOPTED_SWEEP_US, self._sweep_adopted)

    # Connections

    def connected(self, event: ev.ClientConnected) -> None:
        """A client has connected."""
        self.sessions.add(event.conn, event.client)

    def hung_up(self, event: ev.ClientHungUp) -> None:
        """A client has closed: it waits for no answer any more; what it sent before may still be received."""
        connection = self.sessions.get(event.conn)
        if connection is not None:
            self._withdraw_open(connection)

    def _withdraw_open(self, connection: ClientConnection) -> None:
        for id in list(connection.open):
            self._withdraw(self.tasks.by_id[id])

    def disconnected(self, event: ev.ClientDisconnected) -> None:
        """A client has disconnected: nobody waits for its open tasks any more."""
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
                self._answer_test(connection, message)
            case Kind.ACKNOWLEDGEMENT:
                self.sessions.acknowledge(connection, message.id)
            case Kind.STATUS_UPDATE if message.id in self.tasks.by_id:
                self.sessions.touch(connection)
            case _:
                self.sessions.unexpected(connection)

    def _answer_test(self, connection: ClientConnection, message: Message) -> None:
        self.sessions.touch(connection)
        answer = Message(Kind.HEALTH_CHECK_RESULT, message.id, cause=1 if self.ready else 0)
        self.loop.emit(ev.SendToClient(connection.number, answer))

    def _placement_requested(
        self, connection: ClientConnection, message: Message, read_at: int, over_limit: bool
    ) -> None:
        try:
            request = validate_request(message, connection.client, self.settings, self.tenants)
        except InvalidRequest:
            self.sessions.reject(connection, message.id, Cause.INVALID, "invalid")
            return
        known = self.tasks.by_id.get(message.id)
        if known is not None:
            self._repeated(connection, known, request, message)
        elif request.at:
            self._adopt(connection, request, message)
        elif message.id in self.tasks.unproven:
            # Danger: the same task again, after its connection broke: taken as new, it would run twice.
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
        """Take a new task and have the decision module place it."""
        task = self._accept(connection, request, message, self._wait_us(request, read_at))
        connection.open[task.id] = None
        self.tasks.count_open(task)
        self.loop.count("taken")
        self.loop.notify_module(api.TaskRequested(task.for_module()))

    def _wait_us(self, request: PlacementRequest, read_at: int) -> int:
        """How long the decision module has for it."""
        # Danger: a wait of weeks would keep a timer for each placement request that was withdrawn long ago.
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

    def _repeated(
        self, connection: ClientConnection, task: Task, request: PlacementRequest, message: Message
    ) -> None:
        """An id that is here already."""
        same = task.client == connection.client and task.request.key == request.key
        same = same and task.fingerprint == _fingerprint(message.body or "")
        here = task.conn == connection.number
        if same and request.at and task.state is TaskState.RUNNING:
            self.sessions.touch(connection)
            self.sessions.reassign(task, connection)
        elif same and not request.at and task.state is TaskState.OPEN and not here:
            self.sessions.touch(connection)  # sent again on a new connection, as the old one broke
            self.sessions.reassign(task, connection)
        elif here and task.state is TaskState.OPEN:
            # Two under one number: the client could not tell whose an answer is.
            self._withdraw(task)
            self.sessions.reject(connection, message.id, Cause.INVALID, "twice")
        elif not here:
            self.sessions.reject(connection, message.id, Cause.INVALID, "taken_id")

    def _adopt(self, connection: ClientConnection, request: PlacementRequest, message: Message) -> None:
        """A task that a machine holds already."""
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
        """Danger: a task that no machine knows would be kept for good."""
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
                self.sessions.unexpected(connection)  # crossed with our own message, or of no use
            return
        self.sessions.touch(connection)
        if task.state is TaskState.OPEN:
            self._withdraw(task)
        elif task.attempt is None:
            self.ended(task, None)  # adopted, and its machine is not listed yet
        else:
            self.attempts.release(task)

    def _withdraw(self, task: Task) -> None:
        """Nobody waits for it any more."""
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
        """Its machine's answer, passed on unchanged."""
        self._no_longer_open(task)
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
        """The decision module refuses a task: its client may come again."""
        task = self.tasks.by_number.get(action.task)
        if task is not None and task.state is TaskState.OPEN:
            fields = {"wait": str(action.retry_after_us // 1000)} if action.retry_after_us else {}
            self._answer(task, PlacementState.SHED, Message(Kind.RELEASE, task.id, fields, int(Cause.BUSY)))

    def fail(self, action: api.Fail) -> None:
        """The decision module fails a task: it may have run."""
        task = self.tasks.by_number.get(action.task)
        if task is not None and task.state is TaskState.OPEN:
            self._answer(task, PlacementState.FAILED, Message(Kind.RELEASE, task.id, cause=int(Cause.RESET)))

    def _answer(self, task: Task, placement_state: PlacementState, message: Message) -> None:
        self.loop.count(placement_state.value)
        number = task.conn
        self._end(task, placement_state)
        # Danger: answered first, a client may come again before its machine hears that this one is given up.
        self.attempts.withdrawn(task)
        self.loop.emit(ev.SendToClient(number, message))

    def ended(self, task: Task, cause: int | None) -> None:
        """A task that stood is over; without a cause its client is owed no message."""
        self._end(task, task.placement_state)
        if cause is not None:
            release = Message(Kind.RELEASE, task.id, cause=cause)
            self.sessions.release(task.conn, task.client, release)

    def migrated(self, task: Task) -> None:
        """It ends, also at its machine, and its client comes again."""
        self._end(task, task.placement_state)
        self.sessions.release(task.conn, task.client, Message(Kind.MIGRATE, task.id))

    def _no_longer_open(self, task: Task) -> None:
        connection = self.sessions.get(task.conn)
        if connection is not None:
            connection.open.pop(task.id, None)
            self.sessions.touch(connection)
        self.tasks.count_answered(task)

    def _end(self, task: Task, placement_state: PlacementState) -> None:
        if task.state is TaskState.OPEN:
            self._no_longer_open(task)
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
