"""The names that samples of a scale run have as their load, beside the plain ones. Data; no I/O."""

from __future__ import annotations

LIST_CHANGES = "list-changes-"  # and the changes of the node list a second

PLANNER_RESTARTS = "planner-restarts"
ALL_PLANNERS_RESTART = "all-planners-restart"
MACHINE_FAILS = "machine-fails"
RACK_FAILS = "rack-fails"
RESTARTS = "restarts"  # of workers, at once
ZONE_RETURNS = "zone-returns"  # cold
REGION_CUT = "region-cut"
SETTINGS_CHANGE = "settings-change"  # published, and taken by planners that run
SETTINGS_FOLLOWED = "settings-followed"  # the same planners, with nothing published
SETTINGS_RESTART = "settings-restart"  # taken by a restart of every planner
LIST_MOVES = "list-moves"  # the planners' configuration names another list

SETTINGS_EVENTS = (SETTINGS_FOLLOWED, SETTINGS_CHANGE, SETTINGS_RESTART)


def list_changes_per_s(load: str) -> float | None:
    """The rate that a load names; None for any other load."""
    if not load.startswith(LIST_CHANGES):
        return None
    return float(load.removeprefix(LIST_CHANGES))
