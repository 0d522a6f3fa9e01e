"""Teams of callers, found by the key of a call alone.

A call is checked when it arrives, each time it looks for a server, and right before it
is sent. It then belongs to the team that holds its key in the configuration in force.
"""

import collections.abc

from kumquatproxy import errors
from kumquatproxy.fleet import serviceconfig
from kumquatproxy.gateway import calls

RETRY_AFTER_S = 0.5


def check(
    call: calls.Call,
    configuration: serviceconfig.Configuration,
    is_in_touch: collections.abc.Callable[[], bool],
) -> None:
    """Set the team of a call; raise ProxyError if it needs one and has none.

    ``is_in_touch()`` tells whether this host would know of a newer configuration.
    """
    call.hides_key = configuration.has_teams
    call.team = None
    if not configuration.has_teams or call.route.is_public:
        return
    call.team = _find(call, configuration)
    if call.team is not None:
        return
    is_known_invalid = call.key_digest in (None, calls.SEVERAL_KEYS)
    if call.team_name is None and is_known_invalid:
        raise _unauthenticated("the request needs exactly one key of a team")
    # Callers never repeat a request after 401, but a newer key may be in force already.
    if not is_in_touch():
        raise errors.ProxyError(
            errors.ErrorKind.NOT_READY,
            "this host does not know the key, and its configuration may be outdated",
            retry_after_s=RETRY_AFTER_S,
        )
    raise _unauthenticated("no team holds the key of the request")


def _find(call, configuration):
    if call.team_name is not None:
        return configuration.teams_by_name.get(call.team_name)
    return configuration.teams_by_digest.get(call.key_digest)


def _unauthenticated(detail):
    return errors.ProxyError(errors.ErrorKind.UNAUTHENTICATED, detail)
