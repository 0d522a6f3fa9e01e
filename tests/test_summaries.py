"""Summaries of other data centres: ordering, unchanged parts and expiry."""

from kumquatproxy import records
from kumquatproxy.membership import summaries

ENGINE = records.BackendServer("e-1", "", "dc-1", "engine", "llm", 1, 80_000)
ITEMS_BY_SERVICE = {"llm": ["model:m@1"]}


def send_summary(sender, receiver, now, items_by_service=ITEMS_BY_SERVICE):
    outputs = sender.tick(items_by_service, [ENGINE], ["relay-2"], now)
    for output in outputs:
        receiver.receive("relay-1", output.message, ["relay-2"], now)
    return [output.message for output in outputs]


def make_pair():
    sender = summaries.Summaries("relay-1", "dc-1", "127.0.0.1:1", 100)
    return sender, summaries.Summaries("relay-2", "dc-2", "127.0.0.1:2", 100)


def test_an_unchanged_summary_is_sent_without_items_and_engines():
    sender, receiver = make_pair()
    send_summary(sender, receiver, 0.0)
    (second,) = send_summary(sender, receiver, 2.0)
    assert second.items_by_service == {} and second.engines == []
    item = records.Item("model", "m", "1")
    assert receiver.centres_by_item() == {item: ("dc-1",)}
    (engine,) = receiver.engines_by_centre()["dc-1"]
    assert (engine.backend_id, engine.memory_mb) == ("e-1", 80_000)


def test_a_receiver_without_the_items_waits_for_a_full_summary():
    # Guards against reading an unchanged summary as an empty one.
    sender, receiver = make_pair()
    sender.tick(ITEMS_BY_SERVICE, [ENGINE], ["relay-2"], 0.0)
    send_summary(sender, receiver, 2.0)
    assert receiver.engines_by_centre() == {}
    send_summary(sender, receiver, summaries.FULL_INTERVAL_S)
    assert "dc-1" in receiver.engines_by_centre()


def test_outdated_summaries_are_ignored_and_silent_relays_expire():
    sender, receiver = make_pair()
    (first,) = send_summary(sender, receiver, 0.0)
    send_summary(sender, receiver, 2.0, {"llm": []})
    receiver.receive("relay-1", first, ["relay-2"], 2.5)
    assert receiver.centres_by_item() == {}
    assert receiver.expire(2.0 + summaries.SUMMARY_EXPIRY_S + 0.1) == ["relay-1"]
    assert receiver.remotes() == []


def test_a_summary_is_forwarded_once_on_the_tree():
    _, receiver = make_pair()
    sender = summaries.Summaries("relay-1", "dc-1", "127.0.0.1:1", 100)
    (output,) = sender.tick(ITEMS_BY_SERVICE, [ENGINE], ["relay-2"], 0.0)
    order = ["relay-2", "host-3", "host-4"]
    passed = receiver.receive("relay-1", output.message, order, 0.0)
    assert sorted(send.to for send in passed) == ["host-3", "host-4"]
    assert receiver.receive("host-3", output.message, order, 0.0) == []
