"""Memory and decision about where a resumed stream goes on."""

import pytest

from kumquatproxy.gateway import streamorigins

V1 = streamorigins.Origin("s", "v1")
V2 = streamorigins.Origin("s", "v2")


def report(*versions, is_complete=True):
    return streamorigins.VersionReport(is_complete, versions)


class TestOriginTable:
    """Origins are kept while a stream can be resumed, in bounded memory."""

    def test_origin_is_known_until_the_stream_can_no_longer_be_resumed(self):
        table = streamorigins.OriginTable(10)
        table.record("a", V1, 5.0, 0.0)
        assert table.find("a", 4.9) == V1 and table.find("a", 5.0) is None
        table.expire(5.0)
        assert len(table) == 0

    def test_resumption_extends_the_time(self):
        """Guards against a stream that is forgotten while it goes on elsewhere."""
        table = streamorigins.OriginTable(10)
        table.record("a", V1, 5.0, 0.0)
        table.record("a", V1, 5.0, 4.0)
        table.expire(6.0)
        assert table.find("a", 6.0) == V1

    def test_oldest_streams_are_removed_above_the_limit(self):
        table = streamorigins.OriginTable(2)
        for stream_id in ("a", "b", "a", "c"):
            table.record(stream_id, V1, 5.0, 0.0)
        assert len(table) == 2 and table.find("b", 1.0) is None
        assert table.find("a", 1.0) == table.find("c", 1.0) == V1

    @pytest.mark.parametrize("stream_id", ["", "x" * 129])
    def test_ids_that_are_missing_or_too_long_are_not_kept(self, stream_id):
        """Guards against memory that callers fill with long ids."""
        table = streamorigins.OriginTable(2)
        table.record(stream_id, V1, 5.0, 0.0)
        assert len(table) == 0 and table.find(stream_id, 0.0) is None


class TestLookup:
    """The first known origin settles a lookup, or the last awaited answer."""

    def test_first_known_origin_settles_it(self):
        lookup = streamorigins.Lookup(["c1", "c2", "c3"])
        lookup.add_answer("c1", None, report("v1"))
        assert not lookup.is_settled
        lookup.add_answer("c2", V2, report("v1"))
        assert lookup.is_settled and lookup.origin == V2

    def test_answers_of_all_awaited_hosts_settle_it(self):
        """Guards against waiting for hosts that are down until the timeout."""
        lookup = streamorigins.Lookup(["c1", "c2"])
        lookup.add_answer("c1", None, report("v1"))
        lookup.add_answer("c2", None, report("v2"))
        assert lookup.is_settled and lookup.origin is None
        assert lookup.reports == [report("v1"), report("v2")]


class TestVersionHistory:
    """A report covers a window only if no version can have been missed in it."""

    def history(self, contacts):
        history = streamorigins.VersionHistory()
        for now in contacts:
            history.record_contact(now)
        return history

    def test_report_is_complete_after_contact_throughout_the_window(self):
        history = self.history(range(11))
        assert history.report(["s"], 10.0, 10.0).is_complete
        assert not history.report(["s"], 10.5, 10.0).is_complete

    def test_host_without_contact_makes_no_complete_report(self):
        """Guards against versions that serve elsewhere and that this host missed."""
        assert not self.history([]).report(["s"], 1.0, 50.0).is_complete
        assert not self.history(range(11)).report(["s"], 5.0, 13.0).is_complete
        interrupted = self.history([0, 1, 2, 8, 9, 10, 11])
        assert not interrupted.report(["s"], 5.0, 11.0).is_complete

    def test_versions_of_ended_servers_count_until_the_window_has_passed(self):
        """Guards against a stream of a server whose version has been replaced."""
        history = self.history(range(31))
        history.record("s", "v1", 10.0)
        history.record("s", "v2", 30.0)
        history.record("other", "v3", 30.0)
        assert history.report(["s"], 20.0, 30.0).versions == ["v1", "v2"]
        assert history.report(["s"], 19.0, 30.0).versions == ["v2"]
        history.expire(10.0 + streamorigins.MAX_KEPT_S + 1.0)
        assert history.report(["s"], 1e9, 150.0).versions == ["v2"]


