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
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        change_id = self.arguments.change_id
        path = f"/v1/drafts/{change_id}/approve"
        answer = AdminClient(self.arguments).post(path, {"approver": self.arguments.approver})
        self.show(answer, [f"accepted: {change_id} is generation {answer['generation']}"])
