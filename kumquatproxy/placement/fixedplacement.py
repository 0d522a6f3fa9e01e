"""Fixed placements for simulations that do not run a planner."""

from kumquatproxy import records
from kumquatproxy.laboratory import arrivals


def fixed_placement(scenario, policy, average_by_model) -> list[set[records.Item]]:
    """Return the items of each server for a fixed placement.

    ``even`` gives every model the same number of replicas, and the first ones one more
    if capacity remains; it is used for any policy but ``demand``, which gives replicas
    in proportion to average demand before any burst or shift, at least one each and
    two where memory allows. Each replica goes to the least loaded server, in a data
    centre without the model if possible.
    """
    placed: list[set[records.Item]] = [set() for _ in range(scenario.servers)]
    item_capacity = scenario.servers * scenario.speed.max_items
    names = [arrivals.model_name(number) for number in range(scenario.models)]
    replicas = {
        name: item_capacity // scenario.models
        + (number < item_capacity % scenario.models)
        for number, name in enumerate(names)
    }
    weights = {name: 1.0 for name in names}
    if policy == "demand":
        weights = average_by_model
        replicas = _replicas_by_demand(names, weights, item_capacity, scenario.servers)
    loads = [0.0] * scenario.servers
    for name in sorted(names, key=lambda name: (-replicas[name], -weights[name])):
        item = records.Item("model", name, "1")
        share = weights[name] / replicas[name]
        free_servers = [
            number
            for number in range(scenario.servers)
            if len(placed[number]) < scenario.speed.max_items
        ]
        for _ in range(replicas[name]):
            number = _next_server(scenario, free_servers, placed, item, loads)
            free_servers.remove(number)
            placed[number].add(item)
            loads[number] += share
    return placed


def _next_server(scenario, free_servers, placed, item, loads):
    """Return the least loaded server, in a data centre without the item if possible."""
    used_centres = {
        number % scenario.data_centres
        for number, items in enumerate(placed)
        if item in items
    }
    return min(
        free_servers,
        key=lambda number: (
            number % scenario.data_centres in used_centres,
            loads[number],
            len(placed[number]),
        ),
    )


def _replicas_by_demand(names, weights, item_capacity, servers):
    min_replicas = 2 if item_capacity >= 2 * len(names) and servers > 1 else 1
    replicas = {name: min_replicas for name in names}
    for _ in range(item_capacity - min_replicas * len(names)):
        candidates = [name for name in names if replicas[name] < servers]
        if not candidates:
            break
        most_loaded = max(candidates, key=lambda name: weights[name] / replicas[name])
        replicas[most_loaded] += 1
    return replicas
