"""Linearizability checker for histories of concurrent calls.

Uses the search of Wing and Gong with the cache of visited states by Lowe.
"""

from collections.abc import Callable, Hashable

from kumquatproxy import records

NEVER = float("inf")
# Bounds the search, whose worst case is exponential and would take hours.
MAX_STATES = 2_000_000


class Operation(records.Record):
    """One call of a client; ``returned_at`` is NEVER if its outcome is unknown.

    A call with an unknown outcome may take effect at any time after ``called_at``, or
    never.
    """

    __slots__ = ("call", "called_at", "client", "result", "returned_at")

    def __init__(self, client, call, called_at, returned_at=NEVER, result=None):
        self.client: str = client
        self.call: Hashable = call
        self.called_at: float = called_at
        self.returned_at: float = returned_at
        self.result: Hashable = result


class CheckTooLargeError(Exception):
    """Raised when the search reaches its limit of states without a result."""


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


def find_linearization(
    operations: list[Operation], step: Step, initial: Hashable = None
) -> list[Operation] | None:
    """Return a linearization of the operations, or None if there is none."""
    sorted_operations = sorted(operations, key=lambda operation: operation.called_at)
    completed_count = sum(
        operation.returned_at != NEVER for operation in sorted_operations
    )
    return _Search(sorted_operations, step, completed_count).run(initial)


def is_linearizable(operations, step: Step, initial: Hashable = None) -> bool:
    """Return whether the operations have a linearization."""
    return find_linearization(operations, step, initial) is not None


class _Search:
    """Iterative depth-first search for a linearization."""

    def __init__(self, operations, step, completed_count):
        self._operations = operations
        self._step = step
        self._completed_count = completed_count
        self._visited: set[tuple] = set()

    def run(self, initial):
        # State, bit mask of the operations placed so far, number of placed operations
        # with a known outcome, linked list of the placed operations.
        stack = [(initial, 0, 0, None)]
        while stack:
            state, placed_mask, completed, path = stack.pop()
            if completed == self._completed_count:
                return _operations_of_path(path)
            if (state, placed_mask) in self._visited:
                continue
            self._visited.add((state, placed_mask))
            if len(self._visited) > MAX_STATES:
                raise CheckTooLargeError(
                    f"linearizability search exceeded {MAX_STATES} states"
                )
            stack.extend(self._successors(state, placed_mask, completed, path))
        return None

    def _successors(self, state, placed_mask, completed, path):
        successors = []
        for position, operation in self._candidates(placed_mask):
            next_state, result = self._step(state, operation.call)
            is_completed = operation.returned_at != NEVER
            if is_completed and result != operation.result:
                continue
            if not is_completed and next_state == state:
                # Without an effect the operation constrains nothing and is left out.
                continue
            entry = (
                next_state,
                placed_mask | 1 << position,
                completed + is_completed,
                (operation, path),
            )
            successors.append(entry)
        return reversed(successors)

    def _candidates(self, placed_mask):
        """Return the operations that may come next in the real-time order."""
        earliest_return = NEVER
        candidates = []
        for position, operation in enumerate(self._operations):
            if placed_mask >> position & 1:
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


def _operations_of_path(path):
    operations = []
    while path is not None:
        operation, path = path
        operations.append(operation)
    return operations[::-1]
