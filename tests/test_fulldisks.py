"""Hosts whose disk takes no files for a time."""

import errno
import pathlib

import gevent
import pytest

from kumquatproxy import logs
from kumquatproxy.agreement import datafolder, durablefiles, groupsettings
from kumquatproxy.fleet import controlhost, fleetsettings
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


def test_damaged_store_is_kept_until_the_host_can_have_a_new_identity(
    tmp_path, full_folders
):
    """Guards against a member that votes without its log under its old identity."""
    folder = datafolder.DataFolder(str(tmp_path / "host"))
    old_id = folder.disk_id()
    state = groupsettings.bootstrap_state()
    folder.open_store("group", f"h1/{old_id}", state).close()
    files = sorted((folder.path / "group").glob("log-*"))
    full_folders.add(folder.path)
    with pytest.raises(OSError):
        folder.delete_member_state("group")
    assert files == sorted((folder.path / "group").glob("log-*"))
    full_folders.clear()
    folder.delete_member_state("group")
    assert folder.disk_id() != old_id
    assert not list((folder.path / "group").glob("log-*"))


def test_control_host_with_a_damaged_store_waits_for_room_on_its_disk(
    tmp_path, full_folders, monkeypatch
):
    """Guards against a host that ends because it cannot discard the store."""
    monkeypatch.setattr(controlhost, "STORAGE_RETRY_S", 0.05)
    text = (
        "[host]\nid = 127.0.0.1\ndata_centre = a\nlinks = 127.0.0.1:7380\n"
        f"data_folder = {tmp_path}\nseeds = 127.0.0.1:7382\nkey = test\n"
        "forms_group = yes\n[control]\napi = 127.0.0.1:7382\n"
        "[dialect]\nname = platform\nmodule = kumquatproxy.platform.adapter\n"
    )
    host_settings = fleetsettings.parse(text)
    folder = datafolder.DataFolder(str(tmp_path))
    log = logs.Log("host")
    store = controlhost.open_store_or_rejoin(host_settings, folder, log)
    old_identity = store.identity
    store.close()
    (segment,) = (folder.path / controlhost.GROUP).glob("log-*")
    segment.write_bytes(segment.read_bytes()[:-1] + b"?")
    full_folders.add(folder.path)
    gevent.spawn_later(0.2, full_folders.clear)
    store = controlhost.open_store_or_rejoin(host_settings, folder, log)
    assert store.identity != old_identity
    store.close()
