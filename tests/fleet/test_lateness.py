"""Late shares of busy engines."""

import pytest

from kumquatproxy.fleet import lateness


def test_work_fills_the_least_busy_engines():
    assert lateness.fill_level([0.0, 0.0], 1.0) == 0.5
    assert lateness.fill_level([0.8, 0.0], 0.4) == pytest.approx(0.4)
    assert lateness.fill_level([0.2, 0.4], 0.6) == pytest.approx(0.6)


@pytest.mark.parametrize("replicas", [1, 2, 7])
def test_late_shares_rise_with_the_level(replicas):
    shares = [lateness.late_share(level / 20, replicas) for level in range(240)]
    assert shares == sorted(shares) and shares[0] == 0.0 and shares[-1] < 1.0


def test_overloaded_engines_serve_as_many_calls_however_many_come():
    """grown Cordillera: 127 calls/s at seven engines, at a level of 2.4 for 8 s.

    When nearly all calls counted as late on both sides, a further engine brought
    nothing, while it would have served five calls a second.
    """
    served = [
        (1.0 - lateness.late_share(level)) * level for level in (1.0, 2.4, 6.0, 20.0)
    ]
    assert served == pytest.approx([served[0]] * 4)


def test_engines_that_share_a_model_are_late_less_often():
    """Engines of a busy model got ever more company although none was late."""
    for level in (0.5, 0.8, 1.0, 3.0):
        alone, few, many = (lateness.late_share(level, one) for one in (1, 3, 9))
        assert alone > few > many
