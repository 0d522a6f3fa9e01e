"""The ``kumquatproxy`` command."""

import argparse
import difflib
import json
import os
import re
import sys
import urllib.parse

from kumquatproxy import adminclient, errors, settings, startup, teamreport
from kumquatproxy.configuration import sheet

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_FAILED = 5

ADDRESS = re.compile(r"[^/\s]+:[0-9]{1,5}")

EPILOG = """exit codes:
  0  done
  1  refused: the input is not valid, or the system refused the call
  2  the command line is wrong, or a file or an address cannot be opened
  3  another sheet already has the submitted version number
  4  the administration API cannot be reached
  5  a check of the demo or a measurement failed

environment:
  KUMQUATPROXY_ADMIN   address IP:PORT of the administration API
  KUMQUATPROXY_TOKEN   token of the operator
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="kumquatproxy",
        description="Serve many models on fewer accelerators.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_process_commands(commands)
    _add_sheet_commands(commands)
    _add_configuration_commands(commands)
    _add_operator_commands(commands)
    return parser


def _add_process_commands(commands):
    serve = commands.add_parser(
        "serve", help="run one host that serves the models of a sheet"
    )
    serve.add_argument("--config", required=True, help="settings file of the host")
    serve.set_defaults(run=run_serve)
    fleet = commands.add_parser(
        "fleet",
        help="run an entry or control host that forwards calls by configured routes",
    )
    fleet.add_argument("role", choices=("entry", "control"))
    fleet.add_argument(
        "--config", default="", help="settings file; KUMQUATPROXY_SETTINGS by default"
    )
    fleet.set_defaults(run=run_fleet)
    trace = commands.add_parser(
        "trace", help="show the timeline of a request from the logs of hosts"
    )
    trace.add_argument("request_id", nargs="?", default="")
    trace.add_argument("files", nargs="+", help="log files, each of one or more hosts")
    trace.add_argument(
        "--problems",
        action="store_true",
        help="list the most frequent failures instead",
    )
    trace.add_argument("--json", action="store_true")
    trace.set_defaults(run=run_trace)
    initialise = commands.add_parser(
        "init-voter",
        help="format the data folder of a voter of a new deployment, once",
    )
    initialise.add_argument("--config", required=True)
    initialise.set_defaults(run=run_init_voter)
    check = commands.add_parser("check-config", help="check a host's settings file")
    check.add_argument("file")
    check.set_defaults(run=run_check_config)
    demo = commands.add_parser(
        "demo", help="run the whole system with fake backend servers in one process"
    )
    demo.add_argument("--serve", action="store_true", help="run until SIGTERM")
    demo.add_argument("--port", type=int, default=0, help="port for callers")
    demo.add_argument("--admin-port", type=int, default=0, help="port for operators")
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument(
        "--sample", choices=("port-louis", "cordillera"), default="port-louis"
    )
    demo.set_defaults(run=run_demo)
    bench = commands.add_parser("bench", help="run one measurement, or all")
    bench.add_argument("name", help="name of a measurement, or 'all' or 'list'")
    bench.add_argument("--seed", type=int, default=1)
    bench.set_defaults(run=run_bench)


def _add_sheet_commands(commands):
    parser = commands.add_parser("sheet", help="check, submit and show sheets")
    sheet_commands = parser.add_subparsers(
        dest="sheet_command", required=True, metavar="COMMAND"
    )
    check = sheet_commands.add_parser(
        "check",
        help="check a file; with --admin also against the backend servers' memory",
    )
    check.add_argument("file")
    _add_admin_options(check)
    check.set_defaults(run=run_sheet_check)
    submit = sheet_commands.add_parser("submit", help="put a sheet in force")
    submit.add_argument("file")
    submit.add_argument(
        "--follows",
        type=int,
        help="version that the sheet replaces; by default the version in force",
    )
    _add_admin_options(submit)
    submit.set_defaults(run=run_sheet_submit)
    show = sheet_commands.add_parser("show", help="print the sheet in force")
    _add_admin_options(show)
    show.set_defaults(run=run_sheet_show)
    diff = sheet_commands.add_parser(
        "diff", help="compare a file with the sheet in force"
    )
    diff.add_argument("file")
    _add_admin_options(diff)
    diff.set_defaults(run=run_sheet_diff)
    history = sheet_commands.add_parser(
        "history", help="list the versions of the sheet"
    )
    _add_admin_options(history)
    history.set_defaults(run=run_sheet_history)


def _add_configuration_commands(commands):
    parser = commands.add_parser(
        "configuration", help="check the operator's configuration of a fleet"
    )
    configuration_commands = parser.add_subparsers(
        dest="configuration_command", required=True, metavar="COMMAND"
    )
    check = configuration_commands.add_parser(
        "check",
        help="check a file before it is sent, and compare it with another version",
        epilog="Exit codes: 0 without errors and warnings, 1 with some, 2 if the file "
        "or the version to compare it with cannot be read.",
    )
    check.add_argument("file")
    check.add_argument(
        "--against",
        default="",
        metavar="ADDRESS|FILE",
        help="version to compare with: a file, or IP:PORT of a control host's API for "
        "the version in force",
    )
    check.add_argument("--dialect", default="platform", help="alias of the format")
    check.add_argument(
        "--dialect-module",
        default="kumquatproxy.platform.adapter",
        metavar="MODULE",
        help="Python module that registers it",
    )
    check.add_argument("--json", action="store_true", help="print the answer as JSON")
    check.set_defaults(run=run_configuration_check)


def _add_operator_commands(commands):
    status = commands.add_parser(
        "status", help="show hosts, backend servers and models without a replica"
    )
    _add_admin_options(status)
    status.set_defaults(run=run_status)
    drain = commands.add_parser("drain", help="drain a backend server")
    drain.add_argument("name")
    _add_admin_options(drain)
    drain.set_defaults(run=run_drain)
    explain = commands.add_parser(
        "explain",
        help="show where a model is loaded, a team of a fleet, or a refused request",
        description="Show where a model is loaded and why, or ask the hosts of a fleet "
        "about a team or a refused request. --admin then takes several addresses, "
        "separated by commas.",
        epilog="With --request the exit code is 0 if a host that was asked refused the "
        "request; else, and with --team if any host has no answer, 4 if one was not "
        "reached and 1 otherwise.",
    )
    subject = explain.add_mutually_exclusive_group(required=True)
    subject.add_argument("model", nargs="?", default="")
    subject.add_argument(
        "--team", default="", help="usage, cap and refusals of a team at each host"
    )
    subject.add_argument(
        "--request", default="", metavar="ID", help="why a request was refused"
    )
    _add_admin_options(explain)
    explain.set_defaults(run=run_explain)


def _add_admin_options(parser):
    parser.add_argument("--admin", default=os.environ.get("KUMQUATPROXY_ADMIN", ""))
    parser.add_argument("--token", default=os.environ.get("KUMQUATPROXY_TOKEN", ""))
    parser.add_argument("--json", action="store_true", help="print the answer as JSON")


def _admin_client(arguments, address=None):
    address = arguments.admin if address is None else address
    if not address:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_REQUEST,
            "set the administration API address with --admin or KUMQUATPROXY_ADMIN",
        )
    return adminclient.AdminClient(address, arguments.token)


def _read_text(path: str) -> str:
    with open(path, "rb") as stream:
        data = stream.read()
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"{path} is not UTF-8 at byte {error.start}",
        ) from None


def _print_answer(arguments, answer, lines) -> None:
    if arguments.json:
        print(json.dumps(answer, indent=2, sort_keys=True))
        return
    for line in lines:
        print(line)


def run_serve(arguments) -> int:
    """Run one host that serves the models of a sheet, until SIGTERM."""
    from kumquatproxy import host

    return host.serve(arguments.config)


def run_fleet(arguments) -> int:
    """Run an entry or control host that forwards calls by configured routes."""
    from kumquatproxy.fleet import running

    return running.run(arguments.role, arguments.config)


def run_trace(arguments) -> int:
    """Print the timeline of a request, or the most frequent failures."""
    import pathlib

    from kumquatproxy import tracing

    files = list(arguments.files)
    if arguments.problems and arguments.request_id:
        # With --problems there is no request id: argparse put the first file there.
        files.insert(0, arguments.request_id)
    lines = []
    for name in files:
        path = pathlib.Path(name)
        text = path.read_text(encoding="utf-8", errors="replace")
        lines.extend(tracing.read(text, path.stem))
    if arguments.problems:
        rows = tracing.problems(lines)
        texts = [f"{row['count']} {row['problem']}; {row['example']}" for row in rows]
    else:
        rows = tracing.request_events(lines, arguments.request_id)
        texts = [f"{row['at']:.3f} {row['host']} {row['text']}" for row in rows]
    print(json.dumps(rows) if arguments.json else "\n".join(texts))
    return EXIT_OK if rows else EXIT_REFUSED


def run_init_voter(arguments) -> int:
    """Format the data folder of a voter of a new deployment."""
    from kumquatproxy import host

    host.initialise_voter(host.read_settings(arguments.config))
    print("ok: the data folder is initialised")
    return EXIT_OK


def run_check_config(arguments) -> int:
    """Check a settings file and print the host that it describes."""
    parsed = settings.parse(_read_text(arguments.file), arguments.file)
    print(f"ok: host {parsed.host.id} in {parsed.host.data_centre}")
    return EXIT_OK


def run_demo(arguments) -> int:
    """Run the demo in one process, or serve until SIGTERM."""
    from kumquatproxy.laboratory import demo

    if arguments.serve:
        return demo.serve(
            arguments.port, arguments.admin_port, arguments.sample, arguments.seed
        )
    return EXIT_OK if demo.run(seed=arguments.seed) else EXIT_FAILED


def run_bench(arguments) -> int:
    """Run measurements and print their results."""
    from kumquatproxy.laboratory import measurements

    if arguments.name == "list":
        print("\n".join(measurements.measurement_names()))
        return EXIT_OK
    missed = measurements.run(arguments.name, arguments.seed)
    return EXIT_FAILED if missed else EXIT_OK


def run_sheet_check(arguments) -> int:
    """Check a sheet file; with --admin also against the backend servers' memory."""
    text = _read_text(arguments.file)
    parsed = sheet.parse(text)
    answer: dict = {
        "models": len(parsed.models_by_name),
        "adapters": len(parsed.adapters_by_name),
        "digest": parsed.digest,
        "misfits": [],
    }
    if arguments.admin:
        body = {"follows": 0, "sheet": text}
        answer |= _admin_client(arguments).call("POST", "check", body)
    lines = [
        f"{answer['models']} models, {answer['adapters']} adapters, "
        f"digest {answer['digest']}",
        *(f"does not fit: {misfit}" for misfit in answer["misfits"]),
    ]
    _print_answer(arguments, answer, lines)
    return EXIT_REFUSED if answer["misfits"] else EXIT_OK


