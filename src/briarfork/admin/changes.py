"""Submitting, approving and withdrawing changes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.admin.drafts import Draft
from briarfork.admin.drafts import DraftBox
from briarfork.admin.reader import TimelineReader
from briarfork.admin.snapshots import SnapshotKeeper
from briarfork.admin.teams import find_team
from briarfork.border.changelog import READ_LIMIT
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

# A change that only lost the race for a generation is offered again for the next one.
SUBMIT_ATTEMPTS = 20
# Longest time between the check of a change and its write. A process that was paused in between
# checks again, so no ramp begins further in the past than this.
ACCEPT_WINDOW_S = 5.0


@dataclass(frozen=True, slots=True)
class Submitted:
    """Result of a submission: an accepted generation, or a draft that waits for approval."""

    generation: int | None
    draft: str | None


class ChangeDesk:
    """Checks changes against the whole timeline and writes them to the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._log = ChangeLog(store)
        snapshots = SnapshotStore(store)
        self._reader = TimelineReader(self._log, snapshots, events)
        self.keeper = SnapshotKeeper(self._reader, snapshots, events)
        self._drafts = DraftBox(store, events)
        self._events = events

    async def read_timeline(self) -> Timeline:
        """Returns the timeline as the store has it now.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: If the store contradicts what was read before.
        """
        return await self._reader.read()

    async def find_team(self, authorization: str | None) -> Team:
        """Returns the team of an `Authorization` header, by documents at most a second old.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: With kind `unauthorized` if the token belongs to no team.
        """
        timeline = await self._reader.read_recent()
        return find_team(timeline.find_documents(time.time()), authorization)

    async def list_changes(self, after: int, limit: int) -> list[Change]:
        """Returns at most `limit` changes after a generation, also those long in force.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        changes: list[Change] = []
        while len(changes) < limit:
            last = changes[-1].generation if changes else after
            page, _ = await self._log.read_after(last)
            changes += page
            if len(page) < READ_LIMIT:
                break
        return changes[:limit]

    async def submit(self, request: ChangeRequestModel, team: Team, dry_run: bool) -> Submitted:
        """Accepts a change, or keeps it as a draft where approval is required.

        Raises:
            BriarforkError: If the change is not valid or clashes with another one.
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
        known = _find_accepted(timeline, draft)
        if known is not None:
            return Submitted(known, None)
        needs_approval = self._needs_approval(timeline)
        if not dry_run and not needs_approval:
            return Submitted(await self._accept(draft, approver=None), None)
        self._check(timeline, draft, approver=None)
        if dry_run:
            return Submitted(timeline.generation + 1, None)
        await self._drafts.create(draft)
        return Submitted(None, draft.change_id)

    async def approve(self, change_id: str, approver: str, team: Team, dry_run: bool) -> int:
        """Accepts a draft; returns its generation, also if it was accepted before.

        Raises:
            BriarforkError: If there is no such draft, the approver is its author, or the change is
                no longer valid.
        """
        draft = await self._drafts.find(change_id)
        if draft is None:
            known = (await self.read_timeline()).find_change(change_id)
            if known is None:
                raise BriarforkError(ErrorKind.UNKNOWN_PATH, f"no draft {change_id!r}")
            return known.generation
        if draft.author == approver:
            raise BriarforkError(
                ErrorKind.FORBIDDEN, "approver: expected somebody other than the author"
            )
        team.check_documents(draft.edits)
        if dry_run:
            timeline = await self.read_timeline()
            known_generation = _find_accepted(timeline, draft)
            return known_generation or self._check(timeline, draft, approver).generation
        generation = await self._accept(draft, approver)
        await self._drafts.delete_accepted(change_id)
        return generation

    async def list_drafts(self) -> list[Draft]:
        """Returns the drafts that wait for approval; deletes those of accepted changes."""
        drafts = await self._drafts.list_all()
        timeline = await self.read_timeline()
        waiting = []
        for draft in drafts:
            if timeline.find_change(draft.change_id) is None:
                waiting.append(draft)
            else:
                await self._drafts.delete_accepted(draft.change_id)
        return waiting

    async def withdraw(
        self, generation: int, request: WithdrawalModel, team: Team, dry_run: bool
    ) -> int:
        """Cancels a scheduled change; returns the generation of the withdrawal.

        Raises:
            BriarforkError: If the change has started or starts too soon.
        """
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            known = timeline.find_change(request.change_id)
            if known is not None:
                if (known.withdraws, known.author) == (generation, request.author):
                    return known.generation
                raise _taken(known)
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
            latest = target.start_at - WITHDRAWAL_MARGIN_S
            if await self._append(change, min(ACCEPT_WINDOW_S, latest - now)):
                return change.generation
        raise _too_many_races()

    async def _accept(self, draft: Draft, approver: str | None) -> int:
        for _ in range(SUBMIT_ATTEMPTS):
            timeline = await self.read_timeline()
            known = _find_accepted(timeline, draft)
            if known is not None:
                return known
            change = self._check(timeline, draft, approver)
            if await self._append(change, ACCEPT_WINDOW_S):
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
        later = timeline.find_later_edit(draft.edits, draft.based_on)
        if later is not None:
            entry, names = later
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"expected the configuration of generation {draft.based_on}, found that "
                f"generation {_describe(entry)} edited {sorted(names)}",
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

    async def _append(self, change: Change, window_s: float) -> bool:
        """Writes a change; returns False if it has to be checked again.

        Raises:
            StoreUnavailable: If the store does not tell whether the change was accepted.
            OutcomeUnknown: If it was written to a store that had lost earlier changes.
        """
        written = await self._log.append(change, time.monotonic() + window_s)
        if written is None:
            return False
        try:
            # The store may have lost earlier changes between the check and the write.
            await self._reader.read()
        except StoreUnavailable:
            self._reader.accept(written)
        except BriarforkError as error:
            raise OutcomeUnknown(
                f"generation {change.generation} was written, but {error.detail}"
            ) from error
        self.keeper.notice_change()
        self._events.record(
            Event.CHANGE_ACCEPTED, generation=change.generation, change=change.change_id
        )
        return True

    def _needs_approval(self, timeline: Timeline) -> bool:
        base = timeline.find_documents(time.time()).by_name.get(BASE, {})
        return base.get("approval") == "required"


def _find_accepted(timeline: Timeline, draft: Draft) -> int | None:
    """Returns the generation of a change that was submitted before, under the same name."""
    known = timeline.find_change(draft.change_id)
    if known is None:
        return None
    if not draft.matches(known):
        raise _taken(known)
    return known.generation


def _describe(entry: Change | FoldedChange) -> str:
    name = f" (change {entry.change_id})" if isinstance(entry, Change) else ""
    return f"{entry.generation}{name}"


def _taken(known: Change) -> BriarforkError:
    return BriarforkError(
        ErrorKind.CONFLICT,
        f"change_id: expected a new one, found {known.change_id!r} with other content as "
        f"generation {known.generation}",
    )


def _too_many_races() -> BriarforkError:
    return BriarforkError(
        ErrorKind.CONFLICT, f"lost the race for a generation {SUBMIT_ATTEMPTS} times; try again"
    )
