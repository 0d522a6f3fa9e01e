"""Check whether a server that broke off a call has crashed."""

import gevent.event

from kumquatproxy.gateway import backendconnections

# A crashed server refuses the connection within a round trip.
TIMEOUT_S = 0.2


class CrashProbe:
    """Connect to servers; calls that broke off together share one attempt."""

    __slots__ = ("_links", "_pending_by_lifetime")

    def __init__(self, links: backendconnections.ConnectionPool):
        self._links = links
        self._pending_by_lifetime: dict[tuple, gevent.event.AsyncResult] = {}

    def has_crashed(self, announcement) -> bool:
        """Return whether the address of a server refuses connections."""
        lifetime = announcement.lifetime
        pending = self._pending_by_lifetime.get(lifetime)
        if pending is not None:
            return pending.get()
        pending = self._pending_by_lifetime[lifetime] = gevent.event.AsyncResult()
        is_refused = False
        try:
            link = self._links.acquire(
                announcement.instance_id, announcement.address, 0.0, TIMEOUT_S
            )
            self._links.release(link)
        except ConnectionRefusedError:
            is_refused = True
        except OSError:
            pass
        finally:
            del self._pending_by_lifetime[lifetime]
            pending.set(is_refused)
        return is_refused
