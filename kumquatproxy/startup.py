"""What a process of a host needs before it does anything else.

This module imports little, so that it takes effect early.
"""

import os
import signal
import sys

HOST_COMMANDS = ("fleet", "serve")


def prepare(arguments: list[str]) -> None:
    """Prepare the process if its arguments run a host."""
    if arguments[:1] and arguments[0] in HOST_COMMANDS:
        # The default action ends the process. A host that reads its settings again on
        # this signal sets its handler later, and then reads them once.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        open_standard_streams()


def open_standard_streams() -> None:
    """Open the null device in place of standard streams that are closed.

    Otherwise a file or socket would get the descriptor of a stream.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= 2:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)
    if sys.stdout is None:
        sys.stdout = open(1, "w", encoding="utf-8", closefd=False)
    if sys.stderr is None:
        sys.stderr = open(2, "w", encoding="utf-8", closefd=False)
