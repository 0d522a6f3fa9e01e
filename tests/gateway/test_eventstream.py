"""Cutting streams into events: a server may stop in the middle of one."""

from kumquatproxy.gateway import eventstream


def test_only_whole_events_are_returned():
    """Half an event joined with another server's would be nobody's answer."""
    splitter = eventstream.EventSplitter()
    assert splitter.add(b"id: 1\ndata: a\n\nid: 2\nda") == [
        (b"id: 1\ndata: a\n\n", "1")
    ]
    assert splitter.has_rest
    assert splitter.add(b"ta: b\n\n") == [(b"id: 2\ndata: b\n\n", "2")]
    assert not splitter.has_rest


def test_a_line_before_the_id_stays_with_its_event():
    event = b"weights: 2\nid: 7\ndata: x\n\n"
    assert eventstream.EventSplitter().add(event) == [(event, "7")]


def test_an_event_without_an_id_has_none():
    assert eventstream.EventSplitter().add(b": ping\n\n") == [(b": ping\n\n", "")]
