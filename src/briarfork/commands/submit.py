"""The `briarfork submit` command."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.edits import add_rate_argument
from briarfork.commands.edits import compute_edits
from briarfork.commands.edits import format_edits
from briarfork.commands.edits import parse_rates
from briarfork.commands.edits import preview_effects
from briarfork.commands.effects import format_effects
from briarfork.commands.times import parse_time
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse

# A change of unknown outcome is expected to be retried soon, so one request for the latest changes
# is enough to find it.
RECENT_CHANGES_LIMIT = 1000


@COMMANDS.register("submit")
class Submit(Command):
    """Submits a folder as a change that takes effect immediately or at a start time."""

    summary = "Submit the files of a folder as a change, effective at once or at a start time."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("folder", type=Path)
        parser.add_argument("--author", required=True)
        parser.add_argument("--reason", required=True)
        parser.add_argument(
            "--start", metavar="TIME", help="start time, ISO 8601 with a time zone; default: now"
        )
        parser.add_argument("--change-id", help="ID of the change; default: a new one")
        parser.add_argument("--dry-run", action="store_true", help="validate without applying")
        add_rate_argument(parser)
        add_connection_arguments(parser)

    def run(self) -> None:
        """Submits the change and prints its effects and the resulting generation."""
        start_at = parse_time("--start", self.arguments.start)
        rates = parse_rates(self.arguments.rate)
        wanted = load_documents(self.arguments.folder)
        client = AdminClient(self.arguments)
        current = client.get("/v1/documents", **({"at": str(start_at)} if start_at else {}))
        edits = compute_edits(current["documents"], wanted)
        if not edits:
            self._print_no_difference(client, current["generation"])
            return
        body = {
            "change_id": self.arguments.change_id or f"change-{uuid.uuid4().hex[:12]}",
            "author": self.arguments.author,
            "reason": self.arguments.reason,
            "start_at": start_at,
            "edits": edits,
            "based_on": current["generation"],
        }
        effects = preview_effects(current["documents"], wanted, current["shares"])
        response = self._submit_change(client, body)
        lines = format_edits(current["documents"], edits) if self.arguments.dry_run else []
        lines += [*format_effects(effects, rates), self._format_result(response, body["change_id"])]
        result = {
            **response,
            "change_id": body["change_id"],
            "dry_run": self.arguments.dry_run,
            "effects": [effect.to_record() for effect in effects],
        }
        self.print_result(result, lines)

    def _print_no_difference(self, client: AdminClient, generation: int) -> None:
        """Reports whether there is nothing to submit because this change was accepted before."""
        change_id = self.arguments.change_id
        if change_id is not None:
            after = str(max(0, generation - RECENT_CHANGES_LIMIT))
            page = client.get("/v1/changes", after=after, change_id=change_id)
            for change in page["changes"]:
                line = f"accepted before: {change_id} is generation {change['generation']}"
                self.print_result(
                    {"generation": change["generation"], "change_id": change_id}, [line]
                )
                return
        self.print_result({"generation": generation}, ["no difference, nothing submitted"])

    def _submit_change(self, client: AdminClient, body: dict[str, Any]) -> dict[str, Any]:
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        try:
            return client.post("/v1/changes", body, **params)
        except BriarforkError as error:
            if error.kind is not ErrorKind.STORE_UNAVAILABLE or self.arguments.dry_run:
                raise
            raise BriarforkError(
                error.kind,
                f"{error.detail}; the change may have been accepted: retry the command with "
                f"--change-id {body['change_id']}, which is accepted at most once",
            ) from error

    def _format_result(self, response: dict[str, int], change_id: object) -> str:
        if self.arguments.dry_run:
            return f"valid: {change_id} would be generation {response['generation']}"
        if "draft" in response:
            return f"draft {change_id} waits for approval: briarfork approve {change_id}"
        return f"accepted: {change_id} is generation {response['generation']}"
