"""The history checker: accepts what is linearizable, refuses what is not."""

import random

import pytest

from kumquatproxy.laboratory import histories

register = histories.compare_and_set_register


def op(client, call, start, end=histories.NEVER, result=None):
    return histories.Operation(client, call, start, end, result)


@pytest.mark.parametrize(
    "operations, expected",
    [
        ([], True),
        ([op("a", ("write", 1), 0, 1, True), op("b", ("read",), 2, 3, 1)], True),
        ([op("a", ("write", 1), 0, 1, True), op("b", ("read",), 2, 3, None)], False),
        ([op("a", ("write", 1), 0, 3, True), op("b", ("read",), 1, 2, None)], True),
        # A write of unknown outcome may take effect late, but only once.
        ([op("a", ("write", 1), 0), op("b", ("read",), 1, 2, None)], True),
        ([op("a", ("write", 1), 5), op("b", ("read",), 1, 2, 1)], False),
        (
            [
                op("a", ("write", 1), 0),
                op("b", ("read",), 1, 2, 1),
                op("c", ("read",), 3, 4, None),
            ],
            False,
        ),
        # Two compare-and-set calls from the same value cannot both succeed.
        (
            [
                op("a", ("cas", None, 1), 0, 9, True),
                op("b", ("cas", None, 2), 0, 9, True),
            ],
            False,
        ),
        (
            [
                op("a", ("cas", None, 1), 0, 9, True),
                op("b", ("cas", None, 2), 0, 9, False),
            ],
            True,
        ),
    ],
)
def test_small_histories(operations, expected):
    assert histories.is_linearizable(operations, register) is expected


def random_history(seed, count=60):
    """Return a history whose calls take effect at one moment each."""
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
        start, end = moment - rng.uniform(0, 4), moment + rng.uniform(0, 4)
        operations.append(op(str(moment), call, start, end, result))
    return operations


@pytest.mark.parametrize("seed", range(10))
def test_generated_histories_are_accepted_and_a_false_read_is_refused(seed):
    operations = random_history(seed)
    assert histories.is_linearizable(operations, register)
    operations.append(op("x", ("read",), 100.0, 101.0, "never written"))
    assert not histories.is_linearizable(operations, register)


def test_the_order_found_explains_the_results():
    operations = random_history(1)
    state = None
    for operation in histories.find_order(operations, register):
        state, result = register(state, operation.call)
        assert result == operation.result
