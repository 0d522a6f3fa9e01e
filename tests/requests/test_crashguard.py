"""A repeated call that crashes the servers of the host that it is sent to."""

import functools

import pytest
import rawservers
import test_stalls

from kumquatproxy import errors


def close_listener(engine, head):
    engine.close()
    return b""


def create_crashing_engines(count):
    engines = [rawservers.RawServer([], closes=True) for _ in range(count)]
    for engine in engines:
        engine.answers.append(functools.partial(close_listener, engine))
    return engines


def send(dispatcher, target, idempotent, body):
    """Send a call and return its error."""
    call = test_stalls.call(idempotent)
    with pytest.raises(errors.ProxyError) as caught:
        if body is None:
            test_stalls.read_stream(dispatcher, target, call)
        else:
            dispatcher.complete(call, target, "/v1/completions", body)
    return caught.value


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("body", [b'{"model": "g"}', None])
def test_repeated_call_is_not_sent_on_after_three_servers_have_crashed(
    idempotent, body
):
    """Guards against a request that its caller repeats until all servers are down."""
    engines = create_crashing_engines(6)
    dispatcher, target = test_stalls.create_dispatcher(*engines)
    found = [send(dispatcher, target, idempotent, body) for _ in range(6)]
    assert sum(len(engine.heads) for engine in engines) == 3
    assert found[-1].kind is errors.ErrorKind.REQUEST_CRASHES_SERVERS
    assert found[-1].executed == "no" and found[-1].retry_after_s > 1.0
    send(dispatcher, target, idempotent, b'{"model": "g", "prompt": "other"}')
    assert sum(len(engine.heads) for engine in engines) > 3


def test_call_that_was_beside_crashes_is_served_after_an_answer():
    """Guards against rejection of a sound call that its caller repeats."""
    engines = create_crashing_engines(2)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    sound = rawservers.RawServer([answer] * 9)
    dispatcher, target = test_stalls.create_dispatcher(*engines, sound)
    for _ in range(6):
        call = test_stalls.call()
        reply = dispatcher.complete(call, target, "/v1/completions", b'{"model":"g"}')
        assert reply.body == b"ok"
