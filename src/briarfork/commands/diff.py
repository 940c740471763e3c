"""`briarfork diff`."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.drafting import add_rate_argument
from briarfork.commands.drafting import find_edits
from briarfork.commands.drafting import format_edits
from briarfork.commands.drafting import preview
from briarfork.commands.drafting import read_rates
from briarfork.commands.effects import format_effects

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("diff")
class Diff(Command):
    """Compares a folder with another folder or with what is in force."""

    summary = "Show what a folder would change, against what is in force or another folder."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("folder", type=Path)
        parser.add_argument("--against", type=Path, metavar="FOLDER", help="compare two folders")
        add_rate_argument(parser)
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        rates = read_rates(self.arguments.rate)
        wanted = load_documents(self.arguments.folder)
        if self.arguments.against:
            current = load_documents(self.arguments.against).by_name
            in_force = {}
        else:
            answer = AdminClient(self.arguments).get("/v1/documents")
            current, in_force = answer["documents"], answer["shares"]
        edits = find_edits(current, wanted)
        effects = preview(current, wanted, in_force) if edits else []
        lines = [*format_edits(current, edits), *format_effects(effects, rates)]
        body = {"edits": edits, "effects": [effect.to_record() for effect in effects]}
        self.show(body, lines or ["no difference"])
