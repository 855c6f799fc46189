"""A configuration file of the platform's planner, with values chosen for the tests."""

from typing import Any

CLASS = {"long_lived": True, "late_worth": 0.1, "worth": 1.0}
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "board": "127.0.0.1:7070",
    "known": {"rev": 0, "notices": []},
    "settings": {
        "classes": [
            CLASS
            | {
                "name": "worker",
                "effect": "repeatable",
                "dedup_scope": "all",
                "window_us": 5_000_000,
                "promise_us": 1_000_000,
                "deadline_us": 6_000_000,
            },
            CLASS
            | {
                "name": "ingest",
                "effect": "by_key",
                "dedup_scope": "cell",
                "window_us": 8_000_000,
                "promise_us": 600_000,
                "deadline_us": 8_000_000,
            },
        ],
        "contract": {
            "answer_slack_us": 5000,
            "ask_within_us": 10_000_000,
            "cold_from": 0.2,
            "drain_grace_us": 250_000,
            "fall_multiple": 2.0,
            "fall_us": 1_500_000,
            "ramp_time_us": 9_000_000,
        },
        "dcs": ["hall 1"],
        "family_info": {
            "accepts_cores": 2.5,
            "class_kind": [-1, -1],
            "class_most": [0, 3],
            "class_start_s": [8.0, 8.0],
            "confirms": "running",
            "fresh_offers": 40.0,
            "mem_booking": 1.5,
            "mem_of_kind": [107.0, 171.0],
            "preempts": True,
            "shows_free": True,
            "size_cores": [37, 56],
            "spread_by": ["none", "cell"],
            "quota_cores": [],
            "unit_cores": 0.6,
            "unit_memory": 1.7,
        },
        "group_size": 1,
        "kinds": ["node-32", "node-64"],
        "limits": {
            "conn_idle_us": 30_000_000,
            "dial_timeout_us": 250_000,
            "max_attempts": 3,
            "max_retry_after_us": 3_000_000,
            "may_cancel": True,
            "probes": True,
            "retry_after": True,
        },
        "parties": [],
        "penalties": {"probe": 0.003},
        "position": 0,
        "quantum_us": 1000,
        "registry_mode": "push",
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "zone": 0,
    },
}
