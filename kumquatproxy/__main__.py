"""Run the command line with ``python -m kumquatproxy``."""

import sys

from kumquatproxy import startup

if __name__ == "__main__":
    # Before the other imports, which take up to a second.
    startup.prepare(sys.argv[1:])

    from kumquatproxy import cli

    sys.exit(cli.main())
