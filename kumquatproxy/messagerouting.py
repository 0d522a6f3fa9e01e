"""Which messages between hosts may be dropped when a link is slow."""

from kumquatproxy import wire
from kumquatproxy.agreement import proposals, raftmessages

# Proposals are repeated, but a late answer costs the caller a round trip; the messages
# of a group are repeated only after a heartbeat.
_KEPT = (raftmessages.GroupMessage, proposals.ProposeCommand, proposals.ProposeAnswer)


def is_droppable(message: wire.Message) -> bool:
    """Return whether a newer message makes this one needless."""
    return not isinstance(message, _KEPT)
