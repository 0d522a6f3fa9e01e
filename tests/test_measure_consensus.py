"""Measurements of the replicated log at a small size; a violation is reported."""

import functools
import random

import gevent
import pytest

from kumquatproxy.agreement import consensus
from kumquatproxy.laboratory import faultschedules, measure, measure_consensus

SMALL_SIZE = {
    "RUN_DURATION_S": 0.05,
    "ROUND_COUNT": 1,
    "SLOW_SYNC_S": 0.003,
    "RECOVERY_CHANGE_COUNT": 200,
    "SCHEDULE_COUNT": 3,
}
NAMES = [
    "append_bytes_per_entry",
    "commit_per_fsync_ratio",
    "faults_survived",
    "recovery_s_per_10k_changes",
]


@pytest.mark.parametrize("name", NAMES)
def test_measurement_returns_positive_figures(name, monkeypatch):
    for constant, value in SMALL_SIZE.items():
        monkeypatch.setattr(measure_consensus, constant, value)
    figures = measure.MEASUREMENTS.get(name)(1)
    assert figures
    assert all(figure.value > 0 for figure in figures)


def test_violation_aborts_the_measurement_with_its_seed(monkeypatch):
    schedule_without_sync = functools.partial(
        faultschedules.Schedule, faults=["crash-in-sync"], sends_after_sync=False
    )
    monkeypatch.setattr(faultschedules, "Schedule", schedule_without_sync)
    with pytest.raises(faultschedules.ViolationError, match="seed 1000000 with 3"):
        measure_consensus.measure_faults(1)


class ElectingGroup:
    """Refuse commands until a leader is elected, for which other tasks must run."""

    def __init__(self, election_delay_s):
        self.has_leader = False
        gevent.spawn_later(election_delay_s, self.elect)

    def elect(self):
        self.has_leader = True

    def leader(self):
        return self

    def submit(self, command, timeout_s):
        if not self.has_leader:
            raise consensus.NotLeader("")
        gevent.sleep(0.001)


def test_clients_wait_until_a_leader_is_elected():
    """Guards against clients that retry in a busy loop, so that no member can elect."""
    group = ElectingGroup(election_delay_s=0.02)
    rng = random.Random(1)
    assert measure_consensus.commits_per_s(group, 1, 0.01, rng) > 0
