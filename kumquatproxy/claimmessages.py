"""Messages from the entry host's calls to the control task about claims."""

from kumquatproxy import claimrecords, records


class ClaimKey(records.Record):
    """Name the request that a claim is about."""

    __slots__ = ("digest", "incarnation", "key", "organisation", "service")

    def __init__(self, organisation, service, key, digest):
        self.incarnation: int = 0  # of the claiming host, set when the claim begins
        self.organisation: str = organisation
        self.service: str = service
        self.key: str = key
        self.digest: bytes = digest


class BeginClaim(records.Record):
    """Ask for a claim; the answer is a message of ``claimrecords``."""

    __slots__ = ("attempt", "key")

    def __init__(self, key, attempt):
        self.key: ClaimKey = key
        self.attempt: int = attempt


class FinishClaim(records.Record):
    """Record how a claimed request ended."""

    __slots__ = ("attempt", "body", "headers", "key", "outcome", "status")

    def __init__(self, key, attempt, outcome, status=0, headers=(), body=b""):
        self.key: ClaimKey = key
        self.attempt: int = attempt
        self.outcome: claimrecords.Outcome = outcome
        self.status: int = status
        self.headers = headers
        self.body: bytes = body
