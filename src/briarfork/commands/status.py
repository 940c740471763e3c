"""`briarfork status`."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("status")
class Status(Command):
    """Shows the generation accepted, what is scheduled and what waits for approval."""

    summary = "Show the accepted generation, the scheduled changes and the drafts."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
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
        self.show({**status, "drafts": drafts}, lines)
