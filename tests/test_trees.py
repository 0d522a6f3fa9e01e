"""Trees: each host has one parent, and all are reached from the root."""

import pytest

from kumquatproxy.membership import trees


@pytest.mark.parametrize("fan_out", [2, 4])
@pytest.mark.parametrize("size", [1, 2, 5, 16, 76])
def test_the_tree_holds_every_host_once(fan_out, size):
    order = [f"h{index}" for index in range(size)]
    reached = [order[0]]
    for name in reached:
        reached += trees.children_in(order, name, fan_out)
    assert sorted(reached) == sorted(order)
    for position, name in enumerate(order):
        for other in trees.neighbours_in(order, name, fan_out):
            assert name in trees.neighbours_in(order, other, fan_out)
        ancestors = trees.ancestors_of(position, fan_out)
        assert ancestors[-1:] == ([0] if position else [])


def test_a_host_outside_the_tree_has_no_neighbours():
    assert trees.neighbours_in(["a", "b"], "c", 2) == []
