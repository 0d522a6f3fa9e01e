"""Silence of control hosts that a control host keeps on its disk.

All processes may end together while a voter is gone. The next leader then still knows
that this voter has been silent, and replaces it before further hosts are lost.
"""

from collections.abc import Iterable

import cbor2
import gevent

from kumquatproxy import logs
from kumquatproxy.agreement import contacts, datafolder

SILENCE_FILE = "silent-hosts"
CHECK_INTERVAL_S = 0.25
_READ_ERRORS = (OSError, TypeError, ValueError, OverflowError, cbor2.CBORError)


class ContactStore:
    """Write the silence of hosts to a file when it has changed, and read it at a start.

    Without a data folder nothing is stored.
    """

    __slots__ = ("_folder", "_is_writing", "_log", "_next_check_at", "_written")

    def __init__(self, folder: datafolder.DataFolder):
        self._folder = folder
        self._is_writing = False
        self._next_check_at = float("-inf")
        self._log = logs.Log("group")
        self._written: dict[str, float] = {}

    def load(self, now: float) -> dict[str, float]:
        """Return the stored silence in seconds by host, empty if it cannot be read."""
        try:
            data = self._folder.read(SILENCE_FILE)
            if data:
                self._written = {
                    str(host): float(silent_s)
                    for host, silent_s in cbor2.loads(data).items()
                }
        except (*_READ_ERRORS, AttributeError) as error:
            self._log.write(now, f"the stored silence cannot be read: {error!r:.200}")
        return dict(self._written)

    def tick(
        self,
        known_contacts: contacts.Contacts,
        hosts: Iterable[str],
        max_s: float,
        now: float,
    ) -> None:
        """Begin to write the silence of hosts, up to ``max_s``, if it has changed."""
        if self._folder.path is None or self._is_writing or now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        silence_by_host = known_contacts.stored_silence(hosts, max_s, now)
        if silence_by_host == self._written:
            return
        self._is_writing = True
        gevent.spawn(self._write, silence_by_host, now)

    def _write(self, silence_by_host, now):
        """Write in a thread, as a faulty disk may not answer for seconds."""
        data = cbor2.dumps(silence_by_host)
        try:
            gevent.get_hub().threadpool.apply(self._folder.write, (SILENCE_FILE, data))
        except OSError as error:
            self._log.write_limited(
                now, "silence", f"silence cannot be stored, retrying: {error}"
            )
        else:
            self._written = silence_by_host
        finally:
            self._is_writing = False
