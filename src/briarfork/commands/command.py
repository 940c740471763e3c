"""What every command of `briarfork` has."""

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
    """A command; the registry holds one class for each.

    Attributes:
        summary: One line for --help.
    """

    summary: ClassVar[str]

    @classmethod
    @abstractmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments

    @abstractmethod
    def run(self) -> None:
        """Runs the command.

        Raises:
            BriarforkError: Its kind tells the exit status.
        """

    def show(self, body: Any, lines: list[str]) -> None:
        """Prints a result: the body with --json, else the lines."""
        if self.arguments.json:
            print(json.dumps(body, indent=2, sort_keys=True))
        else:
            for line in lines:
                print(line)

    def report(self, line: str) -> None:
        """Prints a line about progress."""
        print(line, file=sys.stderr, flush=True)


COMMANDS: Registry[type[Command]] = Registry("command")
