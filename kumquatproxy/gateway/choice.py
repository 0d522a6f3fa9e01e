"""Choosing the backend server for a call.

Load pattern: reports are late and several entry hosts choose at the same time, so the
server that looked empty a moment ago is not empty any more. Each host adds its own
calls at once, and draws among the servers that are about as good.
"""

import random

from kumquatproxy.fleet import servers, serviceconfig
from kumquatproxy.gateway import calls, health, sharedparts

# Prompt tokens that an engine reads in a second, until its answers tell.
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
# Time that one more running call adds until the first token, by the engine's step.
RUNNING_CALL_S = 0.0007
# Cost of another data centre: round trip, and bytes between data centres are dear.
REMOTE_S = 0.010
# Servers whose predicted times differ by less are drawn from with equal chance.
DRAW_WITHIN_S = 0.008
# Predicted delay of a call at a full batch: it waits for another one to end.
FULL_BATCH_S = 0.5
# A failing server is taken as if each call there cost this much more.
FAILURE_S = 2.0
# Work of one call at a plain service until its answers tell.
PLAIN_CALL_S = 0.08


def reading_delay_s(unread_tokens: float, running: int) -> float:
    """Return the predicted time until the first event at an engine with room."""
    read_s = unread_tokens / DEFAULT_PREFILL_TOKENS_PER_S
    return read_s + running * RUNNING_CALL_S


class Flight:
    """Hold one call that this host has sent to a server."""

    __slots__ = ("has_answered", "instance_id", "prompt_tokens")

    def __init__(self, instance_id, prompt_tokens):
        self.instance_id: str = instance_id
        self.prompt_tokens: int = prompt_tokens
        self.has_answered = False  # its prompt is read


class ServerView:
    """Hold what an entry host knows of the load of one server."""

    __slots__ = ("flights", "health", "load", "others", "others_tokens")

    def __init__(self):
        self.health = health.Health()
        self.flights: dict[Flight, None] = {}
        self.load: calls.ServerLoad | None = None
        self.others = 0  # calls of other entry hosts in flight
        self.others_tokens = 0  # prompt tokens of these that are not read yet

    def own_tokens(self) -> int:
        """Return the prompt tokens of own calls that are not read yet."""
        return sum(one.prompt_tokens for one in self.flights if not one.has_answered)

    @property
    def running(self) -> int:
        """Return the calls in flight of all hosts."""
        return len(self.flights) + self.others


class Candidate:
    """Hold one server that could take a call, and the predicted delay there."""

    __slots__ = ("announcement", "delay_s")

    def __init__(self, announcement, delay_s):
        self.announcement: servers.Announcement = announcement
        self.delay_s: float = delay_s  # until the first byte of an answer


