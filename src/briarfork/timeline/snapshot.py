"""Snapshots of a timeline, in which old changes are folded."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

from briarfork.configuration import Document
from briarfork.timeline.change import NO_HASH
from briarfork.timeline.change import Change

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class FoldedChange:
    """An old change in force, reduced to the edits that are still required.

    Attributes:
        generation: Generation of the change.
        start_at: Time from which it was in force, seconds since the epoch.
        edits: The remaining edits; None marks a removed document.
    """

    generation: int
    start_at: float
    edits: dict[str, Document | None]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of a timeline up to a generation.

    Attributes:
        generation: Last generation that the snapshot covers.
        hash: Hash of the change of this generation, which the next change refers to.
        folded: Folded changes in force, in the order in which they apply.
        kept: Changes kept in full, because they are scheduled or within the retention period.
    """

    generation: int = 0
    hash: str = NO_HASH
    folded: tuple[FoldedChange, ...] = ()
    kept: tuple[Change, ...] = ()

    def fold(
        self,
        changes: list[Change],
        last_hash: str,
        withdrawn: set[int],
        required: frozenset[int],
        horizon: float,
    ) -> Snapshot:
        """Returns a snapshot that also covers the given changes.

        Changes in force at the horizon are folded. Withdrawals and the changes that they withdraw
        are dropped.

        Args:
            changes: Consecutive changes that follow this snapshot.
            last_hash: Hash of the last of them.
            withdrawn: Generations that are withdrawn by any known change.
            required: Generations whose edits are kept even if they were overwritten.
            horizon: Time up to which changes in force are folded, seconds since the epoch.
        """
        own_withdrawals = {change.withdraws for change in changes}
        remaining = [
            change
            for change in (*self.kept, *changes)
            if change.withdraws is None and change.generation not in own_withdrawals
        ]
        started = [
            change
            for change in remaining
            if change.start_at <= horizon and change.generation not in withdrawn
        ]
        folded_generations = {change.generation for change in started}
        return Snapshot(
            changes[-1].generation,
            last_hash,
            _fold([*self.folded, *started], required),
            tuple(change for change in remaining if change.generation not in folded_generations),
        )


def _fold(
    entries: Iterable[Change | FoldedChange], required: frozenset[int]
) -> tuple[FoldedChange, ...]:
    histories: dict[str, list[tuple[float, int, Document | None]]] = {}
    for entry in sorted(entries, key=lambda entry: (entry.start_at, entry.generation)):
        for name, body in entry.edits.items():
            still_required = [edit for edit in histories.get(name, []) if edit[1] in required]
            # A removal ends the history. It is kept itself, because it is the document's last edit.
            if body is None:
                still_required = []
            histories[name] = [*still_required, (entry.start_at, entry.generation, body)]
    edits = [
        (start_at, generation, name, body)
        for name, history in histories.items()
        for start_at, generation, body in history
    ]
    edits.sort(key=lambda edit: edit[:3])
    return tuple(
        FoldedChange(generation, start_at, {name: body for _, _, name, body in group})
        for (start_at, generation), group in groupby(edits, key=lambda edit: edit[:2])
    )
