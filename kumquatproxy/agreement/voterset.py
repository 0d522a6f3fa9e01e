"""Voters and learners of a group and the changes to them."""

import enum

import cbor2

from kumquatproxy import errors, records

MAX_VOTERS = 7


class ChangeKind(enum.Enum):
    """Name the changes; each one changes at most one voter."""

    ADD_LEARNER = "add-learner"
    ADD_VOTER = "add-voter"  # a learner that becomes a voter once it has caught up
    PROMOTE = "promote"
    REMOVE = "remove"


class Change(records.Record):
    """Ask for one change of the member with ``identity``."""

    __slots__ = ("identity", "kind")

    def __init__(self, kind, identity):
        self.kind: ChangeKind = kind
        self.identity: str = identity


def make_identity(host_id: str, disk_id: str) -> str:
    """Return the identity of a member; a host with a new disk is a new member."""
    return f"{host_id}/{disk_id}"


def host_of(identity: str) -> str:
    """Return the host id of an identity."""
    return identity.rpartition("/")[0]


class VoterSet(records.Record):
    """Hold the identities of one configuration of a group."""

    __slots__ = ("learners", "promoting", "voters")

    def __init__(self, voters=(), learners=(), promoting=()):
        self.voters: tuple[str, ...] = tuple(sorted(voters))
        self.learners: tuple[str, ...] = tuple(sorted(learners))
        self.promoting: tuple[str, ...] = tuple(sorted(promoting))  # among learners

    @property
    def members(self) -> tuple[str, ...]:
        """Return all voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters that decide."""
        return len(self.voters) // 2 + 1

    def reached(self, values_by_identity: dict) -> float:
        """Return the highest value that a quorum of voters has reached, 0 if none."""
        values = [values_by_identity.get(identity, 0) for identity in self.voters]
        if not values:
            return 0
        return sorted(values, reverse=True)[self.quorum - 1]

    def others_of_host(self, identity: str) -> list[str]:
        """Return the other identities of the same host."""
        host = host_of(identity)
        return [
            other
            for other in self.members
            if other != identity and host_of(other) == host
        ]

    def changed(self, change: Change) -> "VoterSet":
        """Return the set after ``change``; raise ProxyError if it is not possible."""
        return _CHANGES[change.kind](self, change.identity)

    def _add_learner(self, identity):
        if identity in self.members:
            raise _refused(f"{identity} is a member already")
        replaced = self.others_of_host(identity)
        learners = [name for name in self.learners if name not in replaced]
        promoting = [name for name in self.promoting if name not in replaced]
        return VoterSet(self.voters, [*learners, identity], promoting)

    def _add_voter(self, identity):
        joined = self._add_learner(identity)
        promoting = [*joined.promoting, identity]
        # A member that comes back under a new identity takes the place of the old one.
        hosts = {host_of(name) for name in [*joined.voters, *promoting]}
        if len(hosts) > MAX_VOTERS:
            raise _refused(f"a group has at most {MAX_VOTERS} voters")
        return VoterSet(joined.voters, joined.learners, promoting)

    def _promote(self, identity):
        if identity not in self.learners:
            raise _refused(f"{identity} is not a learner")
        if len(self.voters) >= MAX_VOTERS:
            raise _refused(f"a group has at most {MAX_VOTERS} voters")
        learners = [name for name in self.learners if name != identity]
        promoting = [name for name in self.promoting if name != identity]
        return VoterSet([*self.voters, identity], learners, promoting)

    def _remove(self, identity):
        if identity not in self.members:
            raise _refused(f"{identity} is not a member")
        if self.voters == (identity,):
            raise _refused(f"{identity} is the last voter")
        parts = (self.voters, self.learners, self.promoting)
        return VoterSet(
            *([name for name in part if name != identity] for part in parts)
        )

    def encode(self) -> bytes:
        """Return the form that entries and snapshots carry."""
        return cbor2.dumps([self.voters, self.learners, self.promoting])


_CHANGES = {
    ChangeKind.ADD_LEARNER: VoterSet._add_learner,
    ChangeKind.ADD_VOTER: VoterSet._add_voter,
    ChangeKind.PROMOTE: VoterSet._promote,
    ChangeKind.REMOVE: VoterSet._remove,
}


def decode(data: bytes) -> VoterSet:
    """Return the set of an encoded form; empty data is the empty set."""
    if not data:
        return VoterSet()
    return VoterSet(*cbor2.loads(data))


def _refused(detail):
    return errors.ProxyError(errors.ErrorKind.INVALID_REQUEST, detail)