class Chooser:
    """Choose servers by predicted delay."""

    def __init__(self, data_centre: str, table: servers.ServerTable, rng):
        self.table = table
        self.parts = sharedparts.PartMemory()
        self.views_by_lifetime: dict[tuple, ServerView] = {}
        self.adapters_by_id: dict[str, frozenset[str]] = {}
        self.leaving_models_by_id: dict[str, frozenset[str]] = {}
        self._data_centre = data_centre
        self._rng: random.Random = rng

    def view(self, announcement: servers.Announcement) -> ServerView:
        """Return what is known of the load of a server."""
        view = self.views_by_lifetime.get(announcement.lifetime)
        if view is None:
            view = self.views_by_lifetime[announcement.lifetime] = ServerView()
        return view

    def candidates(
        self, call: calls.Call, service: serviceconfig.Service, tried, now: float
    ) -> list[Candidate]:
        """Return the servers that could take a call now, the best one first."""
        found = []
        for announcement in self.table.ready(service.name, now):
            if announcement.lifetime in tried or not self._has(call, announcement):
                continue
            if not self.view(announcement).health.is_usable(now):
                continue
            delay_s = self._delay_s(call, service, announcement)
            found.append(Candidate(announcement, delay_s))
        found.sort(key=lambda one: one.delay_s)
        return found

    def _has(self, call, announcement):
        need = call.need
        if need is None:
            return True
        if not announcement.has_model(need.model):
            return False
        if need.model in self.leaving_models_by_id.get(announcement.instance_id, ()):
            return False
        adapters = self.adapters_by_id.get(announcement.instance_id, ())
        return not need.adapter or need.key() in adapters

    def lacks(self, announcement: servers.Announcement, need) -> None:
        """Note that a server does not have what a call needs after all."""
        if need is None or not need.adapter:
            return
        adapters = self.adapters_by_id.get(announcement.instance_id, frozenset())
        self.adapters_by_id[announcement.instance_id] = adapters - {need.key()}

    def gains(self, instance_id: str, key: str) -> None:
        """Note that a server has an adapter now."""
        adapters = self.adapters_by_id.get(instance_id, frozenset())
        self.adapters_by_id[instance_id] = adapters | {key}

    def choose(self, candidates: list[Candidate]) -> servers.Announcement | None:
        """Return one of the servers that are about as good as the best one."""
        if not candidates:
            return None
        limit_s = candidates[0].delay_s + DRAW_WITHIN_S
        near = [one for one in candidates if one.delay_s <= limit_s]
        return self._rng.choice(near).announcement

    def _delay_s(self, call, service, announcement):
        view = self.view(announcement)
        delay_s = view.health.failure_share * FAILURE_S
        if announcement.data_centre != self._data_centre:
            delay_s += REMOTE_S
        if service.engine is None or call.need is None:
            slots = max(1, announcement.slots)
            return delay_s + PLAIN_CALL_S * view.running / slots
        need = call.need
        kept = self.parts.kept_tokens(announcement.instance_id, need)
        tokens = max(0, need.prompt_tokens - kept)
        tokens += view.own_tokens() + view.others_tokens
        delay_s += reading_delay_s(tokens, view.running)
        if view.running >= service.engine.batch_slots:
            delay_s += FULL_BATCH_S
        return delay_s

    def start(self, call: calls.Call, announcement: servers.Announcement) -> Flight:
        """Note that a call goes to a server."""
        tokens = 0
        if call.need is not None:
            kept = self.parts.kept_tokens(announcement.instance_id, call.need)
            tokens = max(0, call.need.prompt_tokens - kept)
            self.parts.note(announcement.instance_id, call.need)
        flight = Flight(announcement.instance_id, tokens)
        self.view(announcement).flights[flight] = None
        return flight

    def end(self, announcement: servers.Announcement, flight: Flight) -> None:
        """Note that a call has left a server."""
        self.view(announcement).flights.pop(flight, None)

    def set_others(self, loads_by_id: dict, own_by_id: dict) -> None:
        """Take the calls that all entry hosts have in flight, less the own ones."""
        for announcement in self.table.all():
            view = self.view(announcement)
            count, tokens = loads_by_id.get(announcement.instance_id, (0, 0))
            own_count, own_tokens = own_by_id.get(announcement.instance_id, (0, 0))
            view.others = max(0, count - own_count)
            view.others_tokens = max(0, tokens - own_tokens)

    def own_loads(self) -> dict:
        """Return calls and unread prompt tokens of this host by instance."""
        loads = {}
        for announcement in self.table.all():
            view = self.view(announcement)
            if view.flights:
                loads[announcement.instance_id] = [
                    len(view.flights),
                    view.own_tokens(),
                ]
        return loads

    def prune(self) -> None:
        """Forget the views of lifetimes that are gone."""
        live = {one.lifetime for one in self.table.all()}
        for lifetime in [one for one in self.views_by_lifetime if one not in live]:
            if not self.views_by_lifetime[lifetime].flights:
                del self.views_by_lifetime[lifetime]
                self.parts.forget(lifetime[0])
