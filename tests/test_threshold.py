"""The threshold rule against Theorem 2, Case 2, with beliefs as distributions and stochastic order."""

import pytest

from stairplank.decisions.partition import partition_count, partition_of
from stairplank.decisions.threshold import keeps_home


def at_least(belief: tuple[int, int], threshold: tuple[int, int]) -> bool:
    """Stochastic order of two-point beliefs (upper, lower) that share their weights."""
    return belief[0] >= threshold[0] and belief[1] >= threshold[1]


@pytest.mark.parametrize("x", range(1, 9))
@pytest.mark.parametrize("y", range(1, 12))
def test_upper_step_has_the_papers_threshold(x: int, y: int) -> None:
    assert keeps_home(x, True, y) is at_least((y, y - 1), (x + 1, x))


@pytest.mark.parametrize("x", range(1, 9))
@pytest.mark.parametrize("y", range(1, 12))
def test_lower_step_has_the_papers_threshold(x: int, y: int) -> None:
    threshold = (0, 0) if x == 1 else (x - 1, x - 2)
    assert keeps_home(x - 1, False, y) is at_least((y, y - 1), threshold)


def test_printed_strategies() -> None:
    assert not keeps_home(3, True, 3)  # (27), upper step: away
    assert keeps_home(2, False, 3)  # (27), lower step: home
    assert keeps_home(3, True, 4) and keeps_home(2, False, 4)  # (28)
    assert not keeps_home(4, True, 3)  # (28), the other controller
    assert keeps_home(3, False, 3)  # (28), as conjectured: it keeps its job at the lower step
    assert not keeps_home(5, True, 3) and not keeps_home(4, False, 3)  # (30), y = x + 2


@pytest.mark.parametrize("planners", [1, 3, 60, 350])
def test_hardly_a_part_is_empty_and_every_node_has_a_home(planners: int) -> None:
    empty = parts = 0
    for nodes in range(1, 81):
        count = partition_count(nodes, planners)
        assert 1 <= count <= planners
        cut = {partition_of(n * 7919, count) for n in range(nodes)}
        assert cut <= {p % count for p in range(planners)}  # each is the home of a planner
        empty += count - len(cut)
        parts += count
    assert empty <= 0.05 * parts
    assert partition_count(0, planners) == 1


def test_parts_stay_with_the_count() -> None:
    assert [partition_of(n, 3) for n in range(6)] == [partition_of(n, 3) for n in range(300)][:6]
    assert {partition_of(n, 1) for n in range(50)} == {0}


def test_a_growing_fleet_moves_services_twice_as_it_doubles() -> None:
    assert [partition_count(nodes, 160) for nodes in range(32, 65, 4)] == [8] * 4 + [12] * 4 + [16]
    assert [partition_count(nodes, 3) for nodes in (3, 8, 12, 60)] == [1, 2, 3, 3]
