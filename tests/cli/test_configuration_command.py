"""Tests of ``stairplank configuration`` with replicas as processes: publishing and showing the status."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

TIMEOUT_S = 60
SITE = """
class worker
    effect repeatable
    aim 2s
    deadline 6s
end
kind std cores 8 memory 16
zone a
mean-cores 1
mean-memory 2
"""


def run(*args: str) -> subprocess.CompletedProcess[str]:
    """Run ``stairplank configuration`` with the given arguments and return its exit code and output."""
    command = [sys.executable, "-m", "stairplank", "configuration", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


class ReplicaProcess:
    """A replica that serves on a Unix socket and exits when its standard input is closed."""

    def __init__(self, folder: Path, name: str) -> None:
        self.socket = folder / f"{name}.sock"
        self.address = f"unix:{self.socket}"
        command = [sys.executable, "-m", "stairplank", "--log-level", "error", "--end-with-stdin"]
        command += ["configuration", "serve", "--listen", self.address]
        command += ["--state", str(folder / f"{name}.json")]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE)
        give_up_at = time.monotonic() + TIMEOUT_S
        while not self.socket.exists():
            assert time.monotonic() < give_up_at and self.process.poll() is None
            time.sleep(0.02)

    def close(self) -> None:
        """Close standard input and wait for the exit; kill the process if it does not exit within 10 s."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(10)


@pytest.fixture
def replicas(tmp_path: Path) -> Iterator[list[str]]:
    """Run three replicas and return the options that name them on the command line."""
    processes = [ReplicaProcess(tmp_path, name) for name in "abc"]
    yield [argument for process in processes for argument in ("--replica", process.address)]
    for process in processes:
        process.close()


def test_publish_and_status(tmp_path: Path, replicas: list[str]) -> None:
    file = tmp_path / "site.conf"
    file.write_text(SITE)
    result = run("publish", str(file), *replicas)
    assert result.returncode == 0, result.stderr
    assert result.stdout.startswith("revision 1 (") and "published" in result.stdout
    assert run("publish", str(file), *replicas, "--base", "0").returncode == 1
    result = run("publish", str(file), *replicas, "--base", "1", "--wait", "0.5", "--planners", "1")
    assert result.returncode == 1 and "not in force everywhere" in result.stderr
    result = run("status", *replicas)
    assert result.returncode == 0 and result.stdout.startswith("committed: 2 (")
    assert run("status", *replicas, "--planners", "1").returncode == 1


def test_invalid_input(tmp_path: Path) -> None:
    file = tmp_path / "site.conf"
    file.write_text(SITE + "plannr 0 of 1\n")
    result = run("publish", str(file), "--replica", "127.0.0.1:1")
    assert result.returncode == 2 and f"{file}:11:1: plannr" in result.stderr
    file.write_text(SITE)
    result = run("publish", str(file), "--replica", "127.0.0.1:1")
    assert result.returncode == 1 and "no quorum" in result.stderr and "out of reach" in result.stderr
    six_replicas = [argument for n in range(6) for argument in ("--replica", f"127.0.0.1:{n + 1}")]
    assert "at most 5" in run("status", *six_replicas).stderr
    state = str(tmp_path / "state.json")
    result = run("serve", "--listen", "192.0.2.1:7500", "--state", state)
    assert result.returncode == 2 and "not loopback" in result.stderr
    Path(state).write_text("{")
    result = run("serve", "--listen", "127.0.0.1:0", "--state", state)
    assert result.returncode == 1 and state in result.stderr
