"""Tests of the replicated configuration.

They guard against two sheets with one version number after a lost answer, and against
data centres that together exceed the limits of the weight store while shares change.
"""

import random

import pytest

from kumquatproxy import errors
from kumquatproxy.configuration import configstate, samples
from kumquatproxy.placement import storeshare

LIMITS = storeshare.Share(adapters=48, rate=1.0, slots=6)
NAMES = ("a", "b", "c")


def submit(follows, text="[organisation a]\n", limits=LIMITS):
    return configstate.SubmitSheet(
        follows=follows,
        limits=limits,
        submitted_at=7.0,
        submitter="operator",
        text=configstate.compress(text),
    )


def state_with_data_centres(names=NAMES):
    state = configstate.ConfigState()
    for name in names:
        state.apply(configstate.SetVoters(0, name, [f"{name}-1"]))
    return state


def test_version_number_is_assigned_once_and_resubmission_gets_same_answer():
    state = configstate.ConfigState()
    first = state.apply(submit(0, "one\n"))
    assert state.apply(submit(1, "three\n")).version == 2
    assert state.apply(submit(0, "one  \r\n")) == first
    refused = state.apply(submit(0, "two\n"))
    assert refused.kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert refused.digest == first.digest
    assert state.apply(submit(5)).kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert state.version == 2 and state.text(1) == "one\n"


def test_history_is_bounded_and_old_version_numbers_are_not_reused():
    state = configstate.ConfigState(history_versions=5, kept_texts=2)
    for number in range(9):
        state.apply(submit(number, f"sheet {number}\n"))
    assert [entry.version for entry in state.history] == [5, 6, 7, 8, 9]
    assert sorted(state.texts_by_version) == [8, 9]
    forgotten = state.apply(submit(0, "sheet 0\n"))
    assert forgotten.kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert state.version == 9


@pytest.mark.parametrize("data", [b"", b"junk", configstate.compress("x" * 9)[:-3]])
def test_damaged_text_is_refused_without_state_change(data):
    state = configstate.ConfigState()
    command = submit(0)
    command.text = data
    answer = state.apply(command)
    assert answer.kind == errors.ErrorKind.INVALID_CONFIGURATION.value
    assert state.version == 0 and state.revision == 0


def test_text_over_limit_after_decompression_is_refused():
    with pytest.raises(errors.ProxyError, match="over"):
        configstate.decompress(
            configstate.compress("x" * (configstate.MAX_SHEET_BYTES + 1))
        )


def test_largest_sample_sheet_compresses_to_less_than_100_kb():
    text = samples.generate("design-size")
    assert len(configstate.compress(text)) < 100_000


def test_voters_with_lower_base_fence_are_refused():
    state = state_with_data_centres()
    assert state.apply(configstate.SetVoters(9, "a", ["a-2"])).revision > 0
    answer = state.apply(configstate.SetVoters(8, "a", ["a-3"]))
    assert answer.kind == errors.ErrorKind.STALE_FENCE.value
    assert state.voters_by_data_centre["a"].voters == ["a-2"]


def test_shares_rise_only_after_all_lowered_shares_are_acknowledged():
    state = state_with_data_centres(("a", "b"))
    state.apply(submit(0))
    assert state.shares_by_data_centre["a"].slots == 3
    state.apply(configstate.SetVoters(0, "c", ["c-1"]))
    assert state.shares_by_data_centre["a"].slots == 2
    assert state.shares_by_data_centre["c"].slots == 0
    version = state.share_version
    state.apply(configstate.AcknowledgeShare("a", version))
    assert state.shares_by_data_centre["c"].slots == 0
    state.apply(configstate.AcknowledgeShare("b", version - 1))
    assert state.shares_by_data_centre["c"].slots == 0
    state.apply(configstate.AcknowledgeShare("b", version))
    assert state.shares_by_data_centre["c"].slots == 2


class RaisesSharesAtOnce(configstate.ConfigState):
    """Raise shares without waiting for acknowledgements."""

    def _raise_shares(self):
        self._grant(storeshare.split(self.limits, self.voters_by_data_centre))


def count_overused_steps(state, seed):
    """Return the number of random steps at which shares in use exceed the limits."""
    rng = random.Random(seed)
    for name in NAMES[:2]:
        state.apply(configstate.SetVoters(0, name, ["x"]))
    state.apply(submit(0))
    used = {name: (0, storeshare.NO_SHARE) for name in NAMES}
    limits = LIMITS
    overused = 0
    for _ in range(300):
        name = rng.choice(NAMES)
        step = rng.randrange(12)
        if step == 0:
            slots = rng.choice((3, 6, 9))
            changed = storeshare.Share(adapters=48, rate=1.0, slots=slots)
            state.apply(submit(state.version, f"{rng.random()}\n", changed))
        elif step == 1:
            state.apply(configstate.SetVoters(0, name, ["x"]))
        elif step < 7 and name in state.shares_by_data_centre:
            used[name] = (state.share_version, state.shares_by_data_centre[name])
        elif step >= 7:
            state.apply(configstate.AcknowledgeShare(name, used[name][0]))
        # A lowered limit applies once every data centre is within its new share.
        targets = storeshare.split(state.limits, state.voters_by_data_centre)
        shares = {name: share for name, (_, share) in used.items()}
        limits = limits.higher_of(state.limits)
        if all(shares[name].is_within(target) for name, target in targets.items()):
            limits = state.limits
        overused += not storeshare.fits(shares.values(), limits)
    return overused


@pytest.mark.parametrize("seed", range(10))
def test_shares_in_use_never_exceed_limits(seed):
    """Guard against raising shares while an isolated data centre uses an older one."""
    assert count_overused_steps(configstate.ConfigState(), seed) == 0


def test_overused_steps_are_counted_when_shares_are_raised_at_once():
    assert count_overused_steps(RaisesSharesAtOnce(), seed=1) > 0


def test_restored_snapshot_gives_same_state_as_log():
    state = state_with_data_centres()
    state.apply(submit(0, "one\n"))
    copy = configstate.ConfigState()
    copy.restore(state.snapshot())
    for command in (submit(1, "two\n"), configstate.AcknowledgeShare("a", 1)):
        assert copy.apply(command) == state.apply(command)
    assert copy.snapshot() == state.snapshot()
    assert copy.text(2) == "two\n"
