"""A hollow node list of the platform form: each planner's watch is answered with its own addresses.

A watch from number 0 gets the whole list, a later one the changes after its number; the last number is said
each second. Bytes are counted for each planner.
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

BEAT_S = 1.0
HISTORY_MOST = 4096
REQUEST_MOST = 100  # bytes of a watch line

Row = dict[str, Any]


class HollowList:
    """The commands of the node list's process."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._revision = 0
        self._changes: dict[int, list[Row]] = {}  # by number
        self._counts: dict[int, Counts] = {}
        self._connections: dict[int, OpenConnections] = {}
        self._news = Event()
        self._listener = Listener()
        gevent.spawn(self._accept)

    def start(self) -> int:
        """Its port."""
        return self._listener.port

    def publish(self, rows: list[Row]) -> int:
        """Tell of new or changed rows; the number of the notice."""
        self._revision += 1
        for row in rows:
            if row["health"] == "DELETED":
                self._rows.pop(row["host"], None)
            else:
                self._rows[row["host"]] = row
        self._changes[self._revision] = rows
        self._changes.pop(self._revision - HISTORY_MOST, None)
        news, self._news = self._news, Event()
        news.set()
        return self._revision

    def change(self, per_s: float, seconds: float) -> None:
        """Go on for so long to tell of changed free figures of one worker after another."""
        gevent.spawn(self._change, per_s, seconds)

    def _change(self, per_s: float, seconds: float) -> None:
        names = list(self._rows)
        began = time.monotonic()
        for number in range(int(per_s * seconds)):
            gevent.sleep(max(0.0, began + number / per_s - time.monotonic()))
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
            revision = self._requested(sock, counts)
            sender = gevent.spawn(self._send_from, sock, planner, counts, revision)
            _read_until_closed(sock)
            sender.kill()
        except (OSError, ValueError, IndexError):
            pass
        finally:
            connections.change(-1, time.monotonic())
            sock.close()

    def _send_from(self, sock: Any, planner: int, counts: Counts, revision: int) -> None:
        """Tell what comes after that number, until the connection ends."""
        while True:
            news, latest = self._news, self._revision
            try:
                for line in self._lines_after(revision, latest, planner):
                    counts.count(True, len(line))
                    sock.sendall(line)
            except OSError:
                return
            revision = latest
            news.wait(BEAT_S)

    def _requested(self, sock: Any, counts: Counts) -> int:
        request = b""
        while not request.endswith(b"\n") and len(request) < REQUEST_MOST:
            data = sock.recv(REQUEST_MOST)
            if not data:
                raise OSError("closed before its watch")
            request += data
        counts.count(True, len(request))
        return int(request.split()[1])

    def _lines_after(self, revision: int, latest: int, planner: int) -> list[bytes]:
        """What a watcher with this number is told next."""
        if revision >= latest:
            return [_line({"rev": latest})]
        if not revision or revision + 1 not in self._changes:
            return [self._notice(latest, list(self._rows.values()), True, planner)]
        later = range(revision + 1, latest + 1)
        return [self._notice(number, self._changes[number], False, planner) for number in later]

    def _notice(self, revision: int, rows: list[Row], whole: bool, planner: int) -> bytes:
        host = address_for(planner)
        hosts = [{key: value for key, value in row.items() if key != "port"} for row in rows]
        for shown, row in zip(hosts, rows, strict=True):
            shown["dial"] = f"{host}:{row['port']}"
        return _line({"rev": revision, "pool": {"seq": revision, "whole": whole, "hosts": hosts}})


def _line(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def _read_until_closed(sock: Any) -> None:
    try:
        while sock.recv(REQUEST_MOST):
            pass
    except OSError:
        pass
