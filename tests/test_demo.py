"""The main job: real HTTP, orders, a stopped backend server, a stopped owner."""

import pytest

from kumquatproxy.laboratory import demo, demosystem, fakes


@pytest.fixture(scope="module")
def text():
    return demo.fast_store_sheet("port-louis")


def test_demo_holds_every_promise(text):
    assert demo.run(requests=120, actions=12, text=text)


def test_demo_notices_a_wrong_answer(text, monkeypatch):
    # Guards against a demo that cannot fail: the engine answers with other tokens
    # than the ones that the caller expects.
    genuine = fakes.tokens_for

    def garbled(model, prompt, count):
        return [*genuine(model, prompt, count)[:-1], "?"]

    monkeypatch.setattr(fakes.FakeEngine, "_tokens", staticmethod(garbled))
    assert not demo.run(requests=10, actions=2, text=text)


def test_demo_notices_overcommitted_memory(text, monkeypatch):
    # Guards against a demo that cannot fail: the engine's own accounting finds more
    # memory in use than the orders said.
    genuine = fakes.FakeEngine._order

    def heavier(self, body):
        return genuine(self, {**body, "memory_mb": body.get("memory_mb", 0) * 4})

    monkeypatch.setattr(fakes.FakeEngine, "_order", heavier)
    assert not demo.run(requests=10, actions=2, text=text)


def test_free_addresses_are_not_those_of_outgoing_connections():
    """The whole script failed once: another process had taken the port meanwhile."""
    ports = [int(demosystem.free_address().rpartition(":")[2]) for _ in range(50)]
    assert all(12_000 <= port <= 32_000 for port in ports)
