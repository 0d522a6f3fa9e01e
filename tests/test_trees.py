"""Trees: every host is reached from the root exactly once."""

import pytest

from kumquatproxy.membership import trees


@pytest.mark.parametrize("fan_out", [2, 4])
@pytest.mark.parametrize("size", [1, 2, 5, 16, 76])
def test_every_host_is_in_the_tree_exactly_once(fan_out, size):
    order = [f"h{index}" for index in range(size)]
    reached = [order[0]]
    for host_id in reached:
        reached += trees.children_in(order, host_id, fan_out)
    assert sorted(reached) == sorted(order)
    for position, host_id in enumerate(order):
        for neighbour in trees.neighbours_in(order, host_id, fan_out):
            assert host_id in trees.neighbours_in(order, neighbour, fan_out)
        ancestors = trees.ancestors_of(position, fan_out)
        assert ancestors[-1:] == ([0] if position else [])


def test_a_host_outside_the_tree_has_no_neighbours():
    assert trees.neighbours_in(["a", "b"], "c", 2) == []
