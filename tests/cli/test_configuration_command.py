"""``stairplank configuration`` as an operator uses it: replicas as processes, a publication, the status."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

LIMIT_S = 60
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
    command = [sys.executable, "-m", "stairplank", "configuration", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)


class ReplicaProcess:
    """One replica on a Unix socket; ends with its standard input."""

    def __init__(self, folder: Path, name: str) -> None:
        self.socket = folder / f"{name}.sock"
        self.address = f"unix:{self.socket}"
        command = [sys.executable, "-m", "stairplank", "--log-level", "error", "--end-with-stdin"]
        command += ["configuration", "serve", "--listen", self.address]
        command += ["--state", str(folder / f"{name}.json")]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE)
        end = time.monotonic() + LIMIT_S
        while not self.socket.exists():
            assert time.monotonic() < end and self.process.poll() is None
            time.sleep(0.02)

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(10)


@pytest.fixture
def replicas(tmp_path: Path) -> Iterator[list[str]]:
    processes = [ReplicaProcess(tmp_path, name) for name in "abc"]
    yield [word for process in processes for word in ("--replica", process.address)]
    for process in processes:
        process.close()


def test_publish_and_status(tmp_path: Path, replicas: list[str]) -> None:
    file = tmp_path / "site.conf"
    file.write_text(SITE)
    done = run("publish", str(file), *replicas)
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("revision 1 (") and "published" in done.stdout
    assert run("publish", str(file), *replicas, "--base", "0").returncode == 1
    done = run("publish", str(file), *replicas, "--base", "1", "--wait", "0.5", "--planners", "1")
    assert done.returncode == 1 and "not in force everywhere" in done.stderr
    done = run("status", *replicas)
    assert done.returncode == 0 and done.stdout.startswith("committed: 2 (")
    assert run("status", *replicas, "--planners", "1").returncode == 1


def test_bad_input(tmp_path: Path) -> None:
    file = tmp_path / "site.conf"
    file.write_text(SITE + "plannr 0 of 1\n")
    done = run("publish", str(file), "--replica", "127.0.0.1:1")
    assert done.returncode == 2 and f"{file}:11:1: plannr" in done.stderr
    file.write_text(SITE)
    done = run("publish", str(file), "--replica", "127.0.0.1:1")
    assert done.returncode == 1 and "no quorum" in done.stderr and "out of reach" in done.stderr
    six = [word for n in range(6) for word in ("--replica", f"127.0.0.1:{n + 1}")]
    assert "at most 5" in run("status", *six).stderr
    state = str(tmp_path / "state.json")
    done = run("serve", "--listen", "192.0.2.1:7500", "--state", state)
    assert done.returncode == 2 and "not loopback" in done.stderr
    Path(state).write_text("{")
    done = run("serve", "--listen", "127.0.0.1:0", "--state", state)
    assert done.returncode == 1 and state in done.stderr
