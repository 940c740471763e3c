"""Pages and filters of the audit trail."""

from __future__ import annotations

import math
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING
from typing import Any

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.steering import build_shifts

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.admin.changes import ChangeDesk
    from briarfork.steering.shift import Shares
    from briarfork.timeline import Change
    from briarfork.timeline import Timeline

# Changes that one request looks at; a filter that matches few of them must not hold up others.
SCAN_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class ChangeFilter:
    """Which changes to list.

    Attributes:
        change_id: Name of the change, or None for any.
        author: Name of the author, or None for any.
        team: Name of the team, or None for any.
        document: Glob pattern that an edited document matches, or None for any.
        since: Earliest time of submission, seconds since the epoch.
        until: Time before which it was submitted, seconds since the epoch.
    """

    change_id: str | None = None
    author: str | None = None
    team: str | None = None
    document: str | None = None
    since: float = -math.inf
    until: float = math.inf

    def matches(self, change: Change) -> bool:
        """Returns whether a change is to be listed."""
        return (
            self.change_id in (None, change.change_id)
            and self.author in (None, change.author)
            and self.team in (None, change.team)
            and self.since <= change.submitted_at < self.until
            and self._edits_document(change)
        )

    def _edits_document(self, change: Change) -> bool:
        pattern = self.document
        return pattern is None or any(fnmatchcase(name, pattern) for name in change.edits)


def read_filter(query: Mapping[str, str]) -> ChangeFilter:
    """Reads the filter of a request.

    Raises:
        BriarforkError: With kind `bad_request`, naming the parameter.
    """
    return ChangeFilter(
        query.get("change_id"),
        query.get("author"),
        query.get("team"),
        query.get("document"),
        read_time(query, "since", -math.inf),
        read_time(query, "until", math.inf),
    )


def read_number(query: Mapping[str, str], name: str, default: int, most: int | None = None) -> int:
    """Reads a whole number of a request; a number above the limit counts as the limit.

    Raises:
        BriarforkError: With kind `bad_request`, naming the parameter.
    """
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"{name}: expected a number, found {text!r}")
    return int(text) if most is None else max(1, min(most, int(text)))


def read_time(query: Mapping[str, str], name: str, default: float) -> float:
    """Reads a time of a request, in seconds since the epoch.

    Raises:
        BriarforkError: With kind `bad_request`, naming the parameter.
    """
    if name not in query:
        return default
    try:
        value = float(query[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise BriarforkError(
            ErrorKind.BAD_REQUEST,
            f"{name}: expected seconds since the epoch, found {query[name]!r}",
        )
    return value


def find_shares(timeline: Timeline, at: float) -> dict[str, dict[str, Shares]]:
    """Returns the shares at a time by service and client region, also in the middle of a ramp.

    The region "" is for clients of regions without weights of their own.
    """
    shares: dict[str, dict[str, Shares]] = {}
    for (service, region), shift in build_shifts(timeline, at).items():
        shares.setdefault(service, {})[region or ""] = shift.compute_shares(at)
    return shares


async def list_page(
    desk: ChangeDesk, after: int, limit: int, wanted: ChangeFilter
) -> dict[str, Any]:
    """Returns a page of the audit trail.

    `next` is the generation after which the next page begins, or None at the end of the trail.
    """
    timeline = await desk.read_timeline()
    changes = await desk.list_changes(after, min(SCAN_LIMIT, timeline.generation - after))
    withdrawn = timeline.list_withdrawn() | {change.withdraws for change in changes}
    records: list[dict[str, Any]] = []
    scanned = after
    for change in changes:
        if len(records) == limit:
            break
        scanned = change.generation
        if wanted.matches(change):
            state = {"withdrawn": change.generation in withdrawn}
            records.append({**change.to_record(), "hash": change.compute_hash(), **state})
    following = scanned if changes and scanned < timeline.generation else None
    return {"changes": records, "generation": timeline.generation, "next": following}
