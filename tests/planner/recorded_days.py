"""Simulated days with random faults, recorded as traces of the calls of each planner's core."""

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


def record_day(scenario_name: str, seed: int) -> list[Any]:
    """Simulate a day with the faults of a seed; return the trace of each incarnation of each planner."""

    traces: list[Any] = []
    real_core = emulated.Core

    def recorded_core(*arguments: Any) -> Any:
        core = real_core(*arguments)
        traces.append(trace.record(core, *arguments))
        return core

    scenario = load_scenario(ROOT / "stairplank" / "scenarios" / scenario_name)
    clients = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(n.model for n in scenario.nodes if not n.absent)
    config = emulated.SimulationConfig(
        scenario.cluster,
        nodes,
        tuple(replace(client, demand_ends_us=25 * SECOND) for client in clients),
        scenario.planners,
        seed,
        node_list=node_list_model(scenario.section),
    )
    emulated.Core = recorded_core  # type: ignore[assignment,misc]
    try:
        simulation = emulated.Simulation(config)
        rng = random.Random(seed)
        ids = [n.id for n in nodes]
        for at in sorted(rng.uniform(2, 24) for _ in range(14)):
            simulation.run(int(at * SECOND))
            planner, node_ids = rng.randrange(scenario.planners), rng.sample(ids, 3)
            duration_us = int(rng.uniform(0.2, 8) * SECOND)
            match rng.randrange(8):
                case 0 | 1 | 2:
                    directions = rng.choice([("there",), ("back",), ("there", "back")])
                    simulation.hold_links([planner], node_ids, directions, duration_us, rng.random() < 0.4)
                case 3:
                    simulation.cut_links([planner], node_ids)
                case 4 if planner in simulation.cores:
                    simulation.kill_planner(planner, duration_us)
                case 5:
                    simulation.kill_node(node_ids[0], duration_us)
                case 6:
                    simulation.drain_node(node_ids[0])
                case 7:
                    if (node := simulation.nodes[node_ids[0]]) is not None:
                        node.faults.start_failure_share = 0.7
        simulation.run(60 * SECOND)
        for core in list(simulation.cores.values()):  # every planner shuts down at the end
            core.handle(simulation.now_us, ev.ShutdownRequested())
    finally:
        emulated.Core = real_core  # type: ignore[misc]
    return [(t.core_arguments, t.steps, t.digests) for t in traces]
