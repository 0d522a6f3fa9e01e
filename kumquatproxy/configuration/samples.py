"""Sample sheets at the sizes of two organisations and at the largest planned size."""

MODEL_MEMORY_MB = 9_000
ADAPTER_MEMORY_MB = 120


class SampleSize:
    """The names and counts from which a sample sheet is generated."""

    __slots__ = (
        "adapters",
        "adapters_in_transit",
        "concurrent_loads",
        "model_prefix",
        "models",
        "move_weight",
        "organisation",
        "plain_service",
        "service",
    )

    def __init__(
        self,
        organisation,
        service,
        plain_service,
        model_prefix,
        models,
        adapters,
        concurrent_loads,
        adapters_in_transit,
        move_weight,
    ):
        self.organisation: str = organisation
        self.service: str = service
        self.plain_service: str = plain_service
        self.model_prefix: str = model_prefix
        self.models: int = models
        self.adapters: int = adapters
        self.concurrent_loads: int = concurrent_loads
        self.adapters_in_transit: int = adapters_in_transit
        self.move_weight: float = move_weight


SIZES_BY_NAME = {
    "port-louis": SampleSize(
        "port-louis", "gait-models", "clinic-desk", "gait", 17, 56, 6, 48, 0.5
    ),
    "cordillera": SampleSize(
        "cordillera", "texto-llm", "mapas-app", "texto", 13, 56, 8, 64, 2.0
    ),
    "design-size": SampleSize(
        "design-size", "engines", "actions", "model", 1700, 5600, 60, 480, 1.0
    ),
}


def generate(name: str) -> str:
    """Return the text of the sample sheet for a name in ``SIZES_BY_NAME``."""
    size = SIZES_BY_NAME[name]
    parts = [
        f"[organisation {size.organisation}]\nmove_weight = {size.move_weight}\n",
        "[weight-store]\nloads_per_second = 1\n"
        f"concurrent_loads = {size.concurrent_loads}\n"
        f"adapters_in_transit = {size.adapters_in_transit}\n",
        f"[service {size.service}]\norganisation = {size.organisation}\n"
        "kind = engine\nchecks_fencing = yes\n",
        f"[service {size.plain_service}]\norganisation = {size.organisation}\n"
        "kind = plain\nrepeatable = GET *, HEAD *\n",
    ]
    for index in range(size.models):
        parts.append(
            f"[model {size.model_prefix}-{index:02d}]\nservice = {size.service}\n"
            f"versions = 1\nmemory = {MODEL_MEMORY_MB}MB\npriority = {9 - index % 9}\n"
        )
    for index in range(size.adapters):
        model = f"{size.model_prefix}-{index % size.models:02d}"
        parts.append(
            f"[adapter adapter-{index:02d}]\nmodel = {model}\n"
            f"memory = {ADAPTER_MEMORY_MB}MB\n"
        )
    return "\n".join(parts)
