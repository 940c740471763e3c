"""Teams: who a token belongs to, which documents its team changes, and how often."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING

from briarfork.configuration import BASE
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

    from briarfork.configuration import Document
    from briarfork.configuration import Documents

WINDOW_S = 60.0
DEFAULT_CHANGES_PER_MINUTE = 60
# A submission reads documents and status before and after; a program that pages reads more.
READS_FOR_EACH_CHANGE = 10
# Longest wait behind other changes of the same team; a change must be in force within 12 s.
TURN_S = 10.0
NO_TEAM = "-"
BEARER = "bearer "


@dataclass(frozen=True, slots=True)
class Team:
    """A team that may change some documents.

    Attributes:
        name: Its name in the base document, "-" where the base document has no teams.
        documents: Glob patterns of the documents that it may change.
        changes_per_minute: Its rate limit, or None for no limit.
    """

    name: str = NO_TEAM
    documents: tuple[str, ...] = ("*",)
    changes_per_minute: int | None = None

    def check_documents(self, names: Iterable[str]) -> None:
        """Checks that the team may change documents.

        Raises:
            BriarforkError: With kind `forbidden`, naming the documents of other teams.
        """
        foreign = [
            name
            for name in sorted(names)
            if not any(fnmatchcase(name, pattern) for pattern in self.documents)
        ]
        if foreign:
            raise BriarforkError(
                ErrorKind.FORBIDDEN,
                f"team {self.name}: expected documents that match one of "
                f"{sorted(self.documents)}, found {foreign}",
            )


def find_team(documents: Documents, authorization: str | None) -> Team:
    """Returns the team of an `Authorization` header.

    Without teams in the base document every caller may change everything.

    Raises:
        BriarforkError: With kind `unauthorized` if the token belongs to no team.
    """
    teams: dict[str, Document] = documents.by_name.get(BASE, {}).get("teams", {})
    if not teams:
        return Team()
    header = authorization or ""
    if not header.lower().startswith(BEARER):
        raise BriarforkError(ErrorKind.UNAUTHORIZED, "Authorization: expected a bearer token")
    digest = hashlib.sha256(header[len(BEARER) :].strip().encode()).hexdigest()
    for name, body in teams.items():
        if any(hmac.compare_digest(digest, known) for known in body["token_sha256"]):
            limit = body.get("changes_per_minute", DEFAULT_CHANGES_PER_MINUTE)
            return Team(name, tuple(body["documents"]), limit)
    raise BriarforkError(ErrorKind.UNAUTHORIZED, "Authorization: expected the token of a team")


class TeamLimiter:
    """Keeps one team's flood from delaying the changes of others.

    Each team has its own limit, and changes of one team take turns, so a change of another team
    waits for at most one of them.
    """

    def __init__(self) -> None:
        self._admitted: dict[tuple[str, bool], deque[float]] = {}
        self._turns: dict[str, asyncio.Lock] = {}

    def admit(self, team: Team, changes: bool, now: float) -> None:
        """Counts a request of a team.

        Args:
            team: The team of the caller.
            changes: Whether the request changes state; reads have a limit of their own.
            now: Monotonic time.

        Raises:
            BriarforkError: With kind `too_many_requests` above the limit of the team.
        """
        if team.changes_per_minute is None:
            return
        limit = team.changes_per_minute * (1 if changes else READS_FOR_EACH_CHANGE)
        admitted = self._admitted.setdefault((team.name, changes), deque())
        while admitted and admitted[0] <= now - WINDOW_S:
            admitted.popleft()
        if len(admitted) >= limit:
            wait_s = admitted[len(admitted) - limit] + WINDOW_S - now
            raise BriarforkError(
                ErrorKind.TOO_MANY_REQUESTS,
                f"team {team.name}: expected at most {limit} {'changes' if changes else 'reads'} "
                f"a minute; try again in {wait_s:.0f} s",
            )
        admitted.append(now)

    @asynccontextmanager
    async def take_turn(self, team: Team) -> AsyncIterator[None]:
        """Waits until no other change of the team is being worked on.

        Raises:
            BriarforkError: With kind `too_many_requests` if too many are waiting.
        """
        if team.changes_per_minute is None:
            yield
            return
        turn = self._turns.setdefault(team.name, asyncio.Lock())
        try:
            async with asyncio.timeout(TURN_S):
                await turn.acquire()
        except TimeoutError as error:
            raise BriarforkError(
                ErrorKind.TOO_MANY_REQUESTS,
                f"team {team.name}: too many of its changes are waiting; this one was not run",
            ) from error
        try:
            yield
        finally:
            turn.release()
