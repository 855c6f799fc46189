"""Tests the plan file of a scale run: its samples, and errors with their position and bound."""

from __future__ import annotations

from pathlib import Path

import pytest

from stairplank.scale import bounds
from stairplank.scale.event_names import RACK_FAILS, SETTINGS_CHANGE, SETTINGS_EVENTS
from stairplank.scale.plan import EVENTS, Plan, load_plan
from stairplank.scale.results import Size
from stairplank.settings import SettingsError

SHIPPED = Path(bounds.__file__).resolve().parents[1] / "scales"
TARGET = "target workers 80 planners 7 starts 8 running 560\n"


def plan_of(folder: Path, text: str) -> Plan:
    path = folder / "run.conf"
    path.write_text(text)
    return bounds.load_checked(path)


@pytest.mark.parametrize("name", ["site", "small"])
def test_shipped_files_are_valid(name: str) -> None:
    assert load_plan(SHIPPED / f"{name}.conf").samples


def test_a_load_scales_with_the_workers(tmp_path: Path) -> None:
    text = TARGET + "steady 1\nseries s\nworkers 40 80\nload idle steady peak\nend\n"
    sizes = [spec.size for spec in plan_of(tmp_path, text).samples]
    assert sizes == [
        Size(40, 7, 0.0, 0),
        Size(40, 7, 0.5, 280),
        Size(40, 7, 4.0, 280),
        Size(80, 7, 0.0, 0),
        Size(80, 7, 1.0, 560),
        Size(80, 7, 8.0, 560),
    ]


def test_a_grid_has_every_combination_and_names_its_loads(tmp_path: Path) -> None:
    text = TARGET + "series s\nplanners 7 14\nrunning 560\nstarts 0 1 8\nend\n"
    specs = plan_of(tmp_path, text).samples
    assert [(spec.size.planners, spec.load) for spec in specs] == [
        (7, "idle"),
        (7, "steady"),
        (7, "peak"),
        (14, "idle"),
        (14, "steady"),
        (14, "peak"),
    ]


def test_a_sample_in_two_series_is_taken_once_per_repeat(tmp_path: Path) -> None:
    series = "series {}\nload idle peak\nend\n"
    text = TARGET + "repeat 2\n" + series.format("a") + series.format("b")
    specs = plan_of(tmp_path, text).samples
    assert [(spec.load, spec.repeat) for spec in specs] == [
        ("idle", 0),
        ("peak", 0),
        ("idle", 1),
        ("peak", 1),
    ]


def test_a_series_may_have_a_span_of_its_own(tmp_path: Path) -> None:
    series = "series {}\nload {}\n{}end\n"
    text = TARGET + "span 4s\n" + series.format("a", "idle", "") + series.format("b", "peak", "span 500ms\n")
    assert [spec.span_s for spec in plan_of(tmp_path, text).samples] == [4.0, 0.5]


def test_every_event_is_known(tmp_path: Path) -> None:
    text = TARGET + "".join(f"event {name}\n" for name in EVENTS)
    expected = [load for name in EVENTS for load in (SETTINGS_EVENTS if name == SETTINGS_CHANGE else (name,))]
    assert [spec.load for spec in plan_of(tmp_path, text).samples] == expected


def test_an_event_accepts_planner_counts(tmp_path: Path) -> None:
    samples = plan_of(tmp_path, f"{TARGET}event {RACK_FAILS} 7 14\nevent {SETTINGS_CHANGE} 28\n").samples
    assert [spec.size.planners for spec in samples] == [7, 14, 28, 28, 28]
    assert {spec.form for spec in samples[2:]} == {"grpc"}
    with pytest.raises(SettingsError, match="2:18"):
        plan_of(tmp_path, f"{TARGET}event {RACK_FAILS} 0\n")


def test_a_tasks_duration_keeps_the_requested_number_running(tmp_path: Path) -> None:
    (spec,) = plan_of(tmp_path, TARGET + "series s\nload peak\nend\n").samples
    assert spec.life_s == 560 / 8


