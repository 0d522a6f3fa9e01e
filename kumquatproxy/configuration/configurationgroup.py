"""The configuration group's state machine and the content it sends to all hosts."""

import cbor2

from kumquatproxy import wire
from kumquatproxy.configuration import claimrecords, claims, configstate, sheet
from kumquatproxy.placement import storeshare

_CLAIM_COMMANDS = (
    claimrecords.BeginClaim,
    claimrecords.FinishClaim,
    claimrecords.QueryClaim,
    claimrecords.OwnerLost,
    claimrecords.AdvanceClaims,
)


class ConfigurationMachine:
    """Apply configuration and claim commands from one log."""

    __slots__ = ("claims", "configuration")

    def __init__(self, limits: claims.Limits | None = None):
        self.configuration = configstate.ConfigState()
        self.claims = claims.ClaimTable(limits)

    def apply(self, command: wire.Message) -> wire.Message:
        """Apply one committed command and return its answer."""
        if isinstance(command, _CLAIM_COMMANDS):
            return self.claims.apply(command)
        return self.configuration.apply(command)

    def snapshot(self) -> bytes:
        """Return the complete state."""
        return cbor2.dumps([self.configuration.snapshot(), self.claims.snapshot()])

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        configuration, claim_table = cbor2.loads(data)
        self.configuration.restore(configuration)
        self.claims.restore(claim_table)


def is_claim_command(command: wire.Message) -> bool:
    """Return whether a command is a claim command, which has a time."""
    return isinstance(command, _CLAIM_COMMANDS)


class HostConfiguration:
    """The configuration as it is sent to all hosts, decoded.

    ``version``, ``text`` and ``sheet_digest`` are those of the sheet.
    """

    __slots__ = (
        "share_version",
        "shares_by_data_centre",
        "sheet",
        "sheet_digest",
        "text",
        "version",
        "voters_by_data_centre",
    )

    def __init__(self, plain):
        self.version: int = plain["version"]
        self.text: str = plain["text"]
        self.sheet_digest: str = plain["digest"]
        self.share_version: int = plain["share_version"]
        self.shares_by_data_centre = {
            name: wire.from_plain(share, 0) for name, share in plain["shares"].items()
        }
        self.voters_by_data_centre = {
            name: wire.from_plain(voters, 0) for name, voters in plain["voters"].items()
        }
        self.sheet: sheet.Sheet | None = sheet.parse(self.text) if self.text else None

    def share_of(self, data_centre: str) -> storeshare.Share:
        """Return the share of the weight store of a data centre."""
        return self.shares_by_data_centre.get(data_centre, storeshare.NO_SHARE)


def encode_content(state: configstate.ConfigState) -> bytes:
    """Encode the current configuration for all hosts."""
    return cbor2.dumps(
        {
            "version": state.version,
            "text": state.text(state.version) or "",
            "digest": state.digest(state.version),
            "share_version": state.share_version,
            "shares": {
                name: share.to_map()
                for name, share in sorted(state.shares_by_data_centre.items())
            },
            "voters": {
                name: voters.to_map()
                for name, voters in sorted(state.voters_by_data_centre.items())
            },
        }
    )


def decode_content(data: bytes) -> HostConfiguration:
    """Decode a configuration encoded by ``encode_content``."""
    return HostConfiguration(cbor2.loads(data))
