"""The demo: real HTTP through the whole path, each answer whole and its own."""

from kumquatproxy import demo


def test_demo_answers_every_request_whole():
    assert demo.run(requests=60)