@pytest.mark.parametrize(
    ("text", "position", "expected_text"),
    [
        (TARGET + "colour red\n", "2:1", "unknown keyword"),
        ("series s\nload idle\nend\n", "1:1", "target: is required"),
        (TARGET, "1:1", "a series or an event is needed"),
        ("target workers 0 planners 7 starts 8 running 560\n", "1:16", "0 is not within 1 to 4000"),
        ("target workers 8 planners 7 starts 0 running 560\n", "1:36", "0 is not above 0"),
        (TARGET + "series s\nworkers 50 0\nload idle\nend\n", "3:12", "0 is not within 1 to 4000"),
        (TARGET + "series s\nplanners 0\nend\n", "3:10", "0 is not within 1 to 200"),
        (TARGET + "series s\nload busy\nend\n", "3:6", "is none of idle, steady, peak"),
        (TARGET + "series s\nload idle\nstarts 3\nend\n", "4:1", "cannot stand beside `load`"),
        (TARGET + "series s\nform grpc\nlist-changes 4\nend\n", "4:1", "is for the platform form alone"),
        (TARGET + "series s\nstarts 3\nend\n", "3:1", "`running` above 0 is needed"),
        (TARGET + "series s\nload idle\n", "2:1", "not closed by `end`"),
        (TARGET + "span 0s\nevent rack-fails\n", "2:6", "a time above 0 is needed"),
        (TARGET + "event earthquake\n", "2:7", "is none of"),
        (TARGET + "processes-most 301\nevent rack-fails\n", "2:16", "301 is not within 5 to 300"),
    ],
)
def test_an_invalid_plan_is_rejected_with_its_position(
    tmp_path: Path, text: str, position: str, expected_text: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        plan_of(tmp_path, text)
    (problem, *_) = caught.value.problems
    assert f"run.conf:{position}: " in str(problem)
    assert expected_text in str(problem)


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("memory-most 100m\nseries s\nworkers 80\nload peak\nend\n", "at most 100 MB may be taken"),
        (
            "processes-most 5\nseries s\nworkers 2000\nload idle\nend\n",
            "need 12 processes; at most 5 may be started",
        ),
        ("series s\nworkers 4000\nplanners 200\nrunning 100000\nend\n", "may be taken"),
    ],
)
def test_a_plan_above_its_limits_is_rejected_at_the_requesting_line(
    tmp_path: Path, text: str, expected_text: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        plan_of(tmp_path, TARGET + text)
    position = "run.conf:4:1: " if "most" in text else "run.conf:3:1: "
    assert any(
        position in str(problem) and expected_text in str(problem) for problem in caught.value.problems
    )


def test_every_planner_of_the_grpc_form_is_linked_to_every_worker(tmp_path: Path) -> None:
    series = "series {0}\nform {0}\nload idle\nend\n"
    platform, grpc = plan_of(tmp_path, TARGET + series.format("platform") + series.format("grpc")).samples
    more_mb = bounds.estimate(grpc, 1).memory_mb - bounds.estimate(platform, 1).memory_mb
    assert more_mb > 0.9 * 80 * 7 * bounds.GRPC_LINK_MB


def test_a_plan_is_limited_to_half_of_the_machines_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Memory:
        total = 400 * bounds.MEGABYTE

    monkeypatch.setattr(bounds.psutil, "virtual_memory", Memory)
    with pytest.raises(SettingsError, match="at most 200 MB may be taken"):
        plan_of(tmp_path, TARGET + "series s\nload peak\nend\n")


def test_a_plan_is_limited_by_the_file_descriptors_of_the_machine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bounds.resource, "getrlimit", lambda _: (256, 256))
    with pytest.raises(SettingsError, match="the limit is 256"):
        plan_of(tmp_path, TARGET + "series s\nload peak\nend\n")
