"""Splitting of streams into events when a read ends within an event."""

from kumquatproxy.gateway import eventstream


def test_only_complete_events_are_returned():
    """Guards against joining part of an event with data of another server."""
    splitter = eventstream.EventSplitter()
    assert splitter.add(b"id: 1\ndata: a\n\nid: 2\nda") == [
        (b"id: 1\ndata: a\n\n", "1")
    ]
    assert splitter.has_partial_event
    assert splitter.add(b"ta: b\n\n") == [(b"id: 2\ndata: b\n\n", "2")]
    assert not splitter.has_partial_event


def test_field_before_the_id_belongs_to_the_same_event():
    event = b"weights: 2\nid: 7\ndata: x\n\n"
    assert eventstream.EventSplitter().add(event) == [(event, "7")]


def test_event_without_an_id_has_an_empty_id():
    assert eventstream.EventSplitter().add(b": ping\n\n") == [(b": ping\n\n", "")]
