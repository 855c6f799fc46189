"""Runs a planner's streams to the replicas of the configuration service.

``follower`` decides what is fetched, checked and applied; the planner itself checks a text and puts it into
force.

The time until a revision is in force is bounded as follows. A replica announces a revision when it commits
it. A stream without messages for ``SILENCE_TIMEOUT_S`` is reconnected, at most ``MAX_RECONNECT_DELAY_S``
after a failed attempt. A fetch that is not answered goes to another replica after
``follower.FETCH_TIMEOUT_US``.
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
from . import state_files
from .convert import SERVICE, revision_from_message, revision_to_message
from .errors import RevisionRejectedError, StateFileError
from .follower import Action, ApplyRevision, CheckText, FetchText, Follower, SendReport
from .revision import MAX_TEXT_BYTES, NO_REVISION, Revision
from .server import HEARTBEAT_INTERVAL_S
from .store import RevisionText

SILENCE_TIMEOUT_S = 2.5 * HEARTBEAT_INTERVAL_S
DIAL_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1  # delay after a connection that received messages; doubles after each without
MAX_RECONNECT_DELAY_S = 2.0
Checked = TypeVar("Checked")


class ConfigurationWatch(Generic[Checked]):
    """Follows the replicas, checks each newer revision and puts it into force.

    ``check`` parses a text in a thread or raises RevisionRejectedError; ``apply`` puts the result into
    force.
    """

    def __init__(
        self,
        replicas: tuple[str, ...],
        planner: int,
        incarnation: int,
        check: Callable[[str, Revision], Checked],
        apply: Callable[[Checked], None],
        cache_file: Path | None = None,
        in_force: Revision = NO_REVISION,
    ) -> None:
        """Create the watch; ``start`` opens its streams.

        Args:
            replicas: Addresses of the configuration service.
            planner: Position of this planner among the planners of the site.
            incarnation: Identity of this planner's process.
            check: Parses and checks a text, in a thread. Raises RevisionRejectedError.
            apply: Puts the result of a check into force.
            cache_file: File that keeps the revision for the next start; None for no file.
            in_force: The revision that the planner has started with.
        """
        self.replicas = replicas
        self.planner = planner
        self.incarnation = incarnation
        self.check = check
        self.apply = apply
        self.cache_file = cache_file
        self.follower = Follower(in_force)
        self.log = structlog.get_logger("configuration").bind(planner=planner)
        self._calls: dict[str, Call] = {}
        self._checked: tuple[Revision, Checked, str] | None = None
        self._greenlets: list[gevent.Greenlet[..., Any]] = []
        self._timer: gevent.Greenlet[..., Any] | None = None
        self._uncached: RevisionText | None = None
        self._is_writing_cache = False

    def start(self) -> None:
        """Open a separate stream to every replica."""
        self._greenlets = [gevent.spawn(self._follow, replica) for replica in self.replicas]

    def stop(self) -> None:
        """Close the streams."""
        gevent.killall(self._greenlets, block=False)
        if self._timer is not None:
            self._timer.kill(block=False)

    # Streams

    def _follow(self, replica: str) -> None:
        backoff_s = RECONNECT_DELAY_S
        while True:
            received_any = self._run_stream(replica)
            backoff_s = RECONNECT_DELAY_S if received_any else min(2 * backoff_s, MAX_RECONNECT_DELAY_S)
            gevent.sleep(backoff_s)

    def _run_stream(self, replica: str) -> bool:
        """Run one connection until it ends; return whether any message was received on it."""
        limits = Limits(max_message_bytes=2 * MAX_TEXT_BYTES)
        channel = Channel(replica, limits, DIAL_TIMEOUT_S)
        received_any = False
        try:
            call = open_call(channel, SERVICE, "Follow")
            call.send(
                pb.FollowRequest(hello=pb.FollowRequest.Hello(planner=self.planner, life=self.incarnation))
            )
            self._calls[replica] = call
            self._execute(self.follower.on_connected(now_us(), replica))
            while (message := call.recv(SILENCE_TIMEOUT_S)) is not None:
                received_any = True
                self._handle_message(replica, message)
        except RpcError as error:
            self.log.debug("configuration replica out of reach", replica=replica, error=str(error))
        finally:
            channel.close()
            if self._calls.pop(replica, None) is not None:
                self._execute(self.follower.on_connection_lost(now_us(), replica))
        return received_any

    def _handle_message(self, replica: str, message: Any) -> None:
        match message.WhichOneof("kind"):
            case "announcement":
                revision = revision_from_message(message.announcement)
                self._execute(self.follower.on_announced(now_us(), replica, revision))
            case "text":
                text = message.text
                revision = revision_from_message(text.revision)
                self._execute(self.follower.on_text_received(now_us(), replica, revision, text.text))

    def _arm_timer(self) -> None:
        """Start a timer for the follower's next ``on_timer`` call.

        Without it, a fetch that no replica answers would never go to another one.
        """
        due = self.follower.next_timer()
        if due is not None and self._timer is None:
            self._timer = gevent.spawn_later(max(0, due - now_us()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self.follower.on_timer(now_us()))

    # Actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case FetchText():
                    self._send(action.replica, pb.FollowRequest(fetch=revision_to_message(action.revision)))
                case CheckText():
                    gevent.spawn(self._check, action)
                case ApplyRevision():
                    self._apply(action.revision)
                case SendReport():
                    self._send(action.replica, pb.FollowRequest(report=_report_to_message(action)))
        self._arm_timer()

    def _send(self, replica: str, message: Any) -> None:
        call = self._calls.get(replica)
        if call is None:
            return
        try:
            call.try_send(message)
        except RpcError:
            pass  # the greenlet that reads the stream detects that it has ended

    def _check(self, action: CheckText) -> None:
        revision = action.revision
        try:
            # The check runs in a thread: a long text in the event loop would delay answers and drains.
            checked = gevent.get_hub().threadpool.apply(self.check, (action.text, revision))
        except RevisionRejectedError as error:
            if error.usable_after_restart:
                self._cache_revision(RevisionText(revision, action.text))
            self.log.warning("configuration not taken", revision=str(revision), reason=str(error))
            self._execute(self.follower.on_check_failed(now_us(), revision, str(error)))
        else:
            self._checked = (revision, checked, action.text)
            self._execute(self.follower.on_check_passed(now_us(), revision))

    def _apply(self, revision: Revision) -> None:
        assert self._checked is not None and self._checked[0] == revision
        _, checked, text = self._checked
        self._checked = None
        self.apply(checked)
        self._cache_revision(RevisionText(revision, text))
        self.log.info("configuration in force", revision=str(revision))

    def _cache_revision(self, stored: RevisionText) -> None:
        """Write the revision to the cache file for the next start.

        Without it, a planner that starts while no replica can be reached would revert to its own file.
        """
        self._uncached = stored
        if self.cache_file is not None and not self._is_writing_cache:
            self._is_writing_cache = True
            gevent.spawn(self._write_cache, self.cache_file)

    def _write_cache(self, cache_file: Path) -> None:
        """Write the newest revision until there is no newer one to write.

        Only one greenlet does this: with two writers, an older revision could overwrite a newer one.
        """
        try:
            while self._uncached is not None:
                stored, self._uncached = self._uncached, None
                gevent.get_hub().threadpool.apply(state_files.write_cached_revision, (cache_file, stored))
        except StateFileError as error:
            self.log.error("copy of the configuration not written", error=str(error))  # noqa: TRY400 - the reason needs no traceback
        finally:
            self._is_writing_cache = False


def _report_to_message(report: SendReport) -> Any:
    return pb.FollowRequest.Report(
        in_force=revision_to_message(report.in_force),
        rejected=revision_to_message(report.rejected),
        reason=report.reason,
    )
