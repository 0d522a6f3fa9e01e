"""Client that reads the configuration in force from a control host."""

import importlib

from kumquatproxy import adminclient, errors

TIMEOUT_S = 15.0
MAX_DETAIL_CHARS = 200


def read_in_force(address: str, dialect) -> bytes:
    """Return the text of the configuration in force; raise UnreachableError.

    ``address`` is ``IP:PORT`` of the API that the control host offers to operators.
    """
    host, _, port = address.rpartition(":")
    # Imported on first use, as in adminclient.
    geventhttpclient = importlib.import_module("geventhttpclient")
    method, target = dialect.configuration_request()
    failures = (
        OSError,
        OverflowError,  # a port above 65535
        ValueError,
        geventhttpclient.response.HTTPParseError,
    )
    try:
        client = geventhttpclient.HTTPClient(
            host.strip("[]"),
            int(port),
            network_timeout=TIMEOUT_S,
            connection_timeout=TIMEOUT_S,
        )
        try:
            response = client.request(method, target)
            # One byte more tells a text that is too large.
            body = bytes(response.read(dialect.max_configuration_bytes + 1))
        finally:
            client.close()
    except failures as error:
        raise adminclient.UnreachableError(f"{address}: {error}") from None
    if response.status_code != 200:
        problem = errors.from_problem(body, errors.ErrorKind.INTERNAL)
        raise adminclient.UnreachableError(
            f"{address} answered with status {response.status_code}: "
            f"{problem.detail[:MAX_DETAIL_CHARS]}"
        )
    return body
