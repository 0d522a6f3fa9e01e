"""Control hosts that keep configurations with a version of 0 or less.

Control hosts of earlier builds take the version 0 for none. They neither apply such a
version nor have it in their snapshots.
"""

# Part of the session of a control host that keeps such versions.
MARK = "+low-versions+"


def mark_session(session: str) -> str:
    """Return the session of a control host that keeps any version."""
    return MARK + session


def keeps_low_versions(session: str) -> bool:
    """Return whether the control host with this session keeps any version."""
    return MARK in session


def losing_ids(version: int, host_ids, session_by_id: dict[str, str]) -> list[str]:
    """Return the hosts that are known to lose a version.

    A host without a session has not been heard of, and counts as one of this build.
    """
    if version > 0:
        return []
    return sorted(
        host_id
        for host_id in host_ids
        if not keeps_low_versions(session_by_id.get(host_id, MARK))
    )
