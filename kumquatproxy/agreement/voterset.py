"""Membership of a Raft group: voters, learners and single-step changes."""

import enum

import cbor2

from kumquatproxy import errors, records

MAX_VOTERS = 7


class ChangeKind(enum.Enum):
    """Enumerate the changes; each one adds or removes at most one voter."""

    ADD_LEARNER = "add-learner"
    ADD_VOTER = "add-voter"  # as a learner that is promoted once it has caught up
    PROMOTE = "promote"
    REMOVE = "remove"


class Change(records.Record):
    """Request that ``identity`` is added, promoted or removed."""

    __slots__ = ("identity", "kind")

    def __init__(self, kind, identity):
        self.kind: ChangeKind = kind
        self.identity: str = identity


def make_identity(host_id: str, disk_id: str) -> str:
    """Return the member identity of a host; a new disk makes it a new member."""
    return f"{host_id}/{disk_id}"


def host_of(identity: str) -> str:
    """Return the host id of a member identity."""
    return identity.rpartition("/")[0]


class VoterSet(records.Record):
    """Hold the voters and learners of a group at one log index."""

    __slots__ = ("learners", "promoting", "voters")

    def __init__(self, voters=(), learners=(), promoting=()):
        self.voters: tuple[str, ...] = tuple(sorted(voters))
        self.learners: tuple[str, ...] = tuple(sorted(learners))
        # Learners that become voters once they have caught up.
        self.promoting: tuple[str, ...] = tuple(sorted(promoting))

    @property
    def members(self) -> tuple[str, ...]:
        """Return the identities of all voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def value_reached_by_quorum(self, values_by_identity: dict) -> float:
        """Return the highest value that a majority of the voters has or exceeds.

        The values are log indices or times; without voters the result is 0.
        """
        values = [values_by_identity.get(identity, 0) for identity in self.voters]
        if not values:
            return 0
        return sorted(values, reverse=True)[self.quorum - 1]

    def other_identities_of_host(self, identity: str) -> list[str]:
        """Return the other member identities of the same host."""
        host = host_of(identity)
        return [
            member
            for member in self.members
            if member != identity and host_of(member) == host
        ]

    def with_change(self, change: Change) -> "VoterSet":
        """Return the set after ``change``; raise ProxyError if it is invalid."""
        return _CHANGE_METHODS[change.kind](self, change.identity)

    def _add_learner(self, identity):
        if identity in self.members:
            raise _invalid_request(f"{identity} is already a member")
        replaced = self.other_identities_of_host(identity)
        learners = [member for member in self.learners if member not in replaced]
        promoting = [member for member in self.promoting if member not in replaced]
        return VoterSet(self.voters, [*learners, identity], promoting)

    def _add_voter(self, identity):
        with_learner = self._add_learner(identity)
        promoting = [*with_learner.promoting, identity]
        # A host that returns under a new identity replaces its old identity, so the
        # limit applies to hosts.
        hosts = {host_of(member) for member in [*with_learner.voters, *promoting]}
        if len(hosts) > MAX_VOTERS:
            raise _invalid_request(f"a group has at most {MAX_VOTERS} voters")
        return VoterSet(with_learner.voters, with_learner.learners, promoting)

    def _promote(self, identity):
        if identity not in self.learners:
            raise _invalid_request(f"{identity} is not a learner")
        if len(self.voters) >= MAX_VOTERS:
            raise _invalid_request(f"a group has at most {MAX_VOTERS} voters")
        learners = [member for member in self.learners if member != identity]
        promoting = [member for member in self.promoting if member != identity]
        return VoterSet([*self.voters, identity], learners, promoting)

    def _remove(self, identity):
        if identity not in self.members:
            raise _invalid_request(f"{identity} is not a member")
        if self.voters == (identity,):
            raise _invalid_request(f"{identity} is the last voter")
        groups = (self.voters, self.learners, self.promoting)
        return VoterSet(
            *([member for member in group if member != identity] for group in groups)
        )

    def encode(self) -> bytes:
        """Return the form stored in log entries and snapshots."""
        return cbor2.dumps([self.voters, self.learners, self.promoting])


_CHANGE_METHODS = {
    ChangeKind.ADD_LEARNER: VoterSet._add_learner,
    ChangeKind.ADD_VOTER: VoterSet._add_voter,
    ChangeKind.PROMOTE: VoterSet._promote,
    ChangeKind.REMOVE: VoterSet._remove,
}


def decode(data: bytes) -> VoterSet:
    """Decode a voter set; empty data is the empty set."""
    if not data:
        return VoterSet()
    return VoterSet(*cbor2.loads(data))


def _invalid_request(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
