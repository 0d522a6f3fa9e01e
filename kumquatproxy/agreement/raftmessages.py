"""Messages between the members of a Raft group.

``source`` and ``target`` are member identities, not host ids. A host gets a
new identity after it lost its state. It must not handle messages to an earlier
identity, because it does not know how it voted under that identity.
"""

import typing

from kumquatproxy import errors, wire
from kumquatproxy.agreement import replicalog

ANY_TERM = 0  # term of Join messages, which a leader accepts in any term


class GroupMessage(wire.Message):
    """Base class of the messages within a group."""

    __slots__ = ()
    group: str
    source: str
    target: str
    term: int


@wire.register("pre-vote")
class PreVoteRequest(GroupMessage):
    """Ask whether the target would grant a vote in ``term``."""

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
    """Ask for a vote in ``term``."""

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
    transfer: bool  # the election is part of a leadership transfer


@wire.register("vote-reply")
class VoteReply(GroupMessage):
    """Answer a VoteRequest."""

    __slots__ = ("granted", "group", "source", "target", "term")
    granted: bool


@wire.register("append")
class AppendEntries(GroupMessage):
    """Send the entries that follow ``prev_index``; an empty list is a heartbeat."""

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
    commit: int  # commit index of the leader
    entries: list  # [term, kind, data] each, see encode_entries
    prev_index: int
    prev_term: int
    sent_at: float  # on the clock of the leader, echoed in the reply


@wire.register("append-reply")
class AppendEntriesReply(GroupMessage):
    """Answer an AppendEntries, or a SnapshotChunk that does not need a SnapshotReply.

    Such a chunk is refused, is not needed or completes the snapshot.
    """

    __slots__ = ("group", "hint", "index", "ok", "sent_at", "source", "target", "term")
    hint: int  # after a refusal: highest index at which the logs may match
    index: int  # last matching index; after a refusal: the index that does not match
    ok: bool
    sent_at: float


@wire.register("snapshot")
class SnapshotChunk(GroupMessage):
    """Send one chunk of the snapshot at ``index``."""

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
    """Report how many bytes of the snapshot at ``index`` have been received."""

    __slots__ = ("group", "index", "offset", "sent_at", "source", "target", "term")
    index: int
    offset: int  # bytes
    sent_at: float


@wire.register("timeout-now")
class TimeoutNow(GroupMessage):
    """Ask the target to start an election without waiting for its timeout."""

    __slots__ = ("group", "source", "target", "term")


@wire.register("join")
class Join(GroupMessage):
    """Ask to be added under a new identity; ``target`` is a host id."""

    __slots__ = ("group", "source", "target", "term")


_FIELD_TYPES = {
    cls: [(name, typing.get_type_hints(cls)[name]) for name in cls._fields()]
    for cls in GroupMessage.__subclasses__()
}
_ACCEPTED_TYPES = {float: (int, float)}


def validate(message: GroupMessage) -> None:
    """Raise ProxyError if a field has the wrong type or a number is negative."""
    for name, expected_type in _FIELD_TYPES[type(message)]:
        value = getattr(message, name)
        has_type = isinstance(value, _ACCEPTED_TYPES.get(expected_type, expected_type))
        is_number = expected_type in (int, float)
        if has_type and not (is_number and (isinstance(value, bool) or not value >= 0)):
            continue
        raise errors.ProxyError(
            errors.ErrorKind.PROTOCOL_ERROR,
            f"field {name!r} of message {message.tag!r} is not a valid "
            f"{expected_type.__name__}",
        )


def must_adopt_term(message: GroupMessage) -> bool:
    """Return whether the receiver must adopt a higher term in ``message`` at once.

    The term of a pre-vote has not begun yet, and a vote request that is not part of
    a leadership transfer is ignored, with its term, while the receiver is in contact
    with a leader.
    """
    if isinstance(message, PreVoteReply):
        return not message.granted
    return not isinstance(message, PreVoteRequest | VoteRequest)


def encode_entries(entries: list[replicalog.Entry]) -> list:
    """Return the wire form of consecutive entries, without their indices."""
    return [[entry.term, int(entry.kind), entry.data] for entry in entries]


def decode_entries(message: AppendEntries) -> list[replicalog.Entry]:
    """Return the entries of ``message``.

    Raise ProxyError if the shape or a kind is invalid; terms and data are not checked.
    """
    entries = []
    try:
        for offset, (term, kind, data) in enumerate(message.entries, start=1):
            index = message.prev_index + offset
            kind = replicalog.EntryKind(kind)
            entries.append(replicalog.Entry(index, term, kind, data))
    except (TypeError, ValueError) as error:
        raise errors.ProxyError(
            errors.ErrorKind.PROTOCOL_ERROR,
            f"malformed entries in an append message: {error}",
        ) from None
    return entries
