"""Starts of host processes: signals, held addresses, closed streams, late settings.

Guards against processes that end by themselves while they start, or never start.
"""

import os
import signal
import socket
import subprocess
import sys
import time

import addressblocks
import gevent
import gevent.socket
import pytest
import soak

BLOCK = addressblocks.find_block("test_starts")
START_S = 10.0
PYTHON_START_S = 0.1  # of processor time
SETTINGS = """[host]
id = {ip}
data_centre = z
{folder}
links = {ip}:7381
seeds = {ip}:7382
key = soak
forms_group = yes
[entry]
{entry}
[control]
{control}
[dialect]
name = platform
module = kumquatproxy.platform.adapter
"""
SHEET_HOST_SETTINGS = """[host]
id = h
data_centre = z
data_folder = {folder}/data
callers = {ip}:7383
administration = {ip}:7384
backend_servers = {ip}:7385
peers = {ip}:7386
key_file = {folder}/key
token_file = {folder}/tokens
[groups]
configuration_voters = h
"""
PORTS = {
    "entry": (7381, soak.CALLER_PORT, soak.READY_PORT, soak.PEER_PORT),
    "control": (7381, soak.API_PORT),
    "serve": (7383, 7384, 7385, 7386),
}


class Starter:
    """Start a host as the platform does, and end it."""

    def __init__(self, folder, role):
        self.ip = f"127.{BLOCK}.0.{list(PORTS).index(role) + 1}"
        self.folder = folder
        self.role = role
        self.path = folder / "settings.ini"
        self.process = None

    def settings(self):
        """Return the text of the settings file."""
        if self.role == "serve":
            (self.folder / "key").write_text("k" * 32)
            (self.folder / "tokens").write_text("operate secret-token-1\n")
            return SHEET_HOST_SETTINGS.format(ip=self.ip, folder=self.folder)
        is_control = self.role == "control"
        entry = f"callers = {self.ip}:{soak.CALLER_PORT}\n"
        entry += f"readiness = {self.ip}:{soak.READY_PORT}\n"
        entry += f"peers = {self.ip}:{soak.PEER_PORT}"
        return SETTINGS.format(
            ip=self.ip,
            folder=f"data_folder = {self.folder}/disk" if is_control else "",
            entry="" if is_control else entry,
            control=f"api = {self.ip}:{soak.API_PORT}" if is_control else "",
        )

    def start(self, prefix=(), **options):
        """Start the process; ``prefix`` is a command that runs it."""
        if not self.path.exists():
            self.path.write_text(self.settings())
        arguments = ["serve"] if self.role == "serve" else ["fleet", self.role]
        self.process = subprocess.Popen(
            [*prefix, sys.executable, "-m", "kumquatproxy", *arguments]
            + ["--config", str(self.path)],
            env={**os.environ, "PYTHONPATH": os.getcwd()},
            **options,
        )

    def await_python(self):
        """Wait until the process has had the processor time that Python starts in."""
        end = time.monotonic() + START_S
        path = f"/proc/{self.process.pid}/stat"
        used_s = 0.0
        while used_s < PYTHON_START_S:
            assert time.monotonic() < end, "the process gets no processor time"
            gevent.sleep(0.01)
            with open(path) as file:
                user, system = file.read().rpartition(")")[2].split()[11:13]
            used_s = (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def await_output(self, text):
        """Wait until the process has written a text; fail if it does not in time."""
        stream = self.process.stdout
        output = b""
        with gevent.Timeout(START_S):
            while text not in output:
                gevent.socket.wait_read(stream.fileno())
                part = os.read(stream.fileno(), 65536)
                assert part, f"the process has ended by itself: {output}"
                output += part

    def serves(self):
        """Return whether all of its addresses accept connections."""
        for port in PORTS[self.role]:
            with socket.socket() as sock:
                sock.settimeout(1.0)
                if sock.connect_ex((self.ip, port)):
                    return False
        return True

    def await_service(self):
        """Wait until the host serves; fail if its process has ended."""
        end = time.monotonic() + START_S
        while not self.serves():
            assert self.process.poll() is None, "the process has ended by itself"
            assert time.monotonic() < end, "the host does not serve in time"
            gevent.sleep(0.05)
        assert self.process.poll() is None

    def close(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@pytest.fixture(params=list(PORTS))
def starter(request, tmp_path):
    starter = Starter(tmp_path, request.param)
    yield starter
    starter.close()


@pytest.mark.parametrize("interval_s", [0.02, 0.1])
def test_sighup_during_the_start_does_not_end_a_host(starter, interval_s):
    """Guards against the default action of SIGHUP before its handler is set.

    Until Python itself runs, nothing can be done about the first few signals.
    """
    starter.start()
    starter.await_python()
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        starter.process.send_signal(signal.SIGHUP)
        gevent.sleep(interval_s)
    starter.await_service()


def test_host_starts_once_its_addresses_are_free(starter):
    """Guards against an end because a port is held for a moment at a restart."""
    for port in PORTS[starter.role]:
        holder = socket.create_server((starter.ip, port))
        starter.start(stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        starter.await_output(b"in use")
        gevent.sleep(1.0)
        assert starter.process.poll() is None
        holder.close()
        starter.await_service()
        starter.close()


def test_host_starts_with_closed_standard_streams(starter):
    """Guards against a log stream that does not exist, as under some supervisors."""
    shell = ("/bin/sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh")
    starter.start(shell)
    starter.await_service()


@pytest.mark.parametrize("starter", ["entry", "control"], indirect=True)
@pytest.mark.parametrize("size", [0, 100])
def test_host_starts_while_its_settings_are_being_written(starter, size):
    """Guards against an end because a start overtakes the writing of the file."""
    text = starter.settings()
    starter.path.write_text(text[:size])
    starter.start()
    gevent.sleep(0.9)
    starter.path.write_text(text)
    starter.await_service()


def test_address_that_cannot_be_bound_ends_the_start(tmp_path):
    """Guards against a wait for an address that this machine does not have."""
    starter = Starter(tmp_path, "entry")
    text = starter.settings().replace(f"callers = {starter.ip}", "callers = 192.0.2.1")
    starter.path.write_text(text)
    starter.start(stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
    assert starter.process.wait(timeout=START_S) == 2
