"""The `briarfork history` command."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

from briarfork.commands.client import AdminClient
from briarfork.commands.client import add_connection_arguments
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.commands.times import parse_time
from briarfork.commands.verification import HashChainVerifier
from briarfork.commands.verification import parse_anchor
from briarfork.errors import InvalidConfiguration

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

PAGE_SIZE = 1000


@COMMANDS.register("history")
class History(Command):
    """Shows the audit trail or verifies its hash chain."""

    summary = "Show the audit trail: who changed what, when and why; --verify checks its integrity."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("--after", type=int, default=0, metavar="GENERATION")
        parser.add_argument("--limit", type=int, default=100, help="maximum number of changes")
        parser.add_argument("--author", help="only changes of this author")
        parser.add_argument("--team", help="only changes of this team")
        parser.add_argument(
            "--document", metavar="PATTERN", help="only changes of documents matching this pattern"
        )
        parser.add_argument("--since", metavar="TIME", help="submitted at or after, ISO 8601")
        parser.add_argument("--until", metavar="TIME", help="submitted before, ISO 8601")
        parser.add_argument(
            "--verify",
            action="store_true",
            help="check that no entry is missing or altered, and print the last hash",
        )
        parser.add_argument(
            "--anchor",
            metavar="GENERATION:HASH",
            help="with --verify: an entry recorded earlier that the trail must still contain",
        )
        add_connection_arguments(parser)

    def run(self) -> None:
        """Prints the matching changes or, with --verify, the result of the verification.

        Raises:
            InvalidConfiguration: If the verification finds a missing or altered entry.
        """
        if self.arguments.verify:
            self._verify()
            return
        changes: list[dict[str, Any]] = []
        for change in self._iterate_changes(self.arguments.after, self._build_filters()):
            if len(changes) == self.arguments.limit:
                break
            changes.append(change)
        self.print_result({"changes": changes}, [_format_change(change) for change in changes])

    def _verify(self) -> None:
        verifier = HashChainVerifier(parse_anchor(self.arguments.anchor))
        for change in self._iterate_changes(0, {}):
            verifier.add(change)
        status = AdminClient(self.arguments).get("/v1/status")
        faults = verifier.finish(status["generation"], status["hash"])
        if faults:
            raise InvalidConfiguration(faults)
        body = {"verified": verifier.generation, "hash": verifier.hash}
        line = f"verified: {verifier.generation} changes, none missing or altered"
        self.print_result(body, [line, f"anchor: {verifier.generation}:{verifier.hash}"])

    def _build_filters(self) -> dict[str, str]:
        arguments = self.arguments
        filters = {name: getattr(arguments, name) for name in ("author", "team", "document")}
        for name in ("since", "until"):
            time = parse_time(f"--{name}", getattr(arguments, name))
            filters[name] = None if time is None else str(time)
        return {name: value for name, value in filters.items() if value is not None}

    def _iterate_changes(
        self, after: int | None, filters: dict[str, str]
    ) -> Iterator[dict[str, Any]]:
        client = AdminClient(self.arguments)
        while after is not None:
            params = {"after": str(after), "limit": str(PAGE_SIZE), **filters}
            page = client.get("/v1/changes", **params)
            yield from page["changes"]
            after = page["next"]


def _format_change(change: dict[str, Any]) -> str:
    start = datetime.fromtimestamp(change["start_at"], UTC).isoformat(timespec="seconds")
    what = f"withdraws {change['withdraws']}" if change["withdraws"] else ", ".join(change["edits"])
    state = " (withdrawn)" if change["withdrawn"] else ""
    approval = f", approved by {change['approver']}" if change["approver"] else ""
    team = f" ({change['team']})" if change["team"] != "-" else ""
    return (
        f"{change['generation']:>6}  {start}  {change['author']}{team}{approval}  {what}{state}\n"
        f"        {change['reason']}"
    )
