"""The newest load report of each backend server of a data centre."""

from kumquatproxy import records
from kumquatproxy.membership import loadmessages

PULL_INTERVAL_S = 0.5
MAX_PULLED = 200
MAX_UNKNOWN = 4000
KEEP_S = 60.0


class ReportSeen(records.Record):
    """Tell that a backend server has reported, and when."""

    __slots__ = ("backend_id", "incarnation", "sent_at")

    def __init__(self, backend_id, incarnation, sent_at):
        self.backend_id: str = backend_id
        self.incarnation: int = incarnation
        self.sent_at: float = sent_at


class State:
    """Hold the newest report of one backend server."""

    __slots__ = ("detail", "key", "previous", "report", "reported_hash")

    def __init__(self, key, report, detail):
        self.key: bytes = key
        self.report: records.LoadReport = report
        self.detail: loadmessages.Detail = detail
        self.reported_hash: bytes = detail.hash  # of the detail the fast part names
        self.previous: loadmessages.Detail | None = None


class ReportStore:
    """Order reports by (incarnation, sequence) and join fast parts with details."""

    def __init__(self):
        self.reports_by_id: dict[str, records.LoadReport] = {}
        self.states_by_key: dict[bytes, State] = {}
        self.seen: list[ReportSeen] = []
        self.wanted: list[bytes] = []  # keys of details that were missed
        self._keys_by_id: dict[str, bytes] = {}
        self._stale_keys: dict[bytes, None] = {}
        self._unknown_by_key: dict[bytes, tuple] = {}
        self._pulled_at: dict[bytes, float] = {}

    def accept(self, report: records.LoadReport) -> State | None:
        """Take a whole report and return its state; None if it is old."""
        known = self.reports_by_id.get(report.backend_id)
        if known is not None and _rank(report) <= _rank(known):
            return None
        detail = loadmessages.detail_of(report)
        state = self.states_by_key.get(detail.key())
        if state is None:
            state = State(detail.key(), report, detail)
            self._enter(state)
        elif detail.hash != state.detail.hash:
            state.previous, state.detail = state.detail, detail
        state.reported_hash = detail.hash
        state.report = self.reports_by_id[report.backend_id] = report
        return state

    def details_in(self, batch: loadmessages.ReportBatch) -> dict:
        """Return the details of a batch by key."""
        details = {}
        for key, backend_id, incarnation, facts in batch.full:
            details[key] = loadmessages.Detail(backend_id, incarnation, facts)
        for key, base, added, removed in batch.deltas:
            state = self.states_by_key.get(key)
            if state is not None and state.detail.hash == base:
                details[key] = loadmessages.apply_delta(state.detail, added, removed)
        return details

    def take_fast(self, values, detail, now: float) -> bool:
        """Take a fast part and its detail, if any; return whether it is new."""
        key, sequence, detail_hash, *_ = values
        state = self.states_by_key.get(key)
        if state is None:
            return self._take_unknown(values, detail, now)
        if sequence <= state.report.sequence:
            if state.detail.hash != state.reported_hash:
                self._want(key, now)
            return False
        if detail_hash != state.detail.hash:
            if detail is not None and detail.hash == detail_hash:
                state.previous, state.detail = state.detail, detail
            else:
                self._want(key, now)
        state.reported_hash = detail_hash
        self._set_report(state, _report_of(state.detail, values, now))
        return True

    def take_full(self, values) -> bytes | None:
        """Take a detail that was asked for; return the key of a new server."""
        key, backend_id, incarnation, facts = values
        detail = loadmessages.Detail(backend_id, incarnation, facts)
        self._pulled_at.pop(key, None)
        state = self.states_by_key.get(key)
        if state is not None:
            self._complete(state, detail)
        elif key in self._unknown_by_key and key == detail.key():
            fast, seen_at = self._unknown_by_key.pop(key)
            if self._enter_first(fast, detail, seen_at):
                return key
        return None

    def purge(self, now: float) -> list[bytes]:
        """Drop what is older than ``KEEP_S`` and return the dropped keys."""
        dropped = []
        for key, state in list(self.states_by_key.items()):
            if now - state.report.sent_at > KEEP_S:
                dropped.append(key)
                del self.states_by_key[key]
                del self._keys_by_id[state.report.backend_id]
                del self.reports_by_id[state.report.backend_id]
        for key, (_, seen_at) in list(self._unknown_by_key.items()):
            if now - seen_at > KEEP_S:
                del self._unknown_by_key[key]
        for key, pulled_at in list(self._pulled_at.items()):
            if now - pulled_at > PULL_INTERVAL_S:
                del self._pulled_at[key]
        return dropped

    def _take_unknown(self, values, detail, now):
        key = values[0]
        if key in self._stale_keys:
            return False
        if detail is not None and key == detail.key():
            return self._enter_first(values, detail, now)
        if len(self._unknown_by_key) < MAX_UNKNOWN:
            self._unknown_by_key[key] = (values, now)
            self._want(key, now)
        return False

    def _enter_first(self, values, detail, now):
        known = self.reports_by_id.get(detail.backend_id)
        if known is not None and known.incarnation > detail.incarnation:
            self._note_stale(values[0])
            return False
        state = State(values[0], _report_of(detail, values, now), detail)
        state.reported_hash = values[2]
        self._enter(state)
        self._set_report(state, state.report)
        return True

    def _enter(self, state):
        """Enter the first report of an incarnation in place of the one before."""
        backend_id = state.report.backend_id
        old_key = self._keys_by_id.get(backend_id)
        if old_key is not None:
            del self.states_by_key[old_key]
            self._note_stale(old_key)
        self.states_by_key[state.key] = state
        self._keys_by_id[backend_id] = state.key
        self.reports_by_id[backend_id] = state.report

    def _set_report(self, state, report):
        state.report = report
        self.reports_by_id[report.backend_id] = report
        self.seen.append(
            ReportSeen(report.backend_id, report.incarnation, report.sent_at)
        )

    def _complete(self, state, detail):
        """Use a detail unless the backend server has reported another since."""
        if detail.hash != state.reported_hash or detail.hash == state.detail.hash:
            return
        state.previous, state.detail = state.detail, detail
        old = state.report
        report = records.LoadReport(
            old.backend_id,
            old.incarnation,
            old.sequence,
            old.running,
            old.waiting,
            old.kv_used,
            detail.loaded,
            detail.fence_seen,
            detail.orders_seen,
            old.sent_at,
        )
        self._set_report(state, report)

    def _note_stale(self, key):
        self._stale_keys[key] = None
        if len(self._stale_keys) > MAX_UNKNOWN:
            del self._stale_keys[next(iter(self._stale_keys))]

    def _want(self, key, now):
        if now - self._pulled_at.get(key, -PULL_INTERVAL_S) >= PULL_INTERVAL_S:
            self._pulled_at[key] = now
            self.wanted.append(key)


def _report_of(detail, values, now):
    _, sequence, _, running, waiting, kv, age = values
    return records.LoadReport(
        detail.backend_id,
        detail.incarnation,
        sequence,
        running,
        waiting,
        kv / loadmessages.MAX_BYTE,
        detail.loaded,
        detail.fence_seen,
        detail.orders_seen,
        now - age * loadmessages.AGE_UNIT_S,
    )


def _rank(report):
    return (report.incarnation, report.sequence)
