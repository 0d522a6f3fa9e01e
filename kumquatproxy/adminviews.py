"""Views of the control task's state that the administration API returns."""

from collections.abc import Callable

from kumquatproxy import adminmessages, errors, records

VIEWS: dict[type, Callable] = {}


def view(message_class):
    """Return a decorator that registers a function for the message it answers."""

    def add(function):
        VIEWS[message_class] = function
        return function

    return add


def items_by_service(control, now: float) -> dict[str, list[str]]:
    """Return the item keys loaded in this data centre, by service.

    Only backend servers that may get new requests count.
    """
    served: dict[str, set[str]] = {}
    reports = control.reports_by_id()
    for server in control.membership.backends.candidates(now):
        keys = served.setdefault(server.service, set())
        report = reports.get(server.backend_id)
        if report is not None:
            keys.update(item.key() for item in report.loaded)
    return {service: sorted(keys) for service, keys in sorted(served.items())}


def _loaded_items(control, now):
    loaded_keys = set()
    for keys in items_by_service(control, now).values():
        loaded_keys.update(keys)
    return loaded_keys | {item.key() for item in control.centres_by_item()}


def names_without_replica(control, now: float) -> list[str]:
    """Return the listed models and adapters that no backend server has loaded."""
    sheet = control.sheet()
    if sheet is None:
        return []
    loaded_keys = _loaded_items(control, now)
    missing = [
        item.key() for item in sheet.memory_by_item() if item.key() not in loaded_keys
    ]
    return sorted(missing)


@view(adminmessages.GetStatus)
def status(control, message, now: float) -> dict:
    """Return an overview of hosts, backend servers and missing replicas."""
    replication = control.configuration_replication
    leader = control.proposals.leader
    if replication is not None and replication.member.leader_id:
        leader = replication.member.leader_id.rpartition("/")[0]
    entries = control.membership.table.entries_by_id
    return {
        "host": control.host_id,
        "data_centre": control.data_centre,
        "version": control.content.version if control.content else 0,
        "configuration_leader": leader,
        "placement_owner": control.placement.owner,
        "fence": control.placement.fence,
        "hosts": [
            {
                "host": host_id,
                "data_centre": control.data_centre,
                "state": entry.state.name.lower(),
            }
            for host_id, entry in sorted(entries.items())
        ],
        "data_centres": [
            control.data_centre,
            *control.membership.remote_relays.data_centres(),
        ],
        "backend_servers": _backend_rows(control, now),
        "without_replica": names_without_replica(control, now),
    }


def _backend_rows(control, now):
    rows = []
    memory_by_item = control.sheet().memory_by_item() if control.sheet() else {}
    for server in control.membership.backends.live(now):
        report = control.reports_by_id().get(server.backend_id)
        loaded = report.loaded if report else ()
        reserved_mb = sum(memory_by_item.get(item, 0) for item in loaded)
        rows.append(
            {
                "backend_id": server.backend_id,
                "service": server.service,
                "state": "leaving" if server.leaving else "present",
                "memory_mb": server.memory_mb,
                "reserved_mb": reserved_mb,
                "items": len(loaded),
            }
        )
    return sorted(rows, key=lambda row: row["backend_id"])


@view(adminmessages.GetSheet)
def sheet_in_force(control, message, now: float) -> dict:
    """Return the sheet in force."""
    content = control.content
    if content is None:
        return {"version": 0, "digest": "", "sheet": ""}
    return {
        "version": content.version,
        "digest": content.sheet_digest,
        "sheet": content.text,
    }


@view(adminmessages.GetHistory)
def history(control, message, now: float) -> dict:
    """Return the versions of the sheet that this host knows."""
    if control.configuration_replication is None:
        raise errors.ProxyError(
            errors.ErrorKind.NOT_FOUND, "only configuration voters keep the history"
        )
    state = control.configuration_replication.machine.configuration
    rows = [
        {
            "version": entry.version,
            "digest": entry.digest,
            "submitter": entry.submitter,
            "submitted_at": entry.submitted_at,
        }
        for entry in state.history
    ]
    # A follower learns of a commit with the next heartbeat. Dissemination may put a
    # version in force here before the follower has applied it from its own log.
    content = control.content
    if content is not None and content.version > state.version:
        row = {"version": content.version, "digest": content.sheet_digest}
        rows.append({**row, "submitter": "", "submitted_at": 0.0})
    return {"versions": rows}


@view(adminmessages.ExplainModel)
def explain(control, message, now: float) -> dict:
    """Return the replicas of a model and the latest decisions about it."""
    sheet = control.sheet()
    if sheet is None:
        raise errors.ProxyError(errors.ErrorKind.NOT_READY, "no sheet is in force")
    target = sheet.resolve(message.name)
    replicas = []
    for server in control.membership.backends.live(now):
        report = control.reports_by_id().get(server.backend_id)
        if report is not None and set(target.items()) <= set(report.loaded):
            replicas.append({"backend_id": server.backend_id, "state": "loaded"})
    for name in _remote_centres(control, target):
        replicas.append({"backend_id": f"data centre {name}", "state": "loaded"})
    keys = {item.key() for item in target.items()}
    lines = [line for key, line in control.placement.decisions if key in keys]
    plan = control.placement.plan
    if plan is not None:
        misfits = [misfit for misfit in plan.not_fitting if misfit.item.key() in keys]
        lines.extend(_misfit_line(misfit) for misfit in misfits)
    return {
        "model": message.name,
        "service": target.service.name,
        "replicas": replicas,
        "decisions": lines[-20:],
    }


@view(adminmessages.ExplainTeam)
@view(adminmessages.ExplainRequest)
def explain_team(control, message, now: float) -> dict:
    """Refuse to explain teams and their requests, which a sheet does not have."""
    raise errors.ProxyError(
        errors.ErrorKind.NOT_FOUND, "only hosts of a fleet have teams"
    )


def _misfit_line(misfit):
    data_centre = misfit.data_centre or "any data centre"
    return f"{misfit.item.key()} does not fit in {data_centre}: {misfit.reason}"


def _remote_centres(control, target):
    by_item = control.centres_by_item()
    sets = [set(by_item.get(item, ())) for item in target.items()]
    return sorted(set.intersection(*sets)) if sets else []


def mark_leaving(server: records.BackendServer) -> records.BackendServer:
    """Return a copy of a backend server's record with ``leaving`` set."""
    values = {name: getattr(server, name) for name in server.__slots__}
    return records.BackendServer(**{**values, "leaving": True})
