"""Entry point of the `briarfork` program."""

from __future__ import annotations

import argparse
import json
import sys

from briarfork import __version__
from briarfork.commands import approve as _approve
from briarfork.commands import diff as _diff
from briarfork.commands import explain as _explain
from briarfork.commands import history as _history
from briarfork.commands import render as _render
from briarfork.commands import status as _status
from briarfork.commands import submit as _submit
from briarfork.commands import validate as _validate
from briarfork.commands import withdraw as _withdraw
from briarfork.commands.command import COMMANDS
from briarfork.errors import BadSettings
from briarfork.errors import BriarforkError
from briarfork.errors import InvalidConfiguration

EXIT_STATUSES = """exit statuses:
  0  success
  1  the command failed
  2  bad arguments
  3  conflict with another change
  4  the administration API or the store does not respond"""

# Importing a command module registers its command; the tuple keeps the imports in use.
_MODULES = (
    _approve,
    _diff,
    _explain,
    _history,
    _render,
    _status,
    _submit,
    _validate,
    _withdraw,
)


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser with a subcommand for each registered command."""
    parser = argparse.ArgumentParser(
        prog="briarfork",
        description="Submits and schedules changes to the traffic configuration.",
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, command in COMMANDS:
        subparser = commands.add_parser(name, help=command.summary, description=command.summary)
        subparser.add_argument("--json", action="store_true", help="print the result as JSON")
        command.add_arguments(subparser)
    return parser


def main() -> None:
    """Runs the command given on the command line."""
    arguments = build_parser().parse_args()
    try:
        COMMANDS.get(arguments.command)(arguments).run()
    except BriarforkError as error:
        _print_error(error, arguments.json)
        sys.exit(error.response.exit_status)


def _print_error(error: BriarforkError, as_json: bool) -> None:
    faults = error.faults if isinstance(error, InvalidConfiguration | BadSettings) else []
    if as_json:
        body = {"error": error.kind.value, "detail": error.detail, "faults": faults}
        print(json.dumps(body, indent=2, sort_keys=True))
        return
    for line in faults or [error.detail]:
        print(f"briarfork: {error.kind.value}: {line}", file=sys.stderr)


if __name__ == "__main__":
    main()
