"""Send policy: which messages between hosts may be dropped on a slow connection."""

from kumquatproxy import wire
from kumquatproxy.agreement import proposals, raftmessages

# These are retransmitted too, but a dropped proposal or answer costs the caller a round
# trip, and a dropped group message is retransmitted only after a heartbeat interval.
_NEVER_DROPPED = (
    raftmessages.GroupMessage,
    proposals.ProposeCommand,
    proposals.ProposeAnswer,
)


def is_droppable(message: wire.Message) -> bool:
    """Return whether a later message makes this one obsolete."""
    return not isinstance(message, _NEVER_DROPPED)
