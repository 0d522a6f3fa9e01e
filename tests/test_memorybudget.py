"""Budget of the memory for messages in transit."""

import pytest
import rawservers

from kumquatproxy import clock, errors, httpapi, memorybudget
from kumquatproxy.requests import exchanges, retries, serverpauses

SMALL = memorybudget.SMALL_BYTES


def make_budget(capacity_bytes):
    budget = memorybudget.MemoryBudget()
    budget.capacity_bytes = capacity_bytes
    return budget


def test_large_messages_leave_room_for_small_ones():
    """Guards against a few large bodies after which every request is refused."""
    budget = make_budget(8 * SMALL)
    large = memorybudget.Holding(budget)
    assert large.grow(6 * SMALL)
    assert not memorybudget.Holding(budget).grow(SMALL + 1)
    smalls = [memorybudget.Holding(budget) for _ in range(3)]
    assert [small.grow(SMALL) for small in smalls] == [True, True, False]
    large.release()
    assert memorybudget.Holding(budget).grow(SMALL + 1)
    assert (budget.held_bytes, budget.large_bytes) == (3 * SMALL + 1, SMALL + 1)


def test_all_bytes_are_returned():
    """Guards against a budget that shrinks with each message."""
    budget = make_budget(8 * SMALL)
    holding = memorybudget.Holding(budget)
    for size in (10, 2 * SMALL, 9 * SMALL, 5, 0, SMALL + 1):
        holding.resize(size)
        assert budget.held_bytes == size
    holding.release()
    assert (budget.held_bytes, budget.large_bytes) == (0, 0)
    assert not holding.grow(9 * SMALL) and budget.rejections == 1


class EchoApplication(httpapi.Application):
    """Answer with the number of bytes of the request."""

    def answer(self, request, now):
        return httpapi.text_reply(str(len(request.body())))


@pytest.mark.parametrize("framing", [b"Content-Length: 200000", b"chunked"])
def test_body_without_room_gets_503_and_its_memory_is_returned(framing):
    """Guards against hosts of a sheet that end because of bodies that add up."""
    budget = make_budget(100_000)
    server = httpapi.Server("127.0.0.1:0", EchoApplication(), budget=budget)
    address = server.start()
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    if framing == b"chunked":
        chunk = b"%x\r\n%s\r\n" % (50_000, b"x" * 50_000)
        request = head + b"Transfer-Encoding: chunked\r\n\r\n" + 3 * chunk
    else:
        request = head + framing + b"\r\n\r\n"
    data, _ = rawservers.exchange_bytes(address, request)
    assert data.startswith(b"HTTP/1.1 503") and b"memory-full" in data
    small = head + b"Content-Length: 2\r\nConnection: close\r\n\r\nab"
    assert rawservers.exchange_bytes(address, small)[0].endswith(b"2")
    server.stop(0.1)
    assert budget.held_bytes == 0


def test_answer_of_a_sheet_service_without_end_is_given_up():
    """Guards against collecting a body until its end, which never comes."""
    body = [b"HTTP/1.1 200 OK\r\n\r\n", *[b"x" * 65536] * 100, 5.0]
    server = rawservers.RawServer([body])
    budget = make_budget(1_000_000)
    pool = exchanges.ConnectionPool(serverpauses.ServerPauses(None), budget)
    timeout = exchanges.ExtendableTimeout(2.0)
    started_at = clock.now()
    with exchanges.Exchange(pool, server.address, timeout) as exchange:
        exchange.send_request("GET", "/", [], b"", timeout)
        with pytest.raises(exchanges.CallFailedError, match="memory") as caught:
            exchange.read_body(timeout)
        assert budget.held_bytes <= budget.capacity_bytes
    assert caught.value.failure is retries.Failure.LOST
    assert budget.held_bytes == 0 and clock.now() - started_at < 1.5
    server.close()


def test_refusal_for_lack_of_memory_is_a_promise():
    """Guards against a refusal that callers read as an unknown outcome."""
    answer = errors.ANSWERS[errors.ErrorKind.MEMORY_FULL]
    assert (answer.status, answer.executed, answer.retry_after_s) == (503, "no", 1)
