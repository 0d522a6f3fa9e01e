"""Evidence on crashes that a control host keeps on its disk.

All other facts end within seconds or are told again. What crashes servers is known
until its trial, and costs crashes to learn anew once all hosts have ended together.
"""

import cbor2
import gevent

from kumquatproxy import logs
from kumquatproxy.agreement import datafolder, durablefiles
from kumquatproxy.gateway import sharedfacts

FACTS_FILE = "crash-facts"
# Evidence arrives in bursts, and each write waits for the disk.
WRITE_INTERVAL_S = 1.0


class FactStore:
    """Write the durable facts of a table to a file, and read them at a start.

    ``wall_s`` is the Unix time in seconds, which tells the time between two starts.
    """

    __slots__ = ("_folder", "_has_changes", "_is_writing", "_log", "_next_write_at")

    def __init__(self, folder: datafolder.DataFolder):
        self._folder = folder
        self._has_changes = False
        self._is_writing = False
        self._next_write_at = float("-inf")
        self._log = logs.Log("crash")

    def load(self, table: sharedfacts.FactTable, now: float, wall_s: float) -> None:
        """Add the facts that were written before this start and have not ended."""
        try:
            data = self._folder.read(FACTS_FILE)
            for fact in _decode(data, now, wall_s) if data else ():
                if table.is_durable(fact.kind):
                    table.merge(fact, now)
        except (
            OSError,
            TypeError,
            ValueError,
            OverflowError,
            cbor2.CBORError,
        ) as error:
            self._log.write(now, f"the stored evidence cannot be read: {error!r:.200}")

    def record(
        self, table: sharedfacts.FactTable, facts: list[sharedfacts.Fact]
    ) -> None:
        """Record that facts of a table have changed."""
        self._has_changes |= any(table.is_durable(fact.kind) for fact in facts)

    def tick(self, table: sharedfacts.FactTable, now: float, wall_s: float) -> None:
        """Begin to write the durable facts if they have changed."""
        if not self._has_changes or self._is_writing or now < self._next_write_at:
            return
        self._next_write_at = now + WRITE_INTERVAL_S
        facts = [fact for fact in table.all(now) if table.is_durable(fact.kind)]
        self._has_changes = False
        self._is_writing = True
        gevent.spawn(self._write, _encode(facts, now, wall_s), now)

    def _write(self, data, now):
        """Write in a thread, as a faulty disk may not answer for seconds."""
        try:
            gevent.get_hub().threadpool.apply(self._replace_file, (data,))
        except OSError as error:
            self._has_changes = True
            self._log.write_limited(
                now, "store", f"the evidence cannot be stored, retrying: {error}"
            )
        finally:
            self._is_writing = False

    def _replace_file(self, data):
        self._folder.write(FACTS_FILE, data)
        if self._folder.path is not None:
            durablefiles.sync_directory(self._folder.path)


def _encode(facts, now, wall_s):
    return cbor2.dumps([wall_s, [fact.to_wire(now) for fact in facts]])


def _decode(data, now, wall_s):
    written_s, entries = cbor2.loads(data)
    # The time of day may have been set back in between.
    stored_at = now - max(0.0, wall_s - written_s)
    return [sharedfacts.from_wire(entry, stored_at) for entry in entries]
