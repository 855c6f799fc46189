"""Watches and fetches the directory's node list, and passes it to the core."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent

from ..proto import directory_pb2, method_path, open_call
from ..rpc import Channel, Limits, RpcError
from . import convert
from . import events as ev
from .process import PlannerProcess
from .services import DIRECTORY_SERVICE


class NodeListWatch:
    """The planner's client of the Directory service; at most one watch is open."""

    def __init__(self, process: PlannerProcess) -> None:
        """Start without a watch."""
        self._process = process
        self._watch: Any = None  # the greenlet that reads the open watch; None if no watch is open

    def restart(self, action: ev.WatchNodeList) -> None:
        """End the open watch; if the action is active, open a new watch from its revision on."""
        if self._watch is not None:
            self._watch.kill(block=False)
            self._watch = None
        if action.active:
            self._watch = gevent.spawn(self._read_watch, action.revision)

    def fetch(self) -> None:
        """Request the whole list once. Blocks until the core has received the list or NodeListFailed."""
        process = self._process
        with self._directory() as channel:
            try:
                message = channel.unary(
                    method_path(DIRECTORY_SERVICE, "List"),
                    directory_pb2.ListRequest(planner=process.position),
                    directory_pb2.NodeList.FromString,
                    timeout_s=process.config.list_silence_timeout_us / 1e6,
                )
            except RpcError as error:
                process.log.info("node list out of reach", error=str(error))
                process.handle(ev.NodeListFailed())
            else:
                process.handle(convert.node_list_from_proto(message))

    def _read_watch(self, revision: int) -> None:
        process = self._process
        with self._directory() as channel:
            try:
                call = open_call(channel, DIRECTORY_SERVICE, "Watch")
                call.send(directory_pb2.WatchRequest(planner=process.position, revision=revision))
                call.close_send()
                while (message := call.recv(process.config.list_silence_timeout_us / 1e6)) is not None:
                    process.handle(convert.node_list_from_proto(message))
            except RpcError as error:
                process.log.info("node list out of reach", error=str(error))
        if self._watch is gevent.getcurrent():
            self._watch = None
            process.handle(ev.NodeListFailed())

    @contextmanager
    def _directory(self) -> Iterator[Channel]:
        """Open a channel to the directory, and close it at the end of the context."""
        config = self._process.config
        limits = Limits(
            keepalive_interval_s=config.keepalive_us[0] / 1e6,
            keepalive_timeout_s=config.keepalive_us[1] / 1e6,
        )
        channel = Channel(config.directory, limits, config.list_silence_timeout_us / 2e6)
        try:
            yield channel
        finally:
            channel.close()