def run_sheet_submit(arguments) -> int:
    """Submit a sheet as the successor of the version that it follows."""
    client = _admin_client(arguments)
    text = _read_text(arguments.file)
    sheet.parse(text)
    follows = arguments.follows
    if follows is None:
        follows = client.call("GET", "sheet")["version"]
    answer = client.call("POST", "sheet", {"follows": follows, "sheet": text})
    line = f"version {answer['version']} is accepted, digest {answer['digest']}"
    _print_answer(arguments, answer, [line])
    return EXIT_OK


def run_sheet_show(arguments) -> int:
    """Print the sheet in force."""
    answer = _admin_client(arguments).call("GET", "sheet")
    _print_answer(arguments, answer, [answer["sheet"].rstrip("\n")])
    return EXIT_OK


def run_sheet_diff(arguments) -> int:
    """Print the difference between the sheet in force and a file."""
    answer = _admin_client(arguments).call("GET", "sheet")
    new_lines = sheet.canonical_text(_read_text(arguments.file)).splitlines()
    lines = list(
        difflib.unified_diff(
            answer["sheet"].splitlines(),
            new_lines,
            f"version {answer['version']}",
            arguments.file,
            lineterm="",
        )
    )
    _print_answer(arguments, {"version": answer["version"], "diff": lines}, lines)
    return EXIT_OK


