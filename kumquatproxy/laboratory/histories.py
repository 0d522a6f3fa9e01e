"""Check whether a history of concurrent calls is linearizable.

The search is that of Wing and Gong with the cache of visited states by Lowe.
"""

from collections.abc import Callable, Hashable

from kumquatproxy import records

NEVER = float("inf")
# Beyond this number of states the search gives up instead of running for hours.
MAX_STATES = 2_000_000


class Operation(records.Record):
    """Hold one call; ``returned_at`` is NEVER if its outcome is not known.

    Such a call may have taken effect at any time after the call, or never.
    """

    __slots__ = ("call", "called_at", "client", "result", "returned_at")

    def __init__(self, client, call, called_at, returned_at=NEVER, result=None):
        self.client: str = client
        self.call: Hashable = call
        self.called_at: float = called_at
        self.returned_at: float = returned_at
        self.result: Hashable = result


class CheckTooLargeError(Exception):
    """Tell that the search was given up without a verdict."""


Step = Callable[[Hashable, Hashable], tuple[Hashable, Hashable]]


def compare_and_set_register(state, call) -> tuple:
    """Return the next state and the result of a call on one register.

    Calls are ("read",), ("write", new) and ("cas", old, new).
    """
    name = call[0]
    if name == "read":
        return state, state
    if name == "write":
        return call[1], True
    if state != call[1]:
        return state, False
    return call[2], True


def find_order(
    operations: list[Operation], step: Step, initial: Hashable = None
) -> list[Operation] | None:
    """Return a valid order of the operations, None if there is none."""
    remaining = sorted(operations, key=lambda operation: operation.called_at)
    certain = sum(operation.returned_at != NEVER for operation in remaining)
    return _Search(remaining, step, certain).run(initial)


def is_linearizable(operations, step: Step, initial: Hashable = None) -> bool:
    """Return whether the operations have a valid order."""
    return find_order(operations, step, initial) is not None


class _Search:
    """Search depth first without recursion."""

    def __init__(self, operations, step, certain):
        self._operations = operations
        self._step = step
        self._certain = certain
        self._visited: set[tuple] = set()

    def run(self, initial):
        stack = [(initial, 0, 0, None)]  # state, set of done operations, certain, path
        while stack:
            state, done, count, path = stack.pop()
            if count == self._certain:
                return _unwind(path)
            if (state, done) in self._visited:
                continue
            self._visited.add((state, done))
            if len(self._visited) > MAX_STATES:
                raise CheckTooLargeError(f"more than {MAX_STATES} states")
            stack.extend(self._successors(state, done, count, path))
        return None

    def _successors(self, state, done, count, path):
        found = []
        for position, operation in self._candidates(done):
            following, result = self._step(state, operation.call)
            is_certain = operation.returned_at != NEVER
            if is_certain and result != operation.result:
                continue
            if not is_certain and following == state:
                continue  # without an effect it need not be ordered
            entry = (
                following,
                done | 1 << position,
                count + is_certain,
                (operation, path),
            )
            found.append(entry)
        return reversed(found)

    def _candidates(self, done):
        """Return the operations that no remaining operation precedes."""
        earliest_return = NEVER
        candidates = []
        for position, operation in enumerate(self._operations):
            if done >> position & 1:
                continue
            if operation.called_at > earliest_return:
                break
            candidates.append((position, operation))
            earliest_return = min(earliest_return, operation.returned_at)
        return [
            (position, operation)
            for position, operation in candidates
            if operation.called_at <= earliest_return
        ]


def _unwind(path):
    order = []
    while path is not None:
        operation, path = path
        order.append(operation)
    return order[::-1]
