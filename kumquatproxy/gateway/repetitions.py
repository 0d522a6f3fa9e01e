"""Identity of calls that are repeated, each time under another request id."""

import hashlib

from kumquatproxy.gateway import calls

DIGEST_BYTES = 8


def keys(call: calls.Call) -> list[str]:
    """Return what calls with the same path and body have in common.

    The first key is the same for all callers, the second one for the same caller.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        call.service.encode(),
        call.method,
        call.host.encode(),
        call.target,
        call.body,
    ):
        digest.update(len(field).to_bytes(8, "big") + field)
    any_caller_key = digest.hexdigest()
    digest.update(call.caller.encode())
    return [any_caller_key, digest.hexdigest()]
