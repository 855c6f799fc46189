"""What leaves the process on fixed days is the same as ever: bytes, times, order.

A digest that differs is a change of behaviour. ``golden_digests.py NAME`` prints the lines of a trace; the
first line that differs from an earlier revision's says where.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

import golden_digests
import golden_grpc_days
import golden_platform_days
import pytest

from stairplank.decisions import load, node_state, task_queue
from stairplank.planner import attempt_lifecycle
from stairplank.platform import client_requests, link_checks

EXPECTED: dict[str, str] = json.loads(golden_digests.DIGESTS.read_text())
TIMEOUT_S = 300


def test_traces_are_the_same_in_processes_with_other_hash_seeds() -> None:
    command = [sys.executable, golden_digests.__file__]
    processes = [
        subprocess.Popen(command, stdout=subprocess.PIPE, env=os.environ | {"PYTHONHASHSEED": hash_seed})
        for hash_seed in ("0", "4711")
    ]
    for process in processes:
        output, _ = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode == 0
        assert json.loads(output) == EXPECTED


def test_every_kind_of_trace_is_there() -> None:
    kinds = [name.split()[0] for name in EXPECTED]
    assert kinds.count("grpc") == len(golden_grpc_days.DAYS) >= 6
    assert kinds.count("platform") == len(golden_platform_days.DAYS) >= 4
    assert kinds.count("decisions") >= 10


@pytest.mark.parametrize(
    ("module", "constant", "name"),
    [
        (task_queue, "QUEUE_RETRY_US", "decisions 0"),
        (task_queue, "QUEUE_RETRY_US", "grpc drawn-room 1"),
        (task_queue, "QUEUE_RETRY_US", "platform usual 1"),
        (load, "EQUAL_SERVICE_LEVEL", "decisions 3"),
        (attempt_lifecycle, "OFFER_EXPIRY_SLACK_US", "grpc groups-bad-day 1"),
        (link_checks, "CHECK_INTERVAL_US", "platform usual 2"),
        (client_requests, "ANSWER_MARGIN_US", "platform strange 1012"),
    ],
)
def test_an_altered_constant_is_noticed(
    module: object, constant: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, constant, getattr(module, constant) * 2)
    assert golden_digests.digest_of(name) != EXPECTED[name]


@pytest.mark.parametrize("name", ["decisions 0", "grpc first-bad-day 1", "platform usual 2"])
def test_an_altered_branch_is_noticed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_state.Node, "is_warm_for", lambda node, service: False)
    assert golden_digests.digest_of(name) != EXPECTED[name]
