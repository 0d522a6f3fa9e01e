"""Identity of calls that are repeated, each time under another request id."""

import hashlib

from kumquatproxy.gateway import calls

DIGEST_BYTES = 8


def keys(call: calls.Call) -> list[str]:
    """Return what calls with the same path and body have in common.

    The keys are the same for all callers, for one caller, and for one caller at one of
    the services of a route.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (call.method, call.host.encode(), call.target, call.body):
        digest.update(len(field).to_bytes(8, "big") + field)
    keys = [digest.hexdigest()]
    for name in (call.caller, call.service):
        digest.update(f"/{name}".encode())
        keys.append(digest.hexdigest())
    return keys
