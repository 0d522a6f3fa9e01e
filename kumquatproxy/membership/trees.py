"""Complete trees over an ordered list of hosts, in heap layout by list position."""


def children_of(position: int, fan_out: int, size: int) -> range:
    """Return the positions of the children of a position."""
    first = position * fan_out + 1
    return range(min(first, size), min(first + fan_out, size))


def ancestors_of(position: int, fan_out: int) -> list[int]:
    """Return the positions from the parent up to the root."""
    ancestors = []
    while position > 0:
        position = (position - 1) // fan_out
        ancestors.append(position)
    return ancestors


def children_in(order: list[str], host_id: str, fan_out: int) -> list[str]:
    """Return the children of a host; empty if the list does not contain it."""
    if host_id not in order:
        return []
    positions = children_of(order.index(host_id), fan_out, len(order))
    return [order[position] for position in positions]


def neighbours_in(order: list[str], host_id: str, fan_out: int) -> list[str]:
    """Return the children of a host and its parent, if it has one."""
    neighbours = children_in(order, host_id, fan_out)
    if host_id in order and order[0] != host_id:
        neighbours.append(order[(order.index(host_id) - 1) // fan_out])
    return neighbours
