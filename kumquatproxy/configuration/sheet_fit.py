"""Whether each listed model fits the announced memory, before a sheet is submitted."""

from kumquatproxy import records
from kumquatproxy.placement import placementcoverage, placementlayout, placementplan


class Fit(records.Record):
    """Say whether one model version fits, with all its adapters.

    ``data_centres`` names where it fits, ``missing_mb`` the memory that one backend
    server lacks, 0 if it fits somewhere.
    """

    __slots__ = ("data_centres", "fits", "item", "missing_mb", "reason")

    def __init__(self, item, data_centres, missing_mb, reason):
        self.item: records.Item = item
        self.data_centres: tuple[str, ...] = tuple(data_centres)
        self.fits: bool = bool(data_centres)
        self.missing_mb: int = missing_mb
        self.reason: str = reason


def check(sheet, backends) -> list[Fit]:
    """Return the fit of every listed model version in the order of the sheet.

    The models are packed anew into the memory of the backend servers that stay, as the
    planner does it: first one replica each and then one per data centre.
    """
    catalogue = placementlayout.Catalogue(sheet)
    current = placementplan.CurrentPlacement()

    def make_layout():
        layout = placementlayout.Layout(catalogue, backends, current)
        return layout, lambda base, centre: None

    layout, cover = placementcoverage.plan_coverage(make_layout)
    faults: dict[records.Item, list[placementplan.NotFitting]] = {}
    for fault in cover.not_fitting:
        faults.setdefault(fault.item, []).append(fault)
    return [
        _fit(layout, group, faults.get(group.item, [])) for group in catalogue.groups
    ]


def _fit(layout, group, faults):
    centres = sorted(layout.centres_of(group.item))
    if centres:
        lacking = sorted(fault.data_centre for fault in faults)
        reason = "fits"
        if lacking:
            reason = f"fits, but not in {', '.join(lacking)}"
        return Fit(group.item, centres, 0, reason)
    if not layout.data_centres(group.service):
        reason = f"no backend server offers the service {group.service}"
        return Fit(group.item, (), group.memory_mb, reason)
    nearest = min(faults, key=lambda fault: (fault.missing_mb, fault.data_centre))
    return Fit(group.item, (), nearest.missing_mb, nearest.reason)


def not_fitting(sheet, backends) -> list[Fit]:
    """Return the model versions that fit nowhere."""
    return [fit for fit in check(sheet, backends) if not fit.fits]
