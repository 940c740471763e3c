"""The `briarfork withdraw` command."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("withdraw")
class Withdraw(Command):
    """Withdraws a scheduled change before it starts."""

    summary = "Withdraw a scheduled change, at least 12 s before its start."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("generation", type=int)
        parser.add_argument("--author", required=True)
        parser.add_argument("--reason", required=True)
        parser.add_argument("--change-id", help="ID of the withdrawal; default: a new one")
        parser.add_argument("--dry-run", action="store_true", help="validate without applying")
        add_connection_arguments(parser)

    def run(self) -> None:
        """Submits the withdrawal and prints its generation."""
        body = {
            "change_id": self.arguments.change_id or f"withdrawal-{uuid.uuid4().hex[:12]}",
            "author": self.arguments.author,
            "reason": self.arguments.reason,
        }
        generation = self.arguments.generation
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        path = f"/v1/changes/{generation}/withdraw"
        response = AdminClient(self.arguments).post(path, body, **params)
        what = "would be withdrawn" if self.arguments.dry_run else "withdrawn"
        self.print_result(
            {**response, "dry_run": self.arguments.dry_run},
            [f"{what}: generation {generation}, by generation {response['generation']}"],
        )
