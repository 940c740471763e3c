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
    """Shows the generation accepted and what is scheduled."""

    summary = "Show the accepted generation and the scheduled changes."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        status = AdminClient(self.arguments).get("/v1/status")
        lines = [f"generation {status['generation']}"]
        for change in status["scheduled"]:
            start = datetime.fromtimestamp(change["start_at"], UTC).isoformat(timespec="seconds")
            lines.append(
                f"scheduled: generation {change['generation']} {change['change_id']} "
                f"by {change['author']}, starts {start}"
            )
        self.show(status, lines)
