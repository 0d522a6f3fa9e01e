"""The checker accepts exactly the linearizable histories."""

import random

import pytest

from kumquatproxy.laboratory import histories

register = histories.compare_and_set_register


def make_operation(client, call, called_at, returned_at=histories.NEVER, result=None):
    return histories.Operation(client, call, called_at, returned_at, result)


@pytest.mark.parametrize(
    "operations, expected",
    [
        ([], True),
        (
            [
                make_operation("a", ("write", 1), 0, 1, True),
                make_operation("b", ("read",), 2, 3, 1),
            ],
            True,
        ),
        (
            [
                make_operation("a", ("write", 1), 0, 1, True),
                make_operation("b", ("read",), 2, 3, None),
            ],
            False,
        ),
        (
            [
                make_operation("a", ("write", 1), 0, 3, True),
                make_operation("b", ("read",), 1, 2, None),
            ],
            True,
        ),
        # A write with an unknown outcome may take effect late, but only once.
        (
            [
                make_operation("a", ("write", 1), 0),
                make_operation("b", ("read",), 1, 2, None),
            ],
            True,
        ),
        (
            [
                make_operation("a", ("write", 1), 5),
                make_operation("b", ("read",), 1, 2, 1),
            ],
            False,
        ),
        (
            [
                make_operation("a", ("write", 1), 0),
                make_operation("b", ("read",), 1, 2, 1),
                make_operation("c", ("read",), 3, 4, None),
            ],
            False,
        ),
        # Two compare-and-set calls from the same value cannot both succeed.
        (
            [
                make_operation("a", ("cas", None, 1), 0, 9, True),
                make_operation("b", ("cas", None, 2), 0, 9, True),
            ],
            False,
        ),
        (
            [
                make_operation("a", ("cas", None, 1), 0, 9, True),
                make_operation("b", ("cas", None, 2), 0, 9, False),
            ],
            True,
        ),
    ],
)
def test_linearizability_of_small_histories(operations, expected):
    assert histories.is_linearizable(operations, register) is expected


def random_history(seed, count=60):
    """Return a linearizable history: each call takes effect at one moment."""
    rng = random.Random(seed)
    state = None
    operations = []
    for moment in range(count):
        values = range(3)
        call = rng.choice(
            [
                ("read",),
                ("write", rng.choice(values)),
                ("cas", rng.choice(values), rng.choice(values)),
            ]
        )
        state, result = register(state, call)
        called_at, returned_at = moment - rng.uniform(0, 4), moment + rng.uniform(0, 4)
        operations.append(
            make_operation(str(moment), call, called_at, returned_at, result)
        )
    return operations


@pytest.mark.parametrize("seed", range(10))
def test_linearizable_history_is_accepted_and_a_wrong_read_is_rejected(seed):
    operations = random_history(seed)
    assert histories.is_linearizable(operations, register)
    operations.append(make_operation("x", ("read",), 100.0, 101.0, "never written"))
    assert not histories.is_linearizable(operations, register)


def test_linearization_reproduces_the_results():
    operations = random_history(1)
    state = None
    for operation in histories.find_linearization(operations, register):
        state, result = register(state, operation.call)
        assert result == operation.result
