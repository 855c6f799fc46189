"""Writes the settings files of the gRPC planners of a scale run."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .platform_files import TASK_CLASS

PLANNER_SETTINGS = """planner {position} of {planners}
listen 127.0.0.1:0
directory 127.0.0.1:{list_port}
"""
SITE_SETTINGS = """open-most 100000
owner-open-most 100000
running-most 1000000
class {task_class}
    effect repeatable
    aim {aim}
    deadline 60s
end
kind std cores 1000000 memory 1000000
{zones}
mean-cores 1
mean-memory 2
tick 10ms
price probe 0.003
"""
TENANT_SHARES = 7  # number of distinct tenant shares


def site_text(zones: int, tenants: int = 0, aim_ms: int = 1000) -> str:
    """Returns the settings common to all planners, in the form that can be published as a configuration."""
    lines = [f"zone zone-{number}" for number in range(zones)]
    lines += [f"tenant team-{number} share {1 + number % TENANT_SHARES}" for number in range(tenants)]
    return SITE_SETTINGS.format(task_class=TASK_CLASS, aim=f"{aim_ms}ms", zones="\n".join(lines))


def write_planner_file(
    folder: Path,
    position: int,
    planners: int,
    list_port: int,
    site: str,
    replicas: Sequence[str] = (),
) -> Path:
    """Writes the settings file of one planner and returns its path.

    ``site`` holds the settings common to all planners. ``replicas`` holds the addresses of the configuration
    service; it is empty if the planner reads its settings from the file alone.
    """
    lines = [PLANNER_SETTINGS.format(position=position, planners=planners, list_port=list_port)]
    lines += [f"configuration {address}\n" for address in replicas]
    if replicas:
        lines.append(f"configuration-copy {folder / f'planner-{position}.copy'}\n")
    path = folder / f"planner-{position}.conf"
    path.write_text("".join([*lines, site]))
    return path
