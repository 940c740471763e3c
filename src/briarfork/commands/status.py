"""The `briarfork status` command."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("status")
class Status(Command):
    """Shows the latest accepted generation, the scheduled changes and the pending drafts."""

    summary = "Show the latest accepted generation, the scheduled changes and the drafts."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        add_connection_arguments(parser)

    def run(self) -> None:
        """Prints the status of the configuration."""
        client = AdminClient(self.arguments)
        status = client.get("/v1/status")
        drafts = client.get("/v1/drafts")["drafts"]
        lines = [f"generation {status['generation']}"]
        for change in status["scheduled"]:
            start = datetime.fromtimestamp(change["start_at"], UTC).isoformat(timespec="seconds")
            lines.append(
                f"scheduled: generation {change['generation']} {change['change_id']} "
                f"by {change['author']}, starts {start}"
            )
        for draft in drafts:
            documents = ", ".join(sorted(draft["edits"]))
            lines.append(f"draft: {draft['change_id']} by {draft['author']}, edits {documents}")
        self.print_result({**status, "drafts": drafts}, lines)
