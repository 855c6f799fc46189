"""Tests the conversion of bench day files to scenarios: every kind of trouble, and notes on omitted keys."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from stairplank.rehearsal.bench_day import DayError, scenario_from_day
from stairplank.rehearsal.scenario import load_scenario

S = 1_000_000


def use(spread: str, most: int, **more: Any) -> dict[str, Any]:
    base = {
        "batch": 2.0, "life": 1.0, "most": most, "on_kind": -1, "priority": 0, "service": 4.0, "spread": spread,
        "shapes": [[0.5, 1.0, 0.5], [1.0, 2.0, 0.5]], "start_s": 6.0, "used": [0.5, 0.6], "calm": 0.9, "fade": 0.5,
    }  # fmt: skip
    return base | more


def task_class(name: str, effect: str, group: str = "all") -> dict[str, Any]:
    return {
        "name": name, "share": 0.5, "work": 50_000.0, "aim": 1 * S, "deadline": 4 * S, "worth": 2.0,
        "late_worth": 0.1, "effect": effect, "group": group, "window": 6 * S,
    }  # fmt: skip


DAY: dict[str, Any] = {
    "v": 1, "site": "of our own", "family": "place", "kind": "trouble", "length": 10 * S, "tick": 2000,
    "zones": ["east", "west"], "net": {"same": 100.0}, "moon": "full",
    "traffic": {"load": 0.5, "shape": [[0.0, 0.8], [5.0, 1.2], [10.0, 1.0]]},
    "clients": {}, "discovery": {"notice": 500_000, "silent_notice": 2 * S, "period": 300_000},
    "allow": {"max_attempts": 4}, "drain_grace": 400_000, "fall_multiple": 3.0, "fall_for": 2 * S, "prices": {"probe": 0.002},
    "classes": [task_class("api", "safe"), task_class("job", "keyed", "cell"), task_class("audit", "unsafe")],
    "tiers": [{"kinds": [{"name": "small", "cores": 8}, {"name": "big", "cores": 16}], "stated_cold_from": 0.3, "stated_cold": 8 * S}],
    "servers": [{"zone": i % 2, "kind": i % 2, "cell": i % 4, "speed": 1.0, "up": i < 8} for i in range(10)],
    "balancers": [{}] * 4,
    "troubles": [],
    "fam": {
        "admit_queue": 12, "admit_us": 4000.0, "again": 900_000, "at_accept": False, "kept": 5, "life_s": 5.0,
        "memory": [16.0, 40.0], "over": [2.0, 1.5], "preempt": True, "setup": 5.0, "starts": 4, "settle": 2 * S,
        "move_gap": 60_000, "uses": [use("machine", 1), use("cell", 3, priority=1), use("none", 0, on_kind=1)],
    },
}  # fmt: skip


def trouble(kind: str, **more: Any) -> dict[str, Any]:
    return {
        "kind": kind,
        "at": 2 * S,
        "len": 3 * S,
        "size": 0.0,
        "extra": 0.0,
        "on": [],
        "which": 0,
        "steps": [],
    } | more


STEPS = [{"at": 3 * S, "stop": [1], "start": [8]}, {"at": 4 * S, "stop": [2, 3], "start": [9]}]
TROUBLES = {
    "crash": (trouble("crash", on=[0, 3]), "kill for 3s"),
    "slow": (trouble("slow", on=[1], size=4.0), "slow 4.0 for 3s"),
    "fast_errors": (trouble("fast_errors", on=[2], size=0.6), "fail-starts 0.6 for 3s"),
    "answer_lost": (trouble("answer_lost", on=[0, 1], size=0.2, how="reset"), "lose-answers 0.2 reset for 3s"),
    "pauses": (trouble("pauses", on=[4], size=120.0, extra=0.8), "pauses 120ms 800ms for 3s"),
    "burst": (trouble("burst", size=2.0), "demand 2.0 for 3s"),
    "zone_cut": (trouble("zone_cut", which=1), "zone west cut for 3s"),
    "deploy": (trouble("deploy", steps=STEPS, extra=1.5), "leave 1500ms"),
    "shrink": (trouble("shrink", steps=STEPS, extra=1.5), "leave 1500ms"),
    "preempt": (trouble("preempt", steps=STEPS, size=0.5, extra=4.0), "leave 500ms"),
    "grow": (trouble("grow", steps=[{"at": 3 * S, "stop": [], "start": [8, 9]}]), "grow"),
    "discovery_down": (trouble("discovery_down"), "list away for 3s"),
    "discovery_stale": (trouble("discovery_stale", size=2.5), "list behind 2500ms for 3s"),
    "reconnect": (trouble("reconnect", size=0.3), "owners restart-services 0.3 3s"),
    "throttle": (trouble("throttle", on=[0, 1], size=0.25, how="class", which=1), "turn-away job 0.75 for 3s"),
    "balancer_stall": (trouble("balancer_stall", on=[0, 2], size=700.0, extra=5.0, how="apart"), "pause for 700ms"),
}  # fmt: skip


def converted(tmp_path: Path, day: dict[str, Any], **options: Any) -> Any:
    carried = scenario_from_day(day, **options)
    file = tmp_path / "scenario"
    file.write_text(carried.text)
    return load_scenario(file), carried.notes


@pytest.mark.parametrize("kind", sorted(TROUBLES))
def test_every_kind_of_trouble_is_carried_over(tmp_path: Path, kind: str) -> None:
    fault, line = TROUBLES[kind]
    scenario, _ = converted(tmp_path, DAY | {"troubles": [fault]})
    lines = [f.line() for f in scenario.faults]
    found = [x for x in lines if line in x]
    assert found, lines
    at = {"deploy": "3s", "shrink": "3s", "preempt": "3s", "grow": "3s"}.get(kind, "2s")
    assert found[0].startswith(f"at {at} ")


def test_cluster_settings_are_carried_over(tmp_path: Path) -> None:
    scenario, notes = converted(tmp_path, DAY)
    cluster = scenario.cluster
    assert [c.effect.value for c in cluster.classes] == ["repeatable", "keyed", "once"]
    assert [c.spread.value for c in cluster.classes] == ["node", "group", "none"]
    assert cluster.classes[1].dedup_window_us == 6 * S and cluster.classes[2].node_type == 1
    assert (cluster.max_attempts, cluster.drain_grace_us, cluster.overload_multiple, cluster.preempts) == (
        4,
        400_000,
        3.0,
        True,
    )
    assert len(scenario.nodes) == 10 and sum(n.absent for n in scenario.nodes) == 2
    assert {n.model.zone for n in scenario.nodes} == {"east", "west"} and scenario.planners == 4
    assert (
        scenario.nodes[0].model.admission_time_us == (4000, 4000)
        and scenario.nodes[0].model.max_waiting_offers == 12
    )
    # 4 small and 4 big nodes have 224 of memory, overcommitted 1.5 times. A task requests 1.5 for 5 s on
    # average, so 336 / 7.5 = 44.8 tasks a second fill it. Memory in use (49.8) and cores allow more. The rate
    # is half of 44.8, less 7%.
    assert abs(scenario.section.value("rate") - 44.8 * 0.93 * 0.5) < 0.1
    assert any(n.startswith("moon: not known") for n in notes) and any(n.startswith("net: ") for n in notes)


def test_scale_and_speed(tmp_path: Path) -> None:
    full, _ = converted(tmp_path, DAY)
    small, _ = converted(tmp_path, DAY | {"troubles": [TROUBLES["crash"][0]]}, scale=0.5, speed=2.0)
    assert len(small.nodes) == 5 and small.planners == 2
    # Half the capacity at twice the speed gives the same rate.
    assert abs(small.section.value("rate") / full.section.value("rate") - 1.0) < 0.1
    crash = next(f for f in small.faults if f.what == "kill")
    assert crash.at_us == S and crash.duration_us == 1_500_000 and crash.target_ids


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"family": "proxy"}, "family"),
        ({"servers": None}, "not a whole day"),
        ({"fam": {}}, "not a whole day"),
        ({"classes": [{"name": "x"}]}, "not a whole day"),
    ],
)
def test_invalid_day_files_are_rejected(change: dict[str, Any], message: str) -> None:
    with pytest.raises(DayError, match=message):
        scenario_from_day(DAY | change)
    missing = copy.deepcopy(DAY)
    del missing["traffic"]
    with pytest.raises(DayError, match="traffic: is missing"):
        scenario_from_day(missing)
    with pytest.raises(DayError, match="scale"):
        scenario_from_day(DAY, scale=0)


def test_unknown_trouble_is_noted(tmp_path: Path) -> None:
    _, notes = converted(tmp_path, DAY | {"troubles": [trouble("meteor")]})
    assert "trouble meteor: not known here" in notes


def test_converted_day_runs_on_real_processes(tmp_path: Path) -> None:
    day = DAY | {"length": 4 * S, "troubles": [TROUBLES["zone_cut"][0] | {"at": S, "len": S}]}
    for change in day["classes"]:
        assert change["deadline"] == 4 * S
    file = tmp_path / "day.json"
    file.write_text(json.dumps(day))
    command = [sys.executable, "-m", "stairplank", "rehearse", "--day", str(file), "--scale", "0.6", "--work"]
    done = subprocess.run([*command, str(tmp_path / "w")], capture_output=True, text=True, timeout=90)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "not carried over: net: " in done.stderr and "zone west cut" in done.stderr
    bad = subprocess.run(
        [*command, str(tmp_path / "w"), "--day", "/nowhere"], capture_output=True, timeout=90
    )
    assert bad.returncode == 2
