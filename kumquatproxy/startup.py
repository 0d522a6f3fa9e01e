"""What a process of a host needs before it does anything else.

This module imports little, so that it takes effect early.
"""

import signal

HOST_COMMANDS = ("fleet", "serve")


def prepare(arguments: list[str]) -> None:
    """Prepare the process if its arguments run a host."""
    if arguments[:1] and arguments[0] in HOST_COMMANDS:
        # The default action ends the process. A host that reads its settings again on
        # this signal sets its handler later, and then reads them once.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
