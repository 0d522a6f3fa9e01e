"""Tests of the demo: HTTP requests while an engine and a placement owner stop."""

import pytest

from kumquatproxy.laboratory import demo, demosystem, fakes


@pytest.fixture(scope="module")
def sheet_text():
    return demo.fast_store_sheet("port-louis")


def test_demo_guarantees_hold_through_engine_and_owner_stop(sheet_text):
    assert demo.run(request_count=120, action_count=12, sheet_text=sheet_text)


def test_demo_fails_on_a_wrong_answer(sheet_text, monkeypatch):
    # Guards against a demo that cannot fail: the engine's answers end in a token that
    # the caller does not expect.
    original = fakes.tokens_for

    def change_last_token(model, prompt, count):
        return [*original(model, prompt, count)[:-1], "?"]

    monkeypatch.setattr(fakes.FakeEngine, "_tokens", staticmethod(change_last_token))
    assert not demo.run(request_count=10, action_count=2, sheet_text=sheet_text)


def test_demo_fails_on_overcommitted_memory(sheet_text, monkeypatch):
    # Guards against a demo that cannot fail: the engine accounts four times the memory
    # that the order states.
    original = fakes.FakeEngine._order

    def order_with_more_memory(self, body):
        return original(self, {**body, "memory_mb": body.get("memory_mb", 0) * 4})

    monkeypatch.setattr(fakes.FakeEngine, "_order", order_with_more_memory)
    assert not demo.run(request_count=10, action_count=2, sheet_text=sheet_text)


def test_reserved_port_is_reserved_once():
    """Guards against two processes that choose the same port at the same time."""
    port = int(demosystem.free_address().rpartition(":")[2])
    assert not demosystem.reserve_port(port)


def test_owner_is_awaited_while_a_data_centre_elects_one(monkeypatch):
    """Guards against a demo that ends because it looked during an election."""

    class Placement:
        order_engine = None

    class RunningHost:
        class control:
            placement = Placement

        is_stopped = False

        def stop(self):
            self.is_stopped = True

    class System:
        hosts_by_id = {"host-1": RunningHost()}

    def elect(condition, description):
        assert not condition()
        Placement.order_engine = object()

    monkeypatch.setattr(demosystem, "wait_for", elect)
    demo._stop_a_placement_owner(System)
    assert System.hosts_by_id["host-1"].is_stopped


def test_free_address_is_outside_the_ephemeral_port_range():
    """Guards against a port that another process takes for an outgoing connection."""
    ports = [int(demosystem.free_address().rpartition(":")[2]) for _ in range(50)]
    assert all(12_000 <= port <= 32_000 for port in ports)
