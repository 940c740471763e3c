"""`briarfork submit`."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.drafting import add_rate_argument
from briarfork.commands.drafting import find_edits
from briarfork.commands.drafting import format_edits
from briarfork.commands.drafting import preview
from briarfork.commands.drafting import read_rates
from briarfork.commands.effects import format_effects
from briarfork.commands.times import read_time
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse

# A change of unknown outcome is repeated soon; one request looks at this many changes.
RECENT_CHANGES = 1000


@COMMANDS.register("submit")
class Submit(Command):
    """Submits a folder as a change, at once or for a start time."""

    summary = "Submit the files of a folder as a change, for now or for a start time."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the arguments of this command."""
        parser.add_argument("folder", type=Path)
        parser.add_argument("--author", required=True)
        parser.add_argument("--reason", required=True)
        parser.add_argument(
            "--start", metavar="TIME", help="start time, ISO 8601 with a zone; default: at once"
        )
        parser.add_argument("--change-id", help="name of the change; default: a new one")
        parser.add_argument("--dry-run", action="store_true", help="check only")
        add_rate_argument(parser)
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        start_at = read_time("--start", self.arguments.start)
        rates = read_rates(self.arguments.rate)
        wanted = load_documents(self.arguments.folder)
        client = AdminClient(self.arguments)
        now = client.get("/v1/documents", **({"at": str(start_at)} if start_at else {}))
        edits = find_edits(now["documents"], wanted)
        if not edits:
            self._show_no_difference(client, now["generation"])
            return
        body = {
            "change_id": self.arguments.change_id or f"change-{uuid.uuid4().hex[:12]}",
            "author": self.arguments.author,
            "reason": self.arguments.reason,
            "start_at": start_at,
            "edits": edits,
            "based_on": now["generation"],
        }
        effects = preview(now["documents"], wanted, now["shares"])
        answer = self._post(client, body)
        lines = format_edits(now["documents"], edits) if self.arguments.dry_run else []
        lines += [*format_effects(effects, rates), self._describe(answer, body["change_id"])]
        result = {
            **answer,
            "change_id": body["change_id"],
            "dry_run": self.arguments.dry_run,
            "effects": [effect.to_record() for effect in effects],
        }
        self.show(result, lines)

    def _show_no_difference(self, client: AdminClient, generation: int) -> None:
        """Tells whether the files are in force because this change was accepted before."""
        change_id = self.arguments.change_id
        if change_id is not None:
            after = str(max(0, generation - RECENT_CHANGES))
            page = client.get("/v1/changes", after=after, change_id=change_id)
            for change in page["changes"]:
                line = f"accepted before: {change_id} is generation {change['generation']}"
                self.show({"generation": change["generation"], "change_id": change_id}, [line])
                return
        self.show({"generation": generation}, ["no difference, nothing submitted"])

    def _post(self, client: AdminClient, body: dict[str, Any]) -> dict[str, Any]:
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        try:
            return client.post("/v1/changes", body, **params)
        except BriarforkError as error:
            if error.kind is not ErrorKind.STORE_UNAVAILABLE or self.arguments.dry_run:
                raise
            raise BriarforkError(
                error.kind,
                f"{error.detail}; the change may have been accepted: repeat the command with "
                f"--change-id {body['change_id']}, it is accepted at most once",
            ) from error

    def _describe(self, answer: dict[str, int], change_id: object) -> str:
        if self.arguments.dry_run:
            return f"valid: {change_id} would be generation {answer['generation']}"
        if "draft" in answer:
            return f"draft {change_id} waits for approval: briarfork approve {change_id}"
        return f"accepted: {change_id} is generation {answer['generation']}"
