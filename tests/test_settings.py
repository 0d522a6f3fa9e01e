"""Settings: the examples are valid, and all errors of a file are reported at once."""

import pathlib

import pytest

from kumquatproxy import errors, settings
from kumquatproxy.configuration import samples

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["port-louis", "cordillera"])
def test_example_sheets_match_the_generator(name):
    assert (EXAMPLES / f"{name}.ini").read_text() == samples.generate(name)


def test_example_settings_are_valid():
    parsed = settings.parse((EXAMPLES / "host-1-1.ini").read_text())
    assert parsed.host.settle_time == 5.0
    assert parsed.data_centre_of("host-3-1") == "port-louis-3"


def test_all_errors_are_reported_at_once():
    text = (EXAMPLES / "host-1-1.ini").read_text()
    text = text.replace("settle_time = 5s", "settle_time = 5000s")
    text = text.replace("callers = 127.0.0.1:8080", "callers = localhost:8080")
    text = text.replace("region =", "regoin =")
    with pytest.raises(errors.ProxyError) as caught:
        settings.parse(text)
    detail = caught.value.detail
    assert "above the maximum 300" in detail
    assert "'localhost:8080' is not of the form IP:PORT" in detail
    assert "did you mean 'region'" in detail
    assert detail.count("line ") == 3


def test_voters_must_be_known_hosts_and_need_a_data_folder():
    text = (EXAMPLES / "host-1-1.ini").read_text()
    with pytest.raises(errors.ProxyError, match="unknown host 'host-2-2'"):
        settings.parse(text.replace("host-2-1, host-3-1", "host-2-2, host-3-1"))
    with pytest.raises(errors.ProxyError, match="needs \\[host\\] data_folder"):
        settings.parse(text.replace("data_folder = data/host-1-1\n", ""))


def test_every_option_has_a_help_text():
    for table in (*settings.SECTIONS.values(), settings.PEER_OPTIONS):
        assert all(option.help for option in table)
