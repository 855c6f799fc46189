"""Which settings keys may change while a planner runs, and why the others need a restart."""

from __future__ import annotations

from dataclasses import fields, replace
from pathlib import Path

import pytest

from stairplank import interface as api
from stairplank.configuration.changes import (
    CLASS_KEYS,
    NEW_CONNECTION_KEYS,
    SETTINGS_KEYS,
    ChangeScope,
    ConfigurationChanges,
    LiveChange,
    RestartRequiredError,
    RestartRequirement,
    compare_configurations,
)
from stairplank.configuration.field_changes import changed_names, changed_settings
from stairplank.settings import PlannerConfig, load_planner
from stairplank.settings.cluster import CLUSTER_SCHEMA
from stairplank.settings.site import TUNABLE_KEYS

TEXT = """\
planner 1 of 3
home-zone b
listen 127.0.0.1:7400
directory 127.0.0.1:7300
seed 7
class worker
    effect repeatable
    aim 3s
    deadline 7s
    spread node 2
end
class ingest
    effect keyed
    group rack
    window 8s
    aim 600ms
    deadline 8s
    kind big
end
kind small cores 16 memory 32
kind big cores 64 memory 128
zone a
zone b
tenant archive share 2
tenant web share 1
mean-cores 0.5
mean-memory 1.5
price probe 0.003
"""


@pytest.fixture
def old(tmp_path: Path) -> PlannerConfig:
    return load_text(tmp_path, TEXT)


def load_text(tmp_path: Path, text: str) -> PlannerConfig:
    path = tmp_path / "planner.conf"
    path.write_text(text)
    return load_planner(path)


def load_changed(tmp_path: Path, *pairs: tuple[str, str]) -> PlannerConfig:
    text = TEXT
    for before, after in pairs:
        assert text.count(before) >= 1, before
        text = text.replace(before, after, 1)
    return load_text(tmp_path, text)


def test_the_same_configuration_changes_nothing(old: PlannerConfig, tmp_path: Path) -> None:
    changes = compare_configurations(old, load_text(tmp_path, TEXT))
    assert changes == ConfigurationChanges()
    assert changes.is_empty


LIVE_CASES = [
    ("aim 3s", "aim 4s", "class worker: aim"),
    ("deadline 7s", "deadline 6s", "class worker: deadline"),
    ("deadline 7s", "deadline 7s\n    worth 5", "class worker: worth"),
    ("deadline 7s", "deadline 7s\n    start-worth 1s", "class worker: start-worth"),
    ("deadline 7s", "deadline 7s\n    late-worth 20%", "class worker: late-worth"),
    ("deadline 7s", "deadline 7s\n    priority 2", "class worker: priority"),
    ("deadline 7s", "deadline 7s\n    calm-until 0.5", "class worker: calm-until"),
    ("deadline 7s", "deadline 7s\n    lost-over 0.5", "class worker: lost-over"),
    ("spread node 2", "spread node 3", "class worker: spread"),
    ("    kind big", "    kind small", "class ingest: kind"),
    ("kind small cores", "class fresh\n effect once\n aim 1s\n deadline 2s\nend\nkind small cores", "class"),
    ("zone a\n", "kind huge cores 128 memory 512\nzone a\n", "kind"),
    ("zone a\nzone b\n", "zone a\nzone b\nzone c\n", "zone"),
    ("tenant web share 1", "tenant web share 1\ntenant new share 1", "tenant"),
    ("tenant web share 1", "tenant web share 3", "tenant"),
    ("mean-cores 0.5", "mean-cores 0.6", "mean-cores"),
    ("mean-memory 1.5", "mean-memory 2", "mean-memory"),
    ("price probe 0.003", "price probe 0.5", "price probe"),
    ("price probe 0.003", "price probe 0.003\nprice fleet 2", "price fleet"),
    ("price probe 0.003", "price probe 0.003\nprice move 2", "price move"),
    ("price probe 0.003", "price probe 0.003\nprice waste 2", "price waste"),
    ("price probe 0.003", "price probe 0.003\nprice list 2", "price list"),
    ("price probe 0.003", "price probe 0.003\nprice refusal 2", "price refusal"),
    *[
        ("mean-cores 0.5\n", f"mean-cores 0.5\n{line}\n", line.split()[0])
        for line in (
            "cores-limit 2",
            "memory-limit 2",
            "preempts yes",
            "max-attempts 5",
            "answer-slack 60ms",
            "drain-grace 300ms",
            "cold-share 0.3",
            "cold-time 20s",
            "fall-multiple 3",
            "fresh-offers 30",
            "retry-after-most 4s",
            "owner-wait 4s",
            "list-ask-within 9s",
            "tick 20ms",
            "dial-timeout 300ms",
            "dial-retry 200ms 3s",
            "link-grace 2s",
            "probe-timeout 600ms",
            "list-silence 6s",
            "stop-grace 9s",
            "open-most 10",
            "owner-open-most 10",
            "running-most 10",
            "owners-most 10",
            "nodes-most 10",
            "dials-most 10",
            "wait-most 2h",
        )
    ],
]


