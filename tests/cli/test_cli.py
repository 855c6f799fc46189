"""Tests of the command line: help, exit codes, logs, and a cluster whose parts run as processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

TIMEOUT_S = 60
CLUSTER = """
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
    """Run ``stairplank`` with the given arguments and return its exit code and output."""
    command = [sys.executable, "-m", "stairplank", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


@pytest.mark.parametrize(
    "command",
    ["planner", "node", "directory", "owners", "place", "rehearse", "judge", "check", "experiment", "scale"],
)
def test_every_command_has_help(command: str) -> None:
    result = run(command, "--help")
    assert result.returncode == 0 and "Usage:" in result.stdout


def test_invalid_input_is_exit_code_2(tmp_path: Path) -> None:
    invalid = tmp_path / "invalid.conf"
    invalid.write_text("planner 0 of 1\nlisten nowhere\n")
    for args in (
        ("check", str(invalid)),
        ("check", "--as", "scenario", str(invalid)),
        ("planner", str(invalid)),
        ("node", str(tmp_path / "none")),
        ("rehearse", str(invalid)),
        ("rehearse", "--day", str(invalid)),
        ("judge", str(invalid)),
        ("experiment", str(invalid)),
        ("place", "no-address", "--class", "worker"),
        ("rehearse", "--no-such-option"),
    ):
        result = run(*args)
        assert result.returncode == 2, (args, result.stdout, result.stderr)
        assert "rror" in result.stderr


def test_errors_name_file_line_and_column(tmp_path: Path) -> None:
    invalid = tmp_path / "invalid.conf"
    invalid.write_text("planner 0 of 1\nlisten nowhere\nfrobnicate 7\n")
    lines = run("check", str(invalid)).stderr.splitlines()
    assert any(line.startswith(f"error: {invalid}:2:8: listen: ") for line in lines)
    assert any(line.startswith(f"error: {invalid}:3:1: frobnicate: unknown keyword") for line in lines)
    valid = tmp_path / "good.conf"
    valid.write_text(CLUSTER + "planner 0 of 1\nlisten 127.0.0.1:0\ndirectory 127.0.0.1:1\n")
    result = run("check", str(valid))
    assert result.returncode == 0 and result.stdout.endswith("good, a file for `planner`\n")


@pytest.fixture
def cluster_folder() -> Iterator[Path]:
    """Start a node list, a node and a planner as processes and return the folder with their files.

    The folder has a short name because the path of a Unix socket is limited to about 100 bytes.
    """
    folder = Path(tempfile.mkdtemp(prefix="spt"))
    (folder / "list.conf").write_text(f"listen unix:{folder}/list\nlist-notice 50ms\nlist-period 50ms\n")
    node = f"node 1 n1\n  kind std\n  zone a\n  rack r\n  listen unix:{folder}/n1\nend\n"
    (folder / "node.conf").write_text(CLUSTER + f"directory unix:{folder}/list\n" + node)
    planner = f"planner 0 of 1\nlisten unix:{folder}/p\ndirectory unix:{folder}/list\n"
    (folder / "planner.conf").write_text(CLUSTER + planner)
    processes = []
    for command, file, socket in (
        ("directory", "list", "list"),
        ("node", "node", "n1"),
        ("planner", "planner", "p"),
    ):
        args = [sys.executable, "-m", "stairplank", "--log-format", "json", "--log-level", "debug"]
        log = (folder / f"{file}.log").open("wb")
        processes.append(
            subprocess.Popen(
                [*args, "--end-with-stdin", command, str(folder / f"{file}.conf")],
                stdin=subprocess.PIPE, stderr=log,
            )
        )  # fmt: skip
        give_up_at = time.monotonic() + TIMEOUT_S
        while not (folder / socket).exists():
            assert processes[-1].poll() is None and time.monotonic() < give_up_at
            time.sleep(0.02)
    yield folder
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait(timeout=10)
        assert process.stdin is not None
        process.stdin.close()


def test_place_prints_the_stream(cluster_folder: Path) -> None:
    address = f"unix:{cluster_folder}/p"
    common = ("--class", "worker", "--cores", "0.5", "--memory", "1", "--life", "0.2")
    result = run("place", address, *common, "--count", "3", "--follow")
    assert result.returncode == 0, result.stdout + result.stderr
    kinds = [line.split()[2] for line in result.stdout.splitlines()]
    assert sorted(kinds) == sorted(["taken", "offered", "placed", "ended"] * 3)
    unknown_class = run("place", address, "--class", "nothing")
    assert unknown_class.returncode == 1 and "field=task.task_class" in unknown_class.stdout
    oversized = run("place", address, *common[:2], "--cores", "100")
    assert oversized.returncode == 1 and "field=task.cores" in oversized.stdout
    lines = [json.loads(line) for line in (cluster_folder / "planner.log").read_text().splitlines()]
    offered = [entry for entry in lines if entry["event"] == "offered"]
    assert len(offered) == 3 and all(entry["task"].startswith("operator/") for entry in offered)
    assert {entry["attempt"] for entry in offered} == {"1.0", "2.0", "3.0"} and offered[0]["level"] == "debug"


def test_sigterm_ends_a_planner_gracefully(cluster_folder: Path) -> None:
    for entry in Path("/proc").iterdir():
        if (
            entry.name.isdigit()
            and f"{cluster_folder}/planner.conf".encode() in (entry / "cmdline").read_bytes()
        ):
            os.kill(int(entry.name), signal.SIGTERM)
    log = cluster_folder / "planner.log"
    give_up_at = time.monotonic() + TIMEOUT_S
    while "planner has left" not in log.read_text() and time.monotonic() < give_up_at:
        time.sleep(0.05)
    assert "planner has left" in log.read_text()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            "planner 0 of 1\nlisten 127.0.0.1:0\ndirectory 127.0.0.1:9\n" + CLUSTER,
            "good, a file for `planner`",
        ),
        (
            "planner 0 127.0.0.1:9\nowner o\ndemand worker\nshare 100%\nsize 1 1\nlife 1s..2s\nend\n"
            + CLUSTER,
            "good, a file for `owners`",
        ),
        ("listen 127.0.0.1:0\nlist-notice 1s\n", "good, a file for `directory`"),
    ],
)
def test_check_detects_the_kind_of_a_file_by_its_content(tmp_path: Path, text: str, expected: str) -> None:
    file = tmp_path / "settings.conf"
    file.write_text(text)
    result = run("check", str(file))
    assert expected in result.stdout + result.stderr, result.stdout + result.stderr


