"""Which process at a machine's address a connection leads to, and a task runs in. No I/O or clock.

An address outlives the process that listens there: a machine may vanish with its tasks, and another process
may answer at its address before the node list says so. What is observed on a connection therefore proves
something about the process that accepted this connection (its *incarnation*), and nothing about others:

- A message on a connection: the process that accepted this connection was alive.
- A reply to a request that was written after a newer connection came up: that process holds the address,
  so the newer connection leads to it too.
- A message about a running task on a newer connection: its process runs the task, so it is the same one.
- A refused dial while no connection is up: no process listens; the one that did has ended with its tasks.
- A connection that came up: some process listens, but not which one.
- A connection that was closed or reset: nothing, as the machine may have forgotten it.
- Silence on a connection after a health check, while a newer one is answered: the old process is gone.

While a connection of the current incarnation is up, a newer connection belongs to a *candidate* incarnation
until one of the proofs above merges the two. Invariants (tests/platform/test_platform_machine_lives.py):

1. A task belongs to the incarnation of the connection that it was written on, an adopted task to the current
   one. Tasks of an incarnation that is gone are released; those of the candidate stay.
2. The last connection of an incarnation with running tasks is not closed for an overdue answer: it is the
   only one on which the process can show that it is still there.
3. Without a candidate and without a sign that the process has ended, a new connection continues the
   incarnation.
"""

from __future__ import annotations

from typing import Protocol

from ..planner.event_loop import EventLoop
from .messages import Kind, Message
from .tables import Attempt, AttemptState, Link, Machine, OutboundRequest

ANSWER_TIME_US = 500_000  # how long the old process may take to answer once a newer connection is answered


class Attempts(Protocol):
    """The methods of the attempts at machines that incarnations use."""

    def at(self, machine: int) -> list[Attempt]: ...
    def find(self, machine: int, task_id: str) -> Attempt | None: ...


