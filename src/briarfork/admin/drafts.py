"""Drafts: submitted changes pending approval."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from briarfork.border.events import Event
from briarfork.border.store import ABSENT
from briarfork.border.store import StoreConflict
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.store import Entry
    from briarfork.border.store import Store
    from briarfork.timeline import Change

KEY_PREFIX = "drafts/"
# Writes are retried if the response is lost; creating and deleting a draft are idempotent.
MAX_ATTEMPTS = 3


class Draft(msgspec.Struct, frozen=True):
    """Submitted change that has no generation yet."""

    change_id: str
    author: str
    team: str
    reason: str
    start_at: float | None
    edits: dict[str, dict[str, object] | None]
    based_on: int

    def matches(self, change: Change) -> bool:
        """Returns whether a change was built from this draft."""
        return (
            (change.author, change.team, change.edits) == (self.author, self.team, self.edits)
            and change.withdraws is None
            and self.start_at in (None, change.start_at)
        )


@dataclass(frozen=True, slots=True)
class DraftPage:
    """Some drafts, ordered by change id.

    Attributes:
        drafts: The drafts.
        size: Length of the stored values that were read, in characters.
        next_after: Change id after which the next page starts, None on the last page.
    """

    drafts: list[Draft]
    size: int
    next_after: str | None


class DraftStore:
    """Reads and writes drafts in the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events

    async def create(self, draft: Draft) -> None:
        """Creates a draft; creating the same draft again has no effect.

        Raises:
            BriarforkError: With kind `conflict` if another draft has the same change id.
            StoreUnavailable: If it is unknown whether the draft was created.
        """
        value = msgspec.json.encode(draft).decode()
        for attempt in range(MAX_ATTEMPTS):
            try:
                await self._store.put(f"{KEY_PREFIX}{draft.change_id}", value, ABSENT)
                return
            except StoreConflict as error:
                if await self.find(draft.change_id) == draft:
                    return
                raise BriarforkError(
                    ErrorKind.CONFLICT,
                    f"change_id: expected a new one, found another draft {draft.change_id!r}",
                ) from error
            except StoreUnavailable:
                if attempt == MAX_ATTEMPTS - 1:
                    raise

    async def find(self, change_id: str) -> Draft | None:
        """Returns a draft, or None if it does not exist.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        entry = await self._store.get(f"{KEY_PREFIX}{change_id}")
        return None if entry is None else _decode(entry)

    async def read_page(self, after: str) -> DraftPage:
        """Returns a page of the drafts after a change id.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        page = await self._store.list_range(KEY_PREFIX, f"{KEY_PREFIX}{after}" if after else "")
        drafts = [_decode(entry) for entry in page.entries]
        return DraftPage(drafts, page.size, drafts[-1].change_id if page.has_more else None)

    async def delete_accepted(self, change_id: str) -> None:
        """Deletes the draft of an accepted change.

        The change is already in the timeline, so a failure to delete the draft is only logged. The
        deletion is retried the next time drafts are listed or this draft is approved.
        """
        reason = "concurrent writes to the draft"
        for _ in range(MAX_ATTEMPTS):
            try:
                entry = await self._store.get(f"{KEY_PREFIX}{change_id}")
                if entry is None:
                    return
                await self._store.delete(entry.key, entry.revision)
                return
            except StoreConflict:
                continue
            except StoreUnavailable as error:
                reason = error.detail
        self._events.record(Event.DRAFT_LEFT, change=change_id, fault=reason)


def _decode(entry: Entry) -> Draft:
    try:
        return msgspec.json.decode(entry.value, type=Draft)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError) as error:
        raise BriarforkError(
            ErrorKind.INVALID_CONFIGURATION, f"{entry.key}: expected a valid draft: {error}"
        ) from error
