"""Models that calls wait for: told to the owner of orders at once, with objectives.

Traffic pattern under hard load: calls for many rare models, of which some are always
without a place, and whose objective leaves little time beside the load. The reports of
demand come a few times a second and do not say which calls can still be in time.
"""

from kumquatproxy import wire

# Part of the session of an entry host that tells the owner of orders at once.
WANTS_MARK = "+wants"
# A want is repeated after this time while calls wait and no load is known of.
WANT_RETRY_S = 0.5
# A host that has greeted is not replaced by one of another build within this time.
GREETING_SETTLE_S = 1.5
# A want counts as a waiting call for this long; after that, reports tell.
WANT_KEPT_S = 0.8


@wire.register("wants-greeting")
class WantsGreeting(wire.Message):
    """Tell a new subscriber that this control host knows the messages below."""

    __slots__ = ()


@wire.register("model-wanted")
class ModelWanted(wire.Message):
    """Tell the owner of orders that a call waits for a model that no server has."""

    __slots__ = ("model", "objective_s", "service")
    model: str
    objective_s: float  # of the call's route
    service: str


def mark_session(session: str) -> str:
    """Return the session of an entry host that sends wants."""
    return WANTS_MARK + session


def sends_wants(session: str) -> bool:
    """Return whether a subscriber with this session sends wants."""
    return WANTS_MARK in session


class WantSender:
    """Decide when an entry host tells the owner of orders of a model."""

    __slots__ = ("_greeted_at_by_id", "_wanted_at_by_key")

    def __init__(self):
        self._greeted_at_by_id: dict[str, float] = {}
        self._wanted_at_by_key: dict[tuple[str, str], float] = {}

    def greet(self, host_id: str, now: float) -> None:
        """Record that a control host knows the messages."""
        self._greeted_at_by_id[host_id] = now

    def knows(self, leader: str) -> bool:
        """Return whether the owner of orders can be told."""
        return leader in self._greeted_at_by_id

    def reopen(self, host_id: str, now: float) -> None:
        """Record a new link to a control host, which may be of another build by now.

        Two links may open at the same time, and the greeting comes over the first.
        """
        if now - self._greeted_at_by_id.get(host_id, now) >= GREETING_SETTLE_S:
            del self._greeted_at_by_id[host_id]

    def want(
        self, leader: str, service: str, model: str, objective_s: float, now: float
    ) -> ModelWanted | None:
        """Return the message about a call without a server, None if it was sent."""
        key = (service, model)
        if not self.knows(leader):
            return None
        if now - self._wanted_at_by_key.get(key, -1e9) < WANT_RETRY_S:
            return None
        self._wanted_at_by_key = {
            other_key: wanted_at
            for other_key, wanted_at in self._wanted_at_by_key.items()
            if now - wanted_at < WANT_RETRY_S
        }
        self._wanted_at_by_key[key] = now
        return ModelWanted(model=model, objective_s=objective_s, service=service)


class WantTable:
    """Keep the models that hosts lately wanted, and the time left to their calls."""

    __slots__ = (
        "_objective_ends_by_key",
        "_wants_by_key",
        "heard_at",
    )

    def __init__(self):
        self.heard_at: float | None = None  # last message of any host
        # By host: when the model was wanted.
        self._wants_by_key: dict[tuple[str, str], dict[str, float]] = {}
        # When the newest want that was not repeated misses its objective.
        self._objective_ends_by_key: dict[tuple[str, str], float] = {}

    def record_want(self, sender: str, wanted: ModelWanted, now: float) -> None:
        """Record that a call waits for a model at a host."""
        self.heard_at = now
        key = (wanted.service, wanted.model)
        wants = self._wants_by_key.setdefault(key, {})
        if sender not in wants:
            self._objective_ends_by_key[key] = now + wanted.objective_s
        wants[sender] = now

    def time_left_s(self, service: str, model: str, now: float) -> float:
        """Return the time until the objective of the newest want, 0 if it is over."""
        ends_at = self._objective_ends_by_key.get((service, model), now)
        return max(0.0, ends_at - now)

    def wanted(self, service: str, now: float) -> dict[str, int]:
        """Return the number of hosts that lately wanted a model, by model."""
        counts: dict[str, int] = {}
        for key in list(self._wants_by_key):
            wants = self._wants_by_key[key]
            live = {
                host: wanted_at
                for host, wanted_at in wants.items()
                if now - wanted_at < WANT_KEPT_S
            }
            if not live:
                del self._wants_by_key[key]
                self._objective_ends_by_key.pop(key, None)
                continue
            self._wants_by_key[key] = live
            if key[0] == service:
                counts[key[1]] = len(live)
        return counts


class PlanTimer:
    """Decide when the owner plans because of wants, several of one instant together."""

    __slots__ = ("_due_at", "_next_at")

    # Wants that arrive within this time are planned for together.
    GATHER_S = 0.01
    # Largest share of a processor that these plans take.
    MAX_CPU_SHARE = 0.15

    def __init__(self):
        self._due_at: float | None = None
        self._next_at = -1e9

    def request(self, now: float) -> float | None:
        """Return the time until a plan, or None if one is due already."""
        if self._due_at is not None and now < self._due_at + 1.0:
            return None
        self._due_at = max(now + self.GATHER_S, self._next_at)
        return self._due_at - now

    @property
    def is_requested(self) -> bool:
        """Return whether wants have arrived since the last plan."""
        return self._due_at is not None

    def record_plan(self, now: float, took_s: float) -> None:
        """Record a plan that began at ``now``."""
        self._due_at = None
        self._next_at = now + took_s / self.MAX_CPU_SHARE
