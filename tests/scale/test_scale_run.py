"""Tests the `scale`, `scale-compare` and `check` commands end to end, with real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from stairplank.scale import results
from stairplank.scale.plan import load_plan
from stairplank.scale.results import Results

LIMIT_S = 60
SMALL = "target workers 6 planners 2 starts 4 running 12\n"
ENDLESS = SMALL + "span 500ms\nsettle 100ms\nrepeat 50\nseries s\nload idle peak\nend\n"


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "stairplank", *arguments]


def descendants(pid: int) -> list[psutil.Process]:
    return psutil.Process(pid).children(recursive=True)


def test_the_small_run_completes_in_less_than_a_minute(tmp_path: Path) -> None:
    began = time.monotonic()
    done = subprocess.run(
        command("scale", "small", "--out", str(tmp_path)), capture_output=True, text=True, timeout=LIMIT_S
    )
    assert done.returncode == 0, done.stderr
    assert time.monotonic() - began < LIMIT_S
    found = results.read(tmp_path / "results.json")
    package = Path(results.__file__).resolve().parents[1]
    assert not found.partial
    assert len(found.samples) == len(load_plan(package / "scales" / "small.conf").samples)
    assert (tmp_path / "chart.png").exists()
    assert "whole" in done.stdout
    check_figures(found)


def check_figures(found: Results) -> None:
    """Checks that each sample has its figures, and that they match the requested load."""
    for sample in found.samples:
        if sample.load in ("planner-restarts", "list-moves", "settings-change"):
            assert sample.event.ready_s or sample.event.in_force_s
            continue
        planner = sample.planner
        assert planner.cpu_share is not None and 0 < planner.cpu_share < 1
        assert planner.memory_mb is not None and planner.memory_mb > 5
        assert planner.control_bytes_per_s and planner.bytes_per_s
        assert planner.bytes_per_s >= planner.control_bytes_per_s
        assert planner.control_bytes_with_headers_per_s is not None
        assert planner.control_bytes_with_headers_per_s > planner.control_bytes_per_s
        assert bool(planner.task_machines) == bool(sample.size.running)
        if sample.form == "grpc":
            assert planner.connections == pytest.approx(sample.size.workers, rel=0.01)
        else:
            assert bool(planner.connections) == bool(sample.size.running)
        assert sample.peers.list_connections == pytest.approx(sample.size.planners, rel=0.3)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_keeps_what_it_has_and_leaves_no_process(
    tmp_path: Path, number: signal.Signals
) -> None:
    path = tmp_path / "endless.conf"
    path.write_text(ENDLESS)
    run = subprocess.Popen(command("scale", str(path), "--out", str(tmp_path)), stderr=subprocess.PIPE)
    children = wait_for_sample(run, tmp_path / "results.json")
    run.send_signal(number)
    _, errors = run.communicate(timeout=LIMIT_S)
    assert run.returncode == 1, errors
    found = results.read(tmp_path / "results.json")
    assert found.partial and found.samples
    assert not any(child.is_running() for child in children)


def test_children_exit_when_their_parent_is_killed(tmp_path: Path) -> None:
    path = tmp_path / "endless.conf"
    path.write_text(ENDLESS)
    run = subprocess.Popen(command("scale", str(path), "--out", str(tmp_path)), stderr=subprocess.DEVNULL)
    children = wait_for_sample(run, tmp_path / "results.json")
    assert len(children) >= 5
    run.kill()
    run.wait(LIMIT_S)
    _, alive = psutil.wait_procs(children, timeout=10)
    assert not alive
    assert results.read(tmp_path / "results.json").partial


def wait_for_sample(run: subprocess.Popen[bytes], path: Path) -> list[psutil.Process]:
    """Waits for the first sample and a running site, and returns the run's child processes."""
    deadline = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline:
        children = descendants(run.pid)
        if path.exists() and len(children) >= 5:
            return children
        time.sleep(0.02)
    run.kill()
    raise AssertionError("no sample was taken")


def test_a_run_ends_at_its_time_limit(tmp_path: Path) -> None:
    path = tmp_path / "short.conf"
    path.write_text(ENDLESS + "time-most 2s\n")
    done = subprocess.run(
        command("scale", str(path), "--out", str(tmp_path)), capture_output=True, text=True, timeout=LIMIT_S
    )
    assert done.returncode == 1
    assert "ended by time-most, 2 s" in done.stderr
    assert results.read(tmp_path / "results.json").partial


def test_an_invalid_file_is_rejected_before_anything_starts(tmp_path: Path) -> None:
    path = tmp_path / "bad.conf"
    path.write_text(SMALL + "series s\nworkers 0\nend\n")
    done = subprocess.run(
        command("scale", str(path), "--out", str(tmp_path / "out")),
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert done.returncode == 2
    assert done.stderr == f"error: {path}:3:9: workers: 0 is not within 1 to 4000\n"
    assert not (tmp_path / "out").exists()


def test_check_recognises_a_scale_file(tmp_path: Path) -> None:
    path = tmp_path / "good.conf"
    path.write_text(ENDLESS)
    done = subprocess.run(command("check", str(path)), capture_output=True, text=True, timeout=LIMIT_S)
    assert (done.returncode, done.stdout) == (0, f"{path}: good, a file for `scale`\n")


def test_two_results_files_are_compared(tmp_path: Path) -> None:
    sample = results.Sample("platform", "idle", results.Size(6, 2, 0.0, 0), 1.0)
    for name in ("a", "b"):
        results.write(Results(name, "here", (sample,)), tmp_path / f"{name}.json")
    paths = [str(tmp_path / "a.json"), str(tmp_path / "b.json")]
    done = subprocess.run(command("scale-compare", *paths), capture_output=True, text=True, timeout=LIMIT_S)
    assert done.returncode == 0
    invalid = subprocess.run(
        command("scale-compare", paths[0], os.devnull), capture_output=True, text=True, timeout=LIMIT_S
    )
    assert invalid.returncode == 2 and "error:" in invalid.stderr
