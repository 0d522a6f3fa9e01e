"""Engines that write an earlier refusal once more on a kept connection.

Guards against telling a caller that its call was not run although an engine runs it,
and against running it at a second engine.
"""

import pytest
import rawservers
import test_stalls

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n"


def send(dispatcher, target, idempotent):
    call = test_stalls.call(idempotent)
    return dispatcher.complete(call, target, "/v1/completions", b'{"model": "g"}').body


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("status", [b"503 Full", b"429 Full", b"404 Unknown"])
def test_call_is_run_once_although_an_earlier_refusal_is_repeated(status, idempotent):
    refusal = REFUSAL % status
    connections = []

    def answer(head):
        """Repeat the refusal if it was sent on this connection."""
        connections.append(engine.connections)
        return refusal + ANSWER if connections.count(engine.connections) > 1 else ANSWER

    def refuse(head):
        connections.append(engine.connections)
        return refusal

    engine = rawservers.RawServer([refuse, answer, answer])
    dispatcher, target = test_stalls.create_dispatcher(engine)
    try:
        assert send(dispatcher, target, idempotent) == b"ok"
    finally:
        engine.close()
    assert len(engine.heads) == 2
