"""Messages from the administration API to the control task."""

from kumquatproxy import records


class GetStatus(records.Record):
    """Ask for an overview."""

    __slots__ = ()


class GetSheet(records.Record):
    """Ask for the sheet in force."""

    __slots__ = ()


class GetHistory(records.Record):
    """Ask for the versions of the configuration."""

    __slots__ = ()


class SubmitSheet(records.Record):
    """Ask for a sheet to be put in force behind the version it follows."""

    __slots__ = ("follows", "text")

    def __init__(self, follows, text):
        self.follows: int = follows
        self.text: str = text


class CheckSheet(records.Record):
    """Ask whether a sheet is valid and fits the announced memory."""

    __slots__ = ("text",)

    def __init__(self, text):
        self.text: str = text


class ExplainModel(records.Record):
    """Ask where a model is and why."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name: str = name


class Drain(records.Record):
    """Ask for a host or a backend server to be drained."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name: str = name
