"""Validation of a planner's inputs: placement requests, node list updates and the configuration file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from core_harness import SECOND, SETTINGS, machine_row, node_list_message, placement_request
from platform_config import CONFIG

from stairplank import settings_text
from stairplank.interface import NodeStatus
from stairplank.platform import config, validation
from stairplank.platform import node_list as node_list_module
from stairplank.platform.messages import ProtocolError
from stairplank.platform.node_list import NodeList, machine_number

SERVICE_FIELD = "service:00000000b4d65521"


def test_a_valid_placement_request_is_read() -> None:
    request = validation.validate_request(placement_request(1, retry="1"), "c", SETTINGS)
    assert (request.spec.cores, request.spec.memory, request.spec.service, request.wait_us) == (
        1,
        2,
        0xB4D65521,
        6 * SECOND,
    )
    assert request.spec.resubmitted and request.class_index == 0 and request.at == ""
    assert validation.validate_request(placement_request(1, at="s-1"), "c", SETTINGS).at == "s-1"


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
        {"extras": f"cores:nan;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:inf;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:-1;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:0;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:1e3;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:17;memory:2;{SERVICE_FIELD}"},
        {"extras": f"cores:1;memory:9999;{SERVICE_FIELD}"},
        {"extras": f"cores:1;cores:2;memory:2;{SERVICE_FIELD}"},
        {"extras": "cores:1;memory:2"},
        {"extras": f"cores:1;memory:2;{SERVICE_FIELD};at:{'x' * 300}"},
        {"task_class": "keyed", "idem": ""},
        {"task_class": "keyed", "idem": "no hex"},
        {"body": ""},
    ],
)
def test_an_invalid_placement_request_is_rejected(changes: dict[str, str]) -> None:
    with pytest.raises(validation.InvalidRequestError):
        validation.validate_request(placement_request(1, **changes), "c", SETTINGS)


def test_a_placement_request_without_an_id_is_rejected() -> None:
    with pytest.raises(validation.InvalidRequestError, match="no id"):
        validation.validate_request(placement_request(0), "c", SETTINGS)


def test_a_load_report_is_read_in_the_settings_order_or_ignored() -> None:
    assert validation.parse_load_report("x1:40;queue:3;x0:12", ("x0", "x1")) == (12.0, 40.0)
    for invalid in ("x0:12", "x0:12;x1:nan", "x0:12;x1:", "x0:12;x1:a", ""):
        assert validation.parse_load_report(invalid, ("x0", "x1")) == ()


def make_node_list(now: list[int]) -> NodeList:
    """Create a node list whose local clock is ``now[0]``; ``now[1]``, if given, is added to Unix time."""
    return NodeList(("east",), ("std",), lambda: (5_000 * SECOND + sum(now), now[0]))


def test_updates_are_applied_once_and_gaps_are_reported() -> None:
    node_list = make_node_list([0])
    first, missed = node_list.apply(node_list_message(1, machine_row(1), machine_row(2), whole=True))
    assert first is not None and first.full and not missed
    assert first.machines[0].entry.id == machine_number("s-00000001")
    assert node_list.apply(node_list_message(1, machine_row(1), whole=True)) == (
        None,
        False,
    )  # a repeated update
    assert node_list.apply(node_list_message(3, machine_row(1))) == (
        None,
        True,
    )  # a gap: the update is not applied
    assert node_list.apply({"rev": 1}) == (None, False)
    assert node_list.apply({"rev": 2}) == (None, True)  # a revision without an update shows a gap too
    assert node_list.revision == 1
    second, _ = node_list.apply(node_list_message(2, machine_row(1, "DELETED")))
    assert second is not None and second.machines[0].entry.status is NodeStatus.GONE
    # A full list can be applied without the updates before it.
    assert node_list.apply(node_list_message(9, machine_row(1), whole=True))[0] is not None


def test_a_machine_start_time_is_computed_once() -> None:
    now = [10 * SECOND]
    node_list = make_node_list(now)
    first, _ = node_list.apply(node_list_message(1, machine_row(1, born_ms=5_007_000), whole=True))
    now += [3 * SECOND]  # Unix time is set
    now[0] += 12_345
    second, _ = node_list.apply(node_list_message(2, machine_row(1, born_ms=5_007_000)))
    assert first is not None and second is not None
    assert first.machines[0].entry.started_us == second.machines[0].entry.started_us == 7 * SECOND


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
def test_an_unreadable_update_changes_nothing(value: dict[str, Any]) -> None:
    node_list = make_node_list([0])
    with pytest.raises(ProtocolError):
        node_list.apply(value)
    assert node_list.revision == 0


def test_an_update_that_is_unreadable_twice_is_skipped() -> None:
    node_list = make_node_list([0])
    node_list.apply(node_list_message(1, machine_row(1), whole=True))
    unreadable = {"rev": 2, "pool": {"hosts": 7}}
    with pytest.raises(ProtocolError):
        node_list.apply(unreadable)  # requested again: it may have been damaged in transit
    assert node_list.apply(unreadable) == (None, False) and node_list.unusable_entries == 1
    update, _ = node_list.apply(node_list_message(3, machine_row(1, "DRAINING")))
    assert update is not None and node_list.revision == 3


def test_the_file_is_read_like_the_simulators_settings(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    loaded = config.load(str(path))
    assert loaded.settings == settings_text.settings_from(
        "\n".join(f"{k}={v}" for k, v in settings_text.flatten(CONFIG["settings"]).items())
    )
    assert loaded.settings.classes[1].name == "ingest" and loaded.settings.node_types[1].cores == 56
    assert loaded.fields == ("x0", "x1", "utilization") and loaded.zones == ("hall 1",)
    assert (loaded.sockets, loaded.dial_timeout_us, loaded.seed) == (256, 250_000, 0x8C1F)


@pytest.mark.parametrize("content", ["", "[]", "{", '{"settings":{}}', json.dumps(CONFIG | {"board": "x"})])
def test_an_unusable_file_is_rejected(tmp_path: Path, content: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(content)
    with pytest.raises(config.ConfigError):
        config.load(str(path))


UNUSABLE_CHANGES: list[dict[str, Any]] = [
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


@pytest.mark.parametrize("changes", UNUSABLE_CHANGES)
def test_an_unusable_entry_is_skipped_and_the_drains_beside_it_are_applied(
    changes: dict[str, Any],
) -> None:
    node_list = make_node_list([0])
    update, missed = node_list.apply(
        node_list_message(1, machine_row(1, **changes), machine_row(2, "DRAINING"), {}, 7, whole=True)
    )  # type: ignore[arg-type]
    assert update is not None and not missed and node_list.revision == 1 and node_list.unusable_entries == 3
    assert [(m.name, m.entry.status) for m in update.machines] == [("s-00000002", NodeStatus.DRAINING)]
    # If such an entry says that its machine drains or is deleted, that state is applied.
    for state, status in (("DRAINING", NodeStatus.DRAINING), ("DELETED", NodeStatus.GONE)):
        update, _ = node_list.apply(
            node_list_message(node_list.revision + 1, machine_row(1, state, **changes))
        )
        assert update is not None and [m.entry.status for m in update.machines] == [status]


@pytest.mark.parametrize("state", ["ODD", "", None, 5, []])
def test_an_unknown_state_counts_as_draining(state: Any) -> None:
    update, _ = make_node_list([0]).apply(node_list_message(1, machine_row(1, health=state), whole=True))
    assert update is not None and update.machines[0].entry.status is NodeStatus.DRAINING


@pytest.mark.parametrize("host", ["", "x" * 201, "\ud800", 5, None])
def test_an_entry_without_a_valid_name_is_skipped(host: Any) -> None:
    node_list = make_node_list([0])
    update, _ = node_list.apply(node_list_message(1, machine_row(1, host=host), machine_row(2), whole=True))
    assert (
        update is not None
        and [m.name for m in update.machines] == ["s-00000002"]
        and node_list.unusable_entries == 1
    )


def test_names_with_blanks_and_commas_are_kept_as_the_file_spells_them(tmp_path: Path) -> None:
    """The settings text replaces blanks and commas, so its names would not match those in messages."""
    path = tmp_path / "config.json"
    settings = json.loads(json.dumps(CONFIG["settings"]))
    settings["classes"][0]["name"], settings["dcs"] = "Lesesaal, groß", ["hall 1", "hall,2"]
    settings["kinds"] = ["node 32", "node,64"]
    settings["report"]["fields"] = ["free cores", "x1", "utilization"]
    path.write_text(json.dumps(CONFIG | {"settings": settings}))
    loaded = config.load(str(path))
    assert [c.name for c in loaded.settings.classes] == ["Lesesaal, groß", "ingest"]
    assert loaded.zones == ("hall 1", "hall,2") and loaded.fields[0] == "free cores"
    assert [k.name for k in loaded.settings.node_types] == ["node 32", "node,64"]


def test_zones_that_the_settings_do_not_name_get_different_numbers() -> None:
    node_list = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    rows = [machine_row(n, site=site) for n, site in enumerate(("east", "north", "south", "north"), 1)]
    update, _ = node_list.apply(node_list_message(1, *rows, whole=True))
    assert update is not None
    zones = [m.entry.zone for m in update.machines]
    assert len(set(zones)) == 3 and zones[1] == zones[3]


def test_the_number_of_zones_from_updates_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_list_module, "MAX_ZONES", 3)
    node_list = NodeList(("east",), ("std",), lambda: (1_000 * SECOND, 0))
    update, _ = node_list.apply(
        node_list_message(1, *(machine_row(n, site=f"z{n}") for n in range(1, 20)), whole=True)
    )
    assert update is not None and len({m.entry.zone for m in update.machines}) == 3
