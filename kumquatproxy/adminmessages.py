"""Messages from the administration API to the control task."""

from kumquatproxy import records


class GetStatus(records.Record):
    """Request an overview of hosts, backend servers and missing replicas."""

    __slots__ = ()


class GetSheet(records.Record):
    """Request the sheet in force."""

    __slots__ = ()


class GetHistory(records.Record):
    """Request the list of versions of the sheet."""

    __slots__ = ()


class SubmitSheet(records.Record):
    """Submit a sheet as the successor of version ``follows``."""

    __slots__ = ("follows", "text")

    def __init__(self, follows, text):
        self.follows: int = follows
        self.text: str = text


class CheckSheet(records.Record):
    """Check that a sheet is valid and fits into the memory of the backend servers."""

    __slots__ = ("text",)

    def __init__(self, text):
        self.text: str = text


class ExplainModel(records.Record):
    """Request the replicas of a model and the latest decisions about it."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name: str = name


class ExplainTeam(records.Record):
    """Request the usage, the cap and the refusals of a team at a host of a fleet."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name: str = name


class ExplainRequest(records.Record):
    """Request why a host of a fleet refused a request."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id: str = request_id


class Drain(records.Record):
    """Drain a backend server."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name: str = name
