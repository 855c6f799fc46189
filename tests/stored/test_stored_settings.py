"""Tests that settings files of every kind are read as the same values as by an earlier version.

``data/settings.expected.json`` lists, for each file, every keyword with its parsed values: times in
microseconds, sizes in bytes. The tests below check the typed objects that are built from these values.
``pytest -vv`` shows the whole difference.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from stairplank.emulator.experiment import EXPERIMENT, grid_cells
from stairplank.interface import Effect, Scope
from stairplank.platform import config as platform_config
from stairplank.rehearsal.scenario import SCENARIO, load_scenario
from stairplank.scale.plan import SCALE, load_plan
from stairplank.settings import load_planner, load_section
from stairplank.settings.planner import PLANNER_SCHEMA
from stairplank.settings.site import SITE_SCHEMA, load_site
from stairplank.standin.config import (
    CLIENT_POOL,
    NODE_LIST,
    NODE_POOL,
    load_client_pool,
    load_node_list,
    load_node_pool,
)

DATA = Path(__file__).parent / "data"
SCHEMAS = {
    "planner.conf": PLANNER_SCHEMA,
    "site.conf": SITE_SCHEMA,
    "node.conf": NODE_POOL,
    "directory.conf": NODE_LIST,
    "owners.conf": CLIENT_POOL,
    "scenario.conf": SCENARIO,
    "experiment.conf": EXPERIMENT,
    "scale.conf": SCALE,
}
CLUSTER_SETTINGS = {
    "mean_cores": 1.25,
    "mean_memory": 2.5,
    "cores_limit": 1.5,
    "memory_limit": 1.1,
    "confirms_running": False,
    "preempts": True,
    "max_attempts": 4,
    "answer_slack_us": 60_000,
    "drain_grace_us": 300_000,
    "slow_start_share": 0.3,
    "slow_start_us": 11_000_000,
    "overload_multiple": 2.5,
    "overload_window_us": 1_600_000,
    "slow_start_offers": 21.0,
    "max_retry_after_us": 4_000_000,
    "client_wait_us": 5_000_000,
    "poll_within_us": 12_000_000,
    "tick_us": 15_000,
}
SITE_SETTINGS = {
    "dial_timeout_us": 240_000,
    "reconnect_delay_us": 110_000,
    "max_reconnect_delay_us": 2_200_000,
    "link_grace_us": 900_000,
    "health_check_timeout_us": 510_000,
    "list_silence_timeout_us": 5_100_000,
    "shutdown_grace_us": 9_000_000,
    "max_open_requests": 19_000,
    "max_open_requests_per_client": 18_000,
    "max_running_tasks": 190_000,
    "max_clients": 900,
    "max_nodes": 9_000,
    "max_concurrent_dials": 15,
    "max_wait_us": 3_600_000_000,
    "send_buffer_bytes": 2 << 20,
    "max_message_bytes": 512 << 10,
    "keepalive_us": (4_000_000, 1_500_000),
}
DECISION_SETTINGS = {
    "planners": 3,
    "position": 1,
    "zone": 1,
    "polls_node_list": True,
    "lists_free_capacity": True,
    "may_check_health": True,
    "may_cancel": True,
    "report_fields": ("free_cores", "free_memory", "util"),
    "reports_in_answers": False,
    "tenant_share": (2.0, 0.5),
    "tenant_quota_cores": (),
    "over_quota_weight": 1.0,
    "price_fleet": 0.1,
    "price_migration": 0.2,
    "price_waste": 0.3,
    "price_health_check": 0.4,
    "price_list": 0.5,
    "price_rejection": 0.6,
}
PLATFORM_SETTINGS = {
    "planners": 5,
    "position": 2,
    "zone": 1,
    "mean_cores": 0.6,
    "mean_memory": 1.7,
    "cores_limit": 2.5,
    "memory_limit": 1.5,
    "confirms_running": False,
    "preempts": True,
    "max_attempts": 4,
    "answer_slack_us": 5_000,
    "drain_grace_us": 260_000,
    "slow_start_share": 0.2,
    "slow_start_us": 9_000_000,
    "overload_multiple": 2.25,
    "overload_window_us": 1_500_000,
    "slow_start_offers": 40.0,
    "polls_node_list": True,
    "poll_within_us": 11_000_000,
    "tick_us": 1_100,
    "lists_free_capacity": True,
    "may_check_health": True,
    "may_cancel": True,
    "max_retry_after_us": 3_000_000,
    "client_wait_us": 2_000_000,
    "report_fields": ("free_cores", "free_memory", "util"),
    "reports_in_answers": True,
    "tenant_share": (0.75, 0.25),
    "tenant_quota_cores": (12.0, 8.0),
    "over_quota_weight": 0.9,
    "price_fleet": 0.01,
    "price_migration": 0.02,
    "price_waste": 0.03,
    "price_health_check": 0.04,
    "price_list": 0.05,
    "price_rejection": 0.06,
}
NODE_MODEL_SETTINGS = {
    "id": 3,
    "name": "n3",
    "node_type": "std",
    "zone": "west",
    "rack": "r1",
    "cores": 16.0,
    "memory": 32.5,
    "cores_limit": 1.5,
    "memory_limit": 1.1,
    "slow_start_share": 0.3,
    "slow_start_us": 11_000_000,
    "overload_multiple": 2.5,
    "overload_window_us": 1_600_000,
    "slow_start_offers": 21.0,
    "preempts": True,
    "admission_time_us": (2_000, 5_000),
    "max_waiting_offers": 24,
    "starts_at_once": 3,
    "start_us": 40_000,
    "cold_start_factor": 4.0,
    "max_cached_programs": 7,
    "cores_use": 0.8,
    "memory_use": 0.9,
}
CLIENT_SETTINGS = {
    "name": "anna",
    "rate": 10.0,
    "planners": 2,
    "tenant": "red",
    "retry_delay_us": (300_000, 600_000),
    "short_retry_delay_us": (10_000, 20_000),
    "uncertain_retry_delay_us": 5_000_000,
    "patience_us": 4_000_000,
    "demand_ends_us": 7_000_000,
    "max_tasks": 4,
}

FAULTS_WITH_SEED_5 = [
    "at 10s node 3 5 fail-starts 0.6 for 12s",
    "at 12s node 3 drain",
    "at 14s list behind 4s for 10s",
    "at 20s planner 1 kill for 3s",
    "at 25s demand 2.0 for 6s",
    "at 28s links node 1 2 hold there for 3s",
    "at 30s zone west cut for 5s",
    "at 35s owners restart-services 0.3 1s",
]
FAULTS_WITH_SEED_6 = [
    "at 10s node 2 5 fail-starts 0.6 for 12s",
    "at 12s node 2 drain",
    "at 14s list behind 4s for 10s",
    "at 20s planner 1 kill for 3s",
    "at 25s demand 2.0 for 6s",
    "at 28s links node 1 3 hold there for 3s",
    "at 30s zone west cut for 5s",
    "at 35s owners restart-services 0.3 1s",
]


def field_values(settings: Any, names: dict[str, Any]) -> dict[str, Any]:
    """Return the values of the named fields of a settings object."""
    return {name: getattr(settings, name) for name in names}


def keywords(section: Any) -> dict[str, Any]:
    """Return the values of a section by keyword, as JSON stores them. Each block is a nested section."""
    out: dict[str, Any] = {"values": list(section.values)} if section.values else {}
    for name, occurrences in section.keys.items():
        out[name] = [list(values) for _, values in occurrences]
    for name, blocks in section.blocks.items():
        out[name] = [keywords(block) for block in blocks]
    return dict(json.loads(json.dumps(out)))


@pytest.mark.parametrize("name", SCHEMAS)
def test_every_keyword_is_read(name: str) -> None:
    expected = json.loads((DATA / "settings.expected.json").read_text(encoding="utf-8"))
    assert keywords(load_section(DATA / name, SCHEMAS[name])) == expected[name]


@pytest.mark.parametrize("name", SCHEMAS)
def test_the_file_has_every_keyword_of_its_kind(name: str) -> None:
    used_keywords = keywords(load_section(DATA / name, SCHEMAS[name]))
    assert {item.name for item in SCHEMAS[name]} == set(used_keywords)


# Planner and site


def assert_classes(classes: tuple[Any, ...]) -> None:
    """Check the three task classes that every file with a cluster defines."""
    worker, ingest, report = classes
    assert [c.name for c in classes] == ["worker", "ingest", "report"]
    assert [c.effect for c in classes] == [Effect.IDEMPOTENT, Effect.IDEMPOTENT_BY_KEY, Effect.AT_MOST_ONCE]
    assert [c.dedup_scope for c in classes] == [Scope.ALL, Scope.ZONE, Scope.ALL]
    assert [c.dedup_window_us for c in classes] == [0, 8_000_000, 0]
    assert [c.latency_objective_us for c in classes] == [3_500_000, 600_000, 1_000_000]
    assert [c.deadline_us for c in classes] == [7_000_000, 120_000_000, 1_000_000]
    assert (worker.priority_weight, worker.start_bonus_s, worker.late_start_weight) == (2.5, 1.5, 0.25)
    assert (worker.spread, worker.max_per_place, worker.node_type) == (Scope.GROUP, 2, 1)
    assert (worker.priority, worker.full_service_utilization, worker.service_loss_range) == (2, 0.75, 0.5)
    assert (ingest.priority_weight, ingest.start_bonus_s, ingest.late_start_weight) == (1.0, 0.0, 0.0)
    assert (report.spread, report.max_per_place, report.node_type) == (Scope.NONE, 0, None)
    assert (report.priority, report.full_service_utilization, report.service_loss_range) == (0, 1.0, 1.0)


def assert_cluster(cluster: Any) -> None:
    """Check the cluster that every file with a cluster defines."""
    assert_classes(cluster.classes)
    assert [(k.name, k.cores, k.memory) for k in cluster.node_types] == [
        ("std", 16.0, 32.5),
        ("big", 64.0, 256.0),
    ]
    assert cluster.zones == ("west", "east")
    assert cluster.tenants == (("red", 2.0), ("blue", 0.5))
    assert cluster.prices == {
        "fleet": 0.1,
        "move": 0.2,
        "waste": 0.3,
        "probe": 0.4,
        "list": 0.5,
        "refusal": 0.6,
    }
    assert field_values(cluster, CLUSTER_SETTINGS) == CLUSTER_SETTINGS


def test_a_site_file_is_typed() -> None:
    site = load_site(DATA / "site.conf")
    assert_cluster(site.cluster)
    assert field_values(site, SITE_SETTINGS) == SITE_SETTINGS


def test_a_planner_file_is_typed() -> None:
    config = load_planner(DATA / "planner.conf")
    assert_cluster(config.cluster)
    assert field_values(config, SITE_SETTINGS) == SITE_SETTINGS
    assert config.listen == ("127.0.0.1:7301", "unix:planner.sock")
    assert (config.directory, config.seed) == ("[::1]:7300", 2**64 - 1)
    assert config.configuration == ("127.0.0.1:7401", "127.0.0.1:7402")
    assert config.configuration_copy == "kept copy.json"


def test_the_decision_module_gets_the_settings_of_a_planner_file() -> None:
    settings = load_planner(DATA / "planner.conf").settings
    assert_classes(settings.classes)
    assert [(k.name, k.cores, k.memory) for k in settings.node_types] == [
        ("std", 16.0, 32.5),
        ("big", 64.0, 256.0),
    ]
    assert field_values(settings, CLUSTER_SETTINGS) == CLUSTER_SETTINGS
    assert field_values(settings, DECISION_SETTINGS) == DECISION_SETTINGS


# Stand-ins


def test_a_node_file_is_typed() -> None:
    pool = load_node_pool(DATA / "node.conf")
    first, second = pool.nodes
    assert field_values(first.model, NODE_MODEL_SETTINGS) == NODE_MODEL_SETTINGS
    assert first.listen == ("127.0.0.1:7503", "[::1]:7503")
    assert first.advertise == {"inner": ("127.0.0.1:7603",)}
    assert (first.absent, first.cold, second.absent, second.cold) == (False, True, True, False)
    assert (second.model.id, second.model.cores, second.model.memory) == (4, 64.0, 256.0)
    assert pool.directories == (("127.0.0.1:7300", "inner"), ("127.0.0.1:7310", ""))
    assert (pool.seed, pool.begin) == (12, "begin.txt")
    assert_classes(pool.classes)
    assert [fault.line() for fault in pool.faults] == [
        "at 500ms node 3 fail-starts 0.6 for 2s",
        "at 1s node 4 drain",
    ]
    assert [fault.line() for fault in pool.on_signal] == ["at 0us node 4 leave 3s"]


def test_a_directory_file_is_typed() -> None:
    node_list = load_node_list(DATA / "directory.conf")
    assert node_list.listen == ("127.0.0.1:7300", "127.0.0.1:7310")
    model = node_list.model
    assert (model.update_delay_us, model.silence_timeout_us, model.period_us) == (110_000, 1_100_000, 90_000)
    assert node_list.begin == "begin.txt"
    assert [fault.line() for fault in node_list.faults] == [
        "at 1500ms list forget",
        "at 2s list behind 4s for 10s",
    ]


def test_an_owners_file_is_typed() -> None:
    pool = load_client_pool(DATA / "owners.conf")
    assert_cluster(pool.cluster)
    anna, ben = pool.clients
    assert field_values(anna, CLIENT_SETTINGS) == CLIENT_SETTINGS
    assert (ben.name, ben.tenant) == ("ben", "blue")
    assert_demands(anna.demands)
    assert pool.planners == {0: "127.0.0.1:7301", 2: "127.0.0.1:7303"}
    assert (pool.seed, pool.begin, pool.report) == (14, "begin.txt", "report.json")
    assert [fault.line() for fault in pool.faults] == [
        "at 25s demand 2.0 for 6s",
        "at 35s owners restart-services 0.3 1s",
    ]


def assert_demands(demands: tuple[Any, ...]) -> None:
    """Check the two demands that every file with clients defines."""
    worker, report = demands
    assert (worker.task_class, worker.share) == ("worker", 0.6)
    assert worker.sizes == ((1.0, 2.0), (2.0, 4.5))
    assert (worker.duration_us, worker.batch) == ((700_000, 900_000), (2, 3))
    assert (worker.services, worker.max_tasks_per_service, worker.group) == (5, 6, True)
    assert (report.task_class, report.share, report.sizes) == ("report", 0.4, ((0.5, 1.0),))
    assert (report.duration_us, report.batch) == ((1_000_000, 1_000_000), (1, 1))
    assert (report.services, report.max_tasks_per_service, report.group) == (20, 8, False)


# Scenario, experiment, scale run


def test_a_scenario_file_is_typed() -> None:
    scenario = load_scenario(DATA / "scenario.conf")
    assert_cluster(scenario.cluster)
    # A scenario is named after the folder of its file.
    assert (scenario.name, scenario.about) == ("data", "a room for the test")
    assert (scenario.planners, scenario.owners, scenario.seed) == (2, 3, 5)
    assert (scenario.lasts_us, scenario.settles_us) == (8_000_000, 6_000_000)
    assert [(n.model.id, n.model.name, n.model.rack, n.absent) for n in scenario.nodes] == [
        (1, "left-0", "left-0", False),
        (2, "left-1", "left-1", False),
        (3, "left-2", "left-0", False),
        (4, "left-3", "left-1", True),
        (5, "right-0", "lone", False),
        (6, "right-1", "lone", False),
    ]


def test_a_scenario_s_random_faults_are_the_same() -> None:
    scenario = load_scenario(DATA / "scenario.conf")
    assert [fault.line() for fault in scenario.faults] == FAULTS_WITH_SEED_5
    with_seed_6 = load_scenario(DATA / "scenario.conf", seed=6)
    assert [fault.line() for fault in with_seed_6.faults] == FAULTS_WITH_SEED_6


def test_an_experiment_file_is_typed() -> None:
    grid = grid_cells(str(DATA / "experiment.conf"))
    assert [(c.policy, c.load, c.planners, c.group_size, c.seed) for c in grid] == [
        (policy, load_, planners, size, seed)
        for policy in ("groups", "singles", "blocking")
        for load_ in (0.6, 1.1)
        for planners in (1, 3)
        for size in (2, 8)
        for seed in (1, 2)
    ]


def test_a_scale_file_is_typed() -> None:
    plan = load_plan(DATA / "scale.conf")
    target, layout = plan.target, plan.layout
    assert (target.workers, target.planners, target.starts_per_s, target.running) == (24, 3, 4.0, 60)
    assert (layout.real_planners, layout.zones, layout.rack_size) == (2, 3, 4)
    assert (layout.descriptors, layout.restarted) == (2048, 5)
    assert (plan.name, plan.settle_s, plan.time_most_s) == ("scale", 0.5, 60.0)
    assert (plan.processes_most, plan.memory_most) == (40, 1 << 30)


def test_a_scale_file_gives_the_expected_samples() -> None:
    expected = json.loads((DATA / "scale.samples.expected.json").read_text(encoding="utf-8"))
    assert [sample_values(sample) for sample in load_plan(DATA / "scale.conf").samples] == expected


def sample_values(sample: Any) -> list[Any]:
    """Return a sample of a scale run as plain values for the comparison with JSON."""
    size = sample.size
    site = [size.workers, size.planners, size.starts_per_s, size.running]
    return [sample.form, sample.load, site, sample.list_changes_per_s, sample.span_s, sample.repeat]


# The platform's file


def test_a_platform_file_is_typed() -> None:
    config = platform_config.load(str(DATA / "platform.json"))
    assert (config.name, config.listen, config.node_list_address) == (
        "n0",
        "127.0.0.1:7301",
        "127.0.0.1:7070",
    )
    assert (config.seed, config.sockets, config.revision) == (0x8C1F, 256, "17")
    assert (config.zones, config.tenants) == (("hall 1", "hall 2"), ("red, one", "blue"))
    assert config.fields == ("x0", "x1", "utilization")
    assert (config.dial_timeout_us, config.idle_us, config.handshake_price) == (240_000, 29_000_000, 0.7)
    assert config.known_updates == ({"id": 4}, {"id": 5})


def test_the_decision_module_gets_the_settings_of_a_platform_file() -> None:
    settings = platform_config.load(str(DATA / "platform.json")).settings
    assert field_values(settings, PLATFORM_SETTINGS) == PLATFORM_SETTINGS
    assert [(k.name, k.cores, k.memory) for k in settings.node_types] == [
        ("node 32", 37.0, 107.0),
        ("node-64", 56.0, 171.0),
    ]
    worker, ingest, report = settings.classes
    assert [c.name for c in settings.classes] == ["the worker", "ingest", "report"]
    assert [c.effect for c in settings.classes] == [
        Effect.IDEMPOTENT,
        Effect.IDEMPOTENT_BY_KEY,
        Effect.AT_MOST_ONCE,
    ]
    assert [c.dedup_scope for c in settings.classes] == [Scope.ALL, Scope.GROUP, Scope.ALL]
    assert (worker.latency_objective_us, worker.deadline_us) == (1_000_000, 6_000_000)
    assert (ingest.dedup_window_us, ingest.priority_weight, ingest.late_start_weight) == (8_000_000, 2.0, 0.1)
    assert (ingest.start_bonus_s, ingest.spread, ingest.max_per_place) == (8.5, Scope.ZONE, 3)
    assert (worker.node_type, ingest.node_type, report.node_type) == (None, 1, 0)
    assert (ingest.priority, ingest.full_service_utilization, ingest.service_loss_range) == (2, 0.8, 0.4)
    assert (report.spread, report.max_per_place, report.priority_weight) == (Scope.NODE, 1, 1.0)
