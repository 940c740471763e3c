"""Submits, approves and withdraws changes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.admin.drafts import Draft
from briarfork.admin.drafts import DraftPage
from briarfork.admin.drafts import DraftStore
from briarfork.admin.reader import TimelineReader
from briarfork.admin.snapshots import SnapshotWriter
from briarfork.admin.teams import find_team
from briarfork.border.changelog import ChangeLog
from briarfork.border.documents import check_document
from briarfork.border.events import Event
from briarfork.border.snapshots import SnapshotStore
from briarfork.border.store import StoreUnavailable
from briarfork.configuration import BASE
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import OutcomeUnknown
from briarfork.timeline import WITHDRAWAL_MARGIN_S
from briarfork.timeline import Change

if TYPE_CHECKING:
    from briarfork.admin.teams import Team
    from briarfork.border.documents import ChangeRequestModel
    from briarfork.border.documents import WithdrawalModel
    from briarfork.border.events import EventLog
    from briarfork.border.store import Store
    from briarfork.timeline import FoldedChange
    from briarfork.timeline import Timeline

# A change whose generation was taken by a concurrent change is retried with the next generation.
SUBMIT_ATTEMPTS = 20
# Longest time between the validation of a change and its write. A process that was paused in
# between validates the change again, so no ramp starts further in the past than this.
MAX_VALIDATION_AGE_S = 5.0
# Length of the stored values from which on a page of changes or drafts ends. Callers choose their
# number and size.
MAX_PAGE_CHARACTERS = 4 * 1024 * 1024
MAX_PAGE_DRAFTS = 1000


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Result of a submission: the accepted generation, or the id of a draft pending approval."""

    generation: int | None
    draft: str | None


