"""Writes the configuration files of the platform form's planners for a scale run."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from .loopback import address_for

TASK_CLASS = "task"
WORKER_KIND = "standard"
SECOND_US = 1_000_000
TASK_CLASS_SETTINGS: dict[str, Any] = {
    "name": TASK_CLASS,
    "effect": "repeatable",
    "dedup_scope": "all",
    "window_us": 5 * SECOND_US,
    "promise_us": 1 * SECOND_US,
    "deadline_us": 6 * SECOND_US,
    "long_lived": True,
    "worth": 1.0,
    "late_worth": 0.1,
}
CONTRACT: dict[str, Any] = {
    "answer_slack_us": 5000,
    "ask_within_us": 10 * SECOND_US,
    "cold_from": 0.2,
    "drain_grace_us": 250_000,
    "fall_multiple": 2.0,
    "fall_us": 1_500_000,
    "ramp_time_us": 9 * SECOND_US,
}
FAMILY: dict[str, Any] = {
    "accepts_cores": 2.5,
    "class_kind": [-1],
    "class_most": [0],
    "class_start_s": [8.0],
    "confirms": "running",
    "fresh_offers": 40.0,
    "mem_booking": 1.5,
    "mem_of_kind": [128.0],
    "preempts": True,
    "shows_free": True,
    "size_cores": [32],
    "spread_by": ["none"],
    "quota_cores": [],
    "unit_cores": 1.0,
    "unit_memory": 2.0,
}
LIMITS: dict[str, Any] = {
    "conn_idle_us": 30 * SECOND_US,
    "dial_timeout_us": 250_000,
    "max_attempts": 3,
    "max_retry_after_us": 3 * SECOND_US,
    "may_cancel": True,
    "probes": True,
    "retry_after": True,
}


def planner_config(
    position: int, planners: int, list_port: int, zones: int, descriptors: int
) -> dict[str, Any]:
    """Build the configuration of the planner at this position, as its JSON file holds it."""
    settings = {
        "classes": [TASK_CLASS_SETTINGS],
        "contract": CONTRACT,
        "dcs": [f"zone-{number}" for number in range(zones)],
        "family_info": FAMILY,
        "group_size": planners,
        "kinds": [WORKER_KIND],
        "limits": LIMITS,
        "parties": [],
        "penalties": {"probe": 0.003},
        "position": position,
        "quantum_us": 1000,
        "registry_mode": "push",
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "zone": position % zones,
    }
    return {
        "name": f"planner-{position}",
        "listen": "127.0.0.1:0",
        "seed": f"{position + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": descriptors},
        "board": f"{address_for(position)}:{list_port}",
        "known": {"rev": 0, "notices": []},
        "settings": settings,
    }


def write_planner_file(folder: Path, config: dict[str, Any]) -> Path:
    path = folder / f"{config['name']}.json"
    path.write_text(json.dumps(config))
    return path
