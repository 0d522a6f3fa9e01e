"""Systems, faults and results of simulated runs."""

from kumquatproxy.laboratory import loadmodel

MEASURED_FROM_S = 10.0  # earlier requests only warm up the routing tables


class System:
    """Combination of routing, placement, admission and retry policies of a run."""

    __slots__ = (
        "adds_replicas",
        "admission",
        "hedging",
        "name",
        "on_demand",
        "placement",
        "policy",
        "retries",
    )

    def __init__(
        self,
        name,
        policy="estimate",
        placement="demand",
        admission=True,
        retries=True,
        on_demand=False,
        hedging=False,
        adds_replicas=False,
    ):
        self.name: str = name
        self.policy: str = policy
        self.placement: str = placement
        self.admission: bool = admission
        self.retries: bool = retries
        self.on_demand: bool = on_demand
        self.hedging: bool = hedging
        # Also loads models on demand, as the lru system does, but routes by ``policy``.
        self.adds_replicas: bool = adds_replicas


SYSTEMS = {
    "designed": System("designed", hedging=True),
    "following": System("following", hedging=True, adds_replicas=True),
    "bounded-hash": System("bounded-hash", "bounded-hash", hedging=True),
    "no-hedging": System("no-hedging"),
    "no-admission": System("no-admission", admission=False),
    "static": System("static", "random", "even", False, False),
    "lru": System("lru", "least-connections", "even", False, False, True),
    "demand-random": System("demand-random", "random", "demand", False, False),
    "demand-least": System("demand-least", "least-connections", "demand", False, False),
    "demand-turn": System("demand-turn", "round-robin", "demand", False, False),
}


class Fault:
    """Fault of some servers at a given time.

    Kinds are ``stop`` (process), ``silent`` (data centre), ``errors`` and ``slow``.
    """

    __slots__ = ("at", "failing_share", "kind", "servers")

    def __init__(self, at, kind, servers, failing_share=1.0):
        self.at: float = at
        self.kind: str = kind
        self.servers: tuple[int, ...] = tuple(servers)
        self.failing_share: float = failing_share


class Result:
    """Outcome of one run, by request."""

    __slots__ = (
        "admission_refusals",
        "first_token_s",
        "jobs",
        "load_count",
        "outcomes_by_id",
        "sends",
        "sent_ids",
    )

    def __init__(self, jobs):
        self.jobs: list[loadmodel.Job] = jobs
        # Outcome by request id: "on-time"; "late" (not complete at the deadline);
        # "refused" (by routing or admission, or cancelled because its first token was
        # too late) or "failed".
        self.outcomes_by_id: dict[str, str] = {}
        self.first_token_s: dict[str, float] = {}  # since arrival, by request id
        self.load_count: int = 0
        self.admission_refusals: int = 0
        self.sends: list[tuple[float, str, str]] = []  # time, backend id, request id
        self.sent_ids: set[str] = set()

    def jobs_in_period(self, start=MEASURED_FROM_S, end=float("inf")):
        """Return the jobs that arrived between ``start`` and ``end``."""
        return [job for job in self.jobs if start <= job.request.arrived_at < end]

    def attainment(self, start=MEASURED_FROM_S, end=float("inf"), keep=None) -> float:
        """Return the share of requests that were answered within their deadline."""
        jobs = [
            job for job in self.jobs_in_period(start, end) if keep is None or keep(job)
        ]
        met = sum(
            self.outcomes_by_id.get(j.request.request_id) == "on-time" for j in jobs
        )
        return met / max(len(jobs), 1)
