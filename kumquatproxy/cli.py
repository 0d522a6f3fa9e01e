"""The ``kumquatproxy`` command."""

import argparse
import sys

from kumquatproxy import errors, sheet

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="kumquatproxy", description="Serve many models on fewer accelerators."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    sheet_parser = commands.add_parser("sheet", help="work with sheets")
    sheet_commands = sheet_parser.add_subparsers(dest="sheet_command", required=True)
    check = sheet_commands.add_parser("check", help="check a sheet file")
    check.add_argument("file")
    check.set_defaults(run=run_sheet_check)
    demo_parser = commands.add_parser("demo", help="run the system with fakes")
    demo_parser.set_defaults(run=run_demo)
    return parser


def run_demo(arguments) -> int:
    """Run the main job in one process."""
    from kumquatproxy import demo

    return demo.run()


def run_sheet_check(arguments) -> int:
    """Parse a sheet file and print its size."""
    with open(arguments.file, encoding="utf-8") as stream:
        parsed = sheet.parse(stream.read())
    print(
        f"ok: {len(parsed.models_by_name)} models, "
        f"{len(parsed.adapters_by_name)} adapters, digest {parsed.digest}"
    )
    return EXIT_OK


def main(argv=None) -> int:
    """Run one command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except errors.ProxyError as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_REFUSED
    except OSError as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_USAGE
