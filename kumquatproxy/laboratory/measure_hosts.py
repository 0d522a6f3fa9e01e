"""Control cost of real host processes on loopback, without load."""

import pathlib
import statistics
import subprocess
import sys

import gevent
import psutil

from kumquatproxy import adminclient, host, settings
from kumquatproxy.configuration import samples
from kumquatproxy.laboratory import demosystem, fakes, measure

SIZES = (6, 24)
ENGINES_PER_HOST = 1.5  # 600 backend servers for 380 hosts
SETTLE_S = 12.0
WINDOW_S = 15.0
DATA_CENTRES = 3


class HostProcesses:
    """Run hosts as processes of their own, with fake engines in this process."""

    def __init__(self, count):
        centres = {
            f"host-{index:02d}": f"dc-{index % DATA_CENTRES}" for index in range(count)
        }
        voters = tuple(list(centres)[:DATA_CENTRES])
        self._system = demosystem.System(
            layout=demosystem.Layout(centres, voters), text=_sheet()
        )
        self._processes: list[subprocess.Popen] = []
        self._engines: list[fakes.FakeEngine] = []

    def start(self) -> None:
        """Start all hosts and engines and submit the sheet."""
        layout = self._system.layout
        for host_id in layout.data_centres_by_host:
            text = self._system.settings_text(host_id)
            parsed = settings.parse(text)
            folder = pathlib.Path(parsed.host.data_folder)
            folder.mkdir(parents=True)
            (folder / "key").write_bytes(demosystem.KEY)
            tokens = f"operate {demosystem.OPERATE_TOKEN}\n"
            (folder / "tokens").write_text(tokens, encoding="utf-8")
            (folder / "settings.ini").write_text(text, encoding="utf-8")
            if host_id in layout.voters:
                host.initialise_voter(parsed)
            command = [sys.executable, "-m", "kumquatproxy", "serve", "--config"]
            self._processes.append(
                subprocess.Popen(
                    [*command, str(folder / "settings.ini")],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
            )
        self._start_engines(len(self._processes))
        self._submit()

    def _start_engines(self, hosts):
        for index in range(int(hosts * ENGINES_PER_HOST)):
            centre = f"dc-{index % DATA_CENTRES}"
            addresses = self._system.backend_addresses(centre)
            turn = index // DATA_CENTRES % len(addresses)
            engine = fakes.FakeEngine(
                f"engine-{index:03d}",
                "gait-models",
                centre,
                addresses[turn:] + addresses[:turn],
                report_interval_s=1.0,
            )
            engine.start()
            self._engines.append(engine)

    def _submit(self):
        first = next(iter(self._system.layout.data_centres_by_host))
        client = adminclient.AdminClient(
            self._system.admin_address(first), demosystem.OPERATE_TOKEN
        )
        body = {"follows": 0, "sheet": self._system.text}

        def is_accepted():
            try:
                client.call("POST", "sheet", body)
            except (adminclient.AdminError, adminclient.UnreachableError):
                gevent.sleep(0.5)
                return False
            return True

        demosystem.wait_for(is_accepted, "an accepted sheet")

    def usage(self) -> tuple[list[float], list[float]]:
        """Return processor percent and resident megabytes of each host."""
        watched = [psutil.Process(process.pid) for process in self._processes]
        before = [_processor_s(one) for one in watched]
        gevent.sleep(WINDOW_S)
        after = [_processor_s(one) for one in watched]
        percents = [
            100.0 * (end - start) / WINDOW_S
            for start, end in zip(before, after, strict=True)
        ]
        return percents, [one.memory_info().rss / 1e6 for one in watched]

    def stop(self) -> None:
        """End the processes that were started."""
        for engine in self._engines:
            engine.stop()
        for process in self._processes:
            process.kill()
            process.wait()
        self._system.stop()


def _sheet():
    return samples.generate("port-louis").replace(
        "loads_per_second = 1\n", "loads_per_second = 50\n"
    )


def _processor_s(process):
    times = process.cpu_times()
    return times.user + times.system


def _bare_megabytes() -> float:
    """Return the resident size of a process that has only imported the package."""
    code = (
        "import psutil, kumquatproxy.host;"
        "print(psutil.Process().memory_info().rss / 1e6)"
    )
    command = [sys.executable, "-c", code]
    return float(subprocess.run(command, capture_output=True, check=True).stdout)


@measure.MEASUREMENTS.register("host-processes")
def host_processes(seed: int) -> list[measure.Figure]:
    """Return what control costs a real host without load, at two sizes."""
    figures = []
    bare_mb = _bare_megabytes()
    for count in SIZES:
        processes = HostProcesses(count)
        try:
            processes.start()
            gevent.sleep(SETTLE_S)
            percents, megabytes = processes.usage()
        finally:
            processes.stop()
        figures += [
            measure.Figure(
                f"host_core_percent_{count}", statistics.median(percents), high=2.9
            ),
            measure.Figure(f"host_core_percent_worst_{count}", max(percents)),
            measure.Figure(
                f"host_control_mb_{count}",
                statistics.median(megabytes) - bare_mb,
                high=32.0,
            ),
        ]
    return figures