@pytest.mark.parametrize(("before", "after", "key"), LIVE_CASES)
def test_keys_that_may_change_while_a_planner_runs(
    old: PlannerConfig, tmp_path: Path, before: str, after: str, key: str
) -> None:
    changes = compare_configurations(old, load_changed(tmp_path, (before, after)))
    assert changes == ConfigurationChanges((LiveChange(key, ChangeScope.LIVE),))
    changes.raise_if_restart_required()


NEW_CONNECTION_CASES = [("send-buffer", "64k"), ("message-most", "64k"), ("keepalive", "4s 1s")]


@pytest.mark.parametrize(("key", "value"), NEW_CONNECTION_CASES)
def test_limits_of_connections_apply_to_new_ones(
    old: PlannerConfig, tmp_path: Path, key: str, value: str
) -> None:
    changes = compare_configurations(
        old, load_changed(tmp_path, ("mean-cores 0.5", f"mean-cores 0.5\n{key} {value}"))
    )
    assert changes == ConfigurationChanges((LiveChange(key, ChangeScope.NEW_CONNECTIONS),))


RESTART_CASES = [
    ("effect repeatable", "effect once", "class worker: effect", "second start"),
    ("group rack", "group node", "class ingest: group", "second start"),
    ("window 8s", "window 9s", "class ingest: window", "second start"),
    ("spread node 2", "spread rack 2", "class worker: spread", "former scope"),
    ("    spread node 2\n", "", "class worker: spread", "former scope"),
    ("cores 64 memory 128", "cores 32 memory 128", "kind big: cores", "records of nodes"),
    ("cores 64 memory 128", "cores 64 memory 256", "kind big: memory", "records of nodes"),
    ("class worker", "class other", "class", "worker would be removed"),
    ("kind small cores 16 memory 32\n", "", "kind", "small would be removed"),
    ("zone a\n", "", "zone", "a would be removed"),
    ("zone a\nzone b\n", "zone b\nzone a\n", "zone", "order would change"),
    ("tenant archive share 2\n", "", "tenant", "archive would be removed"),
    (
        "tenant archive share 2\ntenant web share 1\n",
        "tenant web share 1\ntenant archive share 2\n",
        "tenant",
        "order would change",
    ),
    ("mean-cores 0.5", "mean-cores 0.5\nconfirms accepted", "confirms", "Placed promises"),
    ("mean-cores 0.5", "mean-cores 0.5\nfall-time 2s", "fall-time", "slots of this length"),
    ("planner 1 of 3", "planner 1 of 4", "planner", "divide the nodes"),
    ("planner 1 of 3", "planner 2 of 3", "planner", "divide the nodes"),
    ("home-zone b", "home-zone a", "home-zone", "its own"),
    ("listen 127.0.0.1:7400", "listen 127.0.0.1:7401", "listen", "this planner's own"),
    ("directory 127.0.0.1:7300", "directory 127.0.0.1:7301", "directory", "this planner's own"),
    ("seed 7", "seed 8", "seed", "this planner's own"),
    ("seed 7", "seed 7\nconfiguration 127.0.0.1:7500", "configuration", "this planner's own"),
    ("seed 7", "seed 7\nconfiguration-copy /tmp/copy", "configuration-copy", "this planner's own"),
]


@pytest.mark.parametrize(("before", "after", "key", "reason"), RESTART_CASES)
def test_keys_that_need_a_restart(
    old: PlannerConfig, tmp_path: Path, before: str, after: str, key: str, reason: str
) -> None:
    changes = compare_configurations(old, load_changed(tmp_path, (before, after)))
    messages = {entry.key: entry.message for entry in changes.restart_requirements}
    assert key in messages
    assert reason in messages[key]
    with pytest.raises(RestartRequiredError, match=key):
        changes.raise_if_restart_required()