def run_sheet_history(arguments) -> int:
    """List the versions of the sheet."""
    answer = _admin_client(arguments).call("GET", "history")
    lines = [f"{row['version']}  {row['digest']}" for row in answer["versions"]]
    _print_answer(arguments, answer, lines)
    return EXIT_OK


def run_configuration_check(arguments) -> int:
    """Check an operator's configuration, and compare it with another version."""
    # Imported on first use: processes of hosts start through the same command line.
    from kumquatproxy import configreport
    from kumquatproxy.fleet import configcheck, configdiff
    from kumquatproxy.gateway import dialects

    try:
        dialect = dialects.load(arguments.dialect, arguments.dialect_module)
        data = _read_configuration(arguments.file, dialect)
        inspection = configcheck.inspect(data, dialect)
        found = configcheck.find(data, inspection)
        difference = None
        if arguments.against:
            earlier = _inspect_earlier(arguments.against, dialect)
            if not inspection.read_faults:
                difference = configdiff.compare(earlier, inspection)
                found = configcheck.sort(
                    found + configcheck.version_findings(difference)
                )
    except (errors.ProxyError, adminclient.UnreachableError) as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_USAGE
    _print_answer(
        arguments,
        configreport.answer(found, difference),
        configreport.lines(found, difference),
    )
    return EXIT_REFUSED if configcheck.has_problems(found) else EXIT_OK


