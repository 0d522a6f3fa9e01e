"""Ledger and store share: what counts as used, and when it is freed.

Memory or slots freed too early let a second load start that does not fit.
"""

import pytest

from kumquatproxy import records
from kumquatproxy.placement import ledger, storeshare

A = records.Item("model", "a", "1")
B = records.Item("model", "b", "1")
C = records.Item("adapter", "c", "1")


def make_ledger(memory_mb=20):
    memory_ledger = ledger.Ledger()
    memory_ledger.set_server(
        records.BackendServer("e1", "", "dc", "engine", "s", 1, memory_mb=memory_mb)
    )
    return memory_ledger


def report(sequence, loaded=(), incarnation=1):
    return records.LoadReport("e1", incarnation, sequence, loaded=loaded)


def test_nothing_fits_before_the_first_report():
    memory_ledger = make_ledger()
    assert not memory_ledger.can_reserve("e1", A, 1)
    memory_ledger.observe(report(1))
    assert memory_ledger.can_reserve("e1", A, 20)
    assert not memory_ledger.can_reserve("e1", A, 21)
    assert not memory_ledger.can_reserve("unknown", A, 1)


def test_item_that_is_reserved_and_loaded_counts_once():
    memory_ledger = make_ledger()
    memory_ledger.observe(report(1))
    memory_ledger.reserve("o1", "e1", A, 9)
    memory_ledger.observe(report(2, [A]))
    assert memory_ledger.used_mb("e1") == 9
    memory_ledger.release("o1", "e1")
    assert memory_ledger.used_mb("e1") == 9
    memory_ledger.observe(report(3))
    assert memory_ledger.used_mb("e1") == 0


def test_second_order_for_an_item_needs_no_additional_memory():
    """Guards against memory of a closed order that blocks a new load of its item."""
    memory_ledger = make_ledger()
    memory_ledger.observe(report(1))
    memory_ledger.reserve("o1", "e1", A, 15)
    assert memory_ledger.can_reserve("e1", A, 15)
    assert not memory_ledger.can_reserve("e1", A, 21)
    assert not memory_ledger.can_reserve("e1", B, 6)


def test_outdated_reports_are_discarded():
    memory_ledger = make_ledger()
    assert memory_ledger.observe(report(2, [A]))
    assert not memory_ledger.observe(report(1))
    assert memory_ledger.observe(report(1, incarnation=2))
    assert not memory_ledger.observe(report(3, [A], incarnation=1))
    memory_ledger.require_report_version("e1", (2, 5))
    assert not memory_ledger.observe(report(4, incarnation=2))
    assert not memory_ledger.can_reserve("e1", B, 1)
    assert memory_ledger.observe(report(5, incarnation=2))


def test_item_of_unknown_size_blocks_loads_on_its_server():
    memory_ledger = make_ledger()
    memory_ledger.observe(report(1, [A]))
    assert not memory_ledger.can_reserve("e1", B, 1)
    memory_ledger.record_sizes({A: 9})
    assert memory_ledger.can_reserve("e1", B, 11)


def test_nothing_fits_on_a_leaving_server():
    memory_ledger = make_ledger()
    memory_ledger.observe(report(1))
    memory_ledger.set_server(
        records.BackendServer("e1", "", "", "", "", 1, memory_mb=20, leaving=True)
    )
    assert not memory_ledger.can_reserve("e1", A, 1)


@pytest.mark.parametrize("slots, parts", [(6, [2, 2, 2]), (8, [3, 3, 2])])
def test_split_gives_remainders_to_the_first_data_centres_by_name(slots, parts):
    limits = storeshare.Share(adapters=64, rate=1.0, slots=slots)
    shares = storeshare.split(limits, ("c", "a", "b"))
    assert [shares[name].slots for name in "abc"] == parts
    assert storeshare.fits(shares.values(), limits)


def test_token_bucket_starts_empty_and_holds_one_load():
    use = storeshare.ShareUse(storeshare.Share(adapters=1, rate=0.5, slots=2), 10.0)
    assert not use.take_token(A, 10.0)
    assert not use.take_token(A, 11.9)
    assert use.take_token(A, 12.0)
    assert use.take_token(A, 99.0)
    assert not use.take_token(A, 99.0)
    assert not use.take_token(A, 50.0)


def test_adapters_count_only_against_the_adapter_limit():
    use = storeshare.ShareUse(storeshare.Share(adapters=1, rate=0.0, slots=0), 0.0)
    assert use.can_reserve(C) and not use.can_reserve(A)
    assert use.take_token(C, 0.0)
    use.reserve("o1", C)
    assert not use.can_reserve(C)
    use.release("o1")
    assert use.can_reserve(C)
