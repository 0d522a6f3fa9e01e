"""Tables of loads, sent as the entries that changed."""

# Interval at which all entries are sent, in messages.
WHOLE_EVERY = 4
ABSENT = (0, 0)


class ChangeSender:
    """Keep the entries that were sent last."""

    __slots__ = ("_sent_by_id", "number")

    def __init__(self):
        self.number = 0
        self._sent_by_id: dict[str, list[int]] = {}

    def next_changes(self, loads_by_id: dict, needs_whole=False) -> tuple[dict, bool]:
        """Return the changed entries, and whether they are all entries."""
        self.number += 1
        is_whole = needs_whole or self.number % WHOLE_EVERY == 1
        sent_by_id, self._sent_by_id = self._sent_by_id, loads_by_id
        if is_whole:
            return loads_by_id, True
        changes = {
            instance_id: load
            for instance_id, load in loads_by_id.items()
            if sent_by_id.get(instance_id) != load
        }
        changes.update(
            (instance_id, list(ABSENT))
            for instance_id in sent_by_id.keys() - loads_by_id.keys()
        )
        return changes, False


class ChangeReceiver:
    """Restore a table from the messages of one sender."""

    __slots__ = ("_run", "loads_by_id", "number")

    def __init__(self):
        self.number = 0
        self.loads_by_id: dict[str, list[int]] = {}
        self._run: object = None

    def is_repeated(self, message) -> bool:
        """Return whether a message is not newer than the last one of its run."""
        return message.run == self._run and message.number <= self.number

    def apply(self, message) -> bool:
        """Apply a message; return False if it is repeated or an earlier one is missing.

        Its ``run`` differs by start of the sender, whose numbers then begin anew.
        """
        number, run, is_whole = message.number, message.run, message.whole
        if self.is_repeated(message):
            return False
        if not is_whole and (run, number) != (self._run, self.number + 1):
            return False
        loads_by_id = {} if is_whole else dict(self.loads_by_id)
        for instance_id, load in message.changes.items():
            count, tokens = load
            if count or tokens:
                loads_by_id[instance_id] = [count, tokens]
            else:
                loads_by_id.pop(instance_id, None)
        self.number, self._run, self.loads_by_id = number, run, loads_by_id
        return True


class Placement:
    """Hold the last placement, and make and apply changes of it."""

    __slots__ = ("adapters_by_id", "fence", "number")

    def __init__(self):
        self.fence = self.number = 0
        self.adapters_by_id: dict[str, list[str]] = {}

    def changes_to(self, adapters_by_id: dict) -> dict:
        """Return the entries that differ; an empty list stands for no entry."""
        known = self.adapters_by_id
        changes = {
            instance_id: keys
            for instance_id, keys in adapters_by_id.items()
            if known.get(instance_id) != keys
        }
        for instance_id in known.keys() - adapters_by_id.keys():
            changes[instance_id] = []
        return changes

    def is_older(self, change) -> bool:
        """Return whether a change does not lead beyond this placement."""
        return (change.fence, change.number) <= (self.fence, self.number)

    def apply(self, change) -> bool:
        """Apply a change that is newer; return False if it has another base."""
        if not change.base:
            adapters_by_id = {}
        elif (change.fence, change.base) == (self.fence, self.number):
            adapters_by_id = dict(self.adapters_by_id)
        else:
            return False
        adapters_by_id.update(change.adapters)
        self.adapters_by_id = {
            instance_id: keys for instance_id, keys in adapters_by_id.items() if keys
        }
        self.fence, self.number = change.fence, change.number
        return True
