"""Limits that servers in need name in their answers.

A limit is the number of requests a second that a server takes from all hosts together.
It holds until the server answers without naming one.
"""

from kumquatproxy import logs
from kumquatproxy.gateway import calls


class ServerLimits:
    """Keep the limits that servers have named, by lifetime."""

    def __init__(self):
        self._log = logs.Log("limit")
        self._rate_by_lifetime: dict[tuple, float] = {}

    def record_answer(self, announcement, head: calls.ResponseHead, now: float) -> None:
        """Record the limit that a server names in an answer, or that it names none."""
        lifetime = announcement.lifetime
        known = self._rate_by_lifetime.get(lifetime)
        if head.names_limit and head.request_limit is None:
            self._log.write_limited(
                now,
                announcement.instance_id,
                f"server {announcement.instance_id} names a limit that is no number",
                request_id=head.echoed_id,
            )
            return
        if head.request_limit == known:
            return
        if head.request_limit is None:
            del self._rate_by_lifetime[lifetime]
        else:
            self._rate_by_lifetime[lifetime] = head.request_limit
        self._log.write(
            now,
            f"server {announcement.instance_id} names "
            + ("no limit" if head.request_limit is None else "a limit"),
            born_ms=announcement.born_ms,
            requests_per_s=head.request_limit,
            previously=known,
            request_id=head.echoed_id,
        )
