"""Tests the target of the capacity page: the shipped file, and the errors for an invalid file."""

from __future__ import annotations

from pathlib import Path

import pytest

from stairplank.scale.target import SHIPPED, TARGET, Target, TargetLine, load_target
from stairplank.settings import SettingsError


def test_the_shipped_target_is_the_site_described_on_the_page() -> None:
    assert load_target() == Target(
        workers=820,
        accelerators=910,
        jobs_per_day=4500,
        starts_per_s=52.0,
        running=6200,
        gang_most=64,
        teams=310,
        urgent_start_s=9.3,
        regions=3,
        zones=6,
        configuration_changes_per_day=2600,
        configuration_in_force_s=15.0,
        control_cpu_share=0.023,
        control_memory_mb=128.0,
        control_bytes_per_s=6000.0,
        planner_machines=7,
        machine_failures_per_day=7.0,
        machine_restarts_per_day=200.0,
        rack_failures_per_year=(6.0, 12.0),
        zone_failures_per_year=(1.0, 2.0),
        region_cut_s=3600.0,
    )


def test_the_target_has_twelve_lines() -> None:
    assert len(TargetLine) == 12
    text = SHIPPED.read_text(encoding="utf-8")
    assert all(f"# {number}. " in text for number in range(1, 13))


def test_errors_in_a_target_name_their_keys(tmp_path: Path) -> None:
    file = tmp_path / "target.conf"
    text = SHIPPED.read_text(encoding="utf-8")
    file.write_text(text.replace("workers 820", "workers none").replace("regions 3\n", ""), encoding="utf-8")
    with pytest.raises(SettingsError) as caught:
        load_target(file)
    assert {problem.key for problem in caught.value.problems} == {"workers", "regions"}


def test_every_key_of_a_target_is_required() -> None:
    assert all(key.required for key in TARGET)  # type: ignore[union-attr]
