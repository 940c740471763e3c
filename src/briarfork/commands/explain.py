"""The `briarfork explain` command."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

# Events about the VM itself that may explain what happened to a request.
CONTEXT_EVENTS = frozenset(
    {
        "started",
        "ready",
        "memory_high",
        "stopping",
        "stopped",
        "store_lost",
        "store_back",
        "history_lost",
        "configuration_in_force",
        "remote_share_moved",
        "owner_unreachable",
        "capacity_shared",
        "quota_owner_changed",
        "lines_left_out",
        "loop_delayed",
    }
)
# Fields that are left out of the key=value part of a formatted line.
COMMON_FIELDS = frozenset({"time", "level", "event", "name", "vm", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line of one VM.

    Attributes:
        time: ISO 8601 time of the event, which sorts as text.
        name: Name of the event.
        vm: Name of the VM.
        fields: All fields of the line.
    """

    time: str
    name: str
    vm: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Returns the line as text for a terminal."""
        fields = (
            f"{key}={value}" for key, value in self.fields.items() if key not in COMMON_FIELDS
        )
        return f"{self.time}  {self.vm}  {self.name}  {' '.join(fields)}"


@COMMANDS.register("explain")
class Explain(Command):
    """Merges the logs of several VMs into the timeline of one request."""

    summary = "Show what happened to a request, from the logs of the gateways."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("request", help="ID of the request")
        parser.add_argument(
            "logs", nargs="*", type=Path, help="log files of any VMs; default: standard input"
        )
        parser.add_argument(
            "--context",
            type=int,
            default=3,
            metavar="LINES",
            help="number of earlier events to show for each VM (default: 3)",
        )

    def run(self) -> None:
        """Prints the timeline of the request.

        Raises:
            BriarforkError: With kind `unknown_path` if no log line names the request.
        """
        lines = sorted(_parse_lines(self._read_texts()), key=lambda line: line.time)
        request_id = self.arguments.request
        request_lines = [line for line in lines if line.fields.get("request") == request_id]
        if not request_lines:
            raise BriarforkError(
                ErrorKind.UNKNOWN_PATH,
                f"no line names request {request_id!r}; served requests and frequent failures are "
                "sampled (see lines_left_out)",
            )
        shown = sorted(
            [*self._select_context(lines, request_lines), *request_lines],
            key=lambda line: line.time,
        )
        self.print_result(
            {"lines": [line.fields for line in shown]}, [line.format() for line in shown]
        )

    def _read_texts(self) -> Iterator[str]:
        if not self.arguments.logs:
            yield from sys.stdin
        for path in self.arguments.logs:
            yield from path.read_text(errors="replace").splitlines()

    def _select_context(
        self, lines: list[LogLine], request_lines: list[LogLine]
    ) -> Iterator[LogLine]:
        """Yields the latest events of each VM up to the last event of the request there."""
        for vm in {line.vm for line in request_lines}:
            until = max(line.time for line in request_lines if line.vm == vm)
            earlier = [
                line
                for line in lines
                if line.vm == vm and line.name in CONTEXT_EVENTS and line.time <= until
            ]
            yield from earlier[-self.arguments.context :] if self.arguments.context > 0 else ()


def _parse_lines(text_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events, ignoring any prefix before the JSON object of a line."""
    for text in text_lines:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            # The last line of a killed process may be truncated.
            continue
        yield LogLine(
            str(fields["time"]), str(fields.get("name", "")), str(fields.get("vm", "")), fields
        )
