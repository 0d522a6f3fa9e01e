"""Process of one host of a fleet: settings file, signals, orderly stop."""

import importlib
import os
import pathlib
import signal
import sys

import gevent
import gevent.event

from kumquatproxy import clock, errors, logs, startup
from kumquatproxy.fleet import fleetsettings

SETTINGS_WAIT_S = 1.0
SETTINGS_RETRY_S = 0.1
SETTINGS_VARIABLE = "KUMQUATPROXY_SETTINGS"
ROLES = {"entry": "entryhost.EntryHost", "control": "controlhost.ControlHost"}


def read_settings(path: str = "") -> fleetsettings.FleetSettings:
    """Read a settings file, by default the one named by KUMQUATPROXY_SETTINGS."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return fleetsettings.parse(text, path)


def run(role: str, path: str = "") -> int:
    """Run one host until SIGTERM or SIGINT; return the exit code."""
    logs.to_stream(logs.BoundedStream(sys.stdout.fileno()))
    host_settings = _read_complete_settings(path)
    module_name, _, class_name = ROLES[role].partition(".")
    module = importlib.import_module(f"kumquatproxy.fleet.{module_name}")
    host = getattr(module, class_name)(host_settings)
    # So late that little can take an address between its check and its use, and before
    # the handlers of signals, which this wait would keep from running.
    startup.await_addresses(host_settings.listen_addresses(), logs.write_waiting)
    stop_requested = gevent.event.AsyncResult()
    host.on_failure = stop_requested.set
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set, None)
    gevent.signal_handler(signal.SIGHUP, _reload, host, path)
    host.start()
    startup.resume_collection()
    _add_new_seeds(host, host_settings, path)
    failure = stop_requested.get()
    if failure is not None:
        logs.flush()
        raise failure
    host.stop_planned()
    return 0


def _read_complete_settings(path):
    """Read the settings; try again for a while, as the file may be being written."""
    deadline = clock.now() + SETTINGS_WAIT_S
    while True:
        try:
            return read_settings(path)
        except (OSError, ValueError, errors.ProxyError):
            if clock.now() >= deadline:
                raise
        gevent.sleep(SETTINGS_RETRY_S)


def _add_new_seeds(host, host_settings, path):
    """Read the settings again if they changed while SIGHUP was ignored."""
    try:
        seeds = read_settings(path).seed_ids
    except (OSError, ValueError, errors.ProxyError):
        return  # being written; SIGHUP follows
    if seeds != host_settings.seed_ids:
        _reload(host, path)


def _reload(host, path):
    """Read the settings again on SIGHUP and add their seeds to the host."""
    try:
        host.add_seeds_of(read_settings(path))
    except (OSError, ValueError, errors.ProxyError) as error:
        log = logs.Log("host")
        log.write(clock.now(), f"cannot read the settings again: {error}")
