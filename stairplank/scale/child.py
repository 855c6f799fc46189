"""The child's side of a hollow process: commands come as JSON lines on standard input, one answer each."""

from __future__ import annotations

import json
import os
import sys
import traceback
from collections.abc import Callable, Mapping
from typing import Any

import gevent
from gevent.os import make_nonblocking, nb_read, nb_write

Handler = Callable[..., Any]
STANDARD_INPUT, STANDARD_OUTPUT = 0, 1
READ_BYTES = 65_536
STARTER_GONE = 3  # exit code


def serve(handlers: Mapping[str, Handler]) -> None:
    """Answer commands until standard input ends, as it does when the starter ends; never returns."""
    make_nonblocking(STANDARD_INPUT)
    make_nonblocking(STANDARD_OUTPUT)
    pending = b""
    while data := nb_read(STANDARD_INPUT, READ_BYTES):
        *lines, pending = (pending + data).split(b"\n")
        for line in lines:
            gevent.spawn(_answer, handlers, json.loads(line)).join()
    sys.stderr.flush()
    os._exit(STARTER_GONE)


def _answer(handlers: Mapping[str, Handler], command: dict[str, Any]) -> None:
    try:
        result = {"result": handlers[command["call"]](**command["arguments"])}
    except Exception:
        result = {"error": traceback.format_exc(limit=-4)}
    data = json.dumps(result).encode() + b"\n"
    while data:
        data = data[nb_write(STANDARD_OUTPUT, data) :]