class TestRequiredOrigin:
    """A stream goes on where it began, or where it can only have begun."""

    def require(self, origin, *reports, services=("s", "t"), has_all_answers=True):
        return streamorigins.required_origin(
            origin, "s", list(services), reports, has_all_answers
        )

    def test_known_stream_goes_on_at_its_service_and_version(self):
        began = streamorigins.Origin("t", "v2")
        assert self.require(began, report("v1")) == began

    def test_stream_of_a_service_that_is_no_target_any_more_is_rejected(self):
        """Guards against a call at a service that the configuration has removed."""
        assert self.require(streamorigins.Origin("old", "v1"), report("v1")) is None

    def test_unknown_stream_goes_on_if_only_one_version_was_seen(self):
        assert self.require(None, report("v1"), report("v1")) == V1
        # A host that has just started relies on hosts that have not.
        assert self.require(None, report(is_complete=False), report("v1")) == V1

    def test_unknown_stream_is_rejected_while_a_voter_has_not_answered(self):
        """Guards against a version that is known only to hosts out of reach."""
        assert self.require(None, report("v1"), has_all_answers=False) is None
        assert self.require(V2, report("v1"), has_all_answers=False) == V2

    @pytest.mark.parametrize(
        "reports",
        [
            [report("v1", "v2")],
            [report("v1"), report("v2", is_complete=False)],
            [report("v1", is_complete=False)],
            [report()],
        ],
    )
    def test_unknown_stream_is_rejected_if_versions_may_differ(self, reports):
        """Guards against events of two versions after all records were lost."""
        assert self.require(None, *reports) is None


def test_streams_are_kept_for_two_timeouts_of_the_route_within_bounds():
    assert streamorigins.kept_s(4.0) == 13.0
    assert streamorigins.kept_s(600.0) == streamorigins.MAX_KEPT_S


def test_stream_that_outlasts_the_memory_of_versions_is_not_taken_for_the_only_one():
    """Guards against joining it from two versions when its own one has been forgotten.

    Servers of a version that has gone may still run a stream of a slow route.
    """
    history = streamorigins.VersionHistory()
    table = streamorigins.OriginTable(10)
    timeout_s, began_at, ends_at = 200.0, 500.0, 690.0
    table.record("r", V1, streamorigins.kept_s(timeout_s), began_at)
    for now in range(int(ends_at) + 1):
        history.record_contact(float(now))
        history.record("s", "v1" if now < began_at + 20.0 else "v2", float(now))
        history.expire(float(now))
    window_s = streamorigins.resumable_s(timeout_s)
    known = table.find("r", ends_at)
    reports = [history.report(["s"], window_s, ends_at)]
    assert streamorigins.required_origin(known, "s", ["s"], reports, True) is None


class TestRestoredOrigins:
    """Guards against an origin that was sent again and settles what is known better."""

    def test_unknown_stream_is_restored_for_the_time_left(self):
        table = streamorigins.OriginTable(10)
        table.restore("a", V1, 3.0, 10.0)
        assert table.find("a", 12.9) == V1 and table.find("a", 13.0) is None

    def test_other_origin_is_kept(self):
        table = streamorigins.OriginTable(10)
        table.record("a", V2, 5.0, 0.0)
        table.restore("a", V1, 60.0, 1.0)
        assert table.find("a", 4.0) == V2 and table.find("a", 5.0) is None

    def test_time_is_extended_and_never_shortened(self):
        table = streamorigins.OriginTable(10)
        table.record("a", V1, 5.0, 0.0)
        table.restore("a", V1, 2.0, 1.0)
        assert table.find("a", 4.5) == V1
        table.restore("a", V1, 8.0, 1.0)
        assert table.find("a", 8.5) == V1

    @pytest.mark.parametrize("left_s", [0.0, 1e9])
    def test_time_is_bounded(self, left_s):
        table = streamorigins.OriginTable(10)
        table.restore("a", V1, left_s, 0.0)
        assert table.find("a", streamorigins.MAX_KEPT_S) is None
        assert (table.find("a", 0.0) == V1) == (left_s > 0.0)
