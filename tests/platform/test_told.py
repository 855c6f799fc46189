"""What a planner is told: set-ups at the door, notices of the board, the configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from desk import SECOND, SETTINGS, notice, row, set_up
from platform_config import CONFIG

from stairplank import settings_text
from stairplank.interface import NodeStatus
from stairplank.platform import config, validation
from stairplank.platform import node_list as node_list_module
from stairplank.platform.messages import ProtocolError
from stairplank.platform.node_list import NodeList, machine_number

FIGURES = "service:00000000b4d65521"


def test_a_good_set_up_is_read() -> None:
    got = validation.validate_request(set_up(1, retry="1"), "c", SETTINGS)
    assert (got.spec.cores, got.spec.memory, got.spec.service, got.wait_us) == (1, 2, 0xB4D65521, 6 * SECOND)
    assert got.spec.resubmitted and got.class_index == 0 and got.at == ""
    assert validation.validate_request(set_up(1, at="s-1"), "c", SETTINGS).at == "s-1"


@pytest.mark.parametrize(
    "changes",
    [
        {"class": "none"},
        {"left": ""},
        {"left": "-1"},
        {"left": "1e9"},
        {"left": "0"},
        {"left": "٣"},
        {"left": "99999999999"},
        {"key": "xyz"},
        {"key": "0" * 16},
        {"extras": ""},
        {"extras": f"cores:nan;memory:2;{FIGURES}"},
        {"extras": f"cores:inf;memory:2;{FIGURES}"},
        {"extras": f"cores:-1;memory:2;{FIGURES}"},
        {"extras": f"cores:0;memory:2;{FIGURES}"},
        {"extras": f"cores:1e3;memory:2;{FIGURES}"},
        {"extras": f"cores:17;memory:2;{FIGURES}"},
        {"extras": f"cores:1;memory:9999;{FIGURES}"},
        {"extras": f"cores:1;cores:2;memory:2;{FIGURES}"},
        {"extras": "cores:1;memory:2"},
        {"extras": f"cores:1;memory:2;{FIGURES};at:{'x' * 300}"},
        {"sort": "keyed", "idem": ""},
        {"sort": "keyed", "idem": "no hex"},
        {"body": ""},
    ],
)
def test_what_the_module_must_not_see(changes: dict[str, str]) -> None:
    with pytest.raises(validation.InvalidRequest):
        validation.validate_request(set_up(1, **changes), "c", SETTINGS)


def test_a_set_up_without_an_id_is_not_taken() -> None:
    with pytest.raises(validation.InvalidRequest, match="no id"):
        validation.validate_request(set_up(0), "c", SETTINGS)


def test_reports_are_read_in_the_settings_order_or_not_at_all() -> None:
    assert validation.parse_load_report("x1:40;queue:3;x0:12", ("x0", "x1")) == (12.0, 40.0)
    for bad in ("x0:12", "x0:12;x1:nan", "x0:12;x1:", "x0:12;x1:a", ""):
        assert validation.parse_load_report(bad, ("x0", "x1")) == ()


def board(now: list[int]) -> NodeList:
    """Our clock is ``now[0]``; Unix time is ahead, by ``now[1]`` more where there is one."""
    return NodeList(("east",), ("std",), lambda: (5_000 * SECOND + sum(now), now[0]))


def test_notices_count_once_and_gaps_are_told() -> None:
    b = board([0])
    first, missed = b.apply(notice(1, row(1), row(2), whole=True))
    assert first is not None and first.full and not missed
    assert first.machines[0].entry.id == machine_number("s-00000001")
    assert b.apply(notice(1, row(1), whole=True)) == (None, False)  # a repeat
    assert b.apply(notice(3, row(1))) == (None, True)  # a gap: not taken
    assert b.apply({"rev": 1}) == (None, False)
    assert b.apply({"rev": 2}) == (None, True)  # the number alone shows a gap too
    assert b.revision == 1
    second, _ = b.apply(notice(2, row(1, "DELETED")))
    assert second is not None and second.machines[0].entry.status is NodeStatus.GONE
    assert b.apply(notice(9, row(1), whole=True))[0] is not None  # a whole list needs none before it


def test_a_start_is_worked_out_once() -> None:
    now = [10 * SECOND]
    b = board(now)
    one, _ = b.apply(notice(1, row(1, born_ms=5_007_000), whole=True))
    now += [3 * SECOND]  # Unix time is set
    now[0] += 12_345
    two, _ = b.apply(notice(2, row(1, born_ms=5_007_000)))
    assert one is not None and two is not None
    assert one.machines[0].entry.started_us == two.machines[0].entry.started_us == 7 * SECOND


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"rev": "1"},
        {"rev": True},
        {"rev": 1, "pool": []},
        {"rev": 1, "pool": {"whole": True}},
        {"rev": 1, "pool": {"whole": True, "hosts": {}}},
        {"rev": -1, "pool": {"whole": True, "hosts": []}},
    ],
)
def test_a_notice_that_cannot_be_read_changes_nothing(value: dict[str, Any]) -> None:
    b = board([0])
    with pytest.raises(ProtocolError):
        b.apply(value)
    assert b.revision == 0


def test_a_notice_that_cannot_be_read_again_hides_nothing_behind_it() -> None:
    b = board([0])
    b.apply(notice(1, row(1), whole=True))
    bad = {"rev": 2, "pool": {"hosts": 7}}
    with pytest.raises(ProtocolError):
        b.apply(bad)  # asked for anew: it may have been spoilt on its way
    assert b.apply(bad) == (None, False) and b.unusable_entries == 1
    got, _ = b.apply(notice(3, row(1, "DRAINING")))
    assert got is not None and b.revision == 3


def test_the_file_is_read_by_the_reader_of_the_simulators_settings(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    got = config.load(str(path))
    assert got.settings == settings_text.settings_from(
        "\n".join(f"{k}={v}" for k, v in settings_text.flatten(CONFIG["settings"]).items())
    )
    assert got.settings.classes[1].name == "ingest" and got.settings.node_types[1].cores == 56
    assert got.fields == ("x0", "x1", "utilization") and got.zones == ("hall 1",)
    assert (got.sockets, got.dial_timeout_us, got.seed) == (256, 250_000, 0x8C1F)


@pytest.mark.parametrize("broken", ["", "[]", "{", '{"settings":{}}', json.dumps(CONFIG | {"board": "x"})])
def test_a_file_that_cannot_be_used_says_so(tmp_path: Path, broken: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(broken)
    with pytest.raises(config.ConfigError):
        config.load(str(path))


ODD: list[dict[str, Any]] = [
    {"born_ms": 1e400},
    {"block": -1e400},
    {"class": []},
    {"spare": [1]},
    {"spare": ["a", 1]},
    {"spare": [float("nan"), 1]},
    {"dial": 7},
    {"dial": "nowhere"},
    {"dial": "127.8.1.1:99999"},
]


@pytest.mark.parametrize("changes", ODD)
def test_an_entry_that_cannot_be_used_costs_that_entry_and_not_the_drains_beside_it(
    changes: dict[str, Any],
) -> None:
    b = board([0])
    got, missed = b.apply(notice(1, row(1, **changes), row(2, "DRAINING"), {}, 7, whole=True))  # type: ignore[arg-type]
    assert got is not None and not missed and b.revision == 1 and b.unusable_entries == 3
    assert [(m.name, m.entry.status) for m in got.machines] == [("s-00000002", NodeStatus.DRAINING)]
    # the same with the word of a drain, or of an end: it is heard
    for state, status in (("DRAINING", NodeStatus.DRAINING), ("DELETED", NodeStatus.GONE)):
        got, _ = b.apply(notice(b.revision + 1, row(1, state, **changes)))
        assert got is not None and [m.entry.status for m in got.machines] == [status]


@pytest.mark.parametrize("state", ["ODD", "", None, 5, []])
def test_a_state_that_is_not_known_keeps_new_work_away(state: Any) -> None:
    got, _ = board([0]).apply(notice(1, row(1, health=state), whole=True))
    assert got is not None and got.machines[0].entry.status is NodeStatus.DRAINING


@pytest.mark.parametrize("host", ["", "x" * 201, "\ud800", 5, None])
def test_a_machine_without_a_name_is_none(host: Any) -> None:
    b = board([0])
    got, _ = b.apply(notice(1, row(1, host=host), row(2), whole=True))
    assert got is not None and [m.name for m in got.machines] == ["s-00000002"] and b.unusable_entries == 1


def test_names_are_those_of_the_file_blanks_and_all(tmp_path: Path) -> None:
    """The settings text has none; by its spelling set-ups would name no class, and machines no zone."""
    path = tmp_path / "config.json"
    settings = json.loads(json.dumps(CONFIG["settings"]))
    settings["classes"][0]["name"], settings["dcs"] = "Lesesaal, groß", ["hall 1", "hall,2"]
    settings["kinds"] = ["node 32", "node,64"]
    settings["report"]["fields"] = ["free cores", "x1", "utilization"]
    path.write_text(json.dumps(CONFIG | {"settings": settings}))
    got = config.load(str(path))
    assert [c.name for c in got.settings.classes] == ["Lesesaal, groß", "ingest"]
    assert got.zones == ("hall 1", "hall,2") and got.fields[0] == "free cores"
    assert [k.name for k in got.settings.node_types] == ["node 32", "node,64"]


def test_zones_that_the_settings_do_not_name_are_places_of_their_own() -> None:
    board = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    rows = [row(n, site=site) for n, site in enumerate(("east", "north", "south", "north"), 1)]
    got, _ = board.apply(notice(1, *rows, whole=True))
    assert got is not None
    zones = [m.entry.zone for m in got.machines]
    assert len(set(zones)) == 3 and zones[1] == zones[3]


def test_zones_that_are_told_of_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_list_module, "MAX_ZONES", 3)
    board = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    got, _ = board.apply(notice(1, *(row(n, site=f"z{n}") for n in range(1, 20)), whole=True))
    assert got is not None and len({m.entry.zone for m in got.machines}) == 3
