"""Tests a child process that takes commands in order and exits with its parent, even amid a command."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator

import pytest

WAIT_S = 20.0
PROGRAM = """
import gevent
from stairplank.scale.child import serve

def double(number):
    print("this is no answer")
    return 2 * number

def wait_for_ever():
    gevent.sleep(3600)

def fail():
    raise ValueError("as asked")

serve({"double": double, "wait_for_ever": wait_for_ever, "fail": fail})
"""


@pytest.fixture
def child() -> Iterator[subprocess.Popen[bytes]]:
    pipe = subprocess.PIPE
    process = subprocess.Popen([sys.executable, "-c", PROGRAM], stdin=pipe, stdout=pipe, stderr=pipe)
    yield process
    process.kill()
    process.wait(WAIT_S)
    for end in (process.stdin, process.stdout, process.stderr):
        assert end is not None
        end.close()


def send(child: subprocess.Popen[bytes], call: str, **arguments: int) -> None:
    assert child.stdin is not None
    child.stdin.write(json.dumps({"call": call, "arguments": arguments}).encode() + b"\n")
    child.stdin.flush()


def answer(child: subprocess.Popen[bytes]) -> dict[str, object]:
    assert child.stdout is not None
    value: dict[str, object] = json.loads(child.stdout.readline())
    return value


def test_commands_are_answered_in_order(child: subprocess.Popen[bytes]) -> None:
    for number in (1, 2, 3):
        send(child, "double", number=number)
    assert [answer(child) for _ in range(3)] == [{"result": 2}, {"result": 4}, {"result": 6}]


def test_a_command_that_fails_is_answered_with_its_error(child: subprocess.Popen[bytes]) -> None:
    send(child, "fail")
    assert "ValueError: as asked" in str(answer(child)["error"])
    send(child, "double", number=4)
    assert answer(child) == {"result": 8}


def test_a_child_exits_when_standard_input_closes(child: subprocess.Popen[bytes]) -> None:
    assert child.stdin is not None
    child.stdin.close()
    assert child.wait(WAIT_S) == 3


def test_a_child_exits_when_standard_input_closes_amid_a_command(child: subprocess.Popen[bytes]) -> None:
    send(child, "double", number=1)
    answer(child)
    send(child, "wait_for_ever")
    assert child.stdin is not None
    child.stdin.close()
    assert child.wait(WAIT_S) == 3
