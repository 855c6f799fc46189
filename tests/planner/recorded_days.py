"""Emulated days with faults drawn by seed, recorded as traces of what each planner's core was fed."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

from stairplank.emulator import simulation as emulated
from stairplank.planner import events as ev
from stairplank.planner import trace
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import client_models, node_list_model

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000


def play(room: str, seed: int) -> list[Any]:
    """Traces of every planner's life of a day."""

    traces: list[Any] = []
    real = emulated.Core

    def recorded(*made: Any) -> Any:
        core = real(*made)
        traces.append(trace.record(core, *made))
        return core

    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / room)
    owners = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = emulated.SimulationConfig(
        scenario.cluster,
        nodes,
        tuple(replace(o, demand_ends_us=25 * SECOND) for o in owners),
        scenario.planners,
        seed,
        node_list=node_list_model(scenario.section),
    )
    emulated.Core = recorded  # type: ignore[assignment,misc]
    try:
        world = emulated.Simulation(config)
        rng = random.Random(seed)
        ids = [n.id for n in nodes]
        for at in sorted(rng.uniform(2, 24) for _ in range(14)):
            world.run(int(at * SECOND))
            planner, some = rng.randrange(scenario.planners), rng.sample(ids, 3)
            span = int(rng.uniform(0.2, 8) * SECOND)
            match rng.randrange(8):
                case 0 | 1 | 2:
                    ways = rng.choice([("there",), ("back",), ("there", "back")])
                    world.hold_links([planner], some, ways, span, rng.random() < 0.4)
                case 3:
                    world.cut_links([planner], some)
                case 4 if planner in world.cores:
                    world.kill_planner(planner, span)
                case 5:
                    world.kill_node(some[0], span)
                case 6:
                    world.drain_node(some[0])
                case 7:
                    if (node := world.nodes[some[0]]) is not None:
                        node.faults.start_failure_share = 0.7
        world.run(60 * SECOND)
        for core in list(world.cores.values()):  # and they leave
            core.handle(world.now_us, ev.ShutdownRequested())
    finally:
        emulated.Core = real  # type: ignore[misc]
    return [(t.core_arguments, t.steps, t.digests) for t in traces]
