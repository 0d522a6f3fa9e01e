"""Admission of long model loads, which block an engine for other orders.

Traffic pattern: demand shifts to other models every ten seconds or so. A load from the
weight store takes about as long, and meanwhile its engine cannot follow the demand with
loads from its memory or disk cache, which take a second or two. The long load of a busy
model is started if no engine holds the model, if it is overloaded, or if its demand
lasts. That of a rare model is started if no engine has it cached, if it has been
unavailable for long, or if the engines have spare time.
"""

# Loads that take longer are long; about twice the time of a load from disk.
LONG_LOAD_S = 3.0
# Shares of the engines that may run long loads of rare and of busy models at a time.
RARE_ENGINE_SHARE = 0.2
BUSY_ENGINE_SHARE = 0.4
# A model with a lower call rate is rare.
RARE_CALLS_PER_S = 1.0
# A busy model at a higher utilisation gets a replica even if its demand is not lasting.
OVERLOAD_UTILISATION = 2.0
# Demand is lasting if its long average is at least this share of the short one.
LASTING_RATE_RATIO = 0.6
# Up to this mean utilisation the engines have spare time for rare models.
IDLE_UTILISATION = 0.3
# Above this mean utilisation, a rare model that some engine has cached is not loaded
# from the store.
BUSY_UTILISATION = 0.4
# At a mean utilisation between IDLE_UTILISATION and BUSY_UTILISATION, a cached rare
# model is loaded from the store if at least this many calls wait for it.
MIN_WAITING_CALLS = 4
# For a rare model that has been unavailable for this long, the mean utilisation no
# longer matters; RARE_ENGINE_SHARE still limits its load.
LONG_UNAVAILABLE_S = 8.0


class LongLoad:
    """Describe a long load that is to be decided on."""

    __slots__ = (
        "demand",
        "engine_count",
        "has_replica",
        "in_progress",
        "is_cached",
        "mean_utilisation",
        "utilisation",
    )

    def __init__(
        self,
        demand,
        has_replica,
        is_cached,
        utilisation,
        mean_utilisation,
        in_progress,
        engine_count,
    ):
        self.demand = demand  # engineviews.DemandView of the model
        self.has_replica: bool = has_replica
        self.is_cached: bool = is_cached  # cached in memory or on disk by an engine
        self.utilisation: float = utilisation  # of the engines that hold the model
        self.mean_utilisation: float = mean_utilisation  # of all engines
        self.in_progress: int = in_progress  # long loads of models of the same class
        self.engine_count: int = engine_count


def is_rare(demand) -> bool:
    """Return whether the demand, if any, is that of a rare model."""
    return demand is None or demand.rate < RARE_CALLS_PER_S


def may_start(long_load: LongLoad) -> bool:
    """Return whether to start a long load."""
    is_rare_model = is_rare(long_load.demand)
    if not is_rare_model and not long_load.has_replica:
        return True
    max_share = RARE_ENGINE_SHARE if is_rare_model else BUSY_ENGINE_SHARE
    if long_load.in_progress >= max_share * long_load.engine_count:
        return False
    if not is_rare_model:
        return (
            long_load.utilisation > OVERLOAD_UTILISATION or long_load.demand.is_lasting
        )
    if long_load.demand.unavailable_s >= LONG_UNAVAILABLE_S or not long_load.is_cached:
        return True
    if long_load.mean_utilisation > BUSY_UTILISATION:
        return False
    return (
        long_load.mean_utilisation <= IDLE_UTILISATION
        or long_load.demand.waiting >= MIN_WAITING_CALLS
    )
