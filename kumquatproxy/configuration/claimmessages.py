"""Messages from an entry host's calls to the control task about claims."""

from kumquatproxy import records, wire

FINISH_REPEAT_S = 30.0  # a result is proposed this long before it is given up


class ProposeClaim(records.Record):
    """Propose a command of the claims; the answer is its committed result."""

    __slots__ = ("command", "timeout_s")

    def __init__(self, command, timeout_s=FINISH_REPEAT_S):
        self.command: wire.Message = command
        self.timeout_s: float = timeout_s
