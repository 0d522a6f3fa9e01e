"""What a process of a host needs before it does anything else.

This module imports little, so that it takes effect early.
"""

import errno
import gc
import os
import signal
import socket
import sys
import time

HOST_COMMANDS = ("fleet", "serve")
# An address may be held by a process that is ending, or for a time by the kernel, for a
# connection that has ended.
ADDRESS_WAIT_S = 60.0
ADDRESS_RETRY_S = 0.2


def prepare(arguments: list[str]) -> None:
    """Prepare the process if its arguments run a host."""
    if arguments[:1] and arguments[0] in HOST_COMMANDS:
        # The default action ends the process. A host that reads its settings again on
        # this signal sets its handler later, and then reads them once.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        open_standard_streams()
        # Imports create many objects that stay, and collections would visit them all.
        gc.disable()


def resume_collection() -> None:
    """Collect garbage from now on, without a visit to the objects that exist."""
    gc.freeze()
    gc.enable()


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


def await_addresses(addresses: list[str], log_waiting) -> None:
    """Wait until each ``IP:port`` can be bound, for at most ADDRESS_WAIT_S.

    ``log_waiting(address)`` is called before the first wait for an address. The process
    does nothing else meanwhile. Raise
    OSError if an address stays in use, or cannot be bound for another reason.
    """
    deadline = time.monotonic() + ADDRESS_WAIT_S
    for address in addresses:
        is_logged = False
        while not _is_free(address, time.monotonic() >= deadline):
            if not is_logged:
                log_waiting(address)
                is_logged = True
            time.sleep(ADDRESS_RETRY_S)


def _is_free(address, is_last_attempt):
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host.strip("[]"), int(port)))
            sock.listen(1)
        except OSError as error:
            if is_last_attempt or error.errno != errno.EADDRINUSE:
                raise
            return False
    return True
