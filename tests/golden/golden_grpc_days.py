"""What the gRPC planners send on emulated days: ``stairplank.v1`` messages with the simulated times."""

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


class TracedWorld(Simulation):
    """A simulated cluster that writes down what its planners send."""

    def __init__(self, config: SimulationConfig, trace: Trace) -> None:
        self.trace = trace
        super().__init__(config)

    def perform(self, planner: int, core: Core, actions: list[ev.Action]) -> None:
        for action in actions:
            self._write_down(planner, core, action)
        super().perform(planner, core, actions)

    def _write_down(self, planner: int, core: Core, action: ev.Action) -> None:
        head = (self.now_us, planner, core.incarnation)
        match action:
            case ev.SendToClient(session, word):
                self.trace.add(
                    *head, "client", session, convert.client_message_to_proto(word).SerializeToString()
                )
            case ev.SendOffer(node=node):
                task_class = self.config.cluster.classes[action.class_index]
                message = convert.offer_to_proto(action, task_class, None)
                self.trace.add(*head, "node", node, message.SerializeToString())
            case ev.SendCommit(node=node):
                self.trace.add(*head, "node", node, convert.commit_to_proto(action, None).SerializeToString())
            case ev.SendLeaseRenewal(node=node):
                self.trace.add(
                    *head, "node", node, convert.lease_renewal_to_proto(action, None).SerializeToString()
                )
            case ev.SendStop(node=node):
                self.trace.add(*head, "node", node, convert.stop_to_proto(action).SerializeToString())
            case ev.Dial(node, addresses):
                self.trace.add(*head, "dial", node, addresses)
            case ev.CloseLink(node):
                self.trace.add(*head, "close", node)
            case ev.RequestNodeTasks(node):
                self.trace.add(*head, "list tasks", node)
            case ev.CheckHealth(node):
                self.trace.add(*head, "health check", node)
            case ev.WatchNodeList(active, revision):
                self.trace.add(*head, "watch", active, revision)
            case ev.FetchNodeList():
                self.trace.add(*head, "fetch")
            case ev.LogEvent():
                pass  # a log line
            case _:
                raise TypeError(f"an action that no trace has: {action!r}")


def play(scenario_name: str, seed: int, trace: Trace) -> None:
    """A day of 60 simulated seconds with faults drawn from the seed; at its end the planners shut down."""
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
    world = TracedWorld(config, trace)
    rng = random.Random(seed)
    for at in sorted(rng.uniform(2, 24) for _ in range(14)):
        world.run(int(at * SECOND))
        _strike(world, rng, scenario.planners, [node.id for node in nodes])
    world.run(60 * SECOND)
    for planner, core in list(world.cores.items()):
        world.perform(planner, core, core.handle(world.now_us, ev.ShutdownRequested()))


def _strike(world: Simulation, rng: random.Random, planners: int, node_ids: list[int]) -> None:
    """One fault: links that stand still or break, a process that dies, a drain, failing starts."""
    planner, some = rng.randrange(planners), rng.sample(node_ids, 3)
    duration_us = int(rng.uniform(0.2, 8) * SECOND)
    match rng.randrange(8):
        case 0 | 1 | 2:
            directions = rng.choice([("there",), ("back",), ("there", "back")])
            world.hold_links([planner], some, directions, duration_us, rng.random() < 0.4)
        case 3:
            world.cut_links([planner], some)
        case 4 if planner in world.cores:
            world.kill_planner(planner, duration_us)
        case 5:
            world.kill_node(some[0], duration_us)
        case 6:
            world.drain_node(some[0])
        case 7:
            if (node := world.nodes[some[0]]) is not None:
                node.faults.start_failure_share = 0.7
