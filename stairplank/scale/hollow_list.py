"""A hollow node list of the platform form. Each planner receives its own loopback address for each worker.

A watch from revision 0 receives the whole list, a watch from a later revision the changes since then. The
latest revision number is sent at least once a second. Bytes are counted by planner.
"""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from typing import Any

import gevent
from gevent.event import Event

from .counts import Counts, OpenConnections
from .loopback import Listener, address_for

MAX_SEND_INTERVAL_S = 1.0
MAX_KEPT_REVISIONS = 4096
MAX_REQUEST_BYTES = 100  # of the line that starts a watch

Row = dict[str, Any]


class HollowList:
    """Handles the commands sent to the process of the node list."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._revision = 0
        self._changes: dict[int, list[Row]] = {}  # changed rows, by revision number
        self._counts: dict[int, Counts] = {}
        self._connections: dict[int, OpenConnections] = {}
        self._published = Event()
        self._listener = Listener()
        gevent.spawn(self._accept)

    def start(self) -> int:
        """Returns the port on which the node list listens."""
        return self._listener.port

    def publish(self, rows: list[Row]) -> int:
        """Publishes new, changed or deleted rows. Returns the revision number."""
        self._revision += 1
        for row in rows:
            if row["health"] == "DELETED":
                self._rows.pop(row["host"], None)
            else:
                self._rows[row["host"]] = row
        self._changes[self._revision] = rows
        self._changes.pop(self._revision - MAX_KEPT_REVISIONS, None)
        published, self._published = self._published, Event()
        published.set()
        return self._revision

    def change(self, per_s: float, seconds: float) -> None:
        """Publishes changes of free capacity in the background, ``per_s`` a second for ``seconds``."""
        gevent.spawn(self._publish_changes, per_s, seconds)

    def _publish_changes(self, per_s: float, seconds: float) -> None:
        names = list(self._rows)
        started = time.monotonic()
        for number in range(int(per_s * seconds)):
            gevent.sleep(max(0.0, started + number / per_s - time.monotonic()))
            row = self._rows[names[number % len(names)]]
            cores, memory = row["spare"]
            self.publish([row | {"spare": [max(1.0, cores - 0.5 * (number % 2 * 2 - 1)), memory]}])

    def snapshot(self) -> dict[str, Any]:
        now = time.monotonic()
        for planner, connections in self._connections.items():
            self._counts[planner].connection_seconds = connections.seconds(now)
        return {"traffic": {planner: asdict(counts) for planner, counts in self._counts.items()}}

    # Watches

    def _accept(self) -> None:
        while True:
            sock, planner = self._listener.accept()
            gevent.spawn(self._serve, sock, planner)

    def _serve(self, sock: Any, planner: int) -> None:
        counts = self._counts.setdefault(planner, Counts())
        connections = self._connections.setdefault(planner, OpenConnections(time.monotonic()))
        counts.dials += 1
        connections.change(1, time.monotonic())
        try:
            revision = self._read_requested_revision(sock, counts)
            sender = gevent.spawn(self._send_from, sock, planner, counts, revision)
            _read_until_closed(sock)
            sender.kill()
        except (OSError, ValueError, IndexError):
            pass
        finally:
            connections.change(-1, time.monotonic())
            sock.close()

    def _send_from(self, sock: Any, planner: int, counts: Counts, revision: int) -> None:
        """Sends every revision after ``revision`` until the connection closes."""
        while True:
            published, latest = self._published, self._revision
            try:
                for line in self._lines_after(revision, latest, planner):
                    counts.count(True, len(line))
                    sock.sendall(line)
            except OSError:
                return
            revision = latest
            published.wait(MAX_SEND_INTERVAL_S)

    def _read_requested_revision(self, sock: Any, counts: Counts) -> int:
        request = b""
        while not request.endswith(b"\n") and len(request) < MAX_REQUEST_BYTES:
            data = sock.recv(MAX_REQUEST_BYTES)
            if not data:
                raise OSError("connection closed before the watch request was complete")
            request += data
        counts.count(True, len(request))
        return int(request.split()[1])

    def _lines_after(self, revision: int, latest: int, planner: int) -> list[bytes]:
        """Returns the lines that bring a watcher from ``revision`` to ``latest``."""
        if revision >= latest:
            return [_line({"rev": latest})]
        if not revision or revision + 1 not in self._changes:
            return [self._update_line(latest, list(self._rows.values()), True, planner)]
        later = range(revision + 1, latest + 1)
        return [self._update_line(number, self._changes[number], False, planner) for number in later]

    def _update_line(self, revision: int, rows: list[Row], whole: bool, planner: int) -> bytes:
        host = address_for(planner)
        hosts = [{key: value for key, value in row.items() if key != "port"} for row in rows]
        for host_fields, row in zip(hosts, rows, strict=True):
            host_fields["dial"] = f"{host}:{row['port']}"
        return _line({"rev": revision, "pool": {"seq": revision, "whole": whole, "hosts": hosts}})


def _line(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def _read_until_closed(sock: Any) -> None:
    try:
        while sock.recv(MAX_REQUEST_BYTES):
            pass
    except OSError:
        pass
