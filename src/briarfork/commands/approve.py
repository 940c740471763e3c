"""`briarfork approve`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("approve")
class Approve(Command):
    """Approves a draft of somebody else."""

    summary = "Approve a draft; the approver is somebody other than its author."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("change_id")
        parser.add_argument("--approver", required=True)
        parser.add_argument("--dry-run", action="store_true", help="check only")
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        change_id = self.arguments.change_id
        path = f"/v1/drafts/{change_id}/approve"
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        body = {"approver": self.arguments.approver}
        answer = AdminClient(self.arguments).post(path, body, **params)
        self.show(
            {**answer, "dry_run": self.arguments.dry_run},
            [
                (
                    f"valid: {change_id} would be generation {answer['generation']}"
                    if self.arguments.dry_run
                    else f"accepted: {change_id} is generation {answer['generation']}"
                )
            ],
        )