class Incarnations:
    """Tells the processes at each machine's address apart."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.attempts: Attempts

    # Queries

    @staticmethod
    def members(machine: Machine) -> list[Link]:
        """Return the connections that are up and lead to the current incarnation."""
        return [link for link in machine.links_up() if link.incarnation == machine.process.incarnation]

    def is_last_member(self, machine: Machine, link: Link) -> bool:
        """Return whether the connection is the only one to an incarnation with running tasks."""
        return machine.running_count > 0 and self.members(machine) == [link]

    def witness(self, machine: Machine) -> Link | None:
        """Return the connection on which to check the current incarnation, or None if none is up."""
        members = self.members(machine)
        return max(members, key=lambda link: (not link.is_suspect, link.opened_at), default=None)

    def is_gone(self, machine: Machine, patience_us: int, report_due_us: int) -> bool:
        """Return whether the current incarnation is gone, and the candidate is another process.

        Args:
            machine: A machine with running tasks.
            patience_us: How long a check on a sound connection may stay unanswered.
            report_due_us: How long after its last message an incarnation without proof counts as gone.
        """
        process = machine.process
        if not process.candidate or not process.candidate_heard_at:
            return False
        silent_until = process.heard_at + report_due_us
        if process.checked_at and process.is_witness_sound:
            silent_until = min(silent_until, process.checked_at + patience_us)
        answered_until = max(process.candidate_heard_at, process.checked_at) + ANSWER_TIME_US
        return self.loop.now >= max(silent_until, answered_until)

    # Events

    def link_up(self, machine: Machine, link: Link) -> bool:
        """Assign a new connection to an incarnation. Return whether the current one is proven to have ended.

        Called before the record of failed dials is cleared.
        """
        process = machine.process
        members = [other for other in self.members(machine) if other is not link]
        if machine.running_count and machine.refused_since and not members:
            self._begin_candidate(machine, link, members)
            return True
        if process.candidate and machine.running_count:
            link.incarnation = process.candidate
        elif machine.running_count and (members or machine.failing_since):
            self._begin_candidate(machine, link, members)
        else:
            self._merge(machine)
            link.incarnation = process.incarnation
            process.heard_at = self.loop.now
            process.checked_at = 0
        return False

    def _begin_candidate(self, machine: Machine, link: Link, members: list[Link]) -> None:
        process = machine.process
        process.candidate = self.loop.next_number()
        process.candidate_up_at = self.loop.now
        process.candidate_heard_at = 0
        process.is_after_gap = bool(machine.failing_since or machine.refused_since)
        link.incarnation = process.candidate
        for member in members:
            member.proof_after = member.write_count

    def received(
        self, machine: Machine, link: Link, message: Message, request: OutboundRequest | None
    ) -> None:
        """Note a message from a machine; ``request`` is the outstanding request that it replies to."""
        process = machine.process
        if link.incarnation == process.incarnation:
            process.heard_at = self.loop.now
            process.checked_at = 0
            if process.candidate and _written(link, message, request) > link.proof_after:
                self._merge(machine)
        elif link.incarnation == process.candidate:
            process.candidate_heard_at = process.candidate_heard_at or self.loop.now
            if self._names_own_task(machine, message):
                self._merge(machine)

    def _names_own_task(self, machine: Machine, message: Message) -> bool:
        """Return whether a message shows that its sender runs a task of the current incarnation."""
        if message.kind not in (Kind.ANSWER, Kind.RELEASE, Kind.STATUS_UPDATE):
            return False
        attempt = self.attempts.find(machine.id, message.id)
        if attempt is None or attempt.incarnation != machine.process.incarnation:
            return False
        return attempt.state in (AttemptState.RUNNING, AttemptState.ABANDONED)

    def link_closed(self, machine: Machine) -> None:
        """Note that a connection was closed or lost; the machine's table no longer has it.

        If the last member was reset or closed by the machine, nothing speaks against the candidate: the
        machine may have forgotten the connection. After failed dials the candidate stays unproven.
        """
        process = machine.process
        if process.candidate and not process.is_after_gap and not self.members(machine):
            self._merge(machine)

    def _merge(self, machine: Machine) -> None:
        """Note that the candidate and the current incarnation are one."""
        process = machine.process
        if not process.candidate:
            return
        self._reassign(machine, process.candidate, process.incarnation)
        process.heard_at = max(process.heard_at, process.candidate_heard_at, process.candidate_up_at)
        process.candidate = process.checked_at = 0
        process.is_after_gap = False

    def _reassign(self, machine: Machine, old: int, new: int) -> None:
        for link in machine.links.values():
            if link.incarnation == old:
                link.incarnation = new
        for attempt in self.attempts.at(machine.id):
            if attempt.incarnation == old:
                attempt.incarnation = new

    def checked(self, machine: Machine, witness: Link) -> None:
        """Note that a health check is written on a connection of the current incarnation."""
        process = machine.process
        if not process.checked_at:
            process.checked_at = self.loop.now
            process.is_witness_sound = not witness.is_suspect

    def replaced(self, machine: Machine) -> int:
        """Make the candidate the current incarnation; return the number of the one that is gone."""
        process = machine.process
        gone, process.incarnation = process.incarnation, process.candidate or self.loop.next_number()
        process.heard_at = max(process.candidate_heard_at, process.candidate_up_at) or self.loop.now
        process.candidate = process.checked_at = 0
        process.is_after_gap = False
        return gone

    def restarted(self, machine: Machine, started_at: int) -> None:
        """Begin a new incarnation after the node list has named a start: older connections lead nowhere."""
        gone = self.replaced(machine)
        process = machine.process
        for link in machine.links.values():
            if link.incarnation == gone and link.opened_at >= started_at:
                link.incarnation = process.incarnation
        for attempt in self.attempts.at(machine.id):
            if attempt.incarnation == gone and attempt.started_at >= started_at:
                attempt.incarnation = process.incarnation


def _written(link: Link, message: Message, request: OutboundRequest | None) -> int:
    """Return the position of the request that a message replies to, or 0 if it replies to none.

    A reply to a health check proves the same if it comes after the check's time.
    """
    if request is not None:
        return request.write_number
    return link.last_check_number if message.id == link.last_check_id else 0
