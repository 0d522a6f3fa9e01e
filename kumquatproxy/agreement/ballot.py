"""Votes that a candidate has received, and votes that a member has refused."""

from kumquatproxy import records


class Ballot:
    """Hold the answers of the voters to one candidate, of a vote or a pre-vote."""

    __slots__ = ("granted_by", "refused_by", "term")

    def __init__(self, term, candidate):
        self.term: int = term  # the one that the candidate wants to lead
        self.granted_by: set[str] = {candidate}
        self.refused_by: set[str] = set()

    def record(self, voter: str, is_granted: bool) -> None:
        """Record the answer of a voter."""
        (self.granted_by if is_granted else self.refused_by).add(voter)

    def silent(self, voters: tuple[str, ...]) -> list[str]:
        """Return the voters that have not answered, sorted."""
        return sorted(set(voters) - self.granted_by - self.refused_by)


class Refusal(records.Record):
    """Hold why a candidate got no vote."""

    __slots__ = ("candidate", "reason")

    def __init__(self, candidate, reason):
        self.candidate: str = candidate
        self.reason: str = reason
