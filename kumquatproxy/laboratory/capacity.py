"""Check of the capacity page against the figures that measurements print."""

import re

from kumquatproxy.laboratory import measure

FIGURES_COLUMN = "figures"
_NAME = re.compile(r"`([a-z0-9_]+)`")


def rows(page: str) -> list[set[str]]:
    """Return the figure names of each row in tables that have a figures column."""
    names_by_row = []
    figures_index = None
    for line in page.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            figures_index = None
        elif FIGURES_COLUMN in cells:
            figures_index = cells.index(FIGURES_COLUMN)
        elif figures_index is not None and not set(line) <= set("|-: "):
            names_by_row.append(set(_NAME.findall(cells[figures_index])))
    return names_by_row


def coverage(page: str, printed: set[str]) -> list[measure.Figure]:
    """Return the number of rows, and of rows whose figures are all printed."""
    all_rows = rows(page)
    measured = [names for names in all_rows if names and names <= printed]
    return [
        measure.Figure("capacity_rows", len(all_rows), low=1),
        measure.Figure("capacity_rows_measured", len(measured), low=len(all_rows)),
    ]
