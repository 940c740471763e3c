"""The `briarfork approve` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("approve")
class Approve(Command):
    """Approves a draft that was submitted by another author."""

    summary = "Approve a draft; the approver must not be its author."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("change_id")
        parser.add_argument("--approver", required=True)
        parser.add_argument("--dry-run", action="store_true", help="validate without applying")
        add_connection_arguments(parser)

    def run(self) -> None:
        """Sends the approval and prints the resulting generation."""
        change_id = self.arguments.change_id
        path = f"/v1/drafts/{change_id}/approve"
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        body = {"approver": self.arguments.approver}
        response = AdminClient(self.arguments).post(path, body, **params)
        self.print_result(
            {**response, "dry_run": self.arguments.dry_run},
            [
                (
                    f"valid: {change_id} would be generation {response['generation']}"
                    if self.arguments.dry_run
                    else f"accepted: {change_id} is generation {response['generation']}"
                )
            ],
        )
