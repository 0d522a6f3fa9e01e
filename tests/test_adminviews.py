"""Views of the administration API.

A follower applies a commit only with the next heartbeat, so its history could end
before the version that its status shows as in force.
"""

import types

from kumquatproxy import adminmessages, adminviews
from kumquatproxy.configuration import configstate


def test_history_includes_version_in_force_before_it_is_applied():
    state = configstate.ConfigState()
    machine = types.SimpleNamespace(configuration=state)
    content = types.SimpleNamespace(version=1, sheet_digest="d")
    control = types.SimpleNamespace(
        configuration_replication=types.SimpleNamespace(machine=machine),
        content=content,
    )
    view = adminviews.VIEWS[adminmessages.GetHistory]
    (row,) = view(control, adminmessages.GetHistory(), 0.0)["versions"]
    assert (row["version"], row["digest"]) == (1, "d")
    content.version = 0
    assert view(control, adminmessages.GetHistory(), 0.0)["versions"] == []
