"""Administration API of the hosts of a fleet: their teams and refused requests."""

import collections.abc
import pathlib
import typing

from kumquatproxy import admin, adminmessages, clock, errors

# Functions by message. Each gets the host, the message and the time.
VIEWS: dict[type, collections.abc.Callable[[typing.Any, typing.Any, float], dict]] = {}


def view(message_class):
    """Return a decorator that registers a function for the message it answers."""

    def add(function):
        VIEWS[message_class] = function
        return function

    return add


class HostViews:
    """Answer the messages of the administration API from the state of one host."""

    __slots__ = ("_host",)

    def __init__(self, host):
        self._host = host

    def ask(self, message, timeout_s: float) -> dict:
        """Return the answer, which needs no wait; raise ProxyError without one."""
        function = VIEWS.get(type(message))
        if function is None:
            raise errors.ProxyError(
                errors.ErrorKind.NOT_FOUND, "hosts of a fleet do not offer this call"
            )
        return function(self._host, message, clock.now())


def application(host, token_file: str) -> admin.AdminApplication:
    """Return the administration API of a host; raise ProxyError or OSError."""
    if not token_file:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            "[host] administration needs the option token_file",
        )
    text = pathlib.Path(token_file).read_text(encoding="utf-8")
    return admin.AdminApplication(HostViews(host), admin.parse_tokens(text))


def _header(host, now):
    configuration = host.configuration_in_force()
    return {
        "host": host.host_id,
        "role": host.role,
        "configuration_leader": host.leader,
        "version": configuration.version if configuration else None,
        "version_age_s": round(host.configuration_age_s(now), 3),
    }


def _team_row(host, team, now):
    """Return rank and cap of a team, and what this host knows of it besides."""
    cap = None
    if team.has_cap:
        cap = {
            "burst": team.burst,
            "plain_tokens": team.plain_tokens if team.is_token_metered else None,
            "rate_per_s": team.rate_per_s,
            "unit": "tokens" if team.is_token_metered else "calls",
            "window_s": host.settings.bounds.cap_window,
        }
    return {
        "team": team.name,
        "rank": team.priority,
        "keys": len(team.key_digests),
        "cap": cap,
        **host.team_view(team, now),
    }


@view(adminmessages.GetStatus)
def status(host, message, now: float) -> dict:
    """Return the control hosts and the teams of the configuration in force."""
    configuration = host.configuration_in_force()
    teams = configuration.teams_by_name.values() if configuration else ()
    states = host.control_host_states(now)
    return {
        **_header(host, now),
        "data_centre": host.settings.host.data_centre,
        "hosts": [
            {"host": host_id, "state": "heard" if is_live else "silent"}
            for host_id, is_live in states.items()
        ],
        "keys_refused": host.key_refusals(now),
        "teams": [_team_row(host, team, now) for team in teams],
    }


@view(adminmessages.ExplainTeam)
def explain_team(host, message, now: float) -> dict:
    """Return rank, cap, usage, refusals and parts of the cap of a team."""
    configuration = host.configuration_in_force()
    if configuration is None:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_READY, "no configuration is in force"
        )
    team = configuration.teams_by_name.get(message.name)
    if team is None:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND,
            f"version {configuration.version} has no team {message.name!r}",
        )
    return {**_header(host, now), **_team_row(host, team, now)}


@view(adminmessages.ExplainRequest)
def explain_request(host, message, now: float) -> dict:
    """Return the newest refusal of a request, with the inputs of the decision."""
    refusal = host.find_refusal(message.request_id)
    if refusal is None:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND,
            f"this {host.role} host keeps no refusal of {message.request_id!r}",
        )
    return {"host": host.host_id, **refusal.view(now)}
