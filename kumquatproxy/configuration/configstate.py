"""The replicated configuration: sheets, placement voters and weight-store shares."""

import collections
import zlib

import cbor2

from kumquatproxy import errors, wire
from kumquatproxy.configuration import sheet
from kumquatproxy.placement import storeshare

# At 380 changes a day this covers 26 days; an entry takes about 300 bytes.
MAX_HISTORY_VERSIONS = 10_000
# The full texts of this many versions are kept; hosts receive only the newest.
MAX_KEPT_TEXTS = 4
MAX_SHEET_BYTES = 4 * 1024 * 1024
# Beyond this number, the oldest unacknowledged grants of a data centre are merged.
MAX_UNACKNOWLEDGED_GRANTS = 8


@wire.register("submit-sheet")
class SubmitSheet(wire.Message):
    """Submit a sheet as the successor of version ``follows``.

    ``text`` is compressed by ``compress``; ``limits`` are the limits of the weight
    store in the text. The submitting host has parsed the text. The state machine does
    not parse it, because different program versions could disagree on its validity.
    """

    __slots__ = ("follows", "limits", "submitted_at", "submitter", "text")
    follows: int
    limits: storeshare.Share
    submitted_at: float
    submitter: str
    text: bytes


@wire.register("set-voters")
class SetVoters(wire.Message):
    """Set the hosts that vote on placement; their fences are above ``base_fence``."""

    __slots__ = ("base_fence", "data_centre", "voters")
    base_fence: int
    data_centre: str
    voters: list[str]


@wire.register("remove-data-centre")
class RemoveDataCentre(wire.Message):
    """Remove a data centre whose hosts are stopped; its share is released at once."""

    __slots__ = ("data_centre",)
    data_centre: str


@wire.register("acknowledge-share")
class AcknowledgeShare(wire.Message):
    """Confirm that a data centre stays within its share of ``share_version``."""

    __slots__ = ("data_centre", "share_version")
    data_centre: str
    share_version: int


@wire.register("sheet-accepted")
class SheetAccepted(wire.Message):
    """Confirm a submission and return its version number."""

    __slots__ = ("digest", "version")
    digest: str
    version: int


@wire.register("config-refused")
class ConfigRefused(wire.Message):
    """Refuse a command; ``version`` is the number of the newest accepted sheet.

    For a submission, ``digest`` is that of the accepted sheet with the submitted
    version number (``follows`` + 1), or empty if there is none.
    """

    __slots__ = ("detail", "digest", "kind", "version")
    detail: str
    digest: str
    kind: str
    version: int


@wire.register("config-done")
class ConfigDone(wire.Message):
    """Confirm a command other than ``SubmitSheet``, with the resulting revision."""

    __slots__ = ("revision",)
    revision: int


@wire.register("sheet-version")
class SheetVersion(wire.Message):
    """The entry of the history for one accepted sheet."""

    __slots__ = ("digest", "submitted_at", "submitter", "version")
    digest: str
    submitted_at: float
    submitter: str
    version: int


@wire.register("data-centre-voters")
class Voters(wire.Message):
    """The placement voters of a data centre and their base fence."""

    __slots__ = ("base_fence", "voters")
    base_fence: int
    voters: list[str]


def compress(text: str) -> bytes:
    """Compress the canonical text for the log; 0.5 MB becomes about 40 KB."""
    return zlib.compress(sheet.canonical_text(text).encode(), 9)


def decompress(data: bytes) -> str:
    """Decompress a text; raise ProxyError if it is malformed or over the limit."""
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(data, MAX_SHEET_BYTES)
        if inflate.unconsumed_tail or not inflate.eof:
            raise ValueError(f"the text is truncated or over {MAX_SHEET_BYTES} bytes")
        return raw.decode()
    except (zlib.error, ValueError) as error:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION, f"sheet: {error}"
        ) from None


