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
from gevent.queue import Queue

Handler = Callable[..., Any]
STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR = 0, 1, 2
READ_BYTES = 65_536
STARTER_GONE = 3  # exit code


def serve(handlers: Mapping[str, Handler]) -> None:
    """Answer commands until standard input ends, as it does when the starter ends; never returns."""
    answers = os.dup(STANDARD_OUTPUT)
    os.dup2(STANDARD_ERROR, STANDARD_OUTPUT)  # what anything prints here is no answer
    make_nonblocking(STANDARD_INPUT)
    make_nonblocking(answers)
    commands: Queue[bytes] = Queue()
    gevent.spawn(_answer_all, handlers, commands, answers)
    pending = b""
    while data := nb_read(STANDARD_INPUT, READ_BYTES):
        *lines, pending = (pending + data).split(b"\n")
        for line in lines:
            commands.put(line)
    sys.stderr.flush()
    os._exit(STARTER_GONE)


def _answer_all(handlers: Mapping[str, Handler], commands: Queue[bytes], answers: int) -> None:
    """In their order. Danger: answered where they are read, one that waits for a peer which has died with the
    starter would hide the end of standard input for ever."""
    while True:
        _answer(handlers, json.loads(commands.get()), answers)


def _answer(handlers: Mapping[str, Handler], command: dict[str, Any], answers: int) -> None:
    try:
        result = {"result": handlers[command["call"]](**command["arguments"])}
    except Exception:
        result = {"error": traceback.format_exc(limit=-4)}
    data = json.dumps(result).encode() + b"\n"
    while data:
        data = data[nb_write(answers, data) :]
