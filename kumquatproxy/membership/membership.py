"""SWIM-style membership of the hosts and backend servers of one data centre."""

import struct

from kumquatproxy import records, wire
from kumquatproxy.laboratory import repeats
from kumquatproxy.membership import (
    backendtable,
    hosttable,
    membermessages,
    probing,
    remoterelays,
    suspicion,
    trees,
)

INDIRECT_PROBE_COUNT = 3
PAUSE_THRESHOLD_S = 1.0
"""A longer gap between ticks means that this process was suspended. Acks that it could
not handle meanwhile say nothing about other hosts."""

ISOLATION_TIMEOUT_S = 3.0
ISOLATION_MIN_HOSTS = 5
"""With at least this many known hosts (including this host and those that died or left
recently), silence of all others at once means that this host is isolated. With fewer
hosts the others may really be dead."""

RECONTACT_INTERVAL_S = 2.0
MIN_SYNC_INTERVAL_S = 1.0
MAX_SYNC_INTERVAL_S = 20.0
"""While the checksums of the present hosts differ, the full lists are exchanged. The
interval doubles each time, since many differences vanish without an exchange once each
host has probed the others."""

JOIN_INTERVAL_S = 1.0
BACKEND_PULL_INTERVAL_S = 3.0
PURGE_INTERVAL_S = 30.0
RANDOM_PUSH_COUNT = 3
PUSH_FAN_OUT = 2
MAX_SERVERS_PER_PUSH = 200
LEAVING_INDEX = 9  # position of ``leaving`` in ``membermessages.list_of_server``
RELAY_COUNT = 2

_CHECKSUMS = struct.Struct(">II")
_U32_MASK = 0xFFFFFFFF

HostState = membermessages.HostState
HostEntry = membermessages.HostEntry


