"""Demand prediction: it follows real changes in time and ignores noise.

A slow prediction leaves servers overloaded; a noisy one causes needless loads.
"""

import random

import pytest

from kumquatproxy import records
from kumquatproxy.placement import demand

ITEM = records.Item("model", "m", "1")
STEP_S = 5.0


def predict(rate_at, until_s, seed, size=20.0):
    """Count random arrivals at a rate; return the prediction at each step."""
    rng = random.Random(seed)
    predictor = demand.Predictor()
    predictions = []
    for step in range(int(until_s / STEP_S)):
        now = step * STEP_S
        mean = rate_at(now) * STEP_S / size
        arrivals = max(0, round(rng.gauss(mean, mean**0.5)))
        if arrivals:
            predictor.count(ITEM, arrivals * size, now, arrivals, STEP_S)
        predictions.append(predictor.rates(now).get(ITEM, 0.0))
    return predictions


@pytest.mark.parametrize("seed", range(5))
def test_prediction_follows_a_tenfold_step_within_a_minute(seed):
    """Guards against a prediction that lags behind a sudden rise."""
    predictions = predict(lambda now: 100.0 if now < 3600 else 1000.0, 3660, seed)
    assert predictions[-1] > 850.0


@pytest.mark.parametrize("seed", range(5))
def test_prediction_follows_a_tenfold_rise_within_an_hour(seed):
    """Guards against a prediction that stays behind a steady rise."""
    predictions = predict(lambda now: 100.0 * 10 ** min(now / 3600, 1.0), 3600, seed)
    for index in (240, 480, 719):
        actual = 100.0 * 10 ** (index * STEP_S / 3600)
        assert predictions[index] > 0.8 * actual


@pytest.mark.parametrize("seed", range(5))
def test_prediction_ignores_noise(seed):
    """Guards against loads caused by the noise of random arrivals."""
    predictions = predict(lambda now: 200.0, 4 * 3600, seed)
    settled = predictions[len(predictions) // 2 :]
    assert max(settled) / min(settled) < 1.15


def test_prediction_ignores_a_short_dip_and_follows_a_long_one():
    """Guards against unloading an item that is needed again a few minutes later."""
    predictions = predict(lambda now: 300.0 if now < 3600 else 0.0, 5 * 3600, 1)
    assert predictions[720 + 24] > 0.8 * predictions[719]
    assert predictions[-1] < 0.05 * predictions[719]


def test_counts_over_a_long_interval_are_not_a_burst():
    """Guards against taking the counts of a whole minute for a sudden rise."""
    predictor = demand.Predictor()
    for minute in range(60):
        now = 60.0 * (minute + 1)
        predictor.count(ITEM, 6000.0, now, 600, interval_s=60.0)
        rate = predictor.rates(now)[ITEM]
    assert rate == pytest.approx(100.0, rel=0.05)


def test_number_of_items_is_bounded():
    """Guards against unbounded memory use by items that no sheet lists."""
    predictor = demand.Predictor(max_items=100)
    for index in range(1000):
        predictor.count(records.Item("model", f"m{index}", "1"), 1.0 + index, 1.0)
    assert len(predictor) == 100
    predictor.retain({ITEM})
    assert len(predictor) == 0
    predictor.count(ITEM, 5.0, 2.0)
    assert predictor.rates(2.0)[ITEM] > 0.0
    assert predictor.rates(1e6) == {}