def _read_configuration(path, dialect):
    """Return the text in a file, of which no more than one byte is beyond the limit."""
    with open(path, "rb") as stream:
        return stream.read(dialect.max_configuration_bytes + 1)


def _inspect_earlier(source, dialect):
    """Return the inspection of a version in a file or at a control host."""
    from kumquatproxy import configclient
    from kumquatproxy.fleet import configcheck

    if not os.path.exists(source) and ADDRESS.fullmatch(source):
        data = configclient.read_in_force(source, dialect)
    else:
        data = _read_configuration(source, dialect)
    inspection = configcheck.inspect(data, dialect)
    if inspection.read_faults:
        raise errors.ProxyError(
            errors.ErrorKind.INVALID_CONFIGURATION,
            f"{source} has no configuration to compare with: "
            f"{inspection.read_faults[0].text}",
        )
    return inspection


def run_status(arguments) -> int:
    """Print an overview of hosts, backend servers and missing replicas."""
    answer = _admin_client(arguments).call("GET", "status")
    if "teams" in answer:
        _print_answer(arguments, answer, teamreport.status_lines(answer))
        return EXIT_OK
    lines = [
        f"host {answer['host']} in {answer['data_centre']}, "
        f"configuration version {answer['version']}",
        f"configuration leader: {answer['configuration_leader'] or 'none'}",
        f"placement owner: {answer['placement_owner'] or 'none'}, "
        f"fence {answer['fence']}",
    ]
    for row in answer["hosts"]:
        lines.append(f"host {row['host']}  {row['data_centre']}  {row['state']}")
    for row in answer["backend_servers"]:
        lines.append(
            f"backend server {row['backend_id']}  {row['service']}  {row['state']}  "
            f"{row['reserved_mb']}/{row['memory_mb']} MB  {row['items']} items"
        )
    missing = answer["without_replica"]
    lines.append(f"without a replica: {', '.join(missing) if missing else 'none'}")
    _print_answer(arguments, answer, lines)
    return EXIT_OK


def run_drain(arguments) -> int:
    """Drain a backend server and print its state."""
    answer = _admin_client(arguments).call("POST", f"drain/{arguments.name}")
    _print_answer(arguments, answer, [f"{answer['name']}: {answer['state']}"])
    return EXIT_OK


def run_explain(arguments) -> int:
    """Print the replicas of a model, a team at some hosts, or a refused request."""
    if arguments.team:
        path = f"team/{urllib.parse.quote(arguments.team, safe='')}"
        return _explain_at_hosts(arguments, path, teamreport.team_lines)
    if arguments.request:
        path = f"refusal/{urllib.parse.quote(arguments.request, safe='')}"
        return _explain_at_hosts(arguments, path, teamreport.refusal_lines)
    answer = _admin_client(arguments).call("GET", f"explain/{arguments.model}")
    lines = [f"{answer['model']}: service {answer['service']}"]
    for row in answer["replicas"]:
        lines.append(f"replica on {row['backend_id']}: {row['state']}")
    lines.extend(f"decision: {line}" for line in answer["decisions"])
    _print_answer(arguments, answer, lines)
    return EXIT_OK


def _explain_at_hosts(arguments, path, lines_of):
    """Print the answers of several hosts; return the exit code for all of them."""
    answers, lines = [], []
    exit_code = EXIT_OK
    for address in arguments.admin.split(","):
        client = _admin_client(arguments, address.strip())
        try:
            answers.append(client.call("GET", path))
        except adminclient.UnreachableError as error:
            print(f"kumquatproxy: {error}", file=sys.stderr)
            exit_code = EXIT_UNREACHABLE
        except adminclient.AdminError as error:
            print(f"kumquatproxy: {address}: {error.code}: {error}", file=sys.stderr)
            exit_code = max(exit_code, EXIT_REFUSED)
        else:
            lines.extend(lines_of(answers[-1]))
    _print_answer(arguments, {"hosts": answers}, lines)
    # The hosts that did not refuse a request know nothing of it.
    return EXIT_OK if arguments.request and answers else exit_code


def main(argv=None) -> int:
    """Run one command and return its exit code."""
    startup.prepare(sys.argv[1:] if argv is None else argv)
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except errors.ProxyError as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_REFUSED
    except adminclient.AdminError as error:
        print(f"kumquatproxy: {error.code}: {error}", file=sys.stderr)
        conflict = error.code == errors.ErrorKind.VERSION_CONFLICT.value
        return EXIT_CONFLICT if conflict else EXIT_REFUSED
    except adminclient.UnreachableError as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except OSError as error:
        print(f"kumquatproxy: {error}", file=sys.stderr)
        return EXIT_USAGE
