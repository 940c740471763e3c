"""The log of accepted changes and the configuration in force at any time."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from briarfork.configuration import Documents
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline.checks import check_change
from briarfork.timeline.snapshot import Snapshot

if TYPE_CHECKING:
    from collections.abc import Collection

    from briarfork.timeline.change import Change
    from briarfork.timeline.snapshot import Folded

FindNeeded = Callable[["Timeline", float], frozenset[int]]

# Peers that were cut off for less than this catch up change by change; others take the snapshot.
RETENTION_S = 3600.0


class Appended(Enum):
    """Result of offering a change or a snapshot to a timeline."""

    ADDED = "added"
    KNOWN = "known"
    GAP = "gap"
    FORKED = "forked"


class SnapshotRequired(BriarforkError):
    """Changes were asked for that have been folded.

    Attributes:
        snapshot: What to send instead, before the changes that follow it.
    """

    def __init__(self, asked: int, snapshot: Snapshot) -> None:
        super().__init__(
            ErrorKind.CONFLICT,
            f"expected a generation of {snapshot.generation} or later, found {asked}: "
            "earlier changes are folded into a snapshot",
        )
        self.snapshot = snapshot


class Timeline:
    """Accepted changes in order of generation.

    The generation never falls: a change is added only if it is the next one and carries the hash
    of the last one. The configuration in force at a time follows from the timeline alone. Old
    changes are folded into a snapshot, so memory does not grow with the age of the system; times
    before the snapshot cannot be asked for.
    """

    def __init__(self, snapshot: Snapshot | None = None, retention_s: float = RETENTION_S) -> None:
        self._retention_s = retention_s
        self._base = Snapshot()
        self._changes: list[Change] = []
        self._hashes: list[str] = []
        self._withdrawn: set[int] = set()
        self._by_id: dict[str, Change] = {}
        if snapshot is not None:
            self._replace(snapshot)

    @property
    def generation(self) -> int:
        """Generation of the last accepted change; 0 if there is none."""
        return self._base.generation + len(self._changes)

    @property
    def last_hash(self) -> str:
        """Hash of the last accepted change."""
        return self._hashes[-1] if self._hashes else self._base.hash

    @property
    def snapshot(self) -> Snapshot:
        """What has been folded; its generation is 0 if nothing has."""
        return self._base

    def append(self, change: Change) -> Appended:
        """Adds a change if it continues the timeline; otherwise leaves the timeline as it is."""
        if change.generation > self.generation + 1 or change.generation < 1:
            return Appended.GAP
        if change.generation <= self.generation:
            known = self.find_hash(change.generation)
            return Appended.KNOWN if known in (None, change.compute_hash()) else Appended.FORKED
        if change.previous_hash != self.last_hash:
            return Appended.FORKED
        self._add(change.share_values(), change.compute_hash())
        return Appended.ADDED

    def restore(self, snapshot: Snapshot) -> Appended:
        """Takes a snapshot that is ahead of this timeline; otherwise leaves the timeline as it is.

        Changes that both hold must be the same.
        """
        if snapshot.generation <= self.generation:
            known = self.find_hash(snapshot.generation)
            return Appended.KNOWN if known in (None, snapshot.hash) else Appended.FORKED
        for change in snapshot.kept:
            if self.find_hash(change.generation) not in (None, change.compute_hash()):
                return Appended.FORKED
        self._replace(snapshot)
        return Appended.ADDED

    def compact(self, now: float, find_needed: FindNeeded) -> bool:
        """Folds changes in force that are older than the retention period.

        Changes that are scheduled stay.

        Args:
            now: Time of day.
            find_needed: Names the generations of which overwritten edits are still needed at a
                time and later.

        Returns:
            Whether anything was folded.
        """
        horizon = now - self._retention_s
        count = 0
        for change in self._changes:
            if change.submitted_at > horizon:
                break
            count += 1
        if count == 0:
            return False
        old = self._changes[:count]
        last_hash = self._hashes[count - 1]
        needed = find_needed(self, horizon)
        base = self._base.fold(old, last_hash, self._withdrawn, needed, horizon)
        changes, hashes = self._changes[count:], self._hashes[count:]
        self._replace(base)
        for change, digest in zip(changes, hashes, strict=True):
            self._add(change, digest)
        return True

    def get(self, generation: int) -> Change:
        """Returns an accepted change that is held in full.

        Raises:
            BriarforkError: If there is no change of this generation, or it is folded.
        """
        if not 1 <= generation <= self.generation:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST,
                f"no change of generation {generation}, expected 1 to {self.generation}",
            )
        if generation > self._base.generation:
            return self._changes[generation - self._base.generation - 1]
        for change in self._base.kept:
            if change.generation == generation:
                return change
        raise BriarforkError(
            ErrorKind.CONFLICT, f"generation {generation} is in force or withdrawn for long"
        )

    def find_hash(self, generation: int) -> str | None:
        """Returns the hash of an accepted change, or None if it is folded or not accepted yet."""
        index = generation - self._base.generation
        if index == 0:
            return self._base.hash
        return self._hashes[index - 1] if 0 < index <= len(self._hashes) else None

    def find_change(self, change_id: str) -> Change | None:
        """Returns the change of this name that is held in full, or None."""
        return self._by_id.get(change_id)

    def list_after(self, generation: int, limit: int) -> list[Change]:
        """Returns at most `limit` changes that follow a generation.

        Raises:
            SnapshotRequired: If some of them are folded; the error has the snapshot.
        """
        if generation < self._base.generation:
            raise SnapshotRequired(generation, self._base)
        index = generation - self._base.generation
        return self._changes[index : index + limit]

    def find_later_edit(
        self, names: Collection[str], generation: int
    ) -> tuple[Change | Folded, set[str]] | None:
        """Returns a change after a generation that edited some of the documents, and which."""
        entries: list[Change | Folded] = [*self._base.folded, *self._base.kept, *self._changes]
        for entry in entries:
            overlap = entry.edits.keys() & set(names)
            if entry.generation > generation and overlap:
                return entry, overlap
        return None

    def list_withdrawn(self) -> set[int]:
        """Returns the generations that a later change withdraws."""
        return self._withdrawn

    def list_scheduled(self, now: float) -> list[Change]:
        """Returns the changes that start later than now and are not withdrawn."""
        return [
            change
            for change in (*self._base.kept, *self._changes)
            if change.start_at > now and change.generation not in self._withdrawn
        ]

    def list_effective(self, now: float) -> list[Change | Folded]:
        """Returns the changes in force at a time, in the order in which they apply.

        Raises:
            BriarforkError: With kind `bad_request` if the time is before what is folded.
        """
        folded = self._base.folded
        if folded and now < folded[-1].start_at:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST,
                f"expected a time not before {folded[-1].start_at:.0f}, found {now:.0f}: earlier "
                "changes are folded; the history has them",
            )
        entries: list[Change | Folded] = [*self._base.folded, *self._base.kept, *self._changes]
        effective = [
            entry
            for entry in entries
            if entry.start_at <= now and entry.generation not in self._withdrawn
        ]
        return sorted(effective, key=lambda entry: (entry.start_at, entry.generation))

    def find_documents(self, now: float) -> Documents:
        """Returns the documents in force at a time.

        Raises:
            BriarforkError: With kind `bad_request` if the time is before what is folded.
        """
        edits: dict[str, Any] = {}
        for entry in self.list_effective(now):
            edits.update(entry.edits)
        return Documents().apply(edits)

    def find_next_start(self, now: float) -> float | None:
        """Returns the time of the next scheduled start after now, or None."""
        return min((change.start_at for change in self.list_scheduled(now)), default=None)

    def check(self, change: Change, now: float) -> None:
        """Checks that a change can be accepted as the next one.

        Raises:
            BriarforkError: With the generation expected and found, or the clash and both changes.
        """
        check_change(self, change, now)

    def _add(self, change: Change, digest: str) -> None:
        self._changes.append(change)
        self._hashes.append(digest)
        self._by_id[change.change_id] = change
        if change.withdraws is not None:
            self._withdrawn.add(change.withdraws)

    def _replace(self, snapshot: Snapshot) -> None:
        self._base = snapshot
        self._changes = []
        self._hashes = []
        self._withdrawn = set()
        self._by_id = {change.change_id: change for change in snapshot.kept}
