"""Message with which a call has the control task propose a claim command.

It is sent on the entry host, which is the host that received the call.
"""

from kumquatproxy import records, wire

FINISH_RETRY_TIMEOUT_S = 30.0  # an outcome is proposed for this long, then dropped


class ProposeClaim(records.Record):
    """Propose a claim command; the reply is the answer of the committed command."""

    __slots__ = ("command", "timeout_s")

    def __init__(self, command, timeout_s=FINISH_RETRY_TIMEOUT_S):
        self.command: wire.Message = command
        self.timeout_s: float = timeout_s
