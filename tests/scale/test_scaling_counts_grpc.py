"""The same for the gRPC planner, in the emulator: links, dials and messages at growing sites.

Pings of quiet links belong to the transport, which the emulator has not: one a link and keepalive period.
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


class CountedWorld(Simulation):
    """An emulated site without work; what planners dial and say is counted."""

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
        """Links of that planner that are up."""
        links = self.cores[planner].links.links.values()
        return sum(link.state is LinkState.UP for link in links)


def settled(workers: int) -> CountedWorld:
    """A site of which every planner has linked every worker."""
    world = CountedWorld(workers)
    world.run(SETTLE_S * SECOND)
    return world


@pytest.mark.parametrize("workers", SIZES)
def test_every_planner_links_every_worker_once(workers: int) -> None:
    world = settled(workers)
    assert [world.links_up(planner) for planner in range(PLANNERS)] == [workers] * PLANNERS
    assert world.dials == workers * PLANNERS
    assert world.to_nodes == workers * PLANNERS  # at each new link the node is asked what it holds


@pytest.mark.parametrize("workers", SIZES)
def test_an_idle_planner_says_nothing_to_workers(workers: int) -> None:
    world = settled(workers)
    before = world.dials, world.to_nodes
    world.run((SETTLE_S + SPAN_S) * SECOND)
    assert (world.dials, world.to_nodes) == before


def test_calls_of_idle_cores_do_not_follow_the_workers() -> None:
    events: list[int] = []
    for workers in SIZES:
        world = settled(workers)
        before = world.events_played
        world.run((SETTLE_S + SPAN_S) * SECOND)
        events.append(world.events_played - before)
    assert events == [events[0]] * len(SIZES)


@pytest.mark.parametrize("workers", SIZES)
def test_a_worker_that_restarts_costs_its_own_links(workers: int) -> None:
    world = settled(workers)
    before = world.dials
    world.kill_node(1, SECOND)
    world.run((SETTLE_S + SPAN_S) * SECOND)
    assert [world.links_up(planner) for planner in range(PLANNERS)] == [workers] * PLANNERS
    # Dials that fail while it is away, and one that does not, at each planner; those wait longer each time.
    assert PLANNERS < world.dials - before <= PLANNERS * 6
