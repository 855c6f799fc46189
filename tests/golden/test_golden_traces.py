"""Golden trace tests: in fixed simulated runs, output bytes, times and order match the stored digests.

A digest that differs means that behaviour has changed. ``golden_digests.py NAME`` prints the lines of a
trace; comparing them with an earlier revision's shows the first difference.
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


def test_traces_match_the_stored_digests_under_different_hash_seeds() -> None:
    command = [sys.executable, golden_digests.__file__]
    processes = [
        subprocess.Popen(command, stdout=subprocess.PIPE, env=os.environ | {"PYTHONHASHSEED": hash_seed})
        for hash_seed in ("0", "4711")
    ]
    for process in processes:
        output, _ = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode == 0
        assert json.loads(output) == EXPECTED


def test_stored_digests_cover_every_kind_of_trace() -> None:
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
def test_a_changed_constant_changes_the_digest(
    module: object, constant: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, constant, getattr(module, constant) * 2)
    assert golden_digests.digest_of(name) != EXPECTED[name]


@pytest.mark.parametrize("name", ["decisions 0", "grpc first-bad-day 1", "platform usual 2"])
def test_a_changed_branch_changes_the_digest(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_state.Node, "is_warm_for", lambda node, service: False)
    assert golden_digests.digest_of(name) != EXPECTED[name]
