"""Which engines count as holders of their models in a plan.

Traffic pattern: engines are released, taken away or crash, several within seconds,
while calls for their models keep coming. An engine that hosts can no longer use must
not make its models look available, and calls that wait for a model beside an engine
that seems to hold it are a reason to ask that engine.
"""

from kumquatproxy.fleet import engines, servers

# Calls that have waited for longer beside a holder of their model are contradictory:
# placement and server changes reach all hosts sooner.
CONTRADICTION_S = 0.6
# Time between two questions to one engine.
QUESTION_INTERVAL_S = 1.0
# Most engines that are asked at the same time.
MAX_QUESTIONS = 4


def serving_states(
    table: servers.ServerTable,
    states: list[engines.EngineState],
    service: str,
    now: float,
) -> list[engines.EngineState]:
    """Return the states of the engines of a service that hosts send calls to."""
    ready_ids = {announcement.instance_id for announcement in table.ready(service, now)}
    return [
        state
        for state in states
        if state.announcement.service == service
        and state.announcement.instance_id in ready_ids
        and not state.is_unreachable
    ]


class ContradictionTracker:
    """Track the models whose calls wait although an engine holds them."""

    __slots__ = ("_asked_at_by_id", "_since_by_model")

    def __init__(self):
        self._since_by_model: dict[str, float] = {}
        self._asked_at_by_id: dict[str, float] = {}

    def engines_to_ask(
        self,
        waiting_by_model: dict[str, int],
        holders_by_model: dict[str, list[str]],
        now: float,
    ) -> dict[str, str]:
        """Return the models to verify by the ids of engines to ask for a report.

        ``waiting_by_model`` counts calls, ``holders_by_model`` names engines in use.
        """
        waiting = {
            name: count
            for name, count in waiting_by_model.items()
            if count and holders_by_model.get(name)
        }
        self._since_by_model = {
            name: self._since_by_model.get(name, now) for name in waiting
        }
        self._asked_at_by_id = {
            instance_id: asked_at
            for instance_id, asked_at in self._asked_at_by_id.items()
            if now - asked_at < QUESTION_INTERVAL_S
        }
        models_by_id: dict[str, str] = {}
        for name in sorted(waiting, key=lambda name: (-waiting[name], name)):
            if now - self._since_by_model[name] < CONTRADICTION_S:
                continue
            for instance_id in holders_by_model[name]:
                if len(self._asked_at_by_id) >= MAX_QUESTIONS:
                    return models_by_id
                if instance_id not in self._asked_at_by_id:
                    self._asked_at_by_id[instance_id] = now
                    models_by_id[instance_id] = name
        return models_by_id
