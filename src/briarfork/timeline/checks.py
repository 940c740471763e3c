"""Checks of a change against the whole timeline before it is accepted."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.timeline.change import Change
    from briarfork.timeline.timeline import Timeline

# A withdrawal must reach every VM before the withdrawn change starts. Changes are in force on all
# VMs within 12 s.
WITHDRAWAL_MARGIN_S = 12.0


def check_change(timeline: Timeline, change: Change, now: float) -> None:
    """Checks that a change can be accepted as the next one.

    All scheduled starts from the start of the change on are checked, so a conflict with a
    scheduled change is found before either is in force.

    Raises:
        BriarforkError: If the change is invalid, is not the next generation, or conflicts with a
            scheduled change.
    """
    if change.generation != timeline.generation + 1 or change.previous_hash != timeline.last_hash:
        raise BriarforkError(
            ErrorKind.CONFLICT,
            f"expected generation {timeline.generation + 1}, found {change.generation}",
        )
    if change.withdraws is not None:
        _check_withdrawal(timeline, change, now)
    elif change.start_at < now:
        raise BriarforkError(ErrorKind.BAD_REQUEST, "start_at: expected a time not in the past")
    _check_overwrites(timeline, change, now)
    _check_documents(timeline, change, now)


def _check_withdrawal(timeline: Timeline, change: Change, now: float) -> None:
    if change.edits:
        raise BriarforkError(ErrorKind.BAD_REQUEST, "edits: a withdrawal cannot contain edits")
    target = timeline.get(change.withdraws or 0)
    if target.generation in timeline.list_withdrawn():
        raise BriarforkError(
            ErrorKind.CONFLICT, f"generation {target.generation} is already withdrawn"
        )
    if target.start_at < now + WITHDRAWAL_MARGIN_S:
        raise BriarforkError(
            ErrorKind.CONFLICT,
            f"generation {target.generation} has started or starts within "
            f"{WITHDRAWAL_MARGIN_S:.0f} s; schedule a change that reverses it",
        )


def _check_overwrites(timeline: Timeline, change: Change, now: float) -> None:
    for scheduled in timeline.list_scheduled(max(now, change.start_at)):
        overlap = scheduled.overlaps(change)
        if overlap:
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"change {change.change_id} edits {sorted(overlap)}, which would be overwritten "
                f"by scheduled change {scheduled.change_id} (generation {scheduled.generation})",
            )


def _check_documents(timeline: Timeline, change: Change, now: float) -> None:
    """Checks the documents at the start of the change and at each later scheduled start.

    The timeline without the change is valid at every start, so only rules that the edits can
    break are checked. The cost grows with the number of edits, not with documents times starts.
    """
    start = now if change.withdraws is not None else change.start_at
    later = [
        scheduled
        for scheduled in timeline.list_scheduled(start)
        if scheduled.generation != change.withdraws
    ]
    documents = timeline.find_documents(start)
    starts = [(start, [change])]
    by_start = sorted(later, key=lambda scheduled: (scheduled.start_at, scheduled.generation))
    for start_at, group in groupby(by_start, key=lambda scheduled: scheduled.start_at):
        starts.append((start_at, list(group)))
    for start_at, starting in starts:
        edited: set[str] = set()
        for entry in starting:
            documents = documents.apply(entry.edits)
            edited |= set(entry.edits)
        faults = documents.find_faults(edited)
        if faults:
            names = ", ".join(f"{c.change_id} (generation {c.generation})" for c in starting)
            kind = ErrorKind.INVALID_CONFIGURATION if start_at == start else ErrorKind.CONFLICT
            raise BriarforkError(
                kind,
                f"change {change.change_id} makes the configuration invalid at the start of "
                f"{names}: {'; '.join(faults)}",
            )
