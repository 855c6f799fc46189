"""Names of the loads of a scale run other than idle, steady and peak. No I/O."""

from __future__ import annotations

LIST_CHANGES = "list-changes-"  # prefix; the number of node list changes per second follows

PLANNER_RESTARTS = "planner-restarts"
ALL_PLANNERS_RESTART = "all-planners-restart"
MACHINE_FAILS = "machine-fails"
RACK_FAILS = "rack-fails"
RESTARTS = "restarts"  # many workers restart at once
ZONE_RETURNS = "zone-returns"  # all workers of a zone come back as cold nodes
REGION_CUT = "region-cut"
SETTINGS_CHANGE = "settings-change"  # a change is published and applied by running planners
SETTINGS_FOLLOWED = "settings-followed"  # baseline of settings-change: the same planners, no change published
SETTINGS_RESTART = "settings-restart"  # a change is applied by restarting every planner
LIST_MOVES = "list-moves"  # the planners' configuration changes to another node list's address

SETTINGS_EVENTS = (SETTINGS_FOLLOWED, SETTINGS_CHANGE, SETTINGS_RESTART)


def list_changes_per_s(load: str) -> float | None:
    """Returns the rate of list changes in a load's name, or None for any other load."""
    if not load.startswith(LIST_CHANGES):
        return None
    return float(load.removeprefix(LIST_CHANGES))
