"""`briarfork history`."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("history")
class History(Command):
    """Reads the audit trail."""

    summary = "Show the audit trail: who changed what, when and why."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("--after", type=int, default=0, metavar="GENERATION")
        parser.add_argument("--limit", type=int, default=100)
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        answer = AdminClient(self.arguments).get(
            "/v1/changes", after=str(self.arguments.after), limit=str(self.arguments.limit)
        )
        self.show(answer, [_format(change) for change in answer["changes"]])


def _format(change: dict[str, Any]) -> str:
    start = datetime.fromtimestamp(change["start_at"], UTC).isoformat(timespec="seconds")
    what = f"withdraws {change['withdraws']}" if change["withdraws"] else ", ".join(change["edits"])
    state = " (withdrawn)" if change["withdrawn"] else ""
    approval = f", approved by {change['approver']}" if change["approver"] else ""
    return (
        f"{change['generation']:>6}  {start}  {change['author']}{approval}  {what}{state}\n"
        f"        {change['reason']}"
    )
