"""The log of accepted changes and the configuration in force at any time."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from briarfork.configuration import Documents
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline.change import NO_HASH

if TYPE_CHECKING:
    from briarfork.timeline.change import Change

# A withdrawal must reach every VM before the start of what it withdraws; a change is in force
# everywhere within 12 s.
WITHDRAWAL_MARGIN_S = 12.0


class Appended(Enum):
    """Result of offering a change to a timeline."""

    ADDED = "added"
    KNOWN = "known"
    GAP = "gap"
    FORKED = "forked"


class Timeline:
    """Accepted changes in order of generation.

    The generation never falls: a change is added only if it is the next one and carries the hash
    of the last one. The configuration in force at a time follows from the timeline alone.
    """

    def __init__(self) -> None:
        self._changes: list[Change] = []
        self._hashes: list[str] = []
        self._generations: dict[str, int] = {}

    @property
    def generation(self) -> int:
        """Generation of the last accepted change; 0 if there is none."""
        return len(self._changes)

    @property
    def last_hash(self) -> str:
        """Hash of the last accepted change."""
        return self._hashes[-1] if self._hashes else NO_HASH

    def append(self, change: Change) -> Appended:
        """Adds a change if it continues the timeline; otherwise leaves the timeline as it is."""
        if change.generation > self.generation + 1 or change.generation < 1:
            return Appended.GAP
        if change.generation <= self.generation:
            known = self._hashes[change.generation - 1] == change.compute_hash()
            return Appended.KNOWN if known else Appended.FORKED
        if change.previous_hash != self.last_hash:
            return Appended.FORKED
        self._changes.append(change)
        self._hashes.append(change.compute_hash())
        self._generations[change.change_id] = change.generation
        return Appended.ADDED

    def get(self, generation: int) -> Change:
        """Returns an accepted change.

        Raises:
            BriarforkError: If there is no change of this generation.
        """
        if not 1 <= generation <= self.generation:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST,
                f"no change of generation {generation}, expected 1 to {self.generation}",
            )
        return self._changes[generation - 1]

    def find_change(self, change_id: str) -> Change | None:
        """Returns the accepted change of this name, or None."""
        generation = self._generations.get(change_id)
        return None if generation is None else self.get(generation)

    def list_after(self, generation: int, limit: int) -> list[Change]:
        """Returns at most `limit` changes that follow a generation."""
        return self._changes[generation : generation + limit]

    def list_withdrawn(self) -> set[int]:
        """Returns the generations that a later change withdraws."""
        return {change.withdraws for change in self._changes if change.withdraws is not None}

    def list_scheduled(self, now: float) -> list[Change]:
        """Returns the changes that start later than now and are not withdrawn."""
        withdrawn = self.list_withdrawn()
        return [
            change
            for change in self._changes
            if change.start_at > now and change.generation not in withdrawn
        ]

    def list_effective(self, now: float) -> list[Change]:
        """Returns the changes in force at a time, in the order in which they apply."""
        withdrawn = self.list_withdrawn()
        effective = [
            change
            for change in self._changes
            if change.start_at <= now and change.generation not in withdrawn
        ]
        return sorted(effective, key=lambda change: (change.start_at, change.generation))

    def find_documents(self, now: float) -> Documents:
        """Returns the documents in force at a time."""
        documents = Documents()
        for change in self.list_effective(now):
            documents = documents.apply(change.edits)
        return documents

    def find_next_start(self, now: float) -> float | None:
        """Returns the time of the next scheduled start after now, or None."""
        return min((change.start_at for change in self.list_scheduled(now)), default=None)

    def check(self, change: Change, now: float) -> None:
        """Checks that a change can be accepted as the next one.

        Every point of the timeline from its start on is rendered, so a change that clashes with a
        scheduled one is refused before either is in force.

        Raises:
            BriarforkError: With the generation expected and found, or the clash and both changes.
        """
        if change.generation != self.generation + 1 or change.previous_hash != self.last_hash:
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"expected generation {self.generation + 1}, found {change.generation}",
            )
        if change.withdraws is not None:
            self._check_withdrawal(change, now)
        elif change.start_at < now:
            raise BriarforkError(ErrorKind.BAD_REQUEST, "start_at: expected a time not in the past")
        self._check_overwrites(change, now)
        self._check_renders(change, now)

    def _check_withdrawal(self, change: Change, now: float) -> None:
        target = self.get(change.withdraws or 0)
        if change.edits:
            raise BriarforkError(ErrorKind.BAD_REQUEST, "edits: expected none in a withdrawal")
        if target.generation in self.list_withdrawn():
            raise BriarforkError(
                ErrorKind.CONFLICT, f"generation {target.generation} is withdrawn already"
            )
        if target.start_at < now + WITHDRAWAL_MARGIN_S:
            raise BriarforkError(
                ErrorKind.CONFLICT,
                f"generation {target.generation} has started or starts within "
                f"{WITHDRAWAL_MARGIN_S:.0f} s; schedule a change that reverses it",
            )

    def _check_overwrites(self, change: Change, now: float) -> None:
        for scheduled in self.list_scheduled(max(now, change.start_at)):
            overlap = scheduled.overlaps(change)
            if overlap:
                raise BriarforkError(
                    ErrorKind.CONFLICT,
                    f"change {change.change_id} edits {sorted(overlap)}, to be overwritten "
                    f"by change {scheduled.change_id} (generation {scheduled.generation})",
                )

    def _check_renders(self, change: Change, now: float) -> None:
        trial = Timeline()
        trial._changes = [*self._changes, change]
        start = change.start_at if change.withdraws is None else now
        points = {start} | {scheduled.start_at for scheduled in trial.list_scheduled(start)}
        for point in sorted(points):
            try:
                trial.find_documents(point).render()
            except BriarforkError as error:
                starting = [c for c in trial.list_effective(point) if c.start_at == point]
                names = ", ".join(f"{c.change_id} (generation {c.generation})" for c in starting)
                kind = ErrorKind.INVALID_CONFIGURATION if point == start else ErrorKind.CONFLICT
                raise BriarforkError(
                    kind,
                    f"change {change.change_id} makes the configuration invalid at the start of "
                    f"{names or change.change_id}: {error.detail}",
                ) from error
