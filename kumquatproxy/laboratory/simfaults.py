"""Faults that a schedule injects into a simulated consensus group."""

from kumquatproxy import errors, registry
from kumquatproxy.agreement import voterset

FAULTS = registry.Registry("fault")
"""Functions that start one fault in the group of a ``faultschedules.Schedule``."""

POLL_INTERVAL_S = 0.002


@FAULTS.register("partition")
def partition(schedule) -> None:
    """Partition the hosts for a while, in some cases in one direction only."""
    group = schedule.group
    hosts = list(group.nodes_by_host)
    leader = group.leader()
    isolated = set(schedule.rng.sample(hosts, schedule.rng.randint(1, len(hosts) // 2)))
    if leader is not None and schedule.rng.random() < 0.4:
        isolated = {leader.host_id}
    connected = set(hosts) - isolated
    links = {(a, b) for a in isolated for b in connected}
    if schedule.rng.random() < 0.7:
        links |= {(b, a) for a in isolated for b in connected}
    group.faults.blocked_links |= links
    group.call_later(
        schedule.rng.uniform(0.5, 6.0),
        group.faults.blocked_links.difference_update,
        links,
    )


@FAULTS.register("bad-network")
def bad_network(schedule) -> None:
    """Drop, duplicate, delay and reorder messages for a while."""
    faults = schedule.group.faults
    faults.loss = schedule.rng.uniform(0, 0.3)
    faults.duplication = schedule.rng.uniform(0, 0.3)
    faults.slow_share = schedule.rng.uniform(0, 0.4)

    def end_fault():
        faults.loss = faults.duplication = faults.slow_share = 0.0

    schedule.group.call_later(schedule.rng.uniform(1.0, 6.0), end_fault)


@FAULTS.register("pause")
def pause(schedule) -> None:
    """Pause a process for a while; its clock continues."""
    node = _choose_node(schedule)
    if node is None or node.paused:
        return
    node.paused = True
    member = node.member

    def end_fault():
        if node.member is member and node.paused:
            node.resume()

    schedule.group.call_later(schedule.rng.uniform(0.3, 5.0), end_fault)


@FAULTS.register("crash")
def crash(schedule) -> None:
    """Kill a process and restart it later."""
    node = _choose_node(schedule)
    if node is not None:
        node.crash()
        _restart_later(schedule, node)


@FAULTS.register("crash-all")
def crash_all(schedule) -> None:
    """Kill all processes at once and restart each later."""
    for node in schedule.group.nodes:
        node.crash()
        _restart_later(schedule, node)


@FAULTS.register("lose-disk")
def lose_disk(schedule) -> None:
    """Kill a process and erase its disk, if each voter set keeps a quorum of disks."""
    node = _choose_node(schedule)
    if node is None or not _keeps_quorums_without(schedule, node):
        return
    schedule.replace_disk(node.host_id)
    _restart_later(schedule, node)


@FAULTS.register("full-disk")
def full_disk(schedule) -> None:
    """Make writes to a host's disk fail for a while."""
    faults = schedule.group.faults
    node = _choose_node(schedule)
    if node is not None:
        faults.full_disks.add(node.host_id)
        delay_s = schedule.rng.uniform(0.5, 4.0)
        schedule.group.call_later(delay_s, faults.full_disks.discard, node.host_id)


@FAULTS.register("change-voters")
def change_voters(schedule) -> None:
    """Propose to the leader to add or remove a voter."""
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
    """Ask the leader to transfer the leadership to a random voter."""
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
    """Kill one or all of the next processes that are syncing to disk."""
    crashes_all = schedule.rng.random() < 0.5

    def poll(rounds_left):
        syncing = [node for node in schedule.group.nodes if node.is_syncing]
        for node in syncing if crashes_all else syncing[:1]:
            node.crash()
            _restart_later(schedule, node)
        if not syncing and rounds_left > 0:
            schedule.group.call_later(POLL_INTERVAL_S, poll, rounds_left - 1)

    poll(1000)


@FAULTS.register("stale-leader")
def stale_leader(schedule) -> None:
    """Block the leader's messages to one running host, and later all of its links.

    The leader is isolated 0.8 to 2.4 s later, for 2.5 s. The chosen host, if a voter,
    starts an election at about that time, while the leader still holds its lease. In
    half of the cases all other running hosts but the chosen one restart then.
    """
    group = schedule.group
    leader = group.leader()
    others = [node for node in group.nodes if node is not leader]
    if leader is None or not others:
        return
    first_link = (leader.host_id, schedule.rng.choice(others).host_id)
    group.faults.blocked_links.add(first_link)
    restarts_others = schedule.rng.random() < 0.5

    def isolate():
        hosts = set(group.nodes_by_host) - {leader.host_id}
        links = {(leader.host_id, host) for host in hosts}
        links |= {(host, leader.host_id) for host in hosts}
        group.faults.blocked_links |= links
        group.call_later(2.5, group.faults.blocked_links.difference_update, links)
        for node in others:
            if (
                restarts_others
                and node.member is not None
                and node.host_id != first_link[1]
            ):
                node.crash()
                node.start()

    group.call_later(schedule.rng.uniform(0.8, 2.4), isolate)


@FAULTS.register("leader-churn")
def leader_churn(schedule) -> None:
    """For 10 s, kill each new leader shortly after its election.

    Its messages to half or more of the other hosts are blocked until it is killed.
    """
    group = schedule.group
    handled_leaders: set[tuple] = set()

    def crash_leader(node, links):
        group.faults.blocked_links.difference_update(links)
        if node.member is not None:
            node.crash()
            group.call_later(
                schedule.rng.uniform(0.05, 0.5), _start_if_down, node, node.identity
            )

    def poll(rounds_left):
        leader = group.leader()
        if (
            leader is not None
            and (leader.identity, leader.member.term) not in handled_leaders
        ):
            handled_leaders.add((leader.identity, leader.member.term))
            hosts = sorted(set(group.nodes_by_host) - {leader.host_id})
            count = schedule.rng.randint(len(hosts) // 2, len(hosts))
            links = {
                (leader.host_id, host) for host in schedule.rng.sample(hosts, count)
            }
            group.faults.blocked_links |= links
            group.call_later(
                schedule.rng.uniform(0.01, 0.15), crash_leader, leader, links
            )
        if rounds_left > 0 and schedule.is_active:
            group.call_later(POLL_INTERVAL_S, poll, rounds_left - 1)

    poll(5000)


def _choose_node(schedule):
    leader = schedule.group.leader()
    if leader is not None and schedule.rng.random() < 0.4:
        return leader
    nodes = schedule.group.nodes
    return schedule.rng.choice(nodes) if nodes else None


def _restart_later(schedule, node):
    delay_s = schedule.rng.uniform(0.1, 4.0)
    schedule.group.call_later(delay_s, _start_if_down, node, node.identity)


def _start_if_down(node, identity):
    if node.member is None and node.identity == identity:
        node.start()


def _keeps_quorums_without(schedule, node):
    """Return whether every voter set in use keeps a quorum of disks without ``node``.

    The loss of a quorum of disks loses committed entries, which the design accepts; see
    the section on placement groups in the design documentation.
    """
    kept_identities = {
        other.identity
        for other in schedule.group.nodes_by_host.values()
        if other is not node
    }
    for other in schedule.group.nodes:
        voters = other.member.voter_set.voters
        if voters and len(kept_identities.intersection(voters)) < len(voters) // 2 + 1:
            return False
    return True
