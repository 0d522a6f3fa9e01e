"""Adoption and acknowledgement of a new store share by the placement owner."""

from kumquatproxy.configuration import configstate
from kumquatproxy.placement import orderrecords, placementstate
from kumquatproxy.placement import storeshare as shares

REPEAT_INTERVAL_S = 5.0


class ShareAdoption:
    """Adoption of an offered share, acknowledged once open loads are within it.

    The share is first recorded in the placement group's log. Otherwise, after the
    acknowledgement has let another data centre raise its share, the next owner could
    still use the older, larger one.
    """

    __slots__ = ("_acknowledged", "_data_centre", "_offered", "_repeat_at", "_state")

    def __init__(self, data_centre: str, state: placementstate.PlacementState):
        self._data_centre = data_centre
        self._state = state
        self._offered: tuple[int, shares.Share] = (0, shares.NO_SHARE)
        self._acknowledged = 0
        self._repeat_at = 0.0

    def offer(self, share_version: int, share: shares.Share) -> None:
        """Store the share that the newest configuration grants."""
        if share_version > self._offered[0]:
            self._offered = (share_version, share)
            self._repeat_at = 0.0

    def acknowledged(self, share_version: int) -> None:
        """Record that the configuration group has committed the acknowledgement."""
        self._acknowledged = max(self._acknowledged, share_version)

    def recorded(self) -> None:
        """Allow the next step now that the group's log has recorded a share."""
        self._repeat_at = 0.0

    def tick(self, use: shares.ShareUse, fence: int, now: float) -> list:
        """Return the proposal that is due, if any."""
        if now < self._repeat_at:
            return []
        version, share = self._offered
        if version > self._state.share_version:
            self._repeat_at = now + REPEAT_INTERVAL_S
            adopt = placementstate.AdoptShare(fence, share, version)
            return [orderrecords.Propose(adopt)]
        version = self._state.share_version
        if version <= self._acknowledged or not use.is_use_within(self._state.share):
            return []
        self._repeat_at = now + REPEAT_INTERVAL_S
        acknowledge = configstate.AcknowledgeShare(self._data_centre, version)
        return [orderrecords.Acknowledge(acknowledge)]
