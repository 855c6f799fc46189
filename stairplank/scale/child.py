"""The command loop of a hollow process: reads JSON lines on standard input and answers each with one."""

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
PARENT_GONE = 3  # exit code of a child whose parent process has ended


def serve(handlers: Mapping[str, Handler]) -> None:
    """Answers commands until standard input closes, as it does when the parent ends. Never returns."""
    answers = os.dup(STANDARD_OUTPUT)
    os.dup2(STANDARD_ERROR, STANDARD_OUTPUT)  # keeps printed output out of the stream of answers
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
    os._exit(PARENT_GONE)


def _answer_all(handlers: Mapping[str, Handler], commands: Queue[bytes], answers: int) -> None:
    """Answers commands in order, in a greenlet other than the reader of standard input.

    If the reader itself answered, a command waiting for a peer that died with the parent process would block
    it for ever, and it would never see standard input close.
    """
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
