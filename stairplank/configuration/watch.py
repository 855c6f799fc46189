"""A planner's streams to the replicas of the configuration service. What is fetched, checked and taken is
decided by ``follower``; how a text is checked and put into force is the planner's.

What bounds the time until a revision is in force: an announcement leaves a replica at the commit; a stream
that is silent for ``SILENT_S`` is dialled anew, at most ``REDIAL_MOST_S`` after a dial that failed; a fetch
that is not answered goes to another replica after ``follower.FETCH_US``.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Generic, TypeVar

import gevent
import structlog

from ..planner.clock import now_us
from ..proto import configuration_pb2 as pb
from ..proto import open_call
from ..rpc import Call, Channel, Limits, RpcError
from . import files
from .convert import SERVICE, revision_from, revision_to
from .follower import Action, Apply, Check, Fetch, Follower, Report
from .revision import TEXT_MOST, Revision
from .server import HEARTBEAT_S
from .store import Stored

SILENT_S = 2.5 * HEARTBEAT_S
DIAL_S = 1.0
REDIAL_S, REDIAL_MOST_S = 0.1, 2.0
Checked = TypeVar("Checked")


class NotTaken(Exception):
    """A revision cannot come into force now; the text says why. ``at_start``: a restart would take it."""

    def __init__(self, reason: str, at_start: bool = False) -> None:
        super().__init__(reason)
        self.at_start = at_start


class ConfigurationWatch(Generic[Checked]):
    """``check`` reads a text in a thread and raises NotTaken; ``apply`` puts its result into force."""

    def __init__(
        self,
        replicas: tuple[str, ...],
        planner: int,
        life: int,
        check: Callable[[str, Revision], Checked],
        apply: Callable[[Checked], None],
        copy_file: Path | None = None,
        in_force: Revision = Revision(),  # noqa: B008 - frozen
    ) -> None:
        self.replicas = replicas
        self.planner = planner
        self.life = life
        self.check = check
        self.apply = apply
        self.copy_file = copy_file
        self.follower = Follower(in_force)
        self.log = structlog.get_logger("configuration").bind(planner=planner)
        self._calls: dict[str, Call] = {}
        self._checked: tuple[Revision, Checked, str] | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._timer: gevent.Greenlet | None = None
        self._copy_wanted: Stored | None = None
        self._writing_copy = False

    def start(self) -> None:
        """Follow every replica, each on a stream of its own."""
        self._greenlets = [gevent.spawn(self._follow, replica) for replica in self.replicas]

    def stop(self) -> None:
        """Close the streams."""
        gevent.killall(self._greenlets, block=False)
        if self._timer is not None:
            self._timer.kill(block=False)

    # Streams

    def _follow(self, replica: str) -> None:
        wait = REDIAL_S
        while True:
            heard = self._stream(replica)
            wait = REDIAL_S if heard else min(2 * wait, REDIAL_MOST_S)
            gevent.sleep(wait)

    def _stream(self, replica: str) -> bool:
        """One connection until it ends; whether anything was heard on it."""
        limits = Limits(max_message_bytes=2 * TEXT_MOST)
        channel = Channel(replica, limits, DIAL_S)
        heard = False
        try:
            call = open_call(channel, SERVICE, "Follow")
            call.send(pb.FollowRequest(hello=pb.FollowRequest.Hello(planner=self.planner, life=self.life)))
            self._calls[replica] = call
            self._carry_out(self.follower.connected(now_us(), replica))
            while (message := call.recv(SILENT_S)) is not None:
                heard = True
                self._take(replica, message)
        except RpcError as error:
            self.log.debug("configuration replica out of reach", replica=replica, error=str(error))
        finally:
            channel.close()
            if self._calls.pop(replica, None) is not None:
                self._carry_out(self.follower.lost(now_us(), replica))
        return heard

    def _take(self, replica: str, message: Any) -> None:
        match message.WhichOneof("kind"):
            case "announcement":
                revision = revision_from(message.announcement)
                self._carry_out(self.follower.announced(now_us(), replica, revision))
            case "text":
                text = message.text
                revision = revision_from(text.revision)
                self._carry_out(self.follower.text_arrived(now_us(), replica, revision, text.text))

    def _arm(self) -> None:
        """Danger: without it a fetch that nobody answers would never go to another replica."""
        due = self.follower.next_due()
        if due is not None and self._timer is None:
            self._timer = gevent.spawn_later(max(0, due - now_us()) / 1e6, self._pass_time)

    def _pass_time(self) -> None:
        self._timer = None
        self._carry_out(self.follower.pass_time(now_us()))

    # Actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self._send(action.replica, pb.FollowRequest(fetch=revision_to(action.revision)))
                case Check():
                    gevent.spawn(self._check, action)
                case Apply():
                    self._apply(action.revision)
                case Report():
                    self._send(action.replica, pb.FollowRequest(report=_report_to(action)))
        self._arm()

    def _send(self, replica: str, message: Any) -> None:
        call = self._calls.get(replica)
        if call is None:
            return
        try:
            call.try_send(message)
        except RpcError:
            pass  # the stream's reader hears of its end

    def _check(self, action: Check) -> None:
        revision = action.revision
        try:
            # Danger: read in the event loop, a long text would keep answers and drains waiting.
            checked = gevent.get_hub().threadpool.apply(self.check, (action.text, revision))
        except NotTaken as error:
            if error.at_start:
                self._keep_copy(Stored(revision, action.text))
            self.log.warning("configuration not taken", revision=str(revision), reason=str(error))
            self._carry_out(self.follower.refused(now_us(), revision, str(error)))
        else:
            self._checked = (revision, checked, action.text)
            self._carry_out(self.follower.accepted(now_us(), revision))

    def _apply(self, revision: Revision) -> None:
        assert self._checked is not None and self._checked[0] == revision
        _, checked, text = self._checked
        self._checked = None
        self.apply(checked)
        self._keep_copy(Stored(revision, text))
        self.log.info("configuration in force", revision=str(revision))

    def _keep_copy(self, stored: Stored) -> None:
        """For the next start. Danger: without it a planner that starts while no replica can be reached would
        go back to its own file."""
        self._copy_wanted = stored
        if self.copy_file is not None and not self._writing_copy:
            self._writing_copy = True
            gevent.spawn(self._write_copies, self.copy_file)

    def _write_copies(self, copy_file: Path) -> None:
        """Danger: written by two threads at once, an older copy could be the one that stays."""
        try:
            while self._copy_wanted is not None:
                stored, self._copy_wanted = self._copy_wanted, None
                gevent.get_hub().threadpool.apply(files.write_copy, (copy_file, stored))
        except files.FileError as error:
            self.log.error("copy of the configuration not written", error=str(error))
        finally:
            self._writing_copy = False


def _report_to(report: Report) -> Any:
    return pb.FollowRequest.Report(
        in_force=revision_to(report.in_force),
        rejected=revision_to(report.rejected),
        reason=report.reason,
    )
