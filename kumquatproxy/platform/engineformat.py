"""Orders to engines and engine reports in the platform's JSON format."""

import orjson

from kumquatproxy import errors
from kumquatproxy.fleet import engineorders
from kumquatproxy.platform import configformat, heartbeatformat

REPORT = b"/-/report"
ORDER = b"/-/order"
_Outcome = engineorders.OrderOutcome
OUTCOMES = {
    202: _Outcome.ACCEPTED,
    200: _Outcome.ALREADY_DONE,  # the engine is already in the wanted state
    409: _Outcome.CONFLICT,
    412: _Outcome.STALE_FENCE,
    400: _Outcome.REFUSED,
    421: _Outcome.OTHER_SERVER,
}
UNKNOWN_OUTCOME = _Outcome.UNKNOWN  # for all other statuses


def write_order(order: engineorders.Order, holder: str, fence: int) -> bytes:
    """Return the request body of an order."""
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
    """Return the report of an engine; raise ValueError if it is malformed."""
    try:
        reader = configformat.Reader(orjson.loads(body), "the report")
        models = heartbeatformat.models(reader)
        at_hand = reader.object("at_hand", {})
        # "coming" lists adapters that are being loaded, as MODEL/NAME@VERSION.
        coming = reader.get("coming", list, [])
        engineorders.check_models(models, coming)
        adapters = [
            f"{name}/{adapter}" for name, _, loaded in models for adapter in loaded
        ]
        adapters.extend(key.partition("@")[0] for key in coming)
        report = engineorders.EngineReport(
            [name for name, _, _ in models],
            adapters,
            reader.integer("sequence"),  # number of accepted orders, not of reports
            reader.boolean("busy"),
            at_hand.get("in_memory", list, []),
            at_hand.get("on_disk", list, []),
            reader.integer("running", 0),
            reader.integer("waiting", 0),
            reader.integer("kv_used", 0),
        )
        report.check()
        return report
    except errors.ProxyError as error:
        raise ValueError(error.detail) from None
