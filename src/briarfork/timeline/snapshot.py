"""The start of a timeline, folded to what later times still need."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING
from typing import Any

from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import Document
from briarfork.timeline.change import NO_HASH
from briarfork.timeline.change import Change

if TYPE_CHECKING:
    from collections.abc import Iterable

# The largest possible ramp moves a share by 100 percentage points.
LARGEST_RAMP_PERCENT = 100.0
SECONDS_PER_MINUTE = 60.0
# Covers the rounding of the duration that steering works out from the real shares.
SETTLED_MARGIN_S = 1.0


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
        self, changes: list[Change], last_hash: str, withdrawn: set[int], horizon: float
    ) -> Snapshot:
        """Returns the snapshot that also covers the changes that follow it.

        Changes in force at the horizon are folded. Withdrawals and what they withdrew are dropped.

        Args:
            changes: Consecutive changes after this snapshot.
            last_hash: Hash of the last of them.
            withdrawn: Generations that any known change withdraws.
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
            _fold([*self.folded, *started]),
            tuple(change for change in remaining if change.generation not in taken),
        )


def _fold(entries: Iterable[Change | Folded]) -> tuple[Folded, ...]:
    histories: dict[str, list[tuple[float, int, Document | None]]] = {}
    for entry in sorted(entries, key=lambda entry: (entry.start_at, entry.generation)):
        for name, body in entry.edits.items():
            history = histories.get(name, [])
            # A removal ends the history; it is kept to tell when the document was edited last.
            if body is None or not name.startswith(SERVICE_PREFIX) or _is_removed(history):
                history = []
            histories[name] = [*history, (entry.start_at, entry.generation, body)]
    edits = [
        (start_at, generation, name, body)
        for name, history in histories.items()
        for start_at, generation, body in _trim_history(history)
    ]
    edits.sort(key=lambda edit: edit[:3])
    return tuple(
        Folded(generation, start_at, {name: body for _, _, name, body in group})
        for (start_at, generation), group in groupby(edits, key=lambda edit: edit[:2])
    )


def _is_removed(history: list[tuple[float, int, Document | None]]) -> bool:
    return bool(history) and history[-1][2] is None


def _trim_history(
    history: list[tuple[float, int, Any]],
) -> list[tuple[float, int, Any]]:
    """Drops the bodies of a service that its ramps no longer depend on.

    A ramp starts from the shares that the one before it had reached, and the last ramp of each
    region still tells which requests its cap holds back. So the history is kept from the last body
    that was reached in full before the last ramp of every region began.
    """
    if len(history) == 1:
        return history
    regions = {None, *(region for _, _, body in history for region in _list_regions(body))}
    shares = [{region: _read_shares(body, region) for region in regions} for _, _, body in history]
    changed = [
        index
        for index in range(1, len(history))
        if any(shares[index][region] != shares[index - 1][region] for region in regions)
    ]
    if not changed:
        return history[-1:]
    last_changes = [
        max(
            (index for index in changed if shares[index][region] != shares[index - 1][region]),
            default=len(history),
        )
        for region in regions
    ]
    first = _find_settled(history, changed, min(last_changes))
    # The last body before each change is what a later call may keep the history from.
    needed = {first, len(history) - 1, *changed, *(index - 1 for index in changed)}
    return [history[index] for index in range(first, len(history)) if index in needed]


def _find_settled(history: list[tuple[float, int, Any]], changed: list[int], before: int) -> int:
    """Returns the last body before an index whose ramp was complete when the next body started."""
    settled = 0
    ramps_end_at = 0.0
    for index in range(before):
        start_at, _, body = history[index]
        if index in changed:
            slope = body["shift"]["slope_percent_per_minute"] / SECONDS_PER_MINUTE
            ends_at = start_at + LARGEST_RAMP_PERCENT / slope + SETTLED_MARGIN_S
            ramps_end_at = max(ramps_end_at, ends_at)
        if ramps_end_at <= history[index + 1][0]:
            settled = index
    return settled


def _list_regions(body: Document) -> list[str]:
    return list(body.get("regional_spread", {}))


def _read_shares(body: Document, region: str | None) -> dict[str, float]:
    regional = body.get("regional_spread", {})
    weights: dict[str, float] = regional.get(region, body["spread"]) if region else body["spread"]
    total = sum(weights.values())
    return {site: weight / total for site, weight in weights.items()}
