"""Base class and registry of the `briarfork` commands."""

from __future__ import annotations

import json
import sys
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from briarfork.registry import Registry

if TYPE_CHECKING:
    import argparse


class Command(ABC):
    """Base class of a command; each subclass is registered under the name of its command.

    Attributes:
        summary: One-line description shown by --help.
    """

    summary: ClassVar[str]

    @classmethod
    @abstractmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments

    @abstractmethod
    def run(self) -> None:
        """Runs the command.

        Raises:
            BriarforkError: If the command fails; the kind of error determines the exit status.
        """

    def print_result(self, body: Any, lines: list[str]) -> None:
        """Prints the result to standard output.

        Args:
            body: Result as JSON, printed with --json.
            lines: Result as text, printed without --json.
        """
        if self.arguments.json:
            print(json.dumps(body, indent=2, sort_keys=True))
        else:
            for line in lines:
                print(line)

    def print_progress(self, line: str) -> None:
        """Prints a progress message to standard error."""
        print(line, file=sys.stderr, flush=True)


COMMANDS: Registry[type[Command]] = Registry("command")
