"""The settings of planners of the gRPC form, as a scale run writes them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .platform_files import TASK_CLASS

OWN = """planner {position} of {planners}
listen 127.0.0.1:0
directory 127.0.0.1:{list_port}
"""
SITE = """open-most 100000
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
TENANT_SHARES = 7  # different ones


def site_text(zones: int, tenants: int = 0, aim_ms: int = 1000) -> str:
    """What is the same at all planners: a configuration that can be published."""
    lines = [f"zone zone-{number}" for number in range(zones)]
    lines += [f"tenant team-{number} share {1 + number % TENANT_SHARES}" for number in range(tenants)]
    return SITE.format(task_class=TASK_CLASS, aim=f"{aim_ms}ms", zones="\n".join(lines))


def write_planner_file(
    folder: Path,
    position: int,
    planners: int,
    list_port: int,
    site: str,
    replicas: Sequence[str] = (),
) -> Path:
    """``site``: the shared part; ``replicas``: addresses of the configuration service, none where the planner
    has only its file."""
    lines = [OWN.format(position=position, planners=planners, list_port=list_port)]
    lines += [f"configuration {address}\n" for address in replicas]
    if replicas:
        lines.append(f"configuration-copy {folder / f'planner-{position}.copy'}\n")
    path = folder / f"planner-{position}.conf"
    path.write_text("".join([*lines, site]))
    return path
