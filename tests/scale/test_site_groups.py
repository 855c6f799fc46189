"""Tests which samples share a site, and in which order a site takes its samples."""

from __future__ import annotations

from pathlib import Path

from stairplank.scale.plan import load_plan
from stairplank.scale.site_groups import by_site

TARGET = "target workers 80 planners 7 starts 8 running 560\nsteady 1\n"


def sites_of(folder: Path, text: str) -> list[list[tuple[str, int]]]:
    path = folder / "run.conf"
    path.write_text(TARGET + text)
    groups = by_site(load_plan(path).samples)
    return [[(spec.load, spec.size.running) for spec in specs] for specs in groups.values()]


def test_an_idle_site_is_reused_for_the_next_load_of_its_size(tmp_path: Path) -> None:
    text = "series s\nworkers 40 80\nload idle peak\nend\n"
    assert sites_of(tmp_path, text) == [[("idle", 0), ("peak", 280)], [("idle", 0), ("peak", 560)]]


def test_each_start_rate_has_a_separate_site(tmp_path: Path) -> None:
    text = "series s\nrunning 560\nstarts 0 1 8\nend\n"
    assert sites_of(tmp_path, text) == [[("idle", 560)], [("steady", 560)], [("peak", 560)]]


def test_running_tasks_and_list_changes_grow_at_one_site(tmp_path: Path) -> None:
    text = "series s\nrunning 560 0 280\nend\nseries t\nrunning 560\nstarts 1\nlist-changes 4 1\nend\n"
    assert sites_of(tmp_path, text) == [
        [("idle", 0), ("idle", 280), ("idle", 560)],
        [("list-changes-1", 560), ("list-changes-4", 560)],
    ]


def test_an_idle_site_stays_separate_without_another_load_of_its_size(tmp_path: Path) -> None:
    text = "series s\nform platform grpc\nload idle\nend\nevent rack-fails\n"
    assert sites_of(tmp_path, text) == [[("idle", 0)], [("idle", 0)], [("rack-fails", 560)]]


def test_repeats_use_separate_sites(tmp_path: Path) -> None:
    text = "repeat 2\nseries s\nload idle peak\nend\n"
    assert sites_of(tmp_path, text) == [[("idle", 0), ("peak", 560)]] * 2
