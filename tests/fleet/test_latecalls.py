"""Estimate of late calls by utilisation and number of replicas."""

import pytest

from kumquatproxy.fleet import latecalls


def test_load_goes_to_the_least_utilised_engines_first():
    assert latecalls.balanced_utilisation([0.0, 0.0], 1.0) == 0.5
    assert latecalls.balanced_utilisation([0.8, 0.0], 0.4) == pytest.approx(0.4)
    assert latecalls.balanced_utilisation([0.2, 0.4], 0.6) == pytest.approx(0.6)


@pytest.mark.parametrize("replicas", [1, 2, 7])
def test_late_share_rises_with_utilisation(replicas):
    shares = [
        latecalls.late_share(utilisation / 20, replicas) for utilisation in range(240)
    ]
    assert shares == sorted(shares) and shares[0] == 0.0 and shares[-1] < 1.0


def test_on_time_throughput_of_overloaded_engines_is_constant():
    """Guards against overloaded models that get no further replica.

    With 127 calls/s at seven engines (utilisation 2.4 for 8 s) nearly all calls were
    estimated late with and without another engine, which could serve five calls/s.
    """
    served_rates = [
        (1.0 - latecalls.late_share(utilisation)) * utilisation
        for utilisation in (1.0, 2.4, 6.0, 20.0)
    ]
    assert served_rates == pytest.approx([served_rates[0]] * 4)


def test_late_share_falls_with_the_number_of_replicas():
    """Guards against ever more replicas of a busy model although no call is late."""
    for utilisation in (0.5, 0.8, 1.0, 3.0):
        one_replica, three_replicas, nine_replicas = (
            latecalls.late_share(utilisation, replicas) for replicas in (1, 3, 9)
        )
        assert one_replica > three_replicas > nine_replicas
