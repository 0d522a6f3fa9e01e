"""Settings of one Raft member, and records it exchanges with the task that runs it."""

from kumquatproxy import errors, records, wire
from kumquatproxy.agreement import replicalog

ELECTION_TIMEOUT_S = 1.2
HEARTBEAT_INTERVAL_S = 0.5
# Allows for clocks that run up to 8% fast or slow during one election timeout.
LEASE_MARGIN_S = 0.2
# An append message must stay below wire.MAX_FRAME_BYTES, including at most 20 bytes of
# overhead for each entry and the other fields of the message.
MAX_BATCH_BYTES = 192 * 1024
MAX_BATCH_ENTRIES = 1024
MAX_COMMAND_BYTES = MAX_BATCH_BYTES
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# Unanswered append messages to each member. The queue of a link holds more bytes than
# these, so that none is dropped, as all later ones are refused then.
MAX_IN_FLIGHT_APPENDS = 64
MAX_IN_FLIGHT_BYTES = 1024 * 1024
# Entries kept before a snapshot for members that lag slightly, and their size. A member
# that lacks more gets the snapshot.
RETAINED_ENTRIES = 1000
RETAINED_BYTES = 512 * 1024
# A learner that is silent for longer is removed; without ``voter_target`` only one to
# be promoted. It may have lost its state, and then joins under a new identity.
LEARNER_EXPIRY_S = 30.0
# Longer than an election takes. A voter silent for this time is replaced if a learner
# has caught up; it joins again as a learner when it returns.
REPLACE_AFTER_S = 2.5


class GroupSettings(records.Record):
    """Hold the settings of one group member."""

    __slots__ = (
        "admitted_hosts",
        "chunk_bytes",
        "election_timeout_s",
        "group",
        "heartbeat_s",
        "identity",
        "join_hosts",
        "learner_expiry_s",
        "lease_margin_s",
        "max_batch_bytes",
        "max_batch_entries",
        "max_in_flight",
        "max_in_flight_bytes",
        "replace_after_s",
        "retained_bytes",
        "retained_entries",
        "voter_target",
    )

    def __init__(
        self,
        group,
        identity,
        join_hosts=(),
        election_timeout_s=ELECTION_TIMEOUT_S,
        heartbeat_s=HEARTBEAT_INTERVAL_S,
        lease_margin_s=LEASE_MARGIN_S,
        max_batch_entries=MAX_BATCH_ENTRIES,
        max_batch_bytes=MAX_BATCH_BYTES,
        max_in_flight=MAX_IN_FLIGHT_APPENDS,
        chunk_bytes=SNAPSHOT_CHUNK_BYTES,
        retained_entries=RETAINED_ENTRIES,
        learner_expiry_s=LEARNER_EXPIRY_S,
        admitted_hosts=(),
        voter_target=0,
        replace_after_s=REPLACE_AFTER_S,
        retained_bytes=RETAINED_BYTES,
        max_in_flight_bytes=MAX_IN_FLIGHT_BYTES,
    ):
        self.group: str = group
        self.identity: str = identity
        self.join_hosts: tuple[str, ...] = tuple(join_hosts)
        self.election_timeout_s: float = election_timeout_s
        self.heartbeat_s: float = heartbeat_s
        self.lease_margin_s: float = lease_margin_s
        self.max_batch_entries: int = max_batch_entries
        self.max_batch_bytes: int = max_batch_bytes
        self.max_in_flight: int = max_in_flight
        self.max_in_flight_bytes: int = max_in_flight_bytes
        self.chunk_bytes: int = chunk_bytes
        self.retained_entries: int = retained_entries
        self.retained_bytes: int = retained_bytes
        self.learner_expiry_s: float = learner_expiry_s
        # Hosts that become voters when they join, without an operator command.
        self.admitted_hosts: tuple[str, ...] = tuple(admitted_hosts)
        # Number of voters that the leader maintains, chosen from all hosts that join;
        # 0 leaves changes of the voter set to operators.
        self.voter_target: int = voter_target
        self.replace_after_s: float = replace_after_s


class HardState(records.Record):
    """Hold the term and vote that must be durable before a member answers."""

    __slots__ = ("term", "vote")

    def __init__(self, term=0, vote=""):
        self.term: int = term
        self.vote: str = vote  # identity, empty if no vote was granted in this term


class PersistedState(records.Record):
    """Hold the durable state from which a member starts."""

    __slots__ = ("entries", "hard_state", "snapshot")

    def __init__(self, hard_state, snapshot, entries=()):
        self.hard_state: HardState = hard_state
        self.snapshot: replicalog.Snapshot = snapshot
        self.entries: list[replicalog.Entry] = list(entries)


def bootstrap_state(voter_set=b"", base_term=0, data=b"") -> PersistedState:
    """Return the initial state of a member, with an encoded voter set.

    A member that joins later starts with the empty set. A group that replaces one whose
    state was lost takes the highest term known of the lost group as ``base_term``, so
    that its own terms are higher. ``data`` is the initial state of the state machine.
    """
    snapshot = replicalog.Snapshot(0, 0, voter_set, data)
    return PersistedState(HardState(base_term), snapshot)


class PendingWrite(records.Record):
    """Hold what must be durable before the messages of its ``Outputs`` are sent.

    The snapshot is written first, then the reset, the hard state and the entries in one
    frame. The reset applies before the entries, and the first entry overwrites the
    entry with the same index on disk and all later ones.
    """

    __slots__ = ("entries", "hard_state", "reset", "snapshot")

    def __init__(self, hard_state=None, entries=(), snapshot=None, reset=False):
        self.hard_state: HardState | None = hard_state
        self.entries: list[replicalog.Entry] = list(entries)
        self.snapshot: replicalog.Snapshot | None = snapshot
        self.reset: bool = reset  # remove all entries; the log restarts at the snapshot

    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return not (self.hard_state or self.entries or self.snapshot)


class Outputs(records.Record):
    """Hold the outputs of a member since the previous ``take_outputs``.

    The messages in ``replicate`` may be sent before ``persist`` is durable: they carry
    entries, heartbeats or snapshot chunks of a leader, which counts its own copy only
    after ``mark_persisted``. Those in ``messages`` must wait for the write.
    ``snapshot`` must be restored before ``committed`` is applied.
    """

    __slots__ = ("committed", "messages", "persist", "replicate", "snapshot")

    def __init__(self, persist, messages, committed, snapshot, replicate):
        self.persist: PendingWrite = persist
        # Messages to send after the write is durable.
        self.messages: list[wire.Send] = messages
        self.committed: list[replicalog.Entry] = committed
        self.snapshot: replicalog.Snapshot | None = snapshot
        # Messages that may be sent before the write is durable.
        self.replicate: list[wire.Send] = replicate

    def is_empty(self) -> bool:
        """Return whether there are no outputs."""
        parts = (
            self.messages,
            self.committed,
            self.snapshot,
            self.replicate,
        )
        return self.persist.is_empty() and not any(parts)


class LogPosition(records.Record):
    """Hold the log position of a proposed entry.

    The proposed entry is committed if the entry applied at ``index`` has the term
    ``term``; with any other term it was replaced by another entry.
    """

    __slots__ = ("index", "term")

    def __init__(self, index, term):
        self.index: int = index
        self.term: int = term


class NotLeader(errors.ProxyError):
    """Refuse a proposal that was not and will not be added to the log."""

    def __init__(self, leader_id):
        self.leader_id: str | None = leader_id
        detail = (
            "this member cannot accept proposals now; "
            f"the leader is {leader_id or 'not known'}"
        )
        super().__init__(errors.ErrorKind.NOT_LEADER, detail)
