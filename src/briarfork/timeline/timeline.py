"""The log of accepted changes, from which the configuration in force at a time is derived."""

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
    from briarfork.timeline.snapshot import FoldedChange

FindRequiredGenerations = Callable[["Timeline", float], frozenset[int]]

# Peers that were disconnected for less than this time catch up with single changes, others with a
# snapshot.
RETENTION_S = 3600.0


class AppendResult(Enum):
    """Result of adding a change or a snapshot to a timeline.

    Attributes:
        ADDED: It was added.
        KNOWN: The timeline already covers it.
        GAP: Changes before it are missing.
        FORKED: It belongs to a different history.
    """

    ADDED = "added"
    KNOWN = "known"
    GAP = "gap"
    FORKED = "forked"


class SnapshotRequired(BriarforkError):
    """Raised when requested changes have been folded into a snapshot.

    Attributes:
        snapshot: Snapshot to send in place of the folded changes.
    """

    def __init__(self, asked: int, snapshot: Snapshot) -> None:
        super().__init__(
            ErrorKind.CONFLICT,
            f"expected generation {snapshot.generation} or later, found {asked}: "
            "earlier changes are folded into a snapshot",
        )
        self.snapshot = snapshot


class Timeline:
    """The accepted changes in order of generation.

    The generation never decreases: a change is added only if it is the next one and refers to the
    hash of the last one. The configuration in force at a time is derived from the timeline alone.
    Old changes are folded into a snapshot, so memory use does not grow with the age of the
    system. The state before the snapshot cannot be queried.
    """

    def __init__(self, snapshot: Snapshot | None = None, retention_s: float = RETENTION_S) -> None:
        self._retention_s = retention_s
        self._snapshot = Snapshot()
        self._changes: list[Change] = []
        self._hashes: list[str] = []
        self._withdrawn: set[int] = set()
        self._by_id: dict[str, Change] = {}
        if snapshot is not None:
            self._reset_to(snapshot)

    @property
    def generation(self) -> int:
        """Generation of the last accepted change; 0 if there is none."""
        return self._snapshot.generation + len(self._changes)

    @property
    def last_hash(self) -> str:
        """Hash of the last accepted change; empty if there is none."""
        return self._hashes[-1] if self._hashes else self._snapshot.hash

    @property
    def snapshot(self) -> Snapshot:
        """The folded part of the timeline; its generation is 0 if nothing has been folded."""
        return self._snapshot

    def append(self, change: Change) -> AppendResult:
        """Adds a change if it is the next one; otherwise leaves the timeline unchanged."""
        if change.generation > self.generation + 1 or change.generation < 1:
            return AppendResult.GAP
        if change.generation <= self.generation:
            known = self.find_hash(change.generation)
            return (
                AppendResult.KNOWN
                if known in (None, change.compute_hash())
                else AppendResult.FORKED
            )
        if change.previous_hash != self.last_hash:
            return AppendResult.FORKED
        self._add(change.intern_values(), change.compute_hash())
        return AppendResult.ADDED

    def restore(self, snapshot: Snapshot) -> AppendResult:
        """Replaces the timeline by a snapshot that is ahead of it; otherwise leaves it unchanged.

        Changes that both contain must be identical.
        """
        if snapshot.generation <= self.generation:
            known = self.find_hash(snapshot.generation)
            return AppendResult.KNOWN if known in (None, snapshot.hash) else AppendResult.FORKED
        for change in snapshot.kept:
            if self.find_hash(change.generation) not in (None, change.compute_hash()):
                return AppendResult.FORKED
        self._reset_to(snapshot)
        return AppendResult.ADDED

    def compact(self, now: float, find_required_generations: FindRequiredGenerations) -> bool:
        """Folds changes in force that are older than the retention period.

        Scheduled changes are kept in full.

        Args:
            now: Wall-clock time, seconds since the epoch.
            find_required_generations: Returns the generations whose overwritten edits are still
                required from a given time on.

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
        required = find_required_generations(self, horizon)
        base = self._snapshot.fold(old, last_hash, self._withdrawn, required, horizon)
        changes, hashes = self._changes[count:], self._hashes[count:]
        self._reset_to(base)
        for change, digest in zip(changes, hashes, strict=True):
            self._add(change, digest)
        return True

    def get(self, generation: int) -> Change:
        """Returns an accepted change that has not been folded.

        Raises:
            BriarforkError: If there is no change of this generation, or it has been folded.
        """
        if not 1 <= generation <= self.generation:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST,
                f"generation {generation} does not exist, expected 1 to {self.generation}",
            )
        if generation > self._snapshot.generation:
            return self._changes[generation - self._snapshot.generation - 1]
        for change in self._snapshot.kept:
            if change.generation == generation:
                return change
        raise BriarforkError(
            ErrorKind.CONFLICT,
            f"generation {generation} is folded, because it is long in force or withdrawn",
        )

    def find_hash(self, generation: int) -> str | None:
        """Returns the hash of a change, or None if it has been folded or is not yet accepted."""
        index = generation - self._snapshot.generation
        if index == 0:
            return self._snapshot.hash
        return self._hashes[index - 1] if 0 < index <= len(self._hashes) else None

    def find_change(self, change_id: str) -> Change | None:
        """Returns the change with this id, or None if it is unknown or has been folded."""
        return self._by_id.get(change_id)

    def list_after(self, generation: int, limit: int) -> list[Change]:
        """Returns at most `limit` changes after a generation.

        Raises:
            SnapshotRequired: If some of them have been folded; carries the snapshot to use.
        """
        if generation < self._snapshot.generation:
            raise SnapshotRequired(generation, self._snapshot)
        index = generation - self._snapshot.generation
        return self._changes[index : index + limit]

    def find_later_edit(
        self, names: Collection[str], generation: int
    ) -> tuple[Change | FoldedChange, set[str]] | None:
        """Returns the first change after a generation that edits any of the documents.

        Returns:
            The change and the names of the documents that it edits, or None.
        """
        entries: list[Change | FoldedChange] = [
            *self._snapshot.folded,
            *self._snapshot.kept,
            *self._changes,
        ]
        for entry in entries:
            overlap = entry.edits.keys() & set(names)
            if entry.generation > generation and overlap:
                return entry, overlap
        return None

    def list_withdrawn(self) -> set[int]:
        """Returns the generations that have been withdrawn by a later change."""
        return self._withdrawn

    def list_scheduled(self, now: float) -> list[Change]:
        """Returns the changes that start after `now` and are not withdrawn."""
        return [
            change
            for change in (*self._snapshot.kept, *self._changes)
            if change.start_at > now and change.generation not in self._withdrawn
        ]

    def list_effective(self, now: float) -> list[Change | FoldedChange]:
        """Returns the changes in force at a time, in the order in which they apply.

        Raises:
            BriarforkError: With kind `bad_request` if the time is before the last folded change.
        """
        folded = self._snapshot.folded
        if folded and now < folded[-1].start_at:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST,
                f"expected a time not before {folded[-1].start_at:.0f}, found {now:.0f}: earlier "
                "changes are folded, see the history",
            )
        entries: list[Change | FoldedChange] = [
            *self._snapshot.folded,
            *self._snapshot.kept,
            *self._changes,
        ]
        effective = [
            entry
            for entry in entries
            if entry.start_at <= now and entry.generation not in self._withdrawn
        ]
        return sorted(effective, key=lambda entry: (entry.start_at, entry.generation))

    def find_documents(self, now: float) -> Documents:
        """Returns the documents in force at a time.

        Raises:
            BriarforkError: With kind `bad_request` if the time is before the last folded change.
        """
        edits: dict[str, Any] = {}
        for entry in self.list_effective(now):
            edits.update(entry.edits)
        return Documents().apply(edits)

    def find_next_start(self, now: float) -> float | None:
        """Returns the time of the next scheduled start after `now`, or None."""
        return min((change.start_at for change in self.list_scheduled(now)), default=None)

    def check(self, change: Change, now: float) -> None:
        """Checks that a change can be accepted as the next one.

        Raises:
            BriarforkError: If the change is invalid, is not the next generation, or conflicts
                with a scheduled change.
        """
        check_change(self, change, now)

    def _add(self, change: Change, digest: str) -> None:
        self._changes.append(change)
        self._hashes.append(digest)
        self._by_id[change.change_id] = change
        if change.withdraws is not None:
            self._withdrawn.add(change.withdraws)

    def _reset_to(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._changes = []
        self._hashes = []
        self._withdrawn = set()
        self._by_id = {change.change_id: change for change in snapshot.kept}
