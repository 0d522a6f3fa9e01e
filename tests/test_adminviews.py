"""Views of the administration API."""

import types

from kumquatproxy import adminmessages, adminviews
from kumquatproxy.configuration import configstate


def test_history_shows_a_version_that_is_in_force_before_it_is_applied():
    # Guards against a follower whose history ends before the version that its status
    # shows, because it applies a commit only with the next heartbeat.
    state = configstate.ConfigState()
    machine = types.SimpleNamespace(configuration=state)
    content = types.SimpleNamespace(version=1, digest="d")
    control = types.SimpleNamespace(
        configuration=types.SimpleNamespace(machine=machine), content=content
    )
    view = adminviews.VIEWS[adminmessages.GetHistory]
    (row,) = view(control, adminmessages.GetHistory(), 0.0)["versions"]
    assert (row["version"], row["digest"]) == (1, "d")
    content.version = 0
    assert view(control, adminmessages.GetHistory(), 0.0)["versions"] == []