def test_a_file_of_another_kind_is_one_error(tmp_path: Path) -> None:
    scenario = Path(__file__).parents[1] / "rehearsal" / "small-day"
    result = run("check", "--as", "planner", str(scenario))
    assert result.returncode == 2
    errors = [line for line in result.stderr.splitlines() if line.startswith("error")]
    assert len(errors) == 1 and "is a file for `scenario`, not for `planner`" in errors[0]
    assert run("check", str(scenario)).stdout.strip().endswith("a file for `scenario`")


def test_a_file_that_could_be_of_two_kinds_is_reported() -> None:
    from stairplank.settings import parsers
    from stairplank.settings.detect import likely_kinds
    from stairplank.settings.schema import Key
    from stairplank.settings.source import read_lines

    schemas = {
        "one": (Key("port", (parsers.integer(),), True), Key("speed", (parsers.integer(),))),
        "two": (Key("port", (parsers.integer(),), True), Key("colour", (parsers.name,))),
    }
    assert likely_kinds(read_lines("port 3", "f"), schemas) == ["one", "two"]
    assert likely_kinds(read_lines("port 3\ncolour red", "f"), schemas) == ["two"]
    assert likely_kinds(read_lines("port x\nspeed 4", "f"), schemas) == ["one"]


def test_the_platform_planner_reports_missing_settings(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text("{}")
    result = subprocess.run(
        [sys.executable, "-m", "stairplank", "platform", "--config", str(file)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 2 and "settings" in result.stderr
