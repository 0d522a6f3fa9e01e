"""Membership, load reports and version dissemination of one host, combined."""

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

VERSION_PUSH_FAN_OUT = 4

MALFORMED_MESSAGE_ERRORS = (
    TypeError,
    ValueError,
    KeyError,
    IndexError,
    AttributeError,
    struct.error,
)

_MEMBERSHIP_MESSAGES = (
    membermessages.Probe,
    membermessages.ProbeAck,
    membermessages.ProbeRequest,
    membermessages.MemberSync,
    membermessages.MemberPush,
    membermessages.BackendPull,
    membermessages.RelayNotice,
)
_MESSAGES_WITH_VERSION = (
    membermessages.Probe,
    membermessages.ProbeAck,
    membermessages.RelayNotice,
)
_REPORT_MESSAGES = (
    loadmessages.ReportBatch,
    loadmessages.ReportPull,
    loadmessages.ReportDetails,
)
_VERSION_MESSAGES = (
    versionmessages.VersionPush,
    versionmessages.VersionPull,
    versionmessages.VersionChunk,
    versionmessages.VersionHave,
)


class HostProtocols:
    """Combine the membership, load report and dissemination protocols of one host.

    The protocols do no I/O: each call returns the messages to send and the events for
    other parts of the host.
    """

    def __init__(self, settings, rng, now, version=None):
        self.host_id: str = settings.host_id
        self.membership = membership.Membership(settings, rng, now)
        self.reports = loadreports.LoadReports(self.host_id, rng, now)
        self.versions = dissemination.Dissemination(self.host_id, rng, now, version)
        self.versions.set_offer_targets(self.push_targets)
        self._order_revision = -1
        self._update_report_order(now)

    def tick(self, now: float) -> list:
        """Run the timers that are due and return the outputs."""
        outputs = self.membership.tick(now)
        self._update_report_order(now)
        outputs += self._record_reports(self.reports.tick(now))
        outputs += self.versions.tick(now)
        return outputs

    def receive(self, sender: str, message: wire.Message, now: float) -> list:
        """Handle one message from another host; raise ProxyError if it is malformed."""
        try:
            return self._receive(sender, message, now)
        except MALFORMED_MESSAGE_ERRORS as error:
            raise malformed_message_error(sender, message, error) from error

    def report(self, report: records.LoadReport, now: float) -> list:
        """Accept a load report that a backend server sent to this host."""
        if self.reports.accept(report, now):
            self.membership.backends.record_report(
                report.backend_id, report.incarnation, now
            )
        return []

    def publish(self, number: int, content: bytes, now: float) -> list:
        """Adopt and disseminate a version that the configuration group committed."""
        outputs = self.versions.publish(number, content, now)
        self.membership.version = self.versions.status()
        return outputs

    def push_targets(self, root: str) -> tuple[str, list[str]]:
        """Return the root to name in a push and the hosts to push to.

        ``root`` is the host that published the version or, for a received version, the
        root named in its push. Below it the relays of all data centres form one tree.
        Each of the n relays of a data centre also heads a tree over every n-th of the
        other hosts there. If this host published the version and is not a relay, it
        pushes to all relays of its data centre and names the first of them as root,
        because only relays know the relays elsewhere.
        """
        relays = self.membership.relays()
        targets = self._local_targets(relays)
        if self.host_id in relays:
            others = set(relays) | set(self.membership.remote_relays.relays())
            order = [root, *sorted(others - {root})]
            return root, trees.children_in(
                order, self.host_id, VERSION_PUSH_FAN_OUT
            ) + targets
        if root == self.host_id and relays:
            return relays[0], relays + targets
        return root, targets

    def _local_targets(self, relays):
        unsuspected = self.membership.table.unsuspected()
        for position, relay in enumerate(relays):
            order = [relay, *unsuspected[len(relays) + position :: len(relays)]]
            if self.host_id in order:
                return trees.children_in(order, self.host_id, VERSION_PUSH_FAN_OUT)
        return []

    def _receive(self, sender, message, now):
        _check_fields(message)
        if isinstance(message, _REPORT_MESSAGES):
            return self._record_reports(self.reports.receive(sender, message, now))
        if isinstance(message, _VERSION_MESSAGES):
            outputs = self.versions.receive(sender, message, now)
            self.membership.version = self.versions.status()
            return outputs
        if not isinstance(message, _MEMBERSHIP_MESSAGES):
            raise TypeError(f"unexpected message type {message.tag!r}")
        outputs = self.membership.receive(sender, message, now)
        self._update_report_order(now)
        if isinstance(message, _MESSAGES_WITH_VERSION):
            outputs += self.versions.observe(sender, message.version, now)
        return outputs

    def _update_report_order(self, now):
        if self._order_revision != self.membership.table.revision:
            self._order_revision = self.membership.table.revision
            self.reports.set_order(self.membership.report_order(), now)

    def _record_reports(self, outputs):
        record_report = self.membership.backends.record_report
        all_outputs = []
        for output in outputs:
            if isinstance(output, reportstore.ReportSeen):
                record_report(output.backend_id, output.incarnation, output.sent_at)
            all_outputs.append(output)
        return all_outputs


def _check_fields(message):
    """Raise TypeError if a field does not have the type that its class declares."""
    for name, expected_type in type(message).__annotations__.items():
        value = getattr(message, name)
        if type(value) is not expected_type:
            raise TypeError(f"field {name} has the wrong type {type(value).__name__}")


def malformed_message_error(sender: str, message: wire.Message, error: Exception):
    """Return the error for a message on which a handler failed."""
    return errors.ProxyError(
        errors.ErrorKind.PROTOCOL_ERROR,
        f"malformed message {message.tag!r} from {sender}: {error!r:.200}",
    )
