"""`briarfork diff`."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.drafting import find_edits
from briarfork.commands.drafting import format_edits

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
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        wanted = load_documents(self.arguments.folder)
        if self.arguments.against:
            current = load_documents(self.arguments.against).by_name
        else:
            current = AdminClient(self.arguments).get("/v1/documents")["documents"]
        edits = find_edits(current, wanted)
        self.show(edits, format_edits(current, edits) or ["no difference"])
