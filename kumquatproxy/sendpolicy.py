"""Send policy: which messages between hosts may be dropped on a slow connection."""

from kumquatproxy import wire
from kumquatproxy.agreement import proposals, raftmessages

# All other messages are superseded or repeated. A loss of these is made good, but a
# dropped proposal or answer costs the caller a round trip, and a dropped group message
# is retransmitted only after a heartbeat interval.
_NEVER_DROPPED = (
    raftmessages.GroupMessage,
    proposals.ProposeCommand,
    proposals.ProposeAnswer,
)


def is_droppable(message: wire.Message) -> bool:
    """Return whether a message may be dropped on a slow connection."""
    return not isinstance(message, _NEVER_DROPPED)
