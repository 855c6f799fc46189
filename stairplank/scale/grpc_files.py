"""The settings file of a planner of the gRPC form, as a scale run writes it."""

from __future__ import annotations

from pathlib import Path

from .platform_files import TASK_CLASS

TEXT = """planner {position} of {planners}
listen 127.0.0.1:0
directory 127.0.0.1:{list_port}
open-most 100000
owner-open-most 100000
running-most 1000000
class {task_class}
    effect repeatable
    aim 1s
    deadline 60s
end
kind std cores 1000000 memory 1000000
{zones}
mean-cores 1
mean-memory 2
tick 10ms
price probe 0.003
"""


def write_planner_file(folder: Path, position: int, planners: int, list_port: int, zones: int) -> Path:
    path = folder / f"planner-{position}.conf"
    zone_lines = "\n".join(f"zone zone-{number}" for number in range(zones))
    text = TEXT.format(
        position=position, planners=planners, list_port=list_port, zones=zone_lines, task_class=TASK_CLASS
    )
    path.write_text(text)
    return path