def store_limits_of(parsed: sheet.Sheet) -> storeshare.Share:
    """Return the limits of the weight store from a sheet."""
    store = parsed.weight_store
    return storeshare.Share(
        adapters=store.adapters_in_transit,
        rate=store.loads_per_second,
        slots=store.concurrent_loads,
    )


class ConfigState:
    """Apply committed commands; equal logs give equal states and answers."""

    def __init__(
        self, history_versions=MAX_HISTORY_VERSIONS, kept_texts=MAX_KEPT_TEXTS
    ):
        self._history_versions = history_versions
        self._kept_texts = kept_texts
        self._handlers = {
            SubmitSheet: self._submit,
            SetVoters: self._set_voters,
            RemoveDataCentre: self._remove_data_centre,
            AcknowledgeShare: self._acknowledge,
        }
        # Increases with every change of the sheet, voters or shares. Hosts adopt the
        # configuration with the highest; ``dissemination`` calls it version number.
        self.revision = 0
        self.version = 0  # of the newest accepted sheet
        self.history: collections.deque[SheetVersion] = collections.deque()
        self.texts_by_version: dict[int, bytes] = {}
        self.voters_by_data_centre: dict[str, Voters] = {}
        self.limits = storeshare.NO_SHARE
        self.share_version = 0
        self.shares_by_data_centre: dict[str, storeshare.Share] = {}
        # The grants that a data centre may still be using, as [share version, share],
        # oldest first. An acknowledgement keeps the grant that applies at its share
        # version and the later ones.
        self._grants: dict[str, list[list]] = {}

    def apply(self, command: wire.Message) -> wire.Message:
        """Apply one committed command and return its answer."""
        handler = self._handlers.get(type(command))
        if handler is None:
            return self._refuse(
                errors.ErrorKind.PROTOCOL_ERROR, f"unknown command {command.tag!r}"
            )
        return handler(command)

    def text(self, version: int) -> str | None:
        """Return the sheet text of a version, or None if it is no longer stored."""
        data = self.texts_by_version.get(version)
        return None if data is None else decompress(data)

    def digest(self, version: int) -> str:
        """Return the digest of a version, or an empty string if it is not stored."""
        if not self.history or version < self.history[0].version:
            return ""
        index = version - self.history[0].version
        return self.history[index].digest if index < len(self.history) else ""

    def snapshot(self) -> bytes:
        """Return the complete state."""
        return cbor2.dumps(
            {
                "revision": self.revision,
                "version": self.version,
                "history": [
                    [entry.digest, entry.submitted_at, entry.submitter, entry.version]
                    for entry in self.history
                ],
                "texts": self.texts_by_version,
                "voters": _to_maps(self.voters_by_data_centre),
                "limits": self.limits.to_map(),
                "share_version": self.share_version,
                "shares": _to_maps(self.shares_by_data_centre),
                "grants": {
                    name: [[version, share.to_map()] for version, share in grants]
                    for name, grants in sorted(self._grants.items())
                },
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        plain = cbor2.loads(data)
        self.revision = plain["revision"]
        self.version = plain["version"]
        self.history = collections.deque(
            SheetVersion(*values) for values in plain["history"]
        )
        self.texts_by_version = plain["texts"]
        self.voters_by_data_centre = _from_maps(plain["voters"])
        self.limits = wire.from_plain(plain["limits"], 0)
        self.share_version = plain["share_version"]
        self.shares_by_data_centre = _from_maps(plain["shares"])
        self._grants = {
            name: [[version, wire.from_plain(share, 0)] for version, share in grants]
            for name, grants in plain["grants"].items()
        }

    def _submit(self, command):
        try:
            digest = sheet.digest_of(decompress(command.text))
        except errors.ProxyError as error:
            return self._refuse(error.kind, error.detail)
        version = command.follows + 1
        if command.follows != self.version:
            return self._answer_out_of_sequence(version, digest)
        self.version = version
        self.revision += 1
        self.history.append(
            SheetVersion(digest, command.submitted_at, command.submitter, version)
        )
        self.texts_by_version[version] = command.text
        while len(self.history) > self._history_versions:
            self.history.popleft()
        while len(self.texts_by_version) > self._kept_texts:
            del self.texts_by_version[min(self.texts_by_version)]
        self.limits = command.limits
        self._update_shares()
        return SheetAccepted(digest=digest, version=version)

    def _answer_out_of_sequence(self, version, digest):
        """Repeat the answer to a repeated submission; refuse any other."""
        accepted = self.digest(version)
        if accepted and accepted == digest:
            return SheetAccepted(digest=digest, version=version)
        detail = (
            f"version {version} is out of sequence: version {self.version} is current"
        )
        return self._refuse(errors.ErrorKind.VERSION_CONFLICT, detail, accepted)

    def _set_voters(self, command):
        current = self.voters_by_data_centre.get(command.data_centre)
        voters = Voters(base_fence=command.base_fence, voters=list(command.voters))
        # Other voters with an equal or lower base fence are refused, so that two hosts
        # that choose voters at the same time cannot both succeed.
        if current not in (None, voters) and command.base_fence <= current.base_fence:
            detail = (
                f"base fence {command.base_fence} is not above {current.base_fence}"
            )
            return self._refuse(errors.ErrorKind.STALE_FENCE, detail)
        if voters != current:
            self.voters_by_data_centre[command.data_centre] = voters
            self.revision += 1
            self._update_shares()
        return ConfigDone(self.revision)

    def _remove_data_centre(self, command):
        if self.voters_by_data_centre.pop(command.data_centre, None) is not None:
            self.revision += 1
            self.shares_by_data_centre.pop(command.data_centre, None)
            self._grants.pop(command.data_centre, None)
            self._update_shares()
        return ConfigDone(self.revision)

    def _acknowledge(self, command):
        grants = self._grants.get(command.data_centre)
        if grants is None or command.share_version > self.share_version:
            detail = f"share version {command.share_version} was not granted"
            return self._refuse(errors.ErrorKind.INVALID_REQUEST, detail)
        while len(grants) > 1 and grants[1][0] <= command.share_version:
            grants.pop(0)
        self._raise_shares()
        return ConfigDone(self.revision)

    def _update_shares(self):
        """Lower shares at once, and raise them once acknowledgements allow it."""
        targets = storeshare.split(self.limits, self.voters_by_data_centre)
        lowered = {
            name: target.lower_of(
                self.shares_by_data_centre.get(name, storeshare.NO_SHARE)
            )
            for name, target in targets.items()
        }
        self._grant(lowered)
        self._raise_shares()

    def _raise_shares(self):
        targets = storeshare.split(self.limits, self.voters_by_data_centre)
        for name, target in targets.items():
            for _, share in self._grants.get(name, ()):
                if not share.is_within(target):
                    return
        self._grant(targets)

    def _grant(self, shares):
        if shares == self.shares_by_data_centre:
            return
        self.share_version += 1
        self.revision += 1
        self.shares_by_data_centre = shares
        for name, share in shares.items():
            grants = self._grants.setdefault(name, [])
            if grants and grants[-1][1] == share:
                continue
            grants.append([self.share_version, share])
            if len(grants) > MAX_UNACKNOWLEDGED_GRANTS:
                oldest = grants.pop(0)
                grants[0][1] = grants[0][1].higher_of(oldest[1])

    def _refuse(self, kind, detail, digest=""):
        return ConfigRefused(
            detail=detail, digest=digest, kind=kind.value, version=self.version
        )


def _to_maps(messages_by_name):
    return {
        name: message.to_map() for name, message in sorted(messages_by_name.items())
    }


def _from_maps(maps_by_name):
    return {name: wire.from_plain(plain, 0) for name, plain in maps_by_name.items()}
