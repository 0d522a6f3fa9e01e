"""Identity of calls that a caller repeats, each time under another request id."""

import hashlib

from kumquatproxy.gateway import calls

DIGEST_BYTES = 16


def key(call: calls.Call) -> str:
    """Return the same text for calls with the same caller, path and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        call.caller.encode(),
        call.method,
        call.host.encode(),
        call.target,
        call.body,
    ):
        digest.update(len(field).to_bytes(8, "big") + field)
    return digest.hexdigest()
