"""Checks in the emulator how a gRPC planner's links, dials and messages grow with its site.

The counts leave out keepalive pings, one per idle link and keepalive period, because the emulator has no
transport.
"""

from __future__ import annotations

import pytest

from stairplank.emulator.simulation import Simulation, SimulationConfig
from stairplank.planner import events as ev
from stairplank.planner.core import Core
from stairplank.planner.link_state import LinkState
from stairplank.settings.cluster import CLUSTER_SCHEMA, cluster_from
from stairplank.settings.schema import load_section_text
from stairplank.standin.node_model import NodeModel

SECOND = 1_000_000
SIZES = (50, 100, 200)
PLANNERS = 3
SETTLE_S, SPAN_S = 6, 20
SITE = """
class worker
    effect repeatable
    aim 2s
    deadline 5s
end
kind std cores 8 memory 16
zone hall
mean-cores 1
mean-memory 2
"""


SENT_TO_NODES = (
    ev.SendOffer,
    ev.SendStop,
    ev.SendCommit,
    ev.SendLeaseRenewal,
    ev.RequestNodeTasks,
    ev.CheckHealth,
)


class CountedSimulation(Simulation):
    """Emulates a site without tasks and counts the dials and messages of its planners."""

    def __init__(self, workers: int) -> None:
        self.dials = 0
        self.to_nodes = 0
        section = load_section_text(SITE, CLUSTER_SCHEMA)
        nodes = tuple(
            NodeModel(number, f"n{number}", "std", "hall", f"rack-{number // 40}", cores=8.0, memory=16.0)
            for number in range(1, workers + 1)
        )
        super().__init__(SimulationConfig(cluster_from(section), nodes, (), PLANNERS))

    def perform(self, planner: int, core: Core, actions: list[ev.Action]) -> None:
        self.dials += sum(isinstance(action, ev.Dial) for action in actions)
        self.to_nodes += sum(isinstance(action, SENT_TO_NODES) for action in actions)
        super().perform(planner, core, actions)

    def links_up(self, planner: int) -> int:
        """Returns how many links of a planner are up."""
        links = self.cores[planner].links.links.values()
        return sum(link.state is LinkState.UP for link in links)


def settled_site(workers: int) -> CountedSimulation:
    """Returns a site in which every planner has a link to every worker."""
    simulation = CountedSimulation(workers)
    simulation.run(SETTLE_S * SECOND)
    return simulation


@pytest.mark.parametrize("workers", SIZES)
def test_every_planner_links_every_worker_once(workers: int) -> None:
    simulation = settled_site(workers)
    assert [simulation.links_up(planner) for planner in range(PLANNERS)] == [workers] * PLANNERS
    assert simulation.dials == workers * PLANNERS
    assert simulation.to_nodes == workers * PLANNERS  # one request for the node's tasks per new link


@pytest.mark.parametrize("workers", SIZES)
def test_an_idle_planner_sends_nothing_to_workers(workers: int) -> None:
    simulation = settled_site(workers)
    before = simulation.dials, simulation.to_nodes
    simulation.run((SETTLE_S + SPAN_S) * SECOND)
    assert (simulation.dials, simulation.to_nodes) == before


def test_calls_of_idle_cores_do_not_follow_the_workers() -> None:
    events: list[int] = []
    for workers in SIZES:
        simulation = settled_site(workers)
        before = simulation.events_played
        simulation.run((SETTLE_S + SPAN_S) * SECOND)
        events.append(simulation.events_played - before)
    assert events == [events[0]] * len(SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_a_worker_that_restarts_costs_its_own_links(workers: int) -> None:
    simulation = settled_site(workers)
    before = simulation.dials
    simulation.kill_node(1, SECOND)
    simulation.run((SETTLE_S + SPAN_S) * SECOND)
    assert [simulation.links_up(planner) for planner in range(PLANNERS)] == [workers] * PLANNERS
    # At each planner, dials fail with growing backoff while the worker is down, and one then succeeds.
    assert PLANNERS < simulation.dials - before <= PLANNERS * 6