def test_classes_in_another_order_are_rejected(old: PlannerConfig) -> None:
    """A task in flight refers to its class by number: in another order, it would change its class."""
    reordered = replace(old, settings=replace(old.settings, classes=old.settings.classes[::-1]))
    (requirement,) = compare_configurations(old, reordered).restart_requirements
    assert (requirement.key, "order would change" in requirement.message) == ("class", True)


def test_a_class_inserted_between_others_is_rejected(old: PlannerConfig) -> None:
    first, second = old.settings.classes
    settings = replace(old.settings, classes=(first, replace(first, name="new"), second))
    (requirement,) = compare_configurations(old, replace(old, settings=settings)).restart_requirements
    assert (requirement.key, "order would change" in requirement.message) == ("class", True)


def test_one_key_that_needs_a_restart_rejects_the_whole_change(old: PlannerConfig, tmp_path: Path) -> None:
    pairs = (("deadline 7s", "deadline 6s"), ("window 8s", "window 9s"), ("cores 64", "cores 32"))
    changes = compare_configurations(old, load_changed(tmp_path, *pairs))
    assert changes.keys == ("class worker: deadline",)
    with pytest.raises(RestartRequiredError) as caught:
        changes.raise_if_restart_required()
    assert [entry.key for entry in caught.value.requirements] == ["class ingest: window", "kind big: cores"]
    assert "class ingest: window" in str(caught.value)


def test_a_changed_spread_scope_is_not_hidden_by_a_changed_spread_limit(
    old: PlannerConfig, tmp_path: Path
) -> None:
    changes = compare_configurations(old, load_changed(tmp_path, ("spread node 2", "spread rack 3")))
    assert [type(entry) for entry in (*changes.live_changes, *changes.restart_requirements)] == [
        RestartRequirement
    ]


def test_a_class_and_its_new_kind_can_be_added_together(old: PlannerConfig, tmp_path: Path) -> None:
    fresh = "class fresh\n effect once\n aim 1s\n deadline 2s\n kind huge\nend\nkind small cores"
    pairs = (("kind small cores", fresh), ("zone a", "kind huge cores 128 memory 512\nzone a"))
    changes = compare_configurations(old, load_changed(tmp_path, *pairs))
    assert (sorted(changes.keys), changes.restart_requirements) == (["class", "kind"], ())


def test_every_key_of_a_file_has_a_case_in_this_module() -> None:
    """A key that is added to the schema needs a case in this file."""
    cases = (
        {key for _, _, key in LIVE_CASES}
        | {key for key, _ in NEW_CONNECTION_CASES}
        | {key for _, _, key, _ in RESTART_CASES}
    )
    keywords = {key.split(":")[0].split()[0] for key in cases}
    assert {item.name for item in (*CLUSTER_SCHEMA, *TUNABLE_KEYS)} <= keywords
    class_keys = {key.partition(": ")[2] for key in cases if key.startswith("class ")}
    (block,) = (item for item in CLUSTER_SCHEMA if item.name == "class")
    assert {key.name for key in block.keys} <= class_keys


def test_every_field_has_a_key_unless_files_do_not_contain_it() -> None:
    not_in_the_file = {
        "polls_node_list", "lists_free_capacity", "may_check_health", "may_cancel", "report_fields",
        "reports_in_answers", "tenant_quota_cores", "over_quota_weight",
    }  # fmt: skip
    known = {field.name for field in fields(api.Settings)} - {"classes", "node_types"}
    assert set(SETTINGS_KEYS) == known - not_in_the_file
    assert set(CLASS_KEYS) == {field.name for field in fields(api.TaskClass)} - {"name"}
    assert {key for key, _ in NEW_CONNECTION_CASES} == NEW_CONNECTION_KEYS


def test_names_may_only_grow_at_the_end() -> None:
    assert changed_names("zones", ["a"], ["a"]) == ()
    assert [c.restart_reason for c in changed_names("zones", ["a"], ["a", "b"])] == [None]
    assert [c.restart_reason for c in changed_names("zones", [], ["a"])] == [None]
    for new in (["b", "a"], ["b"], []):
        (change,) = changed_names("zones", ["a"], new)
        assert change.restart_reason is not None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("polls_node_list", False),
        ("lists_free_capacity", False),
        ("may_check_health", False),
        ("may_cancel", False),
        ("report_fields", ("util",)),
        ("reports_in_answers", True),
    ],
)
def test_features_of_the_protocol_need_a_restart(old: PlannerConfig, field: str, value: object) -> None:
    (change,) = changed_settings(old.settings, replace(old.settings, **{field: value}))
    assert (str(change), "agreed on" in str(change.restart_reason)) == (field, True)
