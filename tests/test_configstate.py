"""Configuration state: one winner per number, idempotent resends, shares in steps."""

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


def with_data_centres(names=NAMES):
    state = configstate.ConfigState()
    for name in names:
        state.apply(configstate.SetVoters(0, name, [f"{name}-1"]))
    return state


def test_a_number_has_one_winner_and_resends_get_its_answer():
    state = configstate.ConfigState()
    first = state.apply(submit(0, "one\n"))
    assert state.apply(submit(1, "three\n")).version == 2
    assert state.apply(submit(0, "one  \r\n")) == first
    lost = state.apply(submit(0, "two\n"))
    assert lost.kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert lost.digest == first.digest
    assert state.apply(submit(5)).kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert state.version == 2 and state.text(1) == "one\n"


def test_history_is_bounded_and_old_numbers_stay_taken():
    state = configstate.ConfigState(history_versions=5, kept_texts=2)
    for number in range(9):
        state.apply(submit(number, f"sheet {number}\n"))
    assert [entry.version for entry in state.history] == [5, 6, 7, 8, 9]
    assert sorted(state.texts_by_version) == [8, 9]
    forgotten = state.apply(submit(0, "sheet 0\n"))
    assert forgotten.kind == errors.ErrorKind.VERSION_CONFLICT.value
    assert state.version == 9


@pytest.mark.parametrize("data", [b"", b"junk", configstate.compress("x" * 9)[:-3]])
def test_damaged_text_changes_nothing(data):
    state = configstate.ConfigState()
    command = submit(0)
    command.text = data
    answer = state.apply(command)
    assert answer.kind == errors.ErrorKind.INVALID_CONFIGURATION.value
    assert state.version == 0 and state.revision == 0


def test_inflated_text_over_the_limit_is_refused():
    with pytest.raises(errors.ProxyError, match="over"):
        configstate.decompress(
            configstate.compress("x" * (configstate.MAX_SHEET_BYTES + 1))
        )


def test_design_size_sheet_fits_one_frame():
    text = samples.generate("design-size")
    assert len(configstate.compress(text)) < 100_000


def test_base_fence_never_falls():
    state = with_data_centres()
    assert state.apply(configstate.SetVoters(9, "a", ["a-2"])).revision > 0
    answer = state.apply(configstate.SetVoters(8, "a", ["a-3"]))
    assert answer.kind == errors.ErrorKind.STALE_FENCE.value
    assert state.voters_by_data_centre["a"].voters == ["a-2"]


def test_shares_rise_only_after_every_data_centre_lowered():
    state = with_data_centres(("a", "b"))
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


class RaisesAtOnce(configstate.ConfigState):
    """Raise shares without waiting for acknowledgements."""

    def _raise_shares(self):
        self._grant(storeshare.split(self.limits, self.voters_by_data_centre))


def overused_steps(state, seed):
    """Return at how many random steps the shares in use exceed the limits."""
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
        # A lowered limit is in force once every data centre is within its new share.
        targets = storeshare.split(state.limits, state.voters_by_data_centre)
        shares = {name: share for name, (_, share) in used.items()}
        limits = limits.higher_of(state.limits)
        if all(shares[name].is_within(target) for name, target in targets.items()):
            limits = state.limits
        overused += not storeshare.fits(shares.values(), limits)
    return overused


@pytest.mark.parametrize("seed", range(10))
def test_shares_in_use_never_exceed_the_limits(seed):
    """Guard against a raise while an isolated data centre holds an older share."""
    assert overused_steps(configstate.ConfigState(), seed) == 0


def test_the_check_finds_shares_raised_without_acknowledgement():
    assert overused_steps(RaisesAtOnce(), seed=1) > 0


def test_log_and_snapshot_give_the_same_state():
    state = with_data_centres()
    state.apply(submit(0, "one\n"))
    copy = configstate.ConfigState()
    copy.restore(state.snapshot())
    for command in (submit(1, "two\n"), configstate.AcknowledgeShare("a", 1)):
        assert copy.apply(command) == state.apply(command)
    assert copy.snapshot() == state.snapshot()
    assert copy.text(2) == "two\n"
