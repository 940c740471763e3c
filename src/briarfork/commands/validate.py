"""`briarfork validate`."""

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
    """Checks the files in a folder."""

    summary = "Check base.yaml and sites/*.yaml and list every fault."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("folder", type=Path)

    def run(self) -> None:
        """Runs the command."""
        plan = load_documents(self.arguments.folder).render()
        counts = {"services": len(plan.services), "sites": len(plan.sites)}
        self.show(counts, [f"valid: {counts['services']} services at {counts['sites']} sites"])
