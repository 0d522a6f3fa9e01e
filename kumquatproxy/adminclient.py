"""Client of the administration API, used by the command line."""

import importlib
import json

from kumquatproxy import errors

TIMEOUT_S = 15.0


class UnreachableError(Exception):
    """Report that the administration API could not be reached."""


class AdminError(Exception):
    """Carry a problem document returned by the administration API."""

    def __init__(self, status, problem):
        super().__init__(problem.get("detail") or f"status {status}")
        self.status: int = status
        self.problem: dict = problem

    @property
    def code(self) -> str:
        """Return the code of the error kind."""
        return str(self.problem.get("code", ""))


class AdminClient:
    """Call the administration API of one host."""

    __slots__ = ("_address", "_token")

    def __init__(self, address, token):
        self._address: str = address
        self._token: str = token

    def call(self, method: str, path: str, body: dict | None = None) -> dict:
        """Return the JSON answer; raise AdminError or UnreachableError."""
        host, _, port = self._address.rpartition(":")
        if not port.isdigit():
            raise errors.ProxyError(
                errors.ErrorKind.INVALID_REQUEST,
                f"{self._address!r} is not of the form IP:PORT",
            )
        # Imported on first use: the import takes 0.1 s, and host processes, which start
        # through the same command line, never make a call.
        geventhttpclient = importlib.import_module("geventhttpclient")
        client = geventhttpclient.HTTPClient(
            host, int(port), network_timeout=TIMEOUT_S, connection_timeout=TIMEOUT_S
        )
        headers = {"Authorization": f"Bearer {self._token}"}
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            response = client.request(method, f"/admin/v1/{path}", data, headers)
            answer = json.loads(response.read())
        except (
            OSError,
            ValueError,
            geventhttpclient.response.HTTPParseError,
        ) as error:
            raise UnreachableError(f"{self._address}: {error}") from None
        finally:
            client.close()
        if not 100 <= response.status_code < 600:
            raise UnreachableError(
                f"{self._address} answered with status {response.status_code}"
            )
        if response.status_code >= 400:
            raise AdminError(response.status_code, answer)
        return answer
