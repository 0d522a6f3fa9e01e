"""Check, before a sheet is accepted, that its models fit the announced memory."""

from kumquatproxy import records
from kumquatproxy.placement import placementcoverage, placementlayout, placementplan


class Fit(records.Record):
    """The result for one model version together with all its adapters.

    ``data_centres`` lists the data centres with room for a replica. ``missing_mb`` is
    the least memory by which a backend server is too small, the whole need if none
    offers the service, and 0 if it fits somewhere.
    """

    __slots__ = ("data_centres", "fits", "item", "missing_mb", "reason")

    def __init__(self, item, data_centres, missing_mb, reason):
        self.item: records.Item = item
        self.data_centres: tuple[str, ...] = tuple(data_centres)
        self.fits: bool = bool(data_centres)
        self.missing_mb: int = missing_mb
        self.reason: str = reason


def check(sheet, backends) -> list[Fit]:
    """Return the result for every listed model version, in the order of the sheet.

    The models are placed from scratch on the backend servers that are not leaving, with
    the planner's algorithm: first one replica each, then one per data centre.
    """
    catalogue = placementlayout.Catalogue(sheet)
    current = placementplan.CurrentPlacement()

    # No replica is in place, and the callback on each placement does nothing.
    def make_layout():
        layout = placementlayout.Layout(catalogue, backends, current)
        return layout, lambda item, data_centre: None

    layout, cover = placementcoverage.plan_coverage(make_layout)
    not_fitting_by_item: dict[records.Item, list[placementplan.NotFitting]] = {}
    for entry in cover.not_fitting:
        not_fitting_by_item.setdefault(entry.item, []).append(entry)
    return [
        _fit_of(layout, group, not_fitting_by_item.get(group.item, []))
        for group in catalogue.groups
    ]


def _fit_of(layout, group, not_fitting_here):
    data_centres = sorted(layout.centres_of(group.item))
    if data_centres:
        centres_without_room = sorted(entry.data_centre for entry in not_fitting_here)
        reason = "fits"
        if centres_without_room:
            reason = f"fits, but not in {', '.join(centres_without_room)}"
        return Fit(group.item, data_centres, 0, reason)
    if not layout.data_centres(group.service):
        reason = f"no backend server offers the service {group.service}"
        return Fit(group.item, (), group.memory_mb, reason)
    smallest = min(
        not_fitting_here, key=lambda entry: (entry.missing_mb, entry.data_centre)
    )
    return Fit(group.item, (), smallest.missing_mb, smallest.reason)


def not_fitting(sheet, backends) -> list[Fit]:
    """Return the model versions that fit in no data centre."""
    return [fit for fit in check(sheet, backends) if not fit.fits]
