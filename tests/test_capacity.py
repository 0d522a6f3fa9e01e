"""Tests of the capacity page and of its coverage check."""

import pathlib

from kumquatproxy.laboratory import capacity

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def test_every_row_of_the_page_names_figures():
    rows = capacity.rows(PAGE.read_text())
    assert len(rows) >= 6
    assert all(rows)


def test_coverage_misses_its_target_if_a_figure_is_not_printed():
    page = "| role | figures |\n| --- | --- |\n| a | `x` |\n| b | `x`, `y` |\n"
    total, measured = capacity.coverage(page, {"x"})
    assert (total.value, measured.value) == (2, 1)
    assert not measured.meets_target()
    assert capacity.coverage(page, {"x", "y"})[1].meets_target()
