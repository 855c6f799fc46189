"""A machine has forgotten its idle connections when the owner ends a task there."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import NotRunnable, Owner, Stage, Task, has_trouble, play

SERVICE = "00000000b4d65521"
MOST = 1  # `worker`: tasks of a service that one planner may have on one machine
IDLE_S = 3.0  # how long nothing was said on the connections
PAUSE_S = 2.0  # from the owner's end of its task to its next set-up for that service
WATCHED_S = 20.0  # how long the machine is watched after that


async def case(stage: Stage) -> list[str]:
    """Return the breaches of the rule."""
    await stage.open(machines=2)
    await stage.planner.start()
    owner = stage.owner("a")
    await stage.planner.ready(owner)
    first = await placed(owner)
    await placed(owner)
    machine = next(machine for machine in stage.machines if first.id in machine.stands)
    if any(len(machine.stands) != 1 for machine in stage.machines):
        raise NotRunnable("the two tasks of the service do not stand on a machine each")
    await asyncio.sleep(IDLE_S)
    if has_trouble():
        machine.forget_connections()
    owner.release(first)
    await asyncio.sleep(PAUSE_S)
    held = set(machine.stands)
    third = await placed(owner)
    breaches = []
    if any(id == third.id for _, id in machine.launches) and len(held) + 1 > MOST:
        breaches.append(
            f"{machine.name} was sent {third.id} while {', '.join(held)} of the same service stood there, "
            f"placed by the same planner: {len(held) + 1} tasks, at most {MOST}"
        )
    await asyncio.sleep(WATCHED_S)
    if first.id in machine.stands:
        stage.record.line(
            f"case      {first.id} still stands, {PAUSE_S + WATCHED_S:g} s after its owner ended it"
        )
    return breaches


async def placed(owner: Owner) -> Task:
    """Ask for a task of the service and wait for its answer."""
    task = await owner.ask(service=SERVICE)
    await asyncio.wait_for(task.done.wait(), 9)
    if not task.answered_at:
        raise NotRunnable("a task was not placed on a calm platform")
    return task


if __name__ == "__main__":
    play(case)
