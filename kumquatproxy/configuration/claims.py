"""The replicated state machine for idempotency-key claims.

Its commands are entries of the configuration group's log.
"""

import math
import struct

import cbor2

from kumquatproxy import errors, wire
from kumquatproxy.configuration import claimrecords, fingerprints

ErrorKind = errors.ErrorKind
Outcome = claimrecords.Outcome
State = claimrecords.State

# The lowest incarnation that may make new claims is stored for this many hosts; beyond
# that, the hosts stored first are dropped.
# After that, a host that was declared lost may make new claims again, but no claim is
# granted twice.
MAX_TRACKED_HOSTS = 4096
# Claims whose last state change falls into the same time span expire together, once
# the retention period has passed for the latest possible change in the span.
EXPIRY_SPAN_S = 10.0
_ENTRY_HEADER = struct.Struct("<16sI")


class Limits:
    """The limits and retention times of the claim table.

    New keys are refused beyond ``keys`` and ``total_result_bytes``; a result over
    ``max_result_bytes`` is not stored.
    """

    __slots__ = (
        "fingerprint_retention_s",
        "fingerprint_span_s",
        "keys",
        "max_result_bytes",
        "result_retention_s",
        "total_result_bytes",
    )

    def __init__(
        self,
        keys=1_000_000,
        max_result_bytes=16 * 1024,
        total_result_bytes=8 * 1024 * 1024,
        result_retention_s=600.0,
        fingerprint_retention_s=86_400.0,
        fingerprint_span_s=3600.0,
    ):
        self.keys: int = keys  # stored claims and fingerprints of expired ones
        self.max_result_bytes: int = max_result_bytes  # for one claim
        self.total_result_bytes: int = total_result_bytes
        self.result_retention_s: float = result_retention_s
        self.fingerprint_retention_s: float = fingerprint_retention_s
        self.fingerprint_span_s: float = fingerprint_span_s


class LeaderClock:
    """Timestamp commands so that time continues from the last time in the log.

    Monotonic clocks of different hosts are not comparable. A new leader therefore adds
    its own elapsed time to the last time in the log, so that time in the log never
    jumps. Time without a leader is not counted; claims are then kept longer.
    """

    __slots__ = ("_base", "_started_at")

    def __init__(self, log_time: float, now: float):
        self._base = log_time
        self._started_at = now

    def stamp(self, now: float) -> float:
        """Convert this host's monotonic time to log time."""
        return self._base + max(0.0, now - self._started_at)


