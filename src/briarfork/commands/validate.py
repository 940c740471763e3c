"""The `briarfork validate` command."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("validate")
class Validate(Command):
    """Validates the configuration files in a folder."""

    summary = "Check base.yaml and sites/*.yaml and list every error."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("folder", type=Path)

    def run(self) -> None:
        """Prints the number of services and sites of a valid configuration.

        Raises:
            InvalidConfiguration: If the files contain errors.
        """
        plan = load_documents(self.arguments.folder).render()
        counts = {"services": len(plan.services), "sites": len(plan.sites)}
        self.print_result(
            counts, [f"valid: {counts['services']} services at {counts['sites']} sites"]
        )