class ChangeManager:
    """Validates changes against the whole timeline and writes them to the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._log = ChangeLog(store)
        snapshots = SnapshotStore(store)
        self._reader = TimelineReader(self._log, snapshots, events)
        self.snapshot_writer = SnapshotWriter(self._reader, snapshots, events)
        self._drafts = DraftStore(store, events)
        self._events = events

    async def read_timeline(self) -> Timeline:
        """Returns the current timeline in the store.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `conflict` if the store contradicts earlier reads.
        """
        return await self._reader.read()

    async def find_team(self, authorization: str | None) -> Team:
        """Returns the team of an `Authorization` header.

        The teams are read from documents that may be up to `MAX_CACHE_AGE_S` old.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `unauthorized` if the token belongs to no team.
        """
        timeline = await self._reader.read_cached()
        return find_team(timeline.find_documents(time.time()), authorization)

    async def list_changes(self, after: int, limit: int) -> list[Change]:
        """Returns at most `limit` changes after a generation, including compacted ones.

        There are fewer if they are large.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        changes: list[Change] = []
        size = 0
        while len(changes) < limit and size < MAX_PAGE_CHARACTERS:
            last = changes[-1].generation if changes else after
            page = await self._log.read_after(last)
            changes += page.changes
            size += page.size
            if not page.has_more:
                break
        return changes[:limit]

    async def submit(self, request: ChangeRequestModel, team: Team, dry_run: bool) -> SubmitResult:
        """Accepts a change, or stores it as a draft if approval is required.

        Args:
            request: The submitted change.
            team: Team of the client.
            dry_run: Whether to validate the change without storing it.

        Raises:
            BriarforkError: If the change is invalid or conflicts with another change.
        """
        team.check_documents(request.edits)
        edits = {
            name: None if body is None else check_document(name, body)
            for name, body in request.edits.items()
        }
        draft = Draft(
            change_id=request.change_id,
            author=request.author,
            team=team.name,
            reason=request.reason,
            start_at=request.start_at,
            edits=edits,
            based_on=request.based_on,
        )
        timeline = await self.read_timeline()
        existing = _find_accepted_generation(timeline, draft)
        if existing is not None:
            return SubmitResult(existing, None)
        needs_approval = self._needs_approval(timeline)
        if not dry_run and not needs_approval:
            return SubmitResult(await self._accept(draft, approver=None), None)
        self._check(timeline, draft, approver=None)
        if dry_run:
            return SubmitResult(timeline.generation + 1, None)
        await self._drafts.create(draft)
        return SubmitResult(None, draft.change_id)

    async def approve(self, change_id: str, approver: str, team: Team, dry_run: bool) -> int:
        """Accepts a draft.

        Returns:
            The generation of the change, also if it was accepted before.

        Raises:
            BriarforkError: If the draft does not exist, the approver is its author, or the change
                is no longer valid.
        """
        draft = await self._drafts.find(change_id)
        if draft is None:
            existing = (await self.read_timeline()).find_change(change_id)
            if existing is None:
                raise BriarforkError(ErrorKind.UNKNOWN_PATH, f"no draft {change_id!r}")
            return existing.generation
        if draft.author == approver:
            raise BriarforkError(
                ErrorKind.FORBIDDEN, "approver: expected somebody other than the author"
            )
        team.check_documents(draft.edits)
        if dry_run:
            timeline = await self.read_timeline()
            existing_generation = _find_accepted_generation(timeline, draft)
            return existing_generation or self._check(timeline, draft, approver).generation
        generation = await self._accept(draft, approver)
        await self._drafts.delete_accepted(change_id)
        return generation

    async def list_drafts(self, after: str = "", limit: int = MAX_PAGE_DRAFTS) -> DraftPage:
        """Returns drafts pending approval and deletes the drafts of accepted changes.

        Args:
            after: Change id after which the page starts.
            limit: Largest number of drafts; there are fewer if they are large.
        """
        pending: list[Draft] = []
        size = 0
        while True:
            page = await self._drafts.read_page(after)
            timeline = await self.read_timeline()
            size += page.size
            for draft in page.drafts:
                if len(pending) == limit:
                    return DraftPage(pending, size, after)
                after = draft.change_id
                if timeline.find_change(after) is None:
                    pending.append(draft)
                else:
                    await self._drafts.delete_accepted(after)
            if page.next_after is None or size >= MAX_PAGE_CHARACTERS:
                return DraftPage(pending, size, page.next_after)

    async def withdraw(
        self, generation: int, request: WithdrawalModel, team: Team, dry_run: bool
    ) -> int:
        """Withdraws a scheduled change.

        Returns:
            The generation of the withdrawal, also if it was accepted before.

        Raises:
            BriarforkError: If the change has started or starts too soon.
        """
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            existing = timeline.find_change(request.change_id)
            if existing is not None:
                if (existing.withdraws, existing.author) == (generation, request.author):
                    return existing.generation
                raise _build_duplicate_error(existing)
            now = time.time()
            change = Change(
                generation=timeline.generation + 1,
                change_id=request.change_id,
                author=request.author,
                team=team.name,
                reason=request.reason,
                approver=None,
                submitted_at=now,
                start_at=now,
                edits={},
                withdraws=generation,
                previous_hash=timeline.last_hash,
            )
            timeline.check(change, now)
            target = timeline.get(generation)
            team.check_documents(target.edits)
            if dry_run:
                return change.generation
            withdrawal_deadline = target.start_at - WITHDRAWAL_MARGIN_S
            if await self._append(change, min(MAX_VALIDATION_AGE_S, withdrawal_deadline - now)):
                return change.generation
        raise _build_contention_error()

    async def _accept(self, draft: Draft, approver: str | None) -> int:
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            existing = _find_accepted_generation(timeline, draft)
            if existing is not None:
                return existing
            change = self._check(timeline, draft, approver)
            if await self._append(change, MAX_VALIDATION_AGE_S):
                return change.generation
        raise _build_contention_error()

    def _check(self, timeline: Timeline, draft: Draft, approver: str | None) -> Change:
        """Builds the next change from a draft and validates it against the whole timeline."""
        now = time.time()
        if draft.based_on > timeline.generation:
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"based_on: expected at most {timeline.generation}, found {draft.based_on}",
            )
        conflict = timeline.find_later_edit(draft.edits, draft.based_on)
        if conflict is not None:
            entry, names = conflict
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"expected the configuration of generation {draft.based_on}, found that "
                f"generation {_describe_entry(entry)} edited {sorted(names)}",
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

    async def _append(self, change: Change, max_age_s: float) -> bool:
        """Writes a change to the store.

        Args:
            change: The validated change.
            max_age_s: Seconds after which the change must be validated again.

        Returns:
            False if the change has to be validated again.

        Raises:
            StoreUnavailable: If it is unknown whether the change was written.
            OutcomeUnknown: If the change was written to a store that had lost earlier changes.
        """
        stored = await self._log.append(change, time.monotonic() + max_age_s)
        if stored is None:
            return False
        try:
            # The store may have lost earlier changes between the validation and the write.
            await self._reader.read()
        except StoreUnavailable:
            self._reader.append_stored(stored)
        except BriarforkError as error:
            raise OutcomeUnknown(
                f"generation {change.generation} was written, but {error.detail}"
            ) from error
        self.snapshot_writer.notify_change()
        self._events.record(
            Event.CHANGE_ACCEPTED, generation=change.generation, change=change.change_id
        )
        return True

    def _needs_approval(self, timeline: Timeline) -> bool:
        base = timeline.find_documents(time.time()).by_name.get(BASE, {})
        return base.get("approval") == "required"


def _find_accepted_generation(timeline: Timeline, draft: Draft) -> int | None:
    """Returns the generation of a draft that was accepted before, or None.

    Raises:
        BriarforkError: With kind `conflict` if its change id belongs to a different change.
    """
    existing = timeline.find_change(draft.change_id)
    if existing is None:
        return None
    if not draft.matches(existing):
        raise _build_duplicate_error(existing)
    return existing.generation


def _describe_entry(entry: Change | FoldedChange) -> str:
    name = f" (change {entry.change_id})" if isinstance(entry, Change) else ""
    return f"{entry.generation}{name}"


def _build_duplicate_error(existing: Change) -> BriarforkError:
    return BriarforkError(
        ErrorKind.CONFLICT,
        f"change_id: expected a new one, found {existing.change_id!r} with other content as "
        f"generation {existing.generation}",
    )


def _build_contention_error() -> BriarforkError:
    return BriarforkError(
        ErrorKind.CONFLICT,
        f"generation taken by concurrent changes {SUBMIT_ATTEMPTS} times; try again",
    )
