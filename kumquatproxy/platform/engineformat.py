"""Orders to engines and their reports in the platform's JSON."""

import orjson

from kumquatproxy import errors
from kumquatproxy.fleet import engineorders
from kumquatproxy.platform import beatformat, configformat

REPORT = b"/-/report"
ORDER = b"/-/order"
_Outcome = engineorders.OrderOutcome
OUTCOMES = {
    202: _Outcome.ACCEPTED,
    200: _Outcome.HOLDS,
    409: _Outcome.CONFLICT,
    412: _Outcome.STALE_FENCE,
    400: _Outcome.REFUSED,
    421: _Outcome.OTHER_SERVER,
}
OTHER_OUTCOME = _Outcome.UNKNOWN


def write_order(order: engineorders.Order, holder: str, fence: int) -> bytes:
    """Return the body of an order."""
    fields = {
        "operation": order.action.value,
        "model": order.model,
        "holder": holder,
        "fence": fence,
    }
    if order.adapter:
        fields["adapter"] = order.adapter
    if order.expected_count is not None:
        fields["precondition"] = order.expected_count
    return orjson.dumps(fields)


def read_report(body: bytes) -> engineorders.EngineReport:
    """Return an engine's report; raise ValueError if it cannot be read."""
    try:
        reader = configformat.Reader(orjson.loads(body), "the report")
        models = beatformat.models(reader)
        at_hand = reader.object("at_hand", {})
        adapters = [f"{name}/{one}" for name, _, held in models for one in held]
        # Adapters on their way stand in "coming" as MODEL/NAME@VERSION.
        coming = reader.get("coming", list, [])
        adapters.extend(one.partition("@")[0] for one in coming)
        return engineorders.EngineReport(
            [name for name, _, _ in models],
            adapters,
            reader.whole("sequence"),  # orders accepted, not a number of the report
            reader.flag("busy"),
            at_hand.get("in_memory", list, []),
            at_hand.get("on_disk", list, []),
            reader.whole("running", 0),
            reader.whole("waiting", 0),
            reader.whole("kv_used", 0),
        )
    except errors.ProxyError as error:
        raise ValueError(error.detail) from None
