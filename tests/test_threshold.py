"""Tests of the threshold rule against Theorem 2, Case 2 of the paper, and of the partition count.

The theorem compares beliefs, which are distributions, by stochastic order.
"""

import pytest

from stairplank.decisions.partition import partition_count, partition_of
from stairplank.decisions.threshold import keeps_home


def at_least(belief: tuple[int, int], threshold: tuple[int, int]) -> bool:
    """Return whether ``belief`` is at least ``threshold`` in stochastic order.

    Both are two-point distributions (upper, lower) with the same weights.
    """
    return belief[0] >= threshold[0] and belief[1] >= threshold[1]


@pytest.mark.parametrize("x", range(1, 9))
@pytest.mark.parametrize("y", range(1, 12))
def test_upper_step_uses_the_threshold_of_the_paper(x: int, y: int) -> None:
    assert keeps_home(x, True, y) is at_least((y, y - 1), (x + 1, x))


@pytest.mark.parametrize("x", range(1, 9))
@pytest.mark.parametrize("y", range(1, 12))
def test_lower_step_uses_the_threshold_of_the_paper(x: int, y: int) -> None:
    threshold = (0, 0) if x == 1 else (x - 1, x - 2)
    assert keeps_home(x - 1, False, y) is at_least((y, y - 1), threshold)


def test_strategies_printed_in_the_paper() -> None:
    assert not keeps_home(3, True, 3)  # strategy (27), upper step: the job is sent away
    assert keeps_home(2, False, 3)  # strategy (27), lower step: the job stays
    assert keeps_home(3, True, 4) and keeps_home(2, False, 4)  # strategy (28): the job stays at both steps
    assert not keeps_home(4, True, 3)  # strategy (28) of the other controller: the job is sent away
    assert keeps_home(3, False, 3)  # strategy (28), as conjectured: the job stays at the lower step
    assert not keeps_home(5, True, 3) and not keeps_home(4, False, 3)  # strategy (30) with y = x + 2


@pytest.mark.parametrize("planners", [1, 3, 60, 350])
def test_few_partitions_are_empty_and_every_node_has_a_home(planners: int) -> None:
    empty = total = 0
    for nodes in range(1, 81):
        count = partition_count(nodes, planners)
        assert 1 <= count <= planners
        used = {partition_of(n * 7919, count) for n in range(nodes)}
        assert used <= {p % count for p in range(planners)}  # each partition is some planner's home
        empty += count - len(used)
        total += count
    assert empty <= 0.05 * total
    assert partition_count(0, planners) == 1


def test_partition_of_a_node_depends_only_on_its_id_and_the_count() -> None:
    assert [partition_of(n, 3) for n in range(6)] == [partition_of(n, 3) for n in range(300)][:6]
    assert {partition_of(n, 1) for n in range(50)} == {0}


def test_partition_count_changes_twice_while_a_fleet_doubles() -> None:
    assert [partition_count(nodes, 160) for nodes in range(32, 65, 4)] == [8] * 4 + [12] * 4 + [16]
    assert [partition_count(nodes, 3) for nodes in (3, 8, 12, 60)] == [1, 2, 3, 3]
