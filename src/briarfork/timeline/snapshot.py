"""The start of a timeline, folded to what later times still need."""

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
class Folded:
    """What is left of a change that has been in force for long.

    Attributes:
        generation: Generation of the change.
        start_at: Time from which it was in force, seconds since the epoch.
        edits: Those of its edits that later times still need.
    """

    generation: int
    start_at: float
    edits: dict[str, Document | None]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All changes up to a generation.

    Attributes:
        generation: Last generation that it covers.
        hash: Hash of the change of this generation; the next change carries it.
        folded: Edits in force, in the order in which they apply.
        kept: Changes that are scheduled or within the retention period, in full.
    """

    generation: int = 0
    hash: str = NO_HASH
    folded: tuple[Folded, ...] = ()
    kept: tuple[Change, ...] = ()

    def fold(
        self,
        changes: list[Change],
        last_hash: str,
        withdrawn: set[int],
        needed: frozenset[int],
        horizon: float,
    ) -> Snapshot:
        """Returns the snapshot that also covers the changes that follow it.

        Changes in force at the horizon are folded. Withdrawals and what they withdrew are dropped.

        Args:
            changes: Consecutive changes after this snapshot.
            last_hash: Hash of the last of them.
            withdrawn: Generations that any known change withdraws.
            needed: Generations of which overwritten edits are kept as well.
            horizon: Time up to which changes in force are folded.
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
        taken = {change.generation for change in started}
        return Snapshot(
            changes[-1].generation,
            last_hash,
            _fold([*self.folded, *started], needed),
            tuple(change for change in remaining if change.generation not in taken),
        )


def _fold(entries: Iterable[Change | Folded], needed: frozenset[int]) -> tuple[Folded, ...]:
    histories: dict[str, list[tuple[float, int, Document | None]]] = {}
    for entry in sorted(entries, key=lambda entry: (entry.start_at, entry.generation)):
        for name, body in entry.edits.items():
            earlier = [edit for edit in histories.get(name, []) if edit[1] in needed]
            # A removal ends the history; it is kept to tell when the document was edited last.
            if body is None:
                earlier = []
            histories[name] = [*earlier, (entry.start_at, entry.generation, body)]
    edits = [
        (start_at, generation, name, body)
        for name, history in histories.items()
        for start_at, generation, body in history
    ]
    edits.sort(key=lambda edit: edit[:3])
    return tuple(
        Folded(generation, start_at, {name: body for _, _, name, body in group})
        for (start_at, generation), group in groupby(edits, key=lambda edit: edit[:2])
    )
