"""Drafts: submitted changes that wait for approval."""

from __future__ import annotations

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

PREFIX = "drafts/"
PAGE = 100
# A write whose response was lost is repeated: creating and deleting a draft are idempotent.
ATTEMPTS = 3


class Draft(msgspec.Struct, frozen=True):
    """A submitted change before it has a generation."""

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


class DraftBox:
    """The drafts in the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events

    async def create(self, draft: Draft) -> None:
        """Keeps a draft; a repeated creation of the same draft changes nothing.

        Raises:
            BriarforkError: With kind `conflict` if the name belongs to another draft.
            StoreUnavailable: If the store does not tell whether the draft was created.
        """
        value = msgspec.json.encode(draft).decode()
        for attempt in range(ATTEMPTS):
            try:
                await self._store.put(f"{PREFIX}{draft.change_id}", value, ABSENT)
                return
            except StoreConflict as error:
                if await self.find(draft.change_id) == draft:
                    return
                raise BriarforkError(
                    ErrorKind.CONFLICT,
                    f"change_id: expected a new one, found another draft {draft.change_id!r}",
                ) from error
            except StoreUnavailable:
                if attempt == ATTEMPTS - 1:
                    raise

    async def find(self, change_id: str) -> Draft | None:
        """Returns a draft, or None if there is none.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        entry = await self._store.get(f"{PREFIX}{change_id}")
        return None if entry is None else _decode(entry)

    async def list_all(self) -> list[Draft]:
        """Returns all drafts in order of their names.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        drafts: list[Draft] = []
        after = ""
        while True:
            entries = (await self._store.list_range(PREFIX, after, PAGE)).entries
            drafts += [_decode(entry) for entry in entries]
            if len(entries) < PAGE:
                return drafts
            after = entries[-1].key

    async def delete_accepted(self, change_id: str) -> None:
        """Deletes the draft of an accepted change.

        The change is in the timeline already, so a store that does not answer is no failure: the
        draft is deleted when drafts are listed or approved the next time.
        """
        fault = "the draft changes all the time"
        for _ in range(ATTEMPTS):
            try:
                entry = await self._store.get(f"{PREFIX}{change_id}")
                if entry is None:
                    return
                await self._store.delete(entry.key, entry.revision)
                return
            except StoreConflict:
                continue
            except StoreUnavailable as error:
                fault = error.detail
        self._events.record(Event.DRAFT_LEFT, change=change_id, fault=fault)


def _decode(entry: Entry) -> Draft:
    try:
        return msgspec.json.decode(entry.value, type=Draft)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise BriarforkError(
            ErrorKind.INVALID_CONFIGURATION, f"{entry.key}: expected a valid draft: {error}"
        ) from error
