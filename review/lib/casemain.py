"""Run a case and end with the exit code that its result stands for."""

import os
import pathlib
import signal
import sys
import traceback

import fleet

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """Report that the case could not be played."""


def _end(number, frame):
    raise CannotRun("ended by a signal")


def run(play, has_trouble, **options):
    """Play a case in a deployment; ``play`` returns the breaks of the rule as texts."""
    signal.signal(signal.SIGTERM, _end)
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = fleet.Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    deployment = None
    code = NOT_RUN
    try:
        deployment = fleet.Deployment(record, **options)
        breaks = play(deployment, record, has_trouble)
        for text in breaks:
            record.write(f"BROKEN: {text}")
            print(text)
        code = BROKEN if breaks else HELD
    except CannotRun as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        record.write(traceback.format_exc())
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
        record.write(f"exit code {code}")
    sys.stdout.flush()
    os._exit(code)
