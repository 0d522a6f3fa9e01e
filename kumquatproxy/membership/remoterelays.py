"""Known relays of the other data centres.

Each host that gets relay notices keeps them, mainly the relays of this data centre.
"""

from kumquatproxy import wire
from kumquatproxy.membership import membermessages

NOTICE_INTERVAL_S = 2.0
SILENCE_TIMEOUT_S = 6.0
MAX_DATA_CENTRES = 64


class _DataCentre:
    __slots__ = ("addresses_by_id", "heard_at")

    def __init__(self, addresses_by_id, heard_at):
        self.addresses_by_id: dict[str, str] = addresses_by_id
        self.heard_at: float = heard_at


class RemoteRelays:
    """Track the relays of the other data centres, starting from the seeds."""

    def __init__(self, settings, rng, now):
        self._settings = settings
        self._rng = rng
        self._notice_at = now + rng.random() * NOTICE_INTERVAL_S
        self._centres_by_name: dict[str, _DataCentre] = {}
        self._seeds_by_centre: dict[str, list[str]] = {}
        for seed in settings.seeds:
            if seed.data_centre != settings.data_centre:
                host_ids = self._seeds_by_centre.setdefault(seed.data_centre, [])
                host_ids.append(seed.host_id)

    def relays(self) -> list[str]:
        """Return the sorted ids of the known relays of all other data centres."""
        return sorted(
            host_id
            for centre in self._centres_by_name.values()
            for host_id in centre.addresses_by_id
        )

    def data_centres(self) -> list[str]:
        """Return the sorted names of the other data centres that are known."""
        return sorted(self._centres_by_name)

    def apply_notice(self, notice: membermessages.RelayNotice, now: float) -> list:
        """Store the relays of another data centre.

        Return a HostChanged for each new relay and each new address.
        """
        name = notice.data_centre
        known = self._centres_by_name.get(name)
        is_full = known is None and len(self._centres_by_name) >= MAX_DATA_CENTRES
        if name == self._settings.data_centre or is_full:
            return []
        addresses = {str(host): str(address) for host, address in notice.relays}
        if addresses:
            self._centres_by_name[name] = _DataCentre(addresses, now)
        alive = membermessages.HostState.ALIVE
        return [
            membermessages.HostChanged(host, name, alive, address)
            for host, address in sorted(addresses.items())
            if known is None or known.addresses_by_id.get(host) != address
        ]

    def tick(self, make_notice, now: float) -> list:
        """Return the notices that are due; ``make_notice(wants_answer)`` builds one.

        Known relays send notices by themselves, so only seeds are asked for an answer.
        """
        if now < self._notice_at:
            return []
        self._notice_at = now + NOTICE_INTERVAL_S
        relays = self.relays()
        seeds = set()
        for name, seed_ids in self._seeds_by_centre.items():
            centre = self._centres_by_name.get(name)
            if centre is None or now - centre.heard_at > SILENCE_TIMEOUT_S:
                seeds.add(self._rng.choice(seed_ids))
        sends = [wire.Send(relay, make_notice(False)) for relay in relays]
        return sends + [wire.Send(seed, make_notice(True)) for seed in sorted(seeds)]
