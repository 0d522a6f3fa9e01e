"""A compare-and-set register as state machine, for schedules and measurements."""

import cbor2

from kumquatproxy import wire
from kumquatproxy.laboratory import histories


@wire.register("register-call")
class RegisterCall(wire.Message):
    """Carry one call of ``histories.compare_and_set_register``."""

    __slots__ = ("call", "padding")
    call: list
    padding: bytes  # makes commands of a chosen size


@wire.register("register-result")
class RegisterResult(wire.Message):
    """Carry the result of a call."""

    __slots__ = ("value",)


class RegisterMachine:
    """Hold one value and the number of calls applied so far."""

    def __init__(self):
        self.value = None
        self.applied = 0

    def apply(self, command: RegisterCall) -> RegisterResult:
        """Apply one call."""
        call = tuple(command.call)
        self.value, result = histories.compare_and_set_register(self.value, call)
        self.applied += 1
        return RegisterResult(result)

    def snapshot(self) -> bytes:
        """Return the state."""
        return cbor2.dumps([self.value, self.applied])

    def restore(self, data: bytes) -> None:
        """Take over a state."""
        self.value, self.applied = cbor2.loads(data)
