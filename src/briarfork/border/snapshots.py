"""Stores snapshots of the timeline, so that startup does not have to read every change."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import msgspec

from briarfork.border.store import ABSENT
from briarfork.border.store import Store
from briarfork.border.store import StoreConflict
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Snapshot

KEY_PREFIX = "snapshots/"
MANIFEST_KEY = f"{KEY_PREFIX}latest"
GENERATION_DIGITS = 10
PART_DIGITS = 4
# The store accepts values up to 1 MB, and UTF-8 uses at most 4 bytes per character.
MAX_PART_CHARACTERS = 250_000
# The previous snapshot is retained because another process may still be reading it.
RETAINED_SNAPSHOTS = 2

RecordT = TypeVar("RecordT")


class SnapshotEntry(msgspec.Struct, frozen=True):
    """Generation of a complete snapshot and the SHA-256 hashes of its parts."""

    generation: int
    parts: list[str]


class Manifest(msgspec.Struct, frozen=True):
    """List of the complete snapshots, newest first."""

    entries: list[SnapshotEntry]


def build_part_key(generation: int, part: int) -> str:
    """Returns the store key of a part of a snapshot.

    Example:
        >>> build_part_key(500, 0)
        'snapshots/0000000500/0000'
    """
    return f"{KEY_PREFIX}{generation:0{GENERATION_DIGITS}d}/{part:0{PART_DIGITS}d}"


class SnapshotStore:
    """Reads and writes snapshots.

    All parts are written before the manifest that lists them, so a snapshot whose writer crashed
    is never read.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> Snapshot | None:
        """Returns the newest intact snapshot, or None if there are no snapshots.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `invalid_configuration` if the list of the snapshots or every
                snapshot is damaged.
        """
        manifest, _ = await self._read_manifest()
        last_error: BriarforkError | None = None
        for entry in manifest.entries:
            try:
                return await self._read_parts(entry)
            except StoreUnavailable:
                raise
            except BriarforkError as error:
                last_error = error
        if last_error is not None:
            raise last_error
        return None

    async def find_latest_generation(self) -> int:
        """Returns the generation of the newest snapshot, or 0 if there is none.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        manifest, _ = await self._read_manifest()
        return manifest.entries[0].generation if manifest.entries else 0

    async def write(self, snapshot: Snapshot) -> bool:
        """Writes a snapshot and deletes those that are no longer retained.

        Returns:
            False if another process has written a snapshot in the meantime.

        Raises:
            StoreUnavailable: If the store does not respond; a retry completes the snapshot.
        """
        manifest, revision = await self._read_manifest()
        if manifest.entries and manifest.entries[0].generation >= snapshot.generation:
            return False
        text = msgspec.json.encode(snapshot).decode()
        hashes = []
        for index, start in enumerate(range(0, len(text), MAX_PART_CHARACTERS)):
            part = text[start : start + MAX_PART_CHARACTERS]
            if not await self._write_part(build_part_key(snapshot.generation, index), part):
                return False
            hashes.append(_compute_hash(part))
        entries = [SnapshotEntry(snapshot.generation, hashes), *manifest.entries]
        updated = Manifest(entries[:RETAINED_SNAPSHOTS])
        try:
            await self._store.put(MANIFEST_KEY, msgspec.json.encode(updated).decode(), revision)
        except StoreConflict:
            return False
        for entry in entries[RETAINED_SNAPSHOTS:]:
            await self._delete(entry)
        return True

    async def _read_manifest(self) -> tuple[Manifest, int]:
        entry = await self._store.get(MANIFEST_KEY)
        if entry is None:
            return Manifest([]), ABSENT
        return _decode(MANIFEST_KEY, entry.value, Manifest), entry.revision

    async def _read_parts(self, entry: SnapshotEntry) -> Snapshot:
        parts = []
        for index, digest in enumerate(entry.parts):
            key = build_part_key(entry.generation, index)
            stored = await self._store.get(key)
            if stored is None or _compute_hash(stored.value) != digest:
                raise BriarforkError(
                    ErrorKind.INVALID_CONFIGURATION,
                    f"{key}: expected a part with hash {digest[:12]}, "
                    f"found {'none' if stored is None else 'a different hash'}",
                )
            parts.append(stored.value)
        return _decode(build_part_key(entry.generation, 0), "".join(parts), Snapshot)

    async def _write_part(self, key: str, part: str) -> bool:
        """Creates a part; returns False if the key already has different content."""
        try:
            await self._store.put(key, part, ABSENT)
        except StoreConflict:
            stored = await self._store.get(key)
            return stored is not None and stored.value == part
        return True

    async def _delete(self, entry: SnapshotEntry) -> None:
        for index in range(len(entry.parts)):
            stored = await self._store.get(build_part_key(entry.generation, index))
            if stored is not None:
                await self._store.delete(stored.key, stored.revision)


def _decode(key: str, value: str, expected: type[RecordT]) -> RecordT:
    try:
        return msgspec.json.decode(value, type=expected)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError) as error:
        raise BriarforkError(
            ErrorKind.INVALID_CONFIGURATION, f"{key}: expected a valid record: {error}"
        ) from error


def _compute_hash(part: str) -> str:
    return hashlib.sha256(part.encode()).hexdigest()
