"""`briarfork submit`."""

from __future__ import annotations

import uuid
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents
from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_client_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.drafting import find_edits
from briarfork.commands.drafting import format_edits
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse


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
        add_client_arguments(parser)

    def run(self) -> None:
        """Runs the command."""
        start_at = _read_start(self.arguments.start)
        wanted = load_documents(self.arguments.folder)
        client = AdminClient(self.arguments)
        now = client.get("/v1/documents", **({"at": str(start_at)} if start_at else {}))
        edits = find_edits(now["documents"], wanted)
        if not edits:
            self.show({"generation": now["generation"]}, ["no difference, nothing submitted"])
            return
        body = {
            "change_id": self.arguments.change_id or f"change-{uuid.uuid4().hex[:12]}",
            "author": self.arguments.author,
            "reason": self.arguments.reason,
            "start_at": start_at,
            "edits": edits,
            "based_on": now["generation"],
        }
        params = {"dry_run": "1"} if self.arguments.dry_run else {}
        answer = client.post("/v1/changes", body, **params)
        lines = format_edits(now["documents"], edits) if self.arguments.dry_run else []
        lines.append(self._describe(answer, body["change_id"]))
        self.show({**answer, "change_id": body["change_id"]}, lines)

    def _describe(self, answer: dict[str, int], change_id: object) -> str:
        if self.arguments.dry_run:
            return f"valid: {change_id} would be generation {answer['generation']}"
        if "draft" in answer:
            return f"draft {change_id} waits for approval: briarfork approve {change_id}"
        return f"accepted: {change_id} is generation {answer['generation']}"


def _read_start(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        start = datetime.fromisoformat(text)
    except ValueError as error:
        raise BriarforkError(
            ErrorKind.BAD_REQUEST, f"--start: expected ISO 8601, found {text!r}"
        ) from error
    if start.tzinfo is None:
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"--start: expected a zone, found {text!r}")
    return start.timestamp()
