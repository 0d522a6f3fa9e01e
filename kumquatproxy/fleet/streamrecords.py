"""Origins of streams at an entry host: its own ones, and those that it asks for."""

import gevent
import gevent.event

from kumquatproxy import logs, wire
from kumquatproxy.fleet import fleetmessages, originexchange, servers
from kumquatproxy.gateway import calls, streamorigins

MAX_OWN_STREAMS = 20_000
# Control hosts that keep an origin. With three, two may restart while a stream lasts.
RECORD_HOST_COUNT = 3
# An entry host and all control hosts are a round trip apart, also across regions.
LOOKUP_TIMEOUT_S = 0.2


def record_versions(history: streamorigins.VersionHistory, announcements, now) -> None:
    """Record the versions of servers that may begin streams or run them."""
    keys = {
        (announcement.service, announcement.software_version)
        for announcement in announcements
        if announcement.state is not servers.ServerState.GONE
    }
    for service, software_version in keys:
        history.record(service, software_version, now)


class PendingLookup:
    """Hold a lookup and the event that its settlement sets."""

    __slots__ = ("lookup", "settled")

    def __init__(self, awaited_ids):
        self.lookup = streamorigins.Lookup(awaited_ids)
        self.settled = gevent.event.Event()


class StreamRecords:
    """Send, ask for and remember the origins of streams.

    ``broadcast(host_ids, message)`` sends a message to control hosts.
    """

    def __init__(self, broadcast):
        self.table = streamorigins.OriginTable(MAX_OWN_STREAMS)
        self.sender = originexchange.OriginSender(self.table)
        self.history = streamorigins.VersionHistory()
        # Control hosts of a build that knows these messages. Others would close the
        # link on the first one.
        self.host_ids: set[str] = set()
        self._broadcast = broadcast
        self._log = logs.Log("stream")
        # By the stream's id and the services of the route.
        self._pending_by_key: dict[tuple, PendingLookup] = {}

    def learn_build(self, sender: str, push: fleetmessages.ServersPush) -> None:
        """Learn from a push whether a control host keeps origins of streams."""
        for fields in push.servers:
            if servers.has_software_version(fields):
                self.host_ids.add(sender)
            else:
                self.host_ids.discard(sender)

    def record(self, call: calls.Call, keeper_ids: list[str], now: float) -> None:
        """Remember the origin of a stream and send it to the hosts that keep it."""
        kept_s = streamorigins.kept_s(call.route.timeout_s)
        origin = streamorigins.Origin(call.service, call.software_version)
        self.table.record(call.stream_id, origin, kept_s, now)
        if not 0 < len(call.stream_id) <= streamorigins.MAX_ID_LENGTH:
            return
        message = fleetmessages.StreamBegun(
            kept_s=kept_s,
            service=origin.service,
            software_version=origin.software_version,
            stream_id=call.stream_id,
        )
        self._broadcast(keeper_ids, message)
        # Lets the greenlets of the links send the message before the caller gets the
        # event.
        gevent.sleep(0)

    def required_origin(
        self, call: calls.Call, live_ids: set[str], voter_ids: set[str], now: float
    ) -> streamorigins.Origin | None:
        """Return where a resumed stream must go on, None if it must be rejected.

        Ask the control hosts if this host did not begin the stream. Without an answer
        of each voter, an unknown stream is rejected.
        """
        services = [target.service for target in call.route.targets]
        window_s = streamorigins.resumable_s(call.route.timeout_s)
        origin = self.table.find(call.resumed_id, now)
        reports = [self.history.report(services, window_s, now)]
        answered_ids: set[str] = set()
        if origin is None:
            lookup = self._look_up(call.resumed_id, services, window_s, live_ids)
            origin = lookup.origin
            reports += lookup.reports
            answered_ids = lookup.answered_ids
        has_all_answers = bool(voter_ids) and voter_ids <= answered_ids
        required = streamorigins.required_origin(
            origin, call.service, services, reports, has_all_answers
        )
        if required is None:
            self._log.write_limited(
                now,
                "unknown" if origin is None else "elsewhere",
                "a stream cannot go on, as its origin is unknown or no target",
                request_id=call.request_id,
                resumes=call.resumed_id,
                origin=origin and [origin.service, origin.software_version],
                answered=sorted(answered_ids),
                voters=sorted(voter_ids),
                versions=[report.versions for report in reports],
                complete_reports=sum(report.is_complete for report in reports),
            )
        return required

    def _look_up(self, stream_id, services, window_s, live_ids):
        if len(stream_id) > streamorigins.MAX_ID_LENGTH:
            stream_id = ""
        key = (stream_id, *services)
        pending = self._pending_by_key.get(key)
        if pending is None:
            pending = PendingLookup(live_ids & self.host_ids or self.host_ids)
            self._pending_by_key[key] = pending
            query = fleetmessages.StreamQuery(
                services=services, stream_id=stream_id, window_s=window_s
            )
            self._broadcast(sorted(self.host_ids), query)
        if not pending.lookup.is_settled:
            pending.settled.wait(LOOKUP_TIMEOUT_S)
        if self._pending_by_key.get(key) is pending:
            del self._pending_by_key[key]
        return pending.lookup

    def receive(self, sender: str, message: fleetmessages.StreamQueryAnswer) -> None:
        """Handle the answer of a control host."""
        pending = self._pending_by_key.get((message.stream_id, *message.services))
        if pending is None:
            return
        origin = None
        if message.is_known:
            origin = streamorigins.Origin(message.service, message.software_version)
        report = streamorigins.VersionReport(message.is_complete, message.versions)
        pending.lookup.add_answer(sender, origin, report)
        if pending.lookup.is_settled:
            pending.settled.set()

    def tick(self, keeper_ids: list[str], now: float) -> list[wire.Send]:
        """Return the messages with origins for hosts that have restarted."""
        return self.sender.tick(set(keeper_ids), now)

    def expire(self, now: float) -> None:
        """Remove what can no longer be needed."""
        self.table.expire(now)
        self.history.expire(now)
