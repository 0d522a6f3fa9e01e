"""Whether an engine may be kept from other orders by a long load.

Load pattern: demand moves to other models every ten seconds or so. A load from the
store takes about as long, and meanwhile its engine cannot follow the demand by loads
from copies at hand, which take a second or two. Long loads are for what lasts, for
what is served nowhere, and for models of which there is no copy yet.

The figures are the best of those tried on the fleet model (docs/decisions-fleet.md).
"""

# Loads longer than this are long: about twice a load from a disk.
LONG_LOAD_S = 3.0
# Shares of the engines that may be busy with long loads of rare and of busy models.
RARE_ENGINE_SHARE = 0.2
BUSY_ENGINE_SHARE = 0.4
# A model with fewer calls per second is rare.
RARE_RATE = 1.0
# A busy model whose engines are this overloaded gets a replica at any price.
OVERLOAD_LEVEL = 2.0
# Demand lasts if the long average is at least this share of the short one.
LASTING_SHARE = 0.6
# Engines that are less busy than this on average have time for rare models.
IDLE_LEVEL = 0.3
# Above this, rare models with a copy wait for the engine that has it.
BUSY_LEVEL = 0.4
# Between the two, so many calls must wait for a rare model.
MIN_WAITING = 4
# A model that was asked for and missing for this long is loaded in any case.
MAX_MISSING_S = 8.0


class Case:
    """Hold what the decision on one long load depends on."""

    __slots__ = (
        "engine_count",
        "has_copy",
        "has_replica",
        "level",
        "load",
        "mean_level",
        "under_way",
    )

    def __init__(
        self, load, has_replica, has_copy, level, mean_level, under_way, engine_count
    ):
        self.load = load  # demand for the model
        self.has_replica: bool = has_replica
        self.has_copy: bool = has_copy  # in the memory or on the disk of some engine
        self.level: float = level  # of the engines that hold the model
        self.mean_level: float = mean_level  # of all engines
        self.under_way: int = under_way  # long loads of models that are alike
        self.engine_count: int = engine_count


def is_rare(load) -> bool:
    """Return whether a model is asked for rarely."""
    return load is None or load.rate < RARE_RATE


def may_begin(case: Case) -> bool:
    """Return whether to begin a long load."""
    rare = is_rare(case.load)
    if not rare and not case.has_replica:
        return True
    share = RARE_ENGINE_SHARE if rare else BUSY_ENGINE_SHARE
    if case.under_way >= share * case.engine_count:
        return False
    if not rare:
        return case.level > OVERLOAD_LEVEL or case.load.lasts
    if case.load.missing_s >= MAX_MISSING_S or not case.has_copy:
        return True
    if case.mean_level > BUSY_LEVEL:
        return False
    return case.mean_level <= IDLE_LEVEL or case.load.waiting >= MIN_WAITING
