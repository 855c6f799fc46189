"""Golden traces of the gRPC planners: the messages they send in emulated runs, with simulated times."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path

from golden_records import Trace

from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.planner import convert
from stairplank.planner import events as ev
from stairplank.planner.core import Core
from stairplank.rehearsal.scenario import load_scenario
from stairplank.standin.config import client_models, node_list_model

SECOND = 1_000_000
SCENARIOS = Path(__file__).resolve().parents[2] / "stairplank" / "scenarios"
DAYS = [(scenario, seed) for scenario in ("drawn-room", "first-bad-day", "groups-bad-day") for seed in (1, 2)]


class TracedSimulation(Simulation):
    """A simulated cluster that adds every action of its planners to a trace."""

    def __init__(self, config: SimulationConfig, trace: Trace) -> None:
        self.trace = trace
        super().__init__(config)

    def perform(self, planner: int, core: Core, actions: list[ev.Action]) -> None:
        for action in actions:
            self._trace_action(planner, core, action)
        super().perform(planner, core, actions)

    def _trace_action(self, planner: int, core: Core, action: ev.Action) -> None:
        prefix = (self.now_us, planner, core.incarnation)
        match action:
            case ev.SendToClient(session, client_message):
                self.trace.add(
                    *prefix,
                    "client",
                    session,
                    convert.client_message_to_proto(client_message).SerializeToString(),
                )
            case ev.SendOffer(node=node):
                task_class = self.config.cluster.classes[action.class_index]
                message = convert.offer_to_proto(action, task_class, None)
                self.trace.add(*prefix, "node", node, message.SerializeToString())
            case ev.SendCommit(node=node):
                self.trace.add(
                    *prefix, "node", node, convert.commit_to_proto(action, None).SerializeToString()
                )
            case ev.SendLeaseRenewal(node=node):
                self.trace.add(
                    *prefix, "node", node, convert.lease_renewal_to_proto(action, None).SerializeToString()
                )
            case ev.SendStop(node=node):
                self.trace.add(*prefix, "node", node, convert.stop_to_proto(action).SerializeToString())
            case ev.Dial(node, addresses):
                self.trace.add(*prefix, "dial", node, addresses)
            case ev.CloseLink(node):
                self.trace.add(*prefix, "close", node)
            case ev.RequestNodeTasks(node):
                self.trace.add(*prefix, "list tasks", node)
            case ev.CheckHealth(node):
                self.trace.add(*prefix, "health check", node)
            case ev.WatchNodeList(active, revision):
                self.trace.add(*prefix, "watch", active, revision)
            case ev.FetchNodeList():
                self.trace.add(*prefix, "fetch")
            case ev.LogEvent():
                pass  # log texts are not traced
            case _:
                raise TypeError(f"no trace format for action {action!r}")


def record_trace(scenario_name: str, seed: int, trace: Trace) -> None:
    """Run 60 simulated seconds with random faults from the seed, then shut the planners down."""
    scenario = load_scenario(SCENARIOS / scenario_name)
    clients = client_models(scenario.section, scenario.cluster, ["owner-0", "owner-1"], scenario.planners)
    nodes = tuple(node.model for node in scenario.nodes if not node.absent)
    config = SimulationConfig(
        scenario.cluster,
        nodes,
        tuple(replace(client, demand_ends_us=25 * SECOND) for client in clients),
        scenario.planners,
        seed,
        node_list=node_list_model(scenario.section),
    )
    simulation = TracedSimulation(config, trace)
    rng = random.Random(seed)
    for at in sorted(rng.uniform(2, 24) for _ in range(14)):
        simulation.run(int(at * SECOND))
        _inject_fault(simulation, rng, scenario.planners, [node.id for node in nodes])
    simulation.run(60 * SECOND)
    for planner, core in list(simulation.cores.items()):
        simulation.perform(planner, core, core.handle(simulation.now_us, ev.ShutdownRequested()))


def _inject_fault(simulation: Simulation, rng: random.Random, planners: int, node_ids: list[int]) -> None:
    """Inject one random fault: stalled or broken links, a killed process, a drain or failing starts."""
    planner, targets = rng.randrange(planners), rng.sample(node_ids, 3)
    duration_us = int(rng.uniform(0.2, 8) * SECOND)
    match rng.randrange(8):
        case 0 | 1 | 2:
            directions = rng.choice([("there",), ("back",), ("there", "back")])
            simulation.hold_links([planner], targets, directions, duration_us, rng.random() < 0.4)
        case 3:
            simulation.cut_links([planner], targets)
        case 4 if planner in simulation.cores:
            simulation.kill_planner(planner, duration_us)
        case 5:
            simulation.kill_node(targets[0], duration_us)
        case 6:
            simulation.drain_node(targets[0])
        case 7:
            if (node := simulation.nodes[targets[0]]) is not None:
                node.faults.start_failure_share = 0.7
