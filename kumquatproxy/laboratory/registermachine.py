"""State machine of a compare-and-set register, for simulations and measurements."""

import cbor2

from kumquatproxy import wire
from kumquatproxy.laboratory import histories


@wire.register("register-call")
class RegisterCall(wire.Message):
    """Command with one call of ``histories.compare_and_set_register``."""

    __slots__ = ("call", "padding")
    call: list
    padding: bytes  # sets the size of the command


@wire.register("register-result")
class RegisterResult(wire.Message):
    """Result of a call."""

    __slots__ = ("value",)


class RegisterMachine:
    """One value and the number of calls applied to it."""

    def __init__(self):
        self.value = None
        self.applied = 0

    def apply(self, command: RegisterCall) -> RegisterResult:
        """Apply one call and return its result."""
        call = tuple(command.call)
        self.value, result = histories.compare_and_set_register(self.value, call)
        self.applied += 1
        return RegisterResult(result)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return cbor2.dumps([self.value, self.applied])

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one."""
        self.value, self.applied = cbor2.loads(data)
