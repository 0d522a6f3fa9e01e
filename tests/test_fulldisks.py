"""Hosts of a sheet whose disk takes no files for a time."""

import errno
import pathlib

import pytest

from kumquatproxy.agreement import durablefiles
from kumquatproxy.laboratory import demo, demosystem


@pytest.fixture
def full_folders(monkeypatch):
    """Return a set of folders; files in these cannot be replaced."""
    folders = set()
    replace_file = durablefiles.replace_file

    def replace_file_if_there_is_room(path, data):
        if any(folder in pathlib.Path(path).parents for folder in folders):
            raise OSError(errno.ENOSPC, "No space left on device")
        replace_file(path, data)

    monkeypatch.setattr(durablefiles, "replace_file", replace_file_if_there_is_room)
    return folders


def test_host_follows_the_sheet_and_joins_its_group_after_its_disk_was_full(
    full_folders,
):
    system = demosystem.System(sheet_text=demo.fast_store_sheet("port-louis"))
    try:
        system.start()
        running = list(system.hosts_by_id.values())[1]
        failures = []
        running.control.on_failure = failures.append
        folder = running._folder
        full_folders.add(folder.path)
        system.submit_first_sheet()
        demosystem.wait_for(
            lambda: failures or running.control.sheet() is not None,
            "the sheet in force at the host with a full disk",
        )
        assert not failures
        assert folder.stored_version() is None
        full_folders.clear()
        demosystem.wait_for(
            lambda: folder.stored_version() is not None, "a stored version"
        )
        demosystem.wait_for(
            lambda: running.control.placement.replication is not None,
            "the host in the placement group",
        )
        assert not failures
    finally:
        system.stop()