class Membership:
    """Track the hosts and the backend servers of this host's data centre.

    Each call returns the messages to send and the changes for other parts of the host.
    """

    def __init__(self, settings, rng, now):
        self.settings: membermessages.Settings = settings
        self.host_id: str = settings.host_id
        self.table = hosttable.HostTable(settings.host_id)
        self.backends = backendtable.BackendTable(settings.data_centre)
        # Number and short digest of the newest configuration version of this host, sent
        # with probes, acks and relay notices.
        self.version: list = [0, b""]
        self.remote_relays = remoterelays.RemoteRelays(settings, rng, now)
        self._rng = rng
        self._outputs: list = []
        self._prober = probing.Prober(rng, now)
        self._suspected_by_own_probe: set[str] = set()
        self._suspicions = suspicion.Suspicions()
        # Host changes and leaving servers are pushed again, as a push may be lost.
        self._repeated_pushes = repeats.Repeats()
        self._is_joined = False
        self._ticked_at = now
        self._last_received_at = now
        self._recontact_at = now + RECONTACT_INTERVAL_S
        self._join_at = now
        self._sync_at = now
        self._sync_interval_s = MIN_SYNC_INTERVAL_S
        self._pull_at = now
        self._purge_at = now + PURGE_INTERVAL_S
        for seed in settings.seeds:
            self._add_seed(seed, now)
        own_entry = HostEntry(self.host_id, 0, settings.incarnation, settings.address)
        self.table.put(own_entry, now)

    @property
    def own_entry(self) -> HostEntry:
        """Return the entry of this host."""
        return self.table.entries_by_id[self.host_id]

    def relays(self) -> list[str]:
        """Return the relays of this data centre.

        These are the hosts with the lowest ids in ``HostTable.unsuspected``. They
        exchange notices, versions and summaries with the relays of other data centres.
        """
        return self.table.unsuspected()[:RELAY_COUNT]

    def report_order(self) -> list[str]:
        """Return the hosts in the order of the binary report tree.

        The highest ids come first, so that the relays, which also have links to other
        data centres, are leaves with a single link in this tree.
        """
        return self.table.alive_or_suspect()[::-1]

    def _add_seed(self, seed, now):
        if seed.host_id == self.host_id:
            return
        if seed.data_centre == self.settings.data_centre:
            self.table.put(HostEntry(seed.host_id, 0, 0, seed.address), now)
        changed = (seed.host_id, seed.data_centre, HostState.ALIVE, seed.address)
        self._outputs.append(membermessages.HostChanged(*changed))

    def tick(self, now: float) -> list:
        """Run the timers that are due and return the outputs."""
        self._handle_pause(now)
        self._check_probes(now)
        if self._prober.schedule_next_if_due(now):
            self._probe_next(now)
        self._check_suspicions(now)
        for hosts, servers in self._repeated_pushes.due(now):
            self._send_push(hosts, servers)
        self._join_and_recontact(now)
        if self.host_id in self.relays():
            self._outputs += self.remote_relays.tick(self._relay_notice, now)
        if now >= self._purge_at:
            self._purge_at = now + PURGE_INTERVAL_S
            self.table.purge(now)
            self.backends.purge(now)
        return self._take_outputs()

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message from another host and return the outputs."""
        if not isinstance(message, membermessages.RelayNotice):
            self._last_received_at = now
        _HANDLERS[type(message)](self, sender, message, now)
        return self._take_outputs()

    def announce(self, server: records.BackendServer, now: float) -> list:
        """Record the announcement of a backend server that reports to this host.

        Raise ProxyError if it is invalid or outdated.
        """
        known = self.backends.get(server.backend_id)
        if self.backends.announce(server, now):
            self._emit_server_change(known, server)
            values = membermessages.list_of_server(server, 0.0)
            self._push([], [values], "", now)
        return self._take_outputs()

    def announce_self(self, state: HostState, now: float) -> list:
        """Announce that this host is LEAVING (accepts no new requests) or has LEFT."""
        own_entry = self.own_entry
        entry = HostEntry(
            self.host_id, state, own_entry.incarnation + 1, own_entry.address
        )
        self.table.put(entry, now)
        self._push([entry.to_list()], [], "", now)
        return self._take_outputs()

    def _take_outputs(self):
        outputs = self._outputs
        self._outputs = []
        return outputs

    def _send(self, to, message):
        self._outputs.append(wire.Send(to, message))

    def _local_seed_ids(self):
        centre = self.settings.data_centre
        seeds = [seed for seed in self.settings.seeds if seed.data_centre == centre]
        return [seed.host_id for seed in seeds if seed.host_id != self.host_id]

    def _other_hosts(self, excluded_id=""):
        return [
            host_id
            for host_id in self.table.present()
            if host_id not in (self.host_id, excluded_id)
        ]

    def _sample_other_hosts(self, count, excluded_id=""):
        others = self._other_hosts(excluded_id)
        return self._rng.sample(others, min(count, len(others)))

    def _checksums(self):
        return _CHECKSUMS.pack(
            self.table.checksum & _U32_MASK, self.backends.checksum & _U32_MASK
        )

    def _probe(self, target, now, requester="", requester_number=0):
        number = self._prober.start(target, now, requester, requester_number)
        self._send(target, self._probe_message(target, number))

    def _send_untracked_probe(self, target):
        self._send(target, self._probe_message(target, self._prober.untracked_number()))

    def _probe_message(self, target, number):
        return membermessages.Probe(number=number, **self._status_fields(target))

    def _status_fields(self, receiver):
        """Return the fields that probes and acks have in common."""
        entry = self.table.get(receiver)
        first_id = receiver if entry and entry.state >= HostState.SUSPECT else ""
        return {
            "sender_entry": self.own_entry.to_list(),
            "updates": self.table.take_updates(first_id),
            "checksums": self._checksums(),
            "version": self.version,
        }

    def _probe_next(self, now):
        target = self._prober.next_target(self._other_hosts())
        if target:
            self._probe(target, now)
        for suspect in sorted(self._suspected_by_own_probe):
            self._send_untracked_probe(suspect)

    def _check_probes(self, now):
        for number, target in self._prober.mark_overdue(now):
            self._request_indirect_probes(number, target)
        for target in self._prober.take_failed(now):
            self._suspect(target, now)

    def _request_indirect_probes(self, number, target):
        for helper in self._sample_other_hosts(INDIRECT_PROBE_COUNT, target):
            request = membermessages.ProbeRequest(number=number, target=target)
            self._send(helper, request)

    def _suspect(self, target, now):
        entry = self.table.get(target)
        if entry is None or self._is_isolated(now):
            return
        if entry.state in (HostState.ALIVE, HostState.LEAVING):
            self._suspected_by_own_probe.add(target)
            self._merge(
                HostEntry(target, HostState.SUSPECT, entry.incarnation, ""), now
            )

    def _is_isolated(self, now):
        is_large_enough = len(self.table.entries_by_id) >= ISOLATION_MIN_HOSTS
        return is_large_enough and now - self._last_received_at > ISOLATION_TIMEOUT_S

    def _check_suspicions(self, now):
        if self._is_isolated(now):
            self._suspicions.ensure_time_left(now)
        for target in self._suspicions.expired(now):
            entry = self.table.entries_by_id[target]
            self._merge(HostEntry(target, HostState.DEAD, entry.incarnation, ""), now)

    def _handle_pause(self, now):
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s <= PAUSE_THRESHOLD_S:
            return
        self._prober.clear()
        self._last_received_at = now
        self._suspicions.extend(paused_s)

    def _join_and_recontact(self, now):
        if not self._is_joined and now >= self._join_at:
            self._join_at = now + JOIN_INTERVAL_S
            seeds = self._local_seed_ids()
            self._is_joined = not seeds
            for seed in self._rng.sample(seeds, min(2, len(seeds))):
                self._send(seed, self._sync_message(True))
        if now < self._recontact_at:
            return
        self._recontact_at = now + RECONTACT_INTERVAL_S
        seeds = self._local_seed_ids()
        missing = {host_id for host_id in seeds if not self.table.is_present(host_id)}
        missing.update(self.table.dead())
        if missing:
            self._send_untracked_probe(self._rng.choice(sorted(missing)))

    def _on_probe(self, sender, probe, now):
        self._on_status(sender, probe, now)
        self._send(sender, self._ack(probe.number, self.host_id, sender))

    def _ack(self, number, about, requester):
        status = self._status_fields(requester)
        return membermessages.ProbeAck(number=number, about=about, **status)

    def _on_ack(self, sender, ack, now):
        self._on_status(sender, ack, now)
        pending = self._prober.finish(ack.number, ack.about)
        if pending is not None and pending.requester:
            answer = self._ack(
                pending.requester_number, pending.target, pending.requester
            )
            self._send(pending.requester, answer)

    def _on_probe_request(self, sender, request, now):
        if self.table.get(request.target) is not None:
            self._probe(request.target, now, sender, request.number)

    def _on_status(self, sender, message, now):
        self._merge(membermessages.parse_host(message.sender_entry), now)
        for values in message.updates:
            self._merge(membermessages.parse_host(values), now)
        hosts_checksum, backends_checksum = _CHECKSUMS.unpack(message.checksums)
        if hosts_checksum == self.table.checksum & _U32_MASK:
            self._sync_interval_s = MIN_SYNC_INTERVAL_S
        elif now >= self._sync_at:
            self._sync_at = now + self._sync_interval_s * (0.5 + self._rng.random())
            self._sync_interval_s = min(MAX_SYNC_INTERVAL_S, self._sync_interval_s * 2)
            self._send(sender, self._sync_message(True))
        if (
            backends_checksum != self.backends.checksum & _U32_MASK
            and now >= self._pull_at
        ):
            self._pull_at = now + BACKEND_PULL_INTERVAL_S
            known = self.backends.known_hashes()
            self._send(sender, membermessages.BackendPull(known=known))

    def _sync_message(self, wants_answer):
        return membermessages.MemberSync(
            answer=wants_answer, hosts=self.table.present_in_message_form()
        )

    def _on_sync(self, sender, sync, now):
        self._is_joined = True
        for values in sync.hosts:
            self._merge(membermessages.parse_host(values), now)
        if sync.answer:
            self._send(sender, self._sync_message(False))

    def _on_backend_pull(self, sender, pull, now):
        missing = self.backends.missing_from(pull.known, now)
        for start in range(0, len(missing), MAX_SERVERS_PER_PUSH):
            servers = missing[start : start + MAX_SERVERS_PER_PUSH]
            self._send(sender, membermessages.MemberPush(hosts=[], servers=servers))

    def _on_push(self, sender, push, now):
        entries = [membermessages.parse_host(values) for values in push.hosts]
        hosts = [entry.to_list() for entry in entries if self._merge(entry, now)]
        servers = []
        for values in push.servers:
            server, age_s = membermessages.parse_server(values)
            known = self.backends.get(server.backend_id)
            if self.backends.merge(server, age_s, now):
                self._emit_server_change(known, server)
                servers.append(values)
        if hosts or servers:
            self._push(hosts, servers, sender, now)

    def _emit_server_change(self, known, server):
        if known != server:
            self._outputs.append(membermessages.BackendChanged(server))

    def _push(self, hosts, servers, sender, now):
        leaving_servers = [values for values in servers if values[LEAVING_INDEX]]
        self._repeated_pushes.add(hosts, leaving_servers, now)
        self._send_push(hosts, servers, sender)

    def _send_push(self, hosts, servers, sender=""):
        """Send changes to the neighbours in the report tree and to some random hosts.

        Through the random hosts a change reaches the hosts below a tree node that has
        just died.
        """
        order = self.report_order()
        targets = set(trees.neighbours_in(order, self.host_id, PUSH_FAN_OUT))
        targets.update(self._sample_other_hosts(RANDOM_PUSH_COUNT))
        for target in sorted(targets - {sender, self.host_id}):
            push = membermessages.MemberPush(hosts=hosts, servers=servers)
            self._send(target, push)

    def _on_relay_notice(self, sender, notice, now):
        self._outputs += self.remote_relays.apply_notice(notice, now)
        if notice.answer:
            self._send(sender, self._relay_notice(False))

    def _relay_notice(self, wants_answer):
        relays = [
            [host_id, self.table.entries_by_id[host_id].address]
            for host_id in self.relays()
        ]
        return membermessages.RelayNotice(
            answer=wants_answer,
            data_centre=self.settings.data_centre,
            relays=relays,
            version=self.version,
        )

    def _merge(self, entry, now):
        if entry.host_id == self.host_id:
            self._refute(entry, now)
            return False
        if not self.table.put(entry, now):
            return False
        self._suspected_by_own_probe.discard(entry.host_id)
        self._suspicions.end(entry.host_id)
        if entry.state is HostState.SUSPECT:
            self._suspicions.start(entry.host_id, now)
        centre = self.settings.data_centre
        changed = (entry.host_id, centre, entry.state, entry.address)
        self._outputs.append(membermessages.HostChanged(*changed))
        return True

    def _refute(self, entry, now):
        own_entry = self.own_entry
        if entry.rank() <= own_entry.rank():
            return
        refutation = HostEntry(
            self.host_id, own_entry.state, entry.incarnation + 1, own_entry.address
        )
        self.table.put(refutation, now)


_HANDLERS = {
    membermessages.Probe: Membership._on_probe,
    membermessages.ProbeAck: Membership._on_ack,
    membermessages.ProbeRequest: Membership._on_probe_request,
    membermessages.MemberSync: Membership._on_sync,
    membermessages.MemberPush: Membership._on_push,
    membermessages.BackendPull: Membership._on_backend_pull,
    membermessages.RelayNotice: Membership._on_relay_notice,
}