class ClaimTable:
    """Apply committed commands; equal logs give equal states and answers.

    Claims are stored packed, by the 16-byte fingerprint of their key.
    """

    def __init__(self, limits: Limits | None = None):
        self.limits = limits or Limits()
        self._handlers = {
            claimrecords.BeginClaim: self._begin,
            claimrecords.FinishClaim: self._finish,
            claimrecords.QueryClaim: self._query,
            claimrecords.OwnerLost: self._mark_owner_lost,
            claimrecords.AdvanceClaims: self._confirm_time,
        }
        self._clear()

    def _clear(self):
        self.time = 0.0  # log time; never decreases
        self.stored_result_bytes = 0
        self._packed_by_fingerprint: dict[bytes, bytes] = {}
        # Fingerprints by the time span of the last state change. One may also be listed
        # in spans of earlier changes; expiry uses the time in the claim itself.
        self._fingerprints_by_span: dict[int, list[bytes]] = {}
        self._in_progress_by_owner: dict[tuple[str, int], set[bytes]] = {}
        self._in_progress_count = 0
        self._min_incarnation_by_host: dict[str, int] = {}
        self.expired = fingerprints.Fingerprints(
            self.limits.fingerprint_retention_s, self.limits.fingerprint_span_s
        )

    def __len__(self):
        return len(self._packed_by_fingerprint) + len(self.expired)

    def apply(self, command: wire.Message) -> wire.Message:
        """Apply one committed command and return its answer."""
        handler = self._handlers.get(type(command))
        if handler is None:
            return claimrecords.refusal(ErrorKind.PROTOCOL_ERROR)
        self.time = self._next_time(getattr(command, "at", self.time))
        self._expire()
        return handler(command)

    def _next_time(self, at):
        """Return the time after a command; it never decreases."""
        return max(self.time, at)

    def _expire(self):
        due_span = self._span(self.time - self.limits.result_retention_s)
        # Spans are inserted in ascending order, because time never decreases.
        while self._fingerprints_by_span:
            span = next(iter(self._fingerprints_by_span))
            if span >= due_span:
                break
            for fingerprint in self._fingerprints_by_span.pop(span):
                packed = self._packed_by_fingerprint.get(fingerprint)
                if (
                    packed is not None
                    and self._span(claimrecords.changed_at_of(packed)) == span
                ):
                    self._delete(fingerprint, packed)
                    self.expired.add(fingerprint, self.time)
        self.expired.advance(self.time)

    def _span(self, at):
        return math.floor(at / EXPIRY_SPAN_S)

    def _index_by_time(self, fingerprint):
        self._fingerprints_by_span.setdefault(self._span(self.time), []).append(
            fingerprint
        )

    def _begin(self, command):
        fingerprint = _fingerprint_of(command)
        packed = self._packed_by_fingerprint.get(fingerprint)
        if packed is not None:
            return self._answer_repeated_begin(
                command, claimrecords.unpack(packed), packed
            )
        if fingerprint in self.expired:
            return claimrecords.refusal(ErrorKind.KEY_EXPIRED)
        if command.incarnation < self._min_incarnation_by_host.get(command.host, 0):
            return claimrecords.refusal(ErrorKind.STOPPING)
        if self._is_full():
            return claimrecords.refusal(ErrorKind.CLAIMS_FULL)
        self._raise_min_incarnation(command.host, command.incarnation)
        claim = claimrecords.Claim(
            State.IN_PROGRESS,
            self.time,
            command.request_digest,
            command.attempt,
            command.incarnation,
            command.host,
        )
        self._packed_by_fingerprint[fingerprint] = claim.pack()
        self._index_by_time(fingerprint)
        owner = (command.host, command.incarnation)
        self._in_progress_by_owner.setdefault(owner, set()).add(fingerprint)
        self._in_progress_count += 1
        return claimrecords.ClaimGranted()

    def _is_full(self):
        if len(self) >= self.limits.keys:
            return True
        # Every claim in progress may still store a result of the maximum size.
        reserved = (self._in_progress_count + 1) * self.limits.max_result_bytes
        return self.stored_result_bytes + reserved > self.limits.total_result_bytes

    def _answer_repeated_begin(self, command, claim, packed):
        is_same_request = claim.request_digest == command.request_digest
        is_retry = is_same_request and _is_same_attempt(command, claim)
        if claim.state is State.IN_PROGRESS and is_retry:
            return claimrecords.ClaimGranted()
        return self._answer_existing(command, claim, packed)

    def _answer_existing(self, command, claim, packed):
        if claim.request_digest != command.request_digest:
            return claimrecords.refusal(ErrorKind.KEY_MISMATCH)
        if claim.state is State.DONE:
            return claimrecords.unpack_result(packed)
        kinds = {
            State.IN_PROGRESS: ErrorKind.KEY_IN_PROGRESS,
            # As after expiry: executed, but the result cannot be returned.
            State.DONE_WITHOUT_RESULT: ErrorKind.KEY_EXPIRED,
            State.UNKNOWN: ErrorKind.RESULT_UNKNOWN,
        }
        return claimrecords.refusal(kinds[claim.state])

    def _finish(self, command):
        fingerprint = _fingerprint_of(command)
        packed = self._packed_by_fingerprint.get(fingerprint)
        claim = None if packed is None else claimrecords.unpack(packed)
        if claim is None or not _is_same_attempt(command, claim):
            return claimrecords.ClaimNoted()
        if command.outcome == Outcome.NOT_EXECUTED:
            self._delete(fingerprint, packed)
        elif command.outcome == Outcome.DONE:
            self._store_result(fingerprint, claim, claimrecords.pack_result(command))
        elif claim.state is State.IN_PROGRESS:
            self._mark_unknown(fingerprint, claim)
        return claimrecords.ClaimNoted()

    def _store_result(self, fingerprint, claim, result):
        self._untrack_in_progress(fingerprint, claim)
        # A claim that became UNKNOWN no longer reserves space, so there may be none for
        # a late result.
        total = self.stored_result_bytes + len(result)
        reserved = self._in_progress_count * self.limits.max_result_bytes
        has_space = total + reserved <= self.limits.total_result_bytes
        claim.state = State.DONE
        if len(result) > self.limits.max_result_bytes or not has_space:
            claim.state = State.DONE_WITHOUT_RESULT
            result = b""
        self.stored_result_bytes += len(result)
        if self._packed_by_fingerprint[fingerprint][0] == State.IN_PROGRESS:
            claim.changed_at = self.time
            self._index_by_time(fingerprint)
        self._packed_by_fingerprint[fingerprint] = claim.pack(result)

    def _mark_unknown(self, fingerprint, claim):
        self._untrack_in_progress(fingerprint, claim)
        claim.state = State.UNKNOWN
        claim.changed_at = self.time
        self._packed_by_fingerprint[fingerprint] = claim.pack()
        self._index_by_time(fingerprint)

    def _untrack_in_progress(self, fingerprint, claim):
        """Stop tracking a claim as in progress."""
        owner = (claim.host, claim.incarnation)
        owned = self._in_progress_by_owner.get(owner)
        if owned is None or fingerprint not in owned:
            return
        owned.remove(fingerprint)
        self._in_progress_count -= 1
        if not owned:
            del self._in_progress_by_owner[owner]

    def _delete(self, fingerprint, packed):
        self._untrack_in_progress(fingerprint, claimrecords.unpack(packed))
        self.stored_result_bytes -= claimrecords.result_size_of(packed)
        del self._packed_by_fingerprint[fingerprint]

    def _query(self, command):
        fingerprint = _fingerprint_of(command)
        packed = self._packed_by_fingerprint.get(fingerprint)
        if packed is not None:
            return self._answer_existing(command, claimrecords.unpack(packed), packed)
        if fingerprint in self.expired:
            return claimrecords.refusal(ErrorKind.KEY_EXPIRED)
        return claimrecords.ClaimAbsent()

    def _mark_owner_lost(self, command):
        self._raise_min_incarnation(command.host, command.incarnation + 1)
        return claimrecords.ClaimNoted()

    def _raise_min_incarnation(self, host, min_incarnation):
        """Refuse earlier incarnations of a host and mark their claims as unknown."""
        if min_incarnation <= self._min_incarnation_by_host.get(host, 0):
            return
        self._min_incarnation_by_host[host] = min_incarnation
        while len(self._min_incarnation_by_host) > MAX_TRACKED_HOSTS:
            del self._min_incarnation_by_host[next(iter(self._min_incarnation_by_host))]
        lost_owners = [
            owner
            for owner in self._in_progress_by_owner
            if owner[0] == host and owner[1] < min_incarnation
        ]
        for owner in lost_owners:
            for fingerprint in sorted(self._in_progress_by_owner[owner]):
                self._mark_unknown(
                    fingerprint,
                    claimrecords.unpack(self._packed_by_fingerprint[fingerprint]),
                )

    def _confirm_time(self, command):
        # ``apply`` has already advanced the time.
        return claimrecords.ClaimNoted()

    def snapshot(self) -> bytes:
        """Return the complete state; each expired key takes 16 bytes in it."""
        entries = [
            _ENTRY_HEADER.pack(fingerprint, len(packed)) + packed
            for fingerprint, packed in sorted(self._packed_by_fingerprint.items())
        ]
        return cbor2.dumps(
            {
                "time": self.time,
                "floors": self._min_incarnation_by_host,
                "live": b"".join(entries),
                "expired": self.expired.to_plain(),
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        plain = cbor2.loads(data)
        self._clear()
        self.time = plain["time"]
        self._min_incarnation_by_host = plain["floors"]
        self.expired.restore(plain["expired"])
        entries = plain["live"]
        start = 0
        while start < len(entries):
            fingerprint, size = _ENTRY_HEADER.unpack_from(entries, start)
            start += _ENTRY_HEADER.size
            self._restore_claim(fingerprint, entries[start : start + size])
            start += size
        for fingerprint in sorted(self._packed_by_fingerprint, key=self._changed_at_of):
            span = self._span(self._changed_at_of(fingerprint))
            self._fingerprints_by_span.setdefault(span, []).append(fingerprint)

    def _changed_at_of(self, fingerprint):
        return claimrecords.changed_at_of(self._packed_by_fingerprint[fingerprint])

    def _restore_claim(self, fingerprint, packed):
        self._packed_by_fingerprint[fingerprint] = packed
        self.stored_result_bytes += claimrecords.result_size_of(packed)
        claim = claimrecords.unpack(packed)
        if claim.state is not State.IN_PROGRESS:
            return
        owner = (claim.host, claim.incarnation)
        self._in_progress_by_owner.setdefault(owner, set()).add(fingerprint)
        self._in_progress_count += 1


def _fingerprint_of(command):
    return claimrecords.fingerprint(command.organisation, command.service, command.key)


def _is_same_attempt(command, claim):
    return (claim.host, claim.incarnation, claim.attempt) == (
        command.host,
        command.incarnation,
        command.attempt,
    )
