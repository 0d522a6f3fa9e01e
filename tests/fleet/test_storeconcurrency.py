"""A store that serves some loads at full speed and shares its rate beyond them."""

import pytest

from kumquatproxy.fleet import storeconcurrency

LOAD_S = 4.0
STEP_S = 0.05


def load_times(full_speed, burst, is_limited, rounds=4):
    """Return when the loads of the last of several bursts end, from its begin.

    A burst begins once all loads of the one before have ended.
    """
    limit = storeconcurrency.StoreConcurrency()
    now = 0.0
    ends = []
    for _ in range(rounds):
        begun_at, waiting, left_by_key, ends = now, list(range(burst)), {}, []
        while waiting or left_by_key:
            while waiting and (not is_limited or limit.allows(0)):
                key = (round(begun_at, 3), waiting.pop(0))
                limit.begin(key, now)
                left_by_key[key] = LOAD_S
            now += STEP_S
            speed = min(1.0, full_speed / len(left_by_key))
            for key in list(left_by_key):
                left_by_key[key] -= STEP_S * speed
                if left_by_key[key] <= 0.0:
                    del left_by_key[key]
                    limit.end(key, LOAD_S, now)
                    ends.append(now - begun_at)
    return ends


def test_urgent_loads_end_sooner_if_the_others_wait_for_the_store():
    """Guards against eight loads that all take three times as long."""
    shared = load_times(3, 8, is_limited=False)
    limited = load_times(3, 8, is_limited=True)
    assert min(shared) > 2.5 * LOAD_S
    assert sum(limited) / len(limited) < 0.8 * sum(shared) / len(shared)
    # The store is as busy as before, so the last load ends no later than one load more.
    assert max(limited) <= max(shared) + LOAD_S


def test_loads_at_full_speed_are_not_limited():
    ends = load_times(20, 8, is_limited=True)
    assert max(ends) == pytest.approx(LOAD_S, abs=2 * STEP_S)


def test_estimate_rises_again_after_loads_that_were_slow_for_another_reason():
    limit = storeconcurrency.StoreConcurrency()
    limit.begin(("a", 0), 0.0)
    limit.end(("a", 0), 1.0, 5.0)
    assert limit.estimate == storeconcurrency.MIN_ESTIMATE
    now = 5.0
    for _ in range(10):
        keys = [("b", number) for number in range(20) if limit.allows(number)]
        for key in keys:
            limit.begin(key, now)
        now += 1.0
        for key in keys:
            limit.end(key, 1.0, now)
    assert limit.estimate > 8.0


def test_failed_load_is_not_learned_from():
    limit = storeconcurrency.StoreConcurrency()
    limit.begin(("a", 0), 0.0)
    limit.end(("a", 0), None, 30.0)
    assert limit.allows(100)
