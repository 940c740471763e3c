"""`briarfork explain`."""

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

# Lines of the VM itself that may explain what happened to a request.
CONTEXT = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "store_lost",
        "store_back",
        "history_lost",
        "configuration_in_force",
        "remote_share_moved",
        "owner_unreachable",
        "lines_left_out",
    }
)
# Shown beside the field names that every line has.
COMMON_FIELDS = frozenset({"time", "level", "event", "name", "vm", "request"})


@dataclass(frozen=True, slots=True)
class Line:
    """A log line of one VM."""

    time: str
    name: str
    vm: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Returns the line for a terminal."""
        fields = (
            f"{key}={value}" for key, value in self.fields.items() if key not in COMMON_FIELDS
        )
        return f"{self.time}  {self.vm}  {self.name}  {' '.join(fields)}"


@COMMANDS.register("explain")
class Explain(Command):
    """Merges the logs of many VMs into the timeline of one request."""

    summary = "Show what happened to a request, from the logs of the gateways."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("request", help="the id of the request")
        parser.add_argument(
            "logs", nargs="*", type=Path, help="log files of any VMs; default: standard input"
        )
        parser.add_argument(
            "--context",
            type=int,
            default=3,
            metavar="LINES",
            help="lines about each VM itself to show before the request (default: 3)",
        )

    def run(self) -> None:
        """Runs the command.

        Raises:
            BriarforkError: If no line names the request.
        """
        lines = sorted(_read_lines(self._list_texts()), key=lambda line: line.time)
        wanted = self.arguments.request
        about = [line for line in lines if line.fields.get("request") == wanted]
        if not about:
            raise BriarforkError(
                ErrorKind.UNKNOWN_PATH,
                f"no line names request {wanted!r}; served requests and failures in great number "
                "are sampled (see lines_left_out)",
            )
        shown = sorted([*self._list_context(lines, about), *about], key=lambda line: line.time)
        self.show({"lines": [line.fields for line in shown]}, [line.describe() for line in shown])

    def _list_texts(self) -> Iterator[str]:
        if not self.arguments.logs:
            yield from sys.stdin
        for path in self.arguments.logs:
            yield from path.read_text(errors="replace").splitlines()

    def _list_context(self, lines: list[Line], about: list[Line]) -> Iterator[Line]:
        """Returns the last lines about each VM itself before the request left its hands."""
        for vm in {line.vm for line in about}:
            until = max(line.time for line in about if line.vm == vm)
            earlier = [
                line
                for line in lines
                if line.vm == vm and line.name in CONTEXT and line.time <= until
            ]
            yield from earlier[-self.arguments.context :] if self.arguments.context > 0 else ()


def _read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Returns the events; a prefix before the JSON object of a line is left out."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            # The last line of a process that was killed may be cut.
            continue
        yield Line(
            str(fields["time"]), str(fields.get("name", "")), str(fields.get("vm", "")), fields
        )
