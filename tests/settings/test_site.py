"""A site file has the keys of a planner's file that all planners share, with the same meaning."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import pytest

from stairplank.settings import PlannerConfig, SettingsError, load_planner
from stairplank.settings.planner import PER_PLANNER_SCHEMA, PLANNER_SCHEMA, merge_site
from stairplank.settings.site import (
    SITE_SCHEMA,
    TUNABLE_FIELDS,
    TUNABLE_KEYS,
    SiteSettings,
    load_site,
    load_site_text,
)

SITE_TEXT = """\
class worker
    effect repeatable
    aim 3.5s
    deadline 7s
end
kind small cores 16 memory 32
zone a
zone b
tenant archive share 2
mean-cores 0.5
mean-memory 1.5
max-attempts 4
dial-timeout 300ms
dial-retry 50ms 3s
link-grace 2s
probe-timeout 600ms
list-silence 6s
stop-grace 11s
open-most 100
owner-open-most 50
running-most 200
owners-most 10
nodes-most 20
dials-most 3
wait-most 2h
send-buffer 64k
message-most 128k
keepalive 4s 1s
"""
PER_PLANNER_TEXT = """\
planner 1 of 3
home-zone b
listen 127.0.0.1:7400
directory 127.0.0.1:7300
seed 7
"""
# The value that SITE_TEXT gives to each tunable field; none is the default.
EXPECTED_TUNABLES = {
    "dial_timeout_us": 300_000,
    "reconnect_delay_us": 50_000,
    "max_reconnect_delay_us": 3_000_000,
    "link_grace_us": 2_000_000,
    "health_check_timeout_us": 600_000,
    "list_silence_timeout_us": 6_000_000,
    "shutdown_grace_us": 11_000_000,
    "max_open_requests": 100,
    "max_open_requests_per_client": 50,
    "max_running_tasks": 200,
    "max_clients": 10,
    "max_nodes": 20,
    "max_concurrent_dials": 3,
    "max_wait_us": 7_200_000_000,
    "send_buffer_bytes": 65_536,
    "max_message_bytes": 131_072,
    "keepalive_us": (4_000_000, 1_000_000),
}


def load_planner_text(tmp_path: Path, text: str) -> PlannerConfig:
    path = tmp_path / "planner.conf"
    path.write_text(text)
    return load_planner(path)


def test_every_tunable_is_read_into_its_field() -> None:
    site = load_site_text(SITE_TEXT)
    assert {name: getattr(site, name) for name in EXPECTED_TUNABLES} == EXPECTED_TUNABLES
    assert set(EXPECTED_TUNABLES) == {field.name for field in fields(SiteSettings)} - {"cluster"}
    assert site.cluster.max_attempts == 4
    assert list(site.cluster.zones) == ["a", "b"]


def test_the_table_of_fields_has_every_tunable_and_no_other_key() -> None:
    assert list(TUNABLE_FIELDS) == [key.name for key in TUNABLE_KEYS]


def test_keys_that_are_not_given_keep_their_defaults() -> None:
    text = SITE_TEXT[: SITE_TEXT.index("dial-timeout")]
    site = load_site_text(text)
    defaults = {f.name: f.default for f in fields(SiteSettings) if f.name != "cluster"}
    assert {name: getattr(site, name) for name in defaults} == defaults


def test_a_planners_file_is_a_site_file_and_its_own_keys(tmp_path: Path) -> None:
    assert PLANNER_SCHEMA == SITE_SCHEMA + PER_PLANNER_SCHEMA
    config = load_planner_text(tmp_path, PER_PLANNER_TEXT + SITE_TEXT)
    site = load_site_text(SITE_TEXT)
    assert {f.name: getattr(config, f.name) for f in fields(SiteSettings)} == {
        f.name: getattr(site, f.name) for f in fields(SiteSettings)
    }


def test_site_settings_replace_those_of_a_planner(tmp_path: Path) -> None:
    old = load_planner_text(tmp_path, PER_PLANNER_TEXT + SITE_TEXT)
    changed = SITE_TEXT.replace("max-attempts 4", "max-attempts 5").replace("open-most 100", "open-most 7", 1)
    new = merge_site(old, load_site_text(changed))
    assert new == load_planner_text(tmp_path, PER_PLANNER_TEXT + changed)
    assert new.settings.max_attempts == 5
    assert new.max_open_requests == 7


def test_keys_of_the_planner_itself_are_unchanged(tmp_path: Path) -> None:
    old = load_planner_text(tmp_path, PER_PLANNER_TEXT + SITE_TEXT)
    new = merge_site(old, load_site_text(SITE_TEXT))
    assert new == old
    assert (new.settings.position, new.settings.planners, new.settings.zone) == (1, 3, 1)
    assert (new.listen, new.directory, new.seed) == (("127.0.0.1:7400",), "127.0.0.1:7300", 7)


def test_the_home_zone_is_found_by_its_name(tmp_path: Path) -> None:
    old = load_planner_text(tmp_path, PER_PLANNER_TEXT + SITE_TEXT)
    reordered = SITE_TEXT.replace("zone a\nzone b\n", "zone b\nzone a\n")
    assert merge_site(old, load_site_text(reordered)).settings.zone == 0


def test_a_site_without_the_home_zone_is_rejected(tmp_path: Path) -> None:
    old = load_planner_text(tmp_path, PER_PLANNER_TEXT + SITE_TEXT)
    site = load_site_text(SITE_TEXT.replace("zone b\n", "zone c\n"))
    with pytest.raises(SettingsError, match=r"site\.conf:1:1: zone: no zone b.*known: a, c"):
        merge_site(old, site, "site.conf")


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("planner 0 of 1", "planner"),
        ("home-zone a", "home-zone"),
        ("listen 127.0.0.1:0", "listen"),
        ("directory 127.0.0.1:7300", "directory"),
        ("beyond-loopback yes", "beyond-loopback"),
        ("seed 7", "seed"),
    ],
)
def test_keys_of_a_planner_are_rejected_in_a_site_file(line: str, key: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_site_text(f"{line}\n{SITE_TEXT}", "site.conf")
    (problem,) = caught.value.problems
    assert str(problem.position) == "site.conf:1:1"
    assert (problem.key, "unknown keyword" in problem.message) == (key, True)


@pytest.mark.parametrize(
    ("old", "new", "position", "key", "message"),
    [
        ("dial-retry 50ms 3s", "dial-retry 4s 3s", "14:1", "dial-retry", "longer one"),
        ("open-most 100", "open-most 0", "19:11", "open-most", "not within 1"),
        ("keepalive 4s 1s", "keepalive 4s", "28:1", "keepalive", "value 2 of 2 is missing"),
        ("effect repeatable", "effect twice", "2:12", "effect", "none of repeatable"),
        ("zone b", "zone a", "7:1", "zone", "a is given twice"),
        ("mean-cores 0.5\n", "", "1:1", "mean-cores", "is required"),
    ],
)
def test_errors_name_their_position(old: str, new: str, position: str, key: str, message: str) -> None:
    assert old in SITE_TEXT
    with pytest.raises(SettingsError) as caught:
        load_site_text(SITE_TEXT.replace(old, new, 1), "site.conf")
    matching = [p for p in caught.value.problems if p.key == key and message in p.message]
    assert matching, str(caught.value)
    assert str(matching[0]).startswith(f"site.conf:{position}: ")


def test_a_planners_file_reports_problems_of_both_parts_at_once(tmp_path: Path) -> None:
    text = PER_PLANNER_TEXT.replace("planner 1 of 3", "planner 3 of 3")
    text += SITE_TEXT.replace("dial-retry 50ms 3s", "dial-retry 4s 3s")
    with pytest.raises(SettingsError) as caught:
        load_planner_text(tmp_path, text)
    assert sorted(p.key for p in caught.value.problems) == ["dial-retry", "planner"]


def test_a_site_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "site.conf"
    path.write_text(SITE_TEXT)
    assert load_site(path) == load_site_text(SITE_TEXT)
    with pytest.raises(SettingsError, match="No such file"):
        load_site(tmp_path / "none.conf")
