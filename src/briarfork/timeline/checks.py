"""Checks of a change against the whole timeline before it is accepted."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.timeline.change import Change
    from briarfork.timeline.timeline import Timeline

# A withdrawal must reach every VM before the start of what it withdraws; a change is in force
# everywhere within 12 s.
WITHDRAWAL_MARGIN_S = 12.0


def check_change(timeline: Timeline, change: Change, now: float) -> None:
    """Checks that a change can be accepted as the next one.

    Every point of the timeline from its start on is checked, so a change that clashes with a
    scheduled one is refused before either is in force.

    Raises:
        BriarforkError: With the generation expected and found, or the clash and both changes.
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
    _check_renders(timeline, change, now)


def _check_withdrawal(timeline: Timeline, change: Change, now: float) -> None:
    if change.edits:
        raise BriarforkError(ErrorKind.BAD_REQUEST, "edits: expected none in a withdrawal")
    target = timeline.get(change.withdraws or 0)
    if target.generation in timeline.list_withdrawn():
        raise BriarforkError(
            ErrorKind.CONFLICT, f"generation {target.generation} is withdrawn already"
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
                f"change {change.change_id} edits {sorted(overlap)}, to be overwritten "
                f"by change {scheduled.change_id} (generation {scheduled.generation})",
            )


def _check_renders(timeline: Timeline, change: Change, now: float) -> None:
    """Checks the rules that the edits of each point can break.

    The timeline without the change holds at every point, so only what an edit touches needs a
    look: the cost grows with the number of edits and not with documents times points.
    """
    start = now if change.withdraws is not None else change.start_at
    later = [
        scheduled
        for scheduled in timeline.list_scheduled(start)
        if scheduled.generation != change.withdraws
    ]
    documents = timeline.find_documents(start)
    points = [(start, [change])]
    by_start = sorted(later, key=lambda scheduled: (scheduled.start_at, scheduled.generation))
    for point, group in groupby(by_start, key=lambda scheduled: scheduled.start_at):
        points.append((point, list(group)))
    for point, starting in points:
        edited: set[str] = set()
        for entry in starting:
            documents = documents.apply(entry.edits)
            edited |= set(entry.edits)
        faults = documents.find_faults(edited)
        if faults:
            names = ", ".join(f"{c.change_id} (generation {c.generation})" for c in starting)
            kind = ErrorKind.INVALID_CONFIGURATION if point == start else ErrorKind.CONFLICT
            raise BriarforkError(
                kind,
                f"change {change.change_id} makes the configuration invalid at the start of "
                f"{names}: {'; '.join(faults)}",
            )
