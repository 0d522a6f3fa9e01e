"""Tests that each row of the capacity page names figures that are printed."""

import pathlib

from kumquatproxy.laboratory import capacity

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_every_row_of_the_page_names_figures():
    rows = capacity.rows(PAGE.read_text())
    assert len(rows) >= 6
    assert all(rows)


def test_row_with_a_figure_that_is_not_printed_fails_its_target():
    page = "| role | figures |\n| --- | --- |\n| a | `x` |\n| b | `x`, `y` |\n"
    total, measured = capacity.coverage(page, {"x"})
    assert (total.value, measured.value) == (2, 1)
    assert not measured.meets_target()
    assert capacity.coverage(page, {"x", "y"})[1].meets_target()
