"""The newest load report of each backend server of a data centre."""

from kumquatproxy import records
from kumquatproxy.membership import loadmessages

PULL_INTERVAL_S = 0.5
MAX_PULLED_KEYS = 200
MAX_REMEMBERED_KEYS = 4000
RETENTION_S = 60.0


class ReportSeen(records.Record):
    """Tell other parts of the host that a load report came from another host."""

    __slots__ = ("backend_id", "incarnation", "sent_at")

    def __init__(self, backend_id, incarnation, sent_at):
        self.backend_id: str = backend_id
        self.incarnation: int = incarnation
        self.sent_at: float = sent_at


class ReportState:
    """Hold the newest report of one incarnation of a backend server."""

    __slots__ = ("detail", "key", "previous_detail", "report", "reported_hash")

    def __init__(self, key, report, detail):
        self.key: bytes = key
        self.report: records.LoadReport = report
        self.detail: loadmessages.Detail = detail
        # Hash of the detail named by the newest fast part.
        self.reported_hash: bytes = detail.hash
        self.previous_detail: loadmessages.Detail | None = None


class ReportStore:
    """Keep, for each server, the report with the highest (incarnation, sequence).

    Fast parts are combined with their details.
    """

    def __init__(self):
        self.reports_by_id: dict[str, records.LoadReport] = {}
        self.states_by_key: dict[bytes, ReportState] = {}
        self.seen_reports: list[ReportSeen] = []
        self.keys_to_pull: list[bytes] = []  # of details that are missing here
        self._keys_by_id: dict[str, bytes] = {}
        self._stale_keys: dict[bytes, None] = {}
        self._waiting_fast_by_key: dict[bytes, tuple] = {}
        self._requested_at_by_key: dict[bytes, float] = {}

    def accept(self, report: records.LoadReport) -> ReportState | None:
        """Store a complete report and return its state, or None if it is outdated."""
        known = self.reports_by_id.get(report.backend_id)
        if known is not None and _rank(report) <= _rank(known):
            return None
        detail = loadmessages.make_detail(report)
        state = self.states_by_key.get(detail.key())
        if state is None:
            state = ReportState(detail.key(), report, detail)
            self._replace_incarnation(state)
        elif detail.hash != state.detail.hash:
            state.previous_detail, state.detail = state.detail, detail
        state.reported_hash = detail.hash
        state.report = self.reports_by_id[report.backend_id] = report
        return state

    def details_in(self, batch: loadmessages.ReportBatch) -> dict:
        """Return the complete and the delta-decoded details of a batch by key."""
        details = {}
        for key, backend_id, incarnation, prefixed_values in batch.full:
            details[key] = loadmessages.Detail(backend_id, incarnation, prefixed_values)
        for key, base, added, removed in batch.deltas:
            state = self.states_by_key.get(key)
            if state is not None and state.detail.hash == base:
                details[key] = loadmessages.apply_delta(state.detail, added, removed)
        return details

    def apply_fast(self, values, detail, now: float) -> bool:
        """Apply a fast part and its detail, if given.

        Return whether the stored report changed. A fast part of an unknown server
        without its detail is kept until the detail has been pulled.
        """
        key, sequence, detail_hash, *_ = values
        state = self.states_by_key.get(key)
        if state is None:
            return self._apply_unknown(values, detail, now)
        if sequence <= state.report.sequence:
            if state.detail.hash != state.reported_hash:
                self._request_detail(key, now)
            return False
        if detail_hash != state.detail.hash:
            if detail is not None and detail.hash == detail_hash:
                state.previous_detail, state.detail = state.detail, detail
            else:
                self._request_detail(key, now)
        state.reported_hash = detail_hash
        self._set_report(state, _make_report(state.detail, values, now))
        return True

    def apply_detail(self, values) -> bytes | None:
        """Apply a pulled detail.

        Return its key if the fast part of a new incarnation was waiting for it, so that
        the report can now be forwarded; otherwise None.
        """
        key, backend_id, incarnation, prefixed_values = values
        detail = loadmessages.Detail(backend_id, incarnation, prefixed_values)
        self._requested_at_by_key.pop(key, None)
        state = self.states_by_key.get(key)
        if state is not None:
            self._update_detail(state, detail)
        elif key in self._waiting_fast_by_key and key == detail.key():
            fast, seen_at = self._waiting_fast_by_key.pop(key)
            if self._add_incarnation(fast, detail, seen_at):
                return key
        return None

    def purge(self, now: float) -> list[bytes]:
        """Remove reports older than ``RETENTION_S`` and return their keys."""
        removed_keys = []
        for key, state in list(self.states_by_key.items()):
            if now - state.report.sent_at > RETENTION_S:
                removed_keys.append(key)
                del self.states_by_key[key]
                del self._keys_by_id[state.report.backend_id]
                del self.reports_by_id[state.report.backend_id]
        for key, (_, seen_at) in list(self._waiting_fast_by_key.items()):
            if now - seen_at > RETENTION_S:
                del self._waiting_fast_by_key[key]
        for key, requested_at in list(self._requested_at_by_key.items()):
            if now - requested_at > PULL_INTERVAL_S:
                del self._requested_at_by_key[key]
        return removed_keys

    def _apply_unknown(self, values, detail, now):
        key = values[0]
        if key in self._stale_keys:
            return False
        if detail is not None and key == detail.key():
            return self._add_incarnation(values, detail, now)
        if len(self._waiting_fast_by_key) < MAX_REMEMBERED_KEYS:
            self._waiting_fast_by_key[key] = (values, now)
            self._request_detail(key, now)
        return False

    def _add_incarnation(self, values, detail, now):
        known = self.reports_by_id.get(detail.backend_id)
        if known is not None and known.incarnation > detail.incarnation:
            self._mark_stale(values[0])
            return False
        state = ReportState(values[0], _make_report(detail, values, now), detail)
        state.reported_hash = values[2]
        self._replace_incarnation(state)
        self._set_report(state, state.report)
        return True

    def _replace_incarnation(self, state):
        """Store the state of a new incarnation and remove that of the previous one."""
        backend_id = state.report.backend_id
        old_key = self._keys_by_id.get(backend_id)
        if old_key is not None:
            del self.states_by_key[old_key]
            self._mark_stale(old_key)
        self.states_by_key[state.key] = state
        self._keys_by_id[backend_id] = state.key
        self.reports_by_id[backend_id] = state.report

    def _set_report(self, state, report):
        state.report = report
        self.reports_by_id[report.backend_id] = report
        self.seen_reports.append(
            ReportSeen(report.backend_id, report.incarnation, report.sent_at)
        )

    def _update_detail(self, state, detail):
        """Apply a pulled detail unless a newer fast part names another."""
        if detail.hash != state.reported_hash or detail.hash == state.detail.hash:
            return
        state.previous_detail, state.detail = state.detail, detail
        known = state.report
        report = records.LoadReport(
            known.backend_id,
            known.incarnation,
            known.sequence,
            known.running,
            known.waiting,
            known.kv_used,
            detail.loaded,
            detail.fence_seen,
            detail.orders_seen,
            known.sent_at,
        )
        self._set_report(state, report)

    def _mark_stale(self, key):
        self._stale_keys[key] = None
        if len(self._stale_keys) > MAX_REMEMBERED_KEYS:
            del self._stale_keys[next(iter(self._stale_keys))]

    def _request_detail(self, key, now):
        if (
            now - self._requested_at_by_key.get(key, -PULL_INTERVAL_S)
            >= PULL_INTERVAL_S
        ):
            self._requested_at_by_key[key] = now
            self.keys_to_pull.append(key)


def _make_report(detail, values, now):
    _, sequence, _, running, waiting, kv, age = values
    return records.LoadReport(
        detail.backend_id,
        detail.incarnation,
        sequence,
        running,
        waiting,
        kv / loadmessages.MAX_UINT8,
        detail.loaded,
        detail.fence_seen,
        detail.orders_seen,
        now - age * loadmessages.AGE_UNIT_S,
    )


def _rank(report):
    return (report.incarnation, report.sequence)
