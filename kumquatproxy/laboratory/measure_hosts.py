"""Measurement of the control overhead of idle host processes on loopback."""

import pathlib
import statistics
import subprocess
import sys

import gevent
import psutil

from kumquatproxy import adminclient, host, settings
from kumquatproxy.configuration import samples
from kumquatproxy.laboratory import demosystem, fakes, measure

HOST_COUNTS = (6, 24)
ENGINES_PER_HOST = 1.5  # about 600 backend servers for 380 hosts
IDLE_WAIT_S = 12.0
SAMPLE_WINDOW_S = 15.0
DATA_CENTRES = 3


class HostProcessGroup:
    """Run each host in its own process and fake engines in the measuring process."""

    def __init__(self, count):
        data_centre_by_host = {
            f"host-{index:02d}": f"dc-{index % DATA_CENTRES}" for index in range(count)
        }
        # The first host of each data centre is a configuration voter.
        configuration_voters = tuple(list(data_centre_by_host)[:DATA_CENTRES])
        # Only for addresses and settings; its hosts are never started.
        self._system = demosystem.System(
            layout=demosystem.HostLayout(data_centre_by_host, configuration_voters),
            sheet_text=_make_sheet(),
        )
        self._processes: list[subprocess.Popen] = []
        self._engines: list[fakes.FakeEngine] = []

    def start(self) -> None:
        """Start all hosts and engines and submit the sheet."""
        layout = self._system.layout
        for host_id in layout.data_centres_by_host:
            text = self._system.settings_text(host_id)
            host_settings = settings.parse(text)
            folder = pathlib.Path(host_settings.host.data_folder)
            folder.mkdir(parents=True)
            (folder / "key").write_bytes(demosystem.PEER_KEY)
            tokens = f"operate {demosystem.OPERATE_TOKEN}\n"
            (folder / "tokens").write_text(tokens, encoding="utf-8")
            (folder / "settings.ini").write_text(text, encoding="utf-8")
            if host_id in layout.configuration_voters:
                host.initialise_voter(host_settings)
            command = [sys.executable, "-m", "kumquatproxy", "serve", "--config"]
            self._processes.append(
                subprocess.Popen(
                    [*command, str(folder / "settings.ini")],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
            )
        self._start_engines(len(self._processes))
        self._submit_sheet()

    def _start_engines(self, host_count):
        for index in range(int(host_count * ENGINES_PER_HOST)):
            centre = f"dc-{index % DATA_CENTRES}"
            addresses = self._system.announcement_addresses(centre)
            offset = index // DATA_CENTRES % len(addresses)
            engine = fakes.FakeEngine(
                f"engine-{index:03d}",
                "gait-models",
                centre,
                addresses[offset:] + addresses[:offset],
                report_interval_s=1.0,
            )
            engine.start()
            self._engines.append(engine)

    def _submit_sheet(self):
        first_host_id = next(iter(self._system.layout.data_centres_by_host))
        client = adminclient.AdminClient(
            self._system.admin_address(first_host_id), demosystem.OPERATE_TOKEN
        )
        body = {"follows": 0, "sheet": self._system.sheet_text}

        def try_submit():
            try:
                client.call("POST", "sheet", body)
            except (adminclient.AdminError, adminclient.UnreachableError):
                gevent.sleep(0.5)
                return False
            return True

        demosystem.wait_for(try_submit, "an accepted sheet")

    def usage(self) -> tuple[list[float], list[float]]:
        """Return the processor use in percent and the resident memory in MB by host."""
        host_processes = [psutil.Process(process.pid) for process in self._processes]
        before = [_cpu_time_s(process) for process in host_processes]
        gevent.sleep(SAMPLE_WINDOW_S)
        after = [_cpu_time_s(process) for process in host_processes]
        cpu_percents = [
            100.0 * (end - start) / SAMPLE_WINDOW_S
            for start, end in zip(before, after, strict=True)
        ]
        return cpu_percents, [
            process.memory_info().rss / 1e6 for process in host_processes
        ]

    def stop(self) -> None:
        """Stop the engines and kill the host processes."""
        for engine in self._engines:
            engine.stop()
        for process in self._processes:
            process.kill()
            process.wait()
        self._system.stop()


def _make_sheet():
    return samples.generate("port-louis").replace(
        "loads_per_second = 1\n", "loads_per_second = 50\n"
    )


def _cpu_time_s(process):
    times = process.cpu_times()
    return times.user + times.system


def _baseline_mb() -> float:
    """Return the resident memory of a process that only imports the package."""
    code = (
        "import psutil, kumquatproxy.host;"
        "print(psutil.Process().memory_info().rss / 1e6)"
    )
    command = [sys.executable, "-c", code]
    return float(subprocess.run(command, capture_output=True, check=True).stdout)


@measure.MEASUREMENTS.register("host-processes")
def measure_host_processes(seed: int) -> list[measure.Figure]:
    """Return the control overhead of an idle host for each number of hosts."""
    figures = []
    baseline_mb = _baseline_mb()
    for count in HOST_COUNTS:
        group = HostProcessGroup(count)
        try:
            group.start()
            gevent.sleep(IDLE_WAIT_S)
            cpu_percents, resident_mb = group.usage()
        finally:
            group.stop()
        figures += [
            measure.Figure(
                f"host_core_percent_{count}", statistics.median(cpu_percents), high=2.9
            ),
            measure.Figure(f"host_core_percent_worst_{count}", max(cpu_percents)),
            measure.Figure(
                f"host_control_mb_{count}",
                statistics.median(resident_mb) - baseline_mb,
                high=32.0,
            ),
        ]
    return figures
