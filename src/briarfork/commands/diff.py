"""The `briarfork diff` command."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.edits import add_rate_argument
from briarfork.commands.edits import compute_edits
from briarfork.commands.edits import format_edits
from briarfork.commands.edits import parse_rates
from briarfork.commands.edits import preview_effects
from briarfork.commands.effects import format_effects

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("diff")
class Diff(Command):
    """Compares a folder with the configuration in force or with another folder."""

    summary = "Show how a folder differs from the configuration in force or from another folder."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("folder", type=Path)
        parser.add_argument(
            "--against", type=Path, metavar="FOLDER", help="compare with this folder"
        )
        add_rate_argument(parser)
        add_connection_arguments(parser)

    def run(self) -> None:
        """Prints the edits as a unified diff, followed by their effects on the traffic."""
        rates = parse_rates(self.arguments.rate)
        wanted = load_documents(self.arguments.folder)
        if self.arguments.against:
            current = load_documents(self.arguments.against).by_name
            current_shares = {}
        else:
            response = AdminClient(self.arguments).get("/v1/documents")
            current, current_shares = response["documents"], response["shares"]
        edits = compute_edits(current, wanted)
        effects = preview_effects(current, wanted, current_shares) if edits else []
        lines = [*format_edits(current, edits), *format_effects(effects, rates)]
        body = {"edits": edits, "effects": [effect.to_record() for effect in effects]}
        self.print_result(body, lines or ["no difference"])
