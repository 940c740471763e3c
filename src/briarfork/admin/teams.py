"""Team authentication, document permissions and rate limits."""

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

RATE_WINDOW_S = 60.0
DEFAULT_CHANGES_PER_MINUTE = 60
# A submission reads documents and status before and after the change; paging needs more reads.
READS_PER_CHANGE = 10
# Longest wait for other changes of the same team. A change must be in force within 12 s.
LOCK_TIMEOUT_S = 10.0
DEFAULT_TEAM_NAME = "-"
BEARER_PREFIX = "bearer "


@dataclass(frozen=True, slots=True)
class Team:
    """Team with its permissions and rate limit.

    Attributes:
        name: Name in the base document, or "-" if the base document has no teams.
        documents: Glob patterns of the documents that the team may change.
        changes_per_minute: Rate limit of changes, or None for no limit.
    """

    name: str = DEFAULT_TEAM_NAME
    documents: tuple[str, ...] = ("*",)
    changes_per_minute: int | None = None

    def check_documents(self, names: Iterable[str]) -> None:
        """Checks that the team may change the named documents.

        Raises:
            BriarforkError: With kind `forbidden`, naming the documents that it may not change.
        """
        not_allowed = [
            name
            for name in sorted(names)
            if not any(fnmatchcase(name, pattern) for pattern in self.documents)
        ]
        if not_allowed:
            raise BriarforkError(
                ErrorKind.FORBIDDEN,
                f"team {self.name}: expected documents that match one of "
                f"{sorted(self.documents)}, found {not_allowed}",
            )


def find_team(documents: Documents, authorization: str | None) -> Team:
    """Returns the team of an `Authorization` header.

    If the base document has no teams, every client may change every document.

    Raises:
        BriarforkError: With kind `unauthorized` if the token belongs to no team.
    """
    teams: dict[str, Document] = documents.by_name.get(BASE, {}).get("teams", {})
    if not teams:
        return Team()
    header = authorization or ""
    if not header.lower().startswith(BEARER_PREFIX):
        raise BriarforkError(ErrorKind.UNAUTHORIZED, "Authorization: expected a bearer token")
    digest = hashlib.sha256(header[len(BEARER_PREFIX) :].strip().encode()).hexdigest()
    for name, body in teams.items():
        if any(hmac.compare_digest(digest, known) for known in body["token_sha256"]):
            limit = body.get("changes_per_minute", DEFAULT_CHANGES_PER_MINUTE)
            return Team(name, tuple(body["documents"]), limit)
    raise BriarforkError(ErrorKind.UNAUTHORIZED, "Authorization: expected the token of a team")


class TeamRateLimiter:
    """Limits the request rate of each team and serializes its changes.

    Changes of one team run one at a time, so a change of another team waits for at most one change
    of each other team.
    """

    def __init__(self) -> None:
        self._admitted: dict[tuple[str, bool], deque[float]] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def admit(self, team: Team, is_change: bool, now: float) -> None:
        """Counts a request against the rate limit of its team.

        Args:
            team: Team of the client.
            is_change: Whether the request changes state; reads have a separate limit.
            now: Monotonic time in seconds.

        Raises:
            BriarforkError: With kind `too_many_requests` if the limit is exceeded.
        """
        if team.changes_per_minute is None:
            return
        limit = team.changes_per_minute * (1 if is_change else READS_PER_CHANGE)
        admitted = self._admitted.setdefault((team.name, is_change), deque())
        while admitted and admitted[0] <= now - RATE_WINDOW_S:
            admitted.popleft()
        if len(admitted) >= limit:
            wait_s = admitted[len(admitted) - limit] + RATE_WINDOW_S - now
            raise BriarforkError(
                ErrorKind.TOO_MANY_REQUESTS,
                f"team {team.name}: expected at most {limit} {'changes' if is_change else 'reads'} "
                f"a minute; try again in {wait_s:.0f} s",
            )
        admitted.append(now)

    @asynccontextmanager
    async def lock_team(self, team: Team) -> AsyncIterator[None]:
        """Holds the team's lock, so that its changes run one at a time.

        Raises:
            BriarforkError: With kind `too_many_requests` if the lock is not acquired in time.
        """
        if team.changes_per_minute is None:
            yield
            return
        lock = self._locks.setdefault(team.name, asyncio.Lock())
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_S):
                await lock.acquire()
        except TimeoutError as error:
            raise BriarforkError(
                ErrorKind.TOO_MANY_REQUESTS,
                f"team {team.name}: too many pending changes; this one was not run",
            ) from error
        try:
            yield
        finally:
            lock.release()
