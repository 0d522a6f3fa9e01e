"""A short soak in CI: kept seeds that ever failed, and one fixed seed."""

import pytest
import soak

SECONDS = 6.0
CI_SEED = 7


@pytest.mark.parametrize("seed", [CI_SEED, *soak.REGRESSION_SEEDS])
def test_promises_hold_under_faults_from_outside(seed):
    """Acknowledged configurations, refusals, whole answers, and one run at most."""
    run = soak.Soak(seed, SECONDS)
    assert run.run() == []
    assert run.served > 0
