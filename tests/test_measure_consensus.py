"""Measurements run at a small size, and a violation is not passed over."""

import functools
import random

import gevent
import pytest

from kumquatproxy.agreement import consensus
from kumquatproxy.laboratory import faultschedules, measure, measure_consensus

SMALL = {
    "PERIOD_S": 0.05,
    "ROUNDS": 1,
    "SLOW_SYNC_S": 0.003,
    "RECOVERY_CHANGES": 200,
    "SCHEDULES": 3,
}
NAMES = [
    "append_bytes_per_entry",
    "commit_per_fsync_ratio",
    "faults_survived",
    "recovery_s_per_10k_changes",
]


@pytest.mark.parametrize("name", NAMES)
def test_a_measurement_returns_positive_figures(name, monkeypatch):
    for constant, value in SMALL.items():
        monkeypatch.setattr(measure_consensus, constant, value)
    figures = measure.MEASUREMENTS.get(name)(1)
    assert figures
    assert all(figure.value > 0 for figure in figures)


def test_a_violation_ends_the_measurement_with_its_seed(monkeypatch):
    broken = functools.partial(
        faultschedules.Schedule, faults=["crash-in-sync"], syncs_first=False
    )
    monkeypatch.setattr(faultschedules, "Schedule", broken)
    with pytest.raises(faultschedules.ViolationError, match="seed 1000000 with 3"):
        measure_consensus.measure_faults(1)


class ElectingGroup:
    """Refuse commands until other tasks of the process have run for a while."""

    def __init__(self, elects_after_s):
        self.has_leader = False
        gevent.spawn_later(elects_after_s, self.elect)

    def elect(self):
        self.has_leader = True

    def leader(self):
        return self

    def submit(self, command, timeout_s):
        if not self.has_leader:
            raise consensus.NotLeader("")
        gevent.sleep(0.001)


def test_a_period_without_a_leader_is_waited_out():
    """Beside other load the clients spun for the whole period and counted nothing."""
    group = ElectingGroup(elects_after_s=0.02)
    rng = random.Random(1)
    assert measure_consensus.count_commits(group, 1, 0.01, rng) > 0
