"""Submitting, approving and withdrawing changes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from briarfork.border.changelog import ChangeLog
from briarfork.border.documents import check_document
from briarfork.border.events import Event
from briarfork.border.store import ABSENT
from briarfork.configuration import BASE
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Appended
from briarfork.timeline import Change
from briarfork.timeline import Timeline

if TYPE_CHECKING:
    from briarfork.border.documents import ChangeRequestModel
    from briarfork.border.documents import WithdrawalModel
    from briarfork.border.events import EventLog
    from briarfork.border.store import Store

DRAFT_PREFIX = "drafts/"
# A change that only lost the race for a generation is offered again for the next one.
SUBMIT_ATTEMPTS = 20


class Draft(msgspec.Struct, frozen=True):
    """A submitted change that waits for approval."""

    change_id: str
    author: str
    team: str
    reason: str
    start_at: float | None
    edits: dict[str, dict[str, object] | None]
    based_on: int


@dataclass(frozen=True, slots=True)
class Submitted:
    """Result of a submission: an accepted generation, or a draft that waits for approval."""

    generation: int | None
    draft: str | None


class ChangeDesk:
    """Checks changes against the whole timeline and writes them to the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._log = ChangeLog(store)
        self._events = events
        self._timeline = Timeline()

    async def read_timeline(self) -> Timeline:
        """Returns the timeline as the store has it now.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: If the store contradicts what was read before.
        """
        while True:
            changes, _ = await self._log.read_after(self._timeline.generation)
            if not changes:
                return self._timeline
            for change in changes:
                # Another request may have read the same change in the meantime.
                if self._timeline.append(change) not in (Appended.ADDED, Appended.KNOWN):
                    raise BriarforkError(
                        ErrorKind.INTERNAL,
                        f"the store's change {change.generation} does not continue the timeline",
                    )

    async def submit(self, request: ChangeRequestModel, team: str, dry_run: bool) -> Submitted:
        """Accepts a change, or keeps it as a draft where approval is required.

        Raises:
            BriarforkError: If the change is not valid or clashes with another one.
        """
        edits = {
            name: None if body is None else check_document(name, body)
            for name, body in request.edits.items()
        }
        draft = Draft(
            change_id=request.change_id,
            author=request.author,
            team=team,
            reason=request.reason,
            start_at=request.start_at,
            edits=edits,
            based_on=request.based_on,
        )
        timeline = await self.read_timeline()
        known = _find(timeline, request.change_id)
        if known is not None:
            return Submitted(known.generation, None)
        self._check(timeline, draft, approver=None)
        if dry_run:
            return Submitted(timeline.generation + 1, None)
        if self._needs_approval(timeline):
            value = msgspec.json.encode(draft).decode()
            await self._store.put(f"{DRAFT_PREFIX}{draft.change_id}", value, ABSENT)
            return Submitted(None, draft.change_id)
        return Submitted(await self._accept(draft, approver=None), None)

    async def approve(self, change_id: str, approver: str) -> int:
        """Accepts a draft; returns its generation.

        Raises:
            BriarforkError: If there is no such draft, the approver is its author, or the change is
                no longer valid.
        """
        entry = await self._store.get(f"{DRAFT_PREFIX}{change_id}")
        if entry is None:
            raise BriarforkError(ErrorKind.UNKNOWN_PATH, f"no draft {change_id!r}")
        draft = msgspec.json.decode(entry.value, type=Draft)
        if draft.author == approver:
            raise BriarforkError(
                ErrorKind.FORBIDDEN, "approver: expected somebody other than the author"
            )
        generation = await self._accept(draft, approver)
        await self._store.delete(entry.key, entry.revision)
        return generation

    async def list_drafts(self) -> list[Draft]:
        """Returns the drafts that wait for approval."""
        listing = await self._store.list_range(DRAFT_PREFIX)
        return [msgspec.json.decode(entry.value, type=Draft) for entry in listing.entries]

    async def withdraw(self, generation: int, request: WithdrawalModel, team: str) -> int:
        """Cancels a scheduled change; returns the generation of the withdrawal.

        Raises:
            BriarforkError: If the change has started or starts too soon.
        """
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            now = time.time()
            change = Change(
                generation=timeline.generation + 1,
                change_id=request.change_id,
                author=request.author,
                team=team,
                reason=request.reason,
                approver=None,
                submitted_at=now,
                start_at=now,
                edits={},
                withdraws=generation,
                previous_hash=timeline.last_hash,
            )
            timeline.check(change, now)
            if await self._append(change):
                return change.generation
        raise _too_many_races()

    async def _accept(self, draft: Draft, approver: str | None) -> int:
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            known = _find(timeline, draft.change_id)
            if known is not None:
                return known.generation
            change = self._check(timeline, draft, approver)
            if await self._append(change):
                return change.generation
        raise _too_many_races()

    def _check(self, timeline: Timeline, draft: Draft, approver: str | None) -> Change:
        """Builds the next change from a draft and checks it against the whole timeline."""
        now = time.time()
        if draft.based_on > timeline.generation:
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"based_on: expected at most {timeline.generation}, found {draft.based_on}",
            )
        for later in timeline.list_after(draft.based_on, timeline.generation):
            overlap = sorted(set(later.edits) & set(draft.edits))
            if overlap:
                raise BriarforkError(
                    ErrorKind.CONFLICT,
                    f"expected the configuration of generation {draft.based_on}, found that "
                    f"generation {later.generation} (change {later.change_id}) edited {overlap}",
                )
        change = Change(
            generation=timeline.generation + 1,
            change_id=draft.change_id,
            author=draft.author,
            team=draft.team,
            reason=draft.reason,
            approver=approver,
            submitted_at=now,
            start_at=now if draft.start_at is None else draft.start_at,
            edits=draft.edits,
            withdraws=None,
            previous_hash=timeline.last_hash,
        )
        timeline.check(change, now)
        return change

    async def _append(self, change: Change) -> bool:
        """Writes a change; returns False if another one took the generation."""
        try:
            await self._log.append(change)
        except BriarforkError as error:
            if error.kind is ErrorKind.CONFLICT:
                return False
            raise
        self._events.record(
            Event.CHANGE_ACCEPTED, generation=change.generation, change=change.change_id
        )
        return True

    def _needs_approval(self, timeline: Timeline) -> bool:
        base = timeline.find_documents(time.time()).by_name.get(BASE, {})
        return base.get("approval") == "required"


def _find(timeline: Timeline, change_id: str) -> Change | None:
    changes = timeline.list_after(0, timeline.generation)
    return next((change for change in changes if change.change_id == change_id), None)


def _too_many_races() -> BriarforkError:
    return BriarforkError(
        ErrorKind.CONFLICT, f"lost the race for a generation {SUBMIT_ATTEMPTS} times; try again"
    )
