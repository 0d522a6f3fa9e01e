"""Tracing of failed requests by id, as in the three examples of OPERATIONS.md."""

import json

import pytest
import test_relay

from kumquatproxy import cli, logs, tracing
from kumquatproxy.fleet import serviceconfig


class Collector:
    """Collect log lines as text."""

    def __init__(self):
        self.text = ""

    def write(self, text):
        self.text += text

    def flush(self):
        return None


@pytest.fixture
def collected(monkeypatch):
    collector = Collector()
    destination = logs._Destination(collector)

    class Task:
        def log(self, message_type, **fields):
            destination({"message_type": message_type, "timestamp": 1.0, **fields})

    monkeypatch.setattr(logs, "_task", Task())
    return collector


def event_texts(collected):
    lines = tracing.read(collected.text, "entry-1")
    return [event["text"] for event in tracing.request_events(lines, "7")]


def test_trace_shows_refusals_by_available_servers(collected):
    """The event shows how many servers could serve the call and why none did."""
    with test_relay.running_relay([test_relay.NOT_RUN] * 9) as (address, _, _):
        test_relay.send_request(address, b"once")
    events = event_texts(collected)
    assert "one of 1" in events[1] and "not-run (refused with 503)" in events[1]
    assert events[-1].startswith("no-backend-server: ")


def test_trace_shows_a_call_whose_response_was_lost(collected):
    with test_relay.running_relay([None]) as (address, _, _):
        test_relay.send_request(address, b"once")
    events = event_texts(collected)
    assert "goes to i-0" in events[1] and ": lost (" in events[1]
    assert events[-1].startswith("backend-failed")


def test_trace_shows_a_stream_that_was_resumed_at_another_server(collected):
    broken = test_relay.make_stream(1, ends=False)
    with test_relay.running_relay(
        [broken, None], [test_relay.make_stream(2)]
    ) as running:
        running[1][0].closes = True
        test_relay.send_request(running[0], b"stream")
    events = event_texts(collected)
    assert ": lost (" in events[1] and "goes to i-1" in events[2]
    assert events[-1].startswith("answered after")


def test_trace_shows_that_a_response_was_cut_off(collected):
    """Guards against taking a cut response for a complete error response."""
    broken = test_relay.make_stream(1, ends=False)
    with test_relay.running_relay([broken, None]) as (address, backends, _):
        backends[0].closes = True
        test_relay.send_request(address, b"stream")
    assert event_texts(collected)[-1].endswith("; the response was cut off")
    (problem,) = tracing.problems(tracing.read(collected.text, "entry-1"))
    assert problem["problem"].endswith(", response cut off")


def test_trace_command_lists_problems_and_the_events_of_a_request(
    collected, tmp_path, capsys
):
    with test_relay.running_relay([None]) as (address, _, _):
        test_relay.send_request(address, b"once")
    path = tmp_path / "entry-1.log"
    path.write_text("cut line {\n" + collected.text)
    assert cli.main(["trace", "--problems", str(path)]) == cli.EXIT_OK
    assert "backend-failed, once, attempts ['lost']; 7" in capsys.readouterr().out
    assert cli.main(["trace", "7", str(path), "--json"]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)[0]["host"] == "entry-1"
    assert cli.main(["trace", "unknown", str(path)]) == cli.EXIT_REFUSED


def test_trace_shows_software_versions_and_the_resumed_call(collected):
    """Guards against a log that does not tell at which version a stream went on."""
    broken = test_relay.make_stream(1, ends=False)
    with test_relay.running_relay(
        [broken, None], [test_relay.make_stream(2)]
    ) as running:
        running[1][0].closes = True
        for instance_id in ("i-0", "i-1"):
            running[2].table.get(instance_id).software_version = "v3"
        test_relay.send_request(running[0], b"stream", b"Resumes: 5\r\n")
    events = event_texts(collected)
    assert events[0].endswith(", resumes 5")
    assert "goes to i-0 at version v3" in events[1]
    lines = tracing.read(collected.text, "entry-1")
    (line,) = [line for line in lines if "attempts" in line.fields]
    assert line.fields["software_version"] == "v3"


def test_log_shows_that_calls_whose_server_broke_off_are_the_same(collected):
    """Repetitions differ in the request id only, which tells nothing."""
    with test_relay.running_relay([None, None, None]) as (address, _, _):
        for path in (b"once", b"once", b"once/other"):
            test_relay.send_request(address, path)
    lines = [json.loads(line) for line in collected.text.splitlines()]
    keys = [line["repetition"] for line in lines if "repetition" in line]
    assert keys[0] and keys[0] == keys[1] != keys[2]
    assert {line["caller"] for line in lines if "caller" in line} == {"127.0.0.1"}


@pytest.mark.parametrize(
    ("version", "text"), [(0, "of version 0"), (-3, "of version -3"), (None, "no vers")]
)
def test_trace_tells_a_low_version_from_none(collected, version, text):
    """Guards against calls without a configuration that seem to have version 0."""
    with test_relay.running_relay([...]) as (address, _, host):
        number = serviceconfig.NO_VERSION if version is None else version
        host.version = lambda: number
        test_relay.send_request(address, b"none")
    assert any(text in event for event in event_texts(collected))
