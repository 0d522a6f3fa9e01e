"""The three cores by which a host knows the others, joined into one."""

import struct

from kumquatproxy import errors, records, wire
from kumquatproxy.configuration import dissemination, versionmessages
from kumquatproxy.membership import (
    loadmessages,
    loadreports,
    membermessages,
    membership,
    reportstore,
    trees,
)

PUSH_FAN_OUT = 4

MALFORMED = (
    TypeError,
    ValueError,
    KeyError,
    IndexError,
    AttributeError,
    struct.error,
)

_MEMBERSHIP = (
    membermessages.Probe,
    membermessages.ProbeAck,
    membermessages.ProbeRequest,
    membermessages.MemberSync,
    membermessages.MemberPush,
    membermessages.BackendPull,
    membermessages.RelayNotice,
)
_WITH_VERSION = (
    membermessages.Probe,
    membermessages.ProbeAck,
    membermessages.RelayNotice,
)
_REPORTS = (
    loadmessages.ReportBatch,
    loadmessages.ReportPull,
    loadmessages.ReportDetails,
)
_VERSIONS = (
    versionmessages.VersionPush,
    versionmessages.VersionPull,
    versionmessages.VersionChunk,
    versionmessages.VersionHave,
)


class Peers:
    """Join membership, load reports and dissemination of one host."""

    def __init__(self, settings, rng, now, version=None):
        self.host_id: str = settings.host_id
        self.membership = membership.Membership(settings, rng, now)
        self.reports = loadreports.LoadReports(self.host_id, rng, now)
        self.versions = dissemination.Dissemination(self.host_id, rng, now, version)
        self.versions.set_targets(self.push_targets)
        self._revision = -1
        self._follow_hosts(now)

    def tick(self, now: float) -> list:
        """Return what is due at ``now``."""
        out = self.membership.tick(now)
        self._follow_hosts(now)
        out += self._follow_reports(self.reports.tick(now))
        out += self.versions.tick(now)
        return out

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message of another host; raise ProxyError if it is malformed."""
        try:
            return self._receive(sender, message, now)
        except MALFORMED as error:
            raise malformed(sender, message, error) from error

    def report(self, report: records.LoadReport, now: float) -> list:
        """Take a load report that a backend server sent to this host."""
        if self.reports.accept(report, now):
            self.membership.backends.heard(report.backend_id, report.incarnation, now)
        return []

    def publish(self, number: int, content: bytes, now: float) -> list:
        """Adopt and push a version that the configuration group committed."""
        out = self.versions.publish(number, content, now)
        self.membership.version = self.versions.status()
        return out

    def push_targets(self, root: str) -> tuple[str, list[str]]:
        """Return the root to name and the hosts to offer a version of ``root`` to.

        The relays of all data centres form one tree; each relay is the root of a tree
        over its part of the other hosts of its data centre. A root that is no relay
        does not know the other data centres and hands over to its first relay.
        """
        relays = self.membership.relays()
        targets = self._local_targets(relays)
        if self.host_id in relays:
            others = set(relays) | set(self.membership.links.relays())
            order = [root, *sorted(others - {root})]
            return root, trees.children_in(order, self.host_id, PUSH_FAN_OUT) + targets
        if root == self.host_id and relays:
            return relays[0], relays + targets
        return root, targets

    def _local_targets(self, relays):
        trusted = self.membership.table.trusted()
        for position, relay in enumerate(relays):
            part = [relay, *trusted[len(relays) + position :: len(relays)]]
            if self.host_id in part:
                return trees.children_in(part, self.host_id, PUSH_FAN_OUT)
        return []

    def _receive(self, sender, message, now):
        _check_fields(message)
        if isinstance(message, _REPORTS):
            return self._follow_reports(self.reports.receive(sender, message, now))
        if isinstance(message, _VERSIONS):
            out = self.versions.receive(sender, message, now)
            self.membership.version = self.versions.status()
            return out
        if not isinstance(message, _MEMBERSHIP):
            raise TypeError(f"no part handles {message.tag!r}")
        out = self.membership.receive(sender, message, now)
        self._follow_hosts(now)
        if isinstance(message, _WITH_VERSION):
            out += self.versions.observe(sender, message.version, now)
        return out

    def _follow_hosts(self, now):
        if self._revision != self.membership.table.revision:
            self._revision = self.membership.table.revision
            self.reports.set_order(self.membership.report_order(), now)

    def _follow_reports(self, outputs):
        heard = self.membership.backends.heard
        out = []
        for output in outputs:
            if isinstance(output, reportstore.ReportSeen):
                heard(output.backend_id, output.incarnation, output.sent_at)
            out.append(output)
        return out


def _check_fields(message):
    """Raise TypeError if a field has not the type that its class declares."""
    for name, kind in type(message).__annotations__.items():
        value = getattr(message, name)
        if type(value) is not kind:
            raise TypeError(f"field {name} is a {type(value).__name__}")


def malformed(sender: str, message: wire.Message, error: Exception):
    """Return the error for a message that made a handler fail."""
    return errors.ProxyError(
        errors.ErrorKind.PROTOCOL_ERROR,
        f"message {message.tag!r} of {sender} is malformed: {error!r:.200}",
    )
