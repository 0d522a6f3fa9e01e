"""Faults that a schedule can start in a simulated group."""

from kumquatproxy import errors, registry
from kumquatproxy.agreement import voterset

FAULTS = registry.Registry("fault")
"""Functions of a ``faultschedules.Schedule`` that start one fault."""

POLL_S = 0.002


@FAULTS.register("partition")
def partition(schedule) -> None:
    """Split the hosts in two parts for a while, sometimes in one direction only."""
    group = schedule.group
    hosts = list(group.nodes_by_host)
    leader = group.leader()
    part = set(schedule.rng.sample(hosts, schedule.rng.randint(1, len(hosts) // 2)))
    if leader is not None and schedule.rng.random() < 0.4:
        part = {leader.host_id}
    rest = set(hosts) - part
    pairs = {(a, b) for a in part for b in rest}
    if schedule.rng.random() < 0.7:
        pairs |= {(b, a) for a in part for b in rest}
    group.faults.blocked |= pairs
    group.at(
        schedule.rng.uniform(0.5, 6.0), group.faults.blocked.difference_update, pairs
    )


@FAULTS.register("bad-network")
def bad_network(schedule) -> None:
    """Lose, repeat, delay and reorder messages for a while."""
    faults = schedule.group.faults
    faults.loss = schedule.rng.uniform(0, 0.3)
    faults.duplication = schedule.rng.uniform(0, 0.3)
    faults.slow_share = schedule.rng.uniform(0, 0.4)

    def end():
        faults.loss = faults.duplication = faults.slow_share = 0.0

    schedule.group.at(schedule.rng.uniform(1.0, 6.0), end)


@FAULTS.register("pause")
def pause(schedule) -> None:
    """Stop a process for a while; its clock goes on."""
    node = _choose_node(schedule)
    if node is None or node.paused:
        return
    node.paused = True
    member = node.member

    def end():
        if node.member is member and node.paused:
            node.resume()

    schedule.group.at(schedule.rng.uniform(0.3, 5.0), end)


@FAULTS.register("crash")
def crash(schedule) -> None:
    """Kill a process and start it again."""
    node = _choose_node(schedule)
    if node is not None:
        node.crash()
        _restart_later(schedule, node)


@FAULTS.register("crash-all")
def crash_all(schedule) -> None:
    """Kill all processes at once."""
    for node in schedule.group.nodes:
        node.crash()
        _restart_later(schedule, node)


@FAULTS.register("lose-disk")
def lose_disk(schedule) -> None:
    """Kill a process and its disk, as long as a quorum keeps its disks."""
    node = _choose_node(schedule)
    if node is None or not _may_lose(schedule, node):
        return
    schedule.change_disk(node.host_id)
    _restart_later(schedule, node)


@FAULTS.register("full-disk")
def full_disk(schedule) -> None:
    """Let the disk of a host be full for a while."""
    faults = schedule.group.faults
    node = _choose_node(schedule)
    if node is not None:
        faults.full_disks.add(node.host_id)
        delay_s = schedule.rng.uniform(0.5, 4.0)
        schedule.group.at(delay_s, faults.full_disks.discard, node.host_id)


@FAULTS.register("change-voters")
def change_voters(schedule) -> None:
    """Ask the leader to add or to remove a member."""
    leader = schedule.group.leader()
    if leader is None or leader.paused:
        return
    node = schedule.rng.choice(list(schedule.group.nodes_by_host.values()))
    kind = schedule.rng.choice(
        [voterset.ChangeKind.ADD_VOTER, voterset.ChangeKind.REMOVE]
    )
    if kind is voterset.ChangeKind.REMOVE:
        if len(leader.member.voter_set.voters) <= min(3, schedule.voters):
            return
    change = voterset.Change(kind, node.identity)
    try:
        leader.member.propose_change(change, leader.clock())
    except errors.ProxyError:
        return
    leader.pump()


@FAULTS.register("transfer")
def transfer(schedule) -> None:
    """Ask the leader to hand over its leadership."""
    leader = schedule.group.leader()
    if leader is None or leader.paused:
        return
    target = schedule.rng.choice(leader.member.voter_set.voters)
    try:
        leader.member.transfer_leadership(target, leader.clock())
    except errors.ProxyError:
        return
    leader.pump()


@FAULTS.register("crash-in-sync")
def crash_in_sync(schedule) -> None:
    """Kill the next processes that are writing to their disks."""
    everybody = schedule.rng.random() < 0.5

    def poll(rounds):
        syncing = [node for node in schedule.group.nodes if node.is_syncing]
        for node in syncing if everybody else syncing[:1]:
            node.crash()
            _restart_later(schedule, node)
        if not syncing and rounds > 0:
            schedule.group.at(POLL_S, poll, rounds - 1)

    poll(1000)


@FAULTS.register("stale-leader")
def stale_leader(schedule) -> None:
    """Cut the leader off from one voter first and from all shortly afterwards.

    The voter starts an election at about the time when the leader is cut off, while
    the lease of the leader still runs. In half of the cases the others restart.
    """
    group = schedule.group
    leader = group.leader()
    others = [node for node in group.nodes if node is not leader]
    if leader is None or not others:
        return
    first = (leader.host_id, schedule.rng.choice(others).host_id)
    group.faults.blocked.add(first)
    restarts = schedule.rng.random() < 0.5

    def isolate():
        hosts = set(group.nodes_by_host) - {leader.host_id}
        pairs = {(leader.host_id, host) for host in hosts}
        pairs |= {(host, leader.host_id) for host in hosts}
        group.faults.blocked |= pairs
        group.at(2.5, group.faults.blocked.difference_update, pairs)
        for node in others:
            if restarts and node.member is not None and node.host_id != first[1]:
                node.crash()
                node.start()

    group.at(schedule.rng.uniform(0.8, 2.4), isolate)


@FAULTS.register("leader-churn")
def leader_churn(schedule) -> None:
    """Kill each new leader while it has reached only a part of the voters."""
    group = schedule.group
    seen: set[tuple] = set()

    def strike(node, pairs):
        group.faults.blocked.difference_update(pairs)
        if node.member is not None:
            node.crash()
            group.at(schedule.rng.uniform(0.05, 0.5), _start, node, node.identity)

    def poll(rounds):
        leader = group.leader()
        if leader is not None and (leader.identity, leader.member.term) not in seen:
            seen.add((leader.identity, leader.member.term))
            hosts = sorted(set(group.nodes_by_host) - {leader.host_id})
            count = schedule.rng.randint(len(hosts) // 2, len(hosts))
            pairs = {
                (leader.host_id, host) for host in schedule.rng.sample(hosts, count)
            }
            group.faults.blocked |= pairs
            group.at(schedule.rng.uniform(0.01, 0.15), strike, leader, pairs)
        if rounds > 0 and schedule.is_active:
            group.at(POLL_S, poll, rounds - 1)

    poll(5000)


def _choose_node(schedule):
    leader = schedule.group.leader()
    if leader is not None and schedule.rng.random() < 0.4:
        return leader
    nodes = schedule.group.nodes
    return schedule.rng.choice(nodes) if nodes else None


def _restart_later(schedule, node):
    delay_s = schedule.rng.uniform(0.1, 4.0)
    schedule.group.at(delay_s, _start, node, node.identity)


def _start(node, identity):
    if node.member is None and node.identity == identity:
        node.start()


def _may_lose(schedule, node):
    """Return whether every voter set in use keeps a quorum of disks without ``node``.

    Beyond that the log is lost by design, see the design page on placement groups.
    """
    kept = {
        other.identity
        for other in schedule.group.nodes_by_host.values()
        if other is not node
    }
    for other in schedule.group.nodes:
        voters = other.member.voter_set.voters
        if voters and len(kept.intersection(voters)) < len(voters) // 2 + 1:
            return False
    return True
