"""Query parameters, filters and pagination of the audit trail."""

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

    from briarfork.admin.changes import ChangeManager
    from briarfork.steering.shift import Shares
    from briarfork.timeline import Change
    from briarfork.timeline import Timeline

# Most changes scanned by one request, so that a filter with few matches does not delay others.
SCAN_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class ChangeFilter:
    """Filter on the changes of the audit trail.

    Attributes:
        change_id: Change id, or None for any.
        author: Name of the author, or None for any.
        team: Name of the team, or None for any.
        document: Glob pattern that at least one edited document matches, or None for any.
        since: Earliest submission time (inclusive), in seconds since the epoch.
        until: Latest submission time (exclusive), in seconds since the epoch.
    """

    change_id: str | None = None
    author: str | None = None
    team: str | None = None
    document: str | None = None
    since: float = -math.inf
    until: float = math.inf

    def matches(self, change: Change) -> bool:
        """Returns whether a change matches all criteria."""
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


def parse_filter(query: Mapping[str, str]) -> ChangeFilter:
    """Parses the filter parameters of a request.

    Raises:
        BriarforkError: With kind `bad_request`, naming the invalid parameter.
    """
    return ChangeFilter(
        query.get("change_id"),
        query.get("author"),
        query.get("team"),
        query.get("document"),
        parse_time(query, "since", -math.inf),
        parse_time(query, "until", math.inf),
    )


def parse_number(
    query: Mapping[str, str], name: str, default: int, maximum: int | None = None
) -> int:
    """Parses a non-negative integer parameter.

    With a maximum, the number is clamped to the range from 1 to the maximum.

    Raises:
        BriarforkError: With kind `bad_request`, naming the invalid parameter.
    """
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise BriarforkError(ErrorKind.BAD_REQUEST, f"{name}: expected a number, found {text!r}")
    return int(text) if maximum is None else max(1, min(maximum, int(text)))


def parse_time(query: Mapping[str, str], name: str, default: float) -> float:
    """Parses a time parameter, in seconds since the epoch.

    Raises:
        BriarforkError: With kind `bad_request`, naming the invalid parameter.
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
    """Returns the traffic shares at a time by service and client region, including during a ramp.

    The region "" applies to clients in regions without regional weights.
    """
    shares: dict[str, dict[str, Shares]] = {}
    for (service, region), shift in build_shifts(timeline, at).items():
        shares.setdefault(service, {})[region or ""] = shift.compute_shares(at)
    return shares


async def list_page(
    manager: ChangeManager, after: int, limit: int, change_filter: ChangeFilter
) -> dict[str, Any]:
    """Returns a page of the audit trail as a JSON object.

    `next` is the generation after which the next page starts, or None on the last page.
    """
    timeline = await manager.read_timeline()
    changes = await manager.list_changes(after, min(SCAN_LIMIT, timeline.generation - after))
    withdrawn = timeline.list_withdrawn() | {change.withdraws for change in changes}
    records: list[dict[str, Any]] = []
    scanned = after
    for change in changes:
        if len(records) == limit:
            break
        scanned = change.generation
        if change_filter.matches(change):
            state = {"withdrawn": change.generation in withdrawn}
            records.append({**change.to_record(), "hash": change.compute_hash(), **state})
    next_after = scanned if changes and scanned < timeline.generation else None
    return {"changes": records, "generation": timeline.generation, "next": next_after}
