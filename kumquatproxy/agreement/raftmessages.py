"""Messages between the members of a replicated-log group.

``source`` and ``target`` are identities: a message for an earlier identity of a host
must not reach the present one, which may not know how the earlier one voted.
"""

import typing

from kumquatproxy import errors, wire
from kumquatproxy.agreement import replicalog

NO_TERM = 0  # of a message from a member that is in no term yet


class GroupMessage(wire.Message):
    """Base of the messages within a group."""

    __slots__ = ()
    group: str
    source: str
    target: str
    term: int


@wire.register("pre-vote")
class PreVoteRequest(GroupMessage):
    """Ask whether a vote in ``term`` would be granted."""

    __slots__ = ("group", "last_index", "last_term", "source", "target", "term")
    last_index: int
    last_term: int


@wire.register("pre-vote-reply")
class PreVoteReply(GroupMessage):
    """Answer a PreVoteRequest.

    A grant carries the requested term, a refusal the current term of the voter.
    """

    __slots__ = ("granted", "group", "source", "target", "term")
    granted: bool


@wire.register("vote")
class VoteRequest(GroupMessage):
    """Ask for a vote."""

    __slots__ = (
        "group",
        "last_index",
        "last_term",
        "source",
        "target",
        "term",
        "transfer",
    )
    last_index: int
    last_term: int
    transfer: bool  # the leader itself asked for the election


@wire.register("vote-reply")
class VoteReply(GroupMessage):
    """Answer a VoteRequest."""

    __slots__ = ("granted", "group", "source", "target", "term")
    granted: bool


@wire.register("append")
class AppendEntries(GroupMessage):
    """Send entries after ``prev_index``; without entries it is a heartbeat."""

    __slots__ = (
        "commit",
        "entries",
        "group",
        "prev_index",
        "prev_term",
        "sent_at",
        "source",
        "target",
        "term",
    )
    commit: int
    entries: list  # [term, kind, data] each, see encode_entries
    prev_index: int
    prev_term: int
    sent_at: float  # clock of the leader, returned in the reply


@wire.register("append-reply")
class AppendReply(GroupMessage):
    """Answer an Append."""

    __slots__ = ("group", "hint", "index", "ok", "sent_at", "source", "target", "term")
    hint: int  # last index that may match, if refused
    index: int  # last matching index, or the refused one
    ok: bool
    sent_at: float


@wire.register("snapshot")
class SnapshotChunk(GroupMessage):
    """Send a part of a snapshot."""

    __slots__ = (
        "data",
        "group",
        "index",
        "index_term",
        "last",
        "offset",
        "sent_at",
        "source",
        "target",
        "term",
        "voter_set",
    )
    data: bytes
    index: int
    index_term: int
    last: bool
    offset: int  # bytes
    sent_at: float
    voter_set: bytes


@wire.register("snapshot-reply")
class SnapshotReply(GroupMessage):
    """Tell how many bytes of the snapshot at ``index`` have arrived."""

    __slots__ = ("group", "index", "offset", "sent_at", "source", "target", "term")
    index: int
    offset: int  # bytes
    sent_at: float


@wire.register("timeout-now")
class TimeoutNow(GroupMessage):
    """Ask the target to start an election at once."""

    __slots__ = ("group", "source", "target", "term")


@wire.register("join")
class Join(GroupMessage):
    """Announce a member that has lost its earlier identity; ``target`` is a host."""

    __slots__ = ("group", "source", "target", "term")


_FIELD_TYPES = {
    cls: [(name, typing.get_type_hints(cls)[name]) for name in cls._fields()]
    for cls in GroupMessage.__subclasses__()
}
_ACCEPTED = {float: (int, float)}


def check(message: GroupMessage) -> None:
    """Raise ProxyError if a field has another type or a number is negative."""
    for name, kind in _FIELD_TYPES[type(message)]:
        value = getattr(message, name)
        is_kind = isinstance(value, _ACCEPTED.get(kind, kind))
        is_number = kind in (int, float)
        if is_kind and not (is_number and (isinstance(value, bool) or not value >= 0)):
            continue
        raise errors.ProxyError(
            errors.ErrorKind.PROTOCOL_ERROR,
            f"field {name!r} of message {message.tag!r} is not a valid {kind.__name__}",
        )


def tells_term(message: GroupMessage) -> bool:
    """Return whether a higher term in ``message`` must be adopted at once.

    The term of a pre-vote has not begun, and a vote is first checked for stickiness.
    """
    if isinstance(message, PreVoteReply):
        return not message.granted
    return not isinstance(message, PreVoteRequest | VoteRequest)


def encode_entries(entries: list[replicalog.Entry]) -> list:
    """Return the compact form of consecutive entries."""
    return [[entry.term, int(entry.kind), entry.data] for entry in entries]


def unpack(message: AppendEntries) -> list[replicalog.Entry]:
    """Return the entries of a message; raise ProxyError if they are malformed."""
    entries = []
    try:
        for offset, (term, kind, data) in enumerate(message.entries, start=1):
            index = message.prev_index + offset
            kind = replicalog.EntryKind(kind)
            entries.append(replicalog.Entry(index, term, kind, data))
    except (TypeError, ValueError) as error:
        raise errors.ProxyError(
            errors.ErrorKind.PROTOCOL_ERROR, f"entries of an append message: {error}"
        ) from None
    return entries
